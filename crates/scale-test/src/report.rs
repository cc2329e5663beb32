//! Figures of a phase, as text and as CSV.

/// The smallest value that this share of the values doesn't exceed; 0 where there are none.
pub fn percentile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    let index = rank.clamp(1, sorted.len().max(1)) - 1;
    sorted.get(index).copied().unwrap_or_default()
}

/// Figures of one phase.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PhaseReport {
    /// Name of the phase.
    pub phase: String,
    /// Names and values of the figures, in order. Names end with the unit.
    pub figures: Vec<(&'static str, f64)>,
}

impl PhaseReport {
    /// First line of a CSV file of such reports.
    pub fn csv_header(&self) -> String {
        let names: Vec<&str> = self.figures.iter().map(|(name, _)| *name).collect();
        format!("phase,{}", names.join(","))
    }

    /// The report as a line of a CSV file.
    pub fn csv_line(&self) -> String {
        let figures = self.figures.iter().map(|(_, value)| format!("{value:.3}"));
        format!("{},{}", self.phase, figures.collect::<Vec<_>>().join(","))
    }

    /// Value of a figure; `None` where there is none of this name.
    pub fn get(&self, name: &str) -> Option<f64> {
        let figure = self.figures.iter().find(|(other, _)| *other == name)?;
        Some(figure.1)
    }
}
