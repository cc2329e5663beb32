//! Figures of a phase, as text and as CSV.

/// The value below which `share` of the values lie; nothing where there are none.
pub fn percentile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(at).copied().unwrap_or_default()
}

/// One phase: names and figures in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Row {
    /// Its name.
    pub phase: String,
    /// Its figures.
    pub figures: Vec<(&'static str, f64)>,
}

impl Row {
    /// The head of a CSV of such rows.
    pub fn head(&self) -> String {
        let names: Vec<&str> = self.figures.iter().map(|f| f.0).collect();
        format!("phase,{}", names.join(","))
    }

    /// A line of CSV.
    pub fn line(&self) -> String {
        let figures: Vec<String> = self.figures.iter().map(|f| format!("{:.3}", f.1)).collect();
        format!("{},{}", self.phase, figures.join(","))
    }

    /// A figure by its name.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.figures.iter().find(|f| f.0 == name).map(|f| f.1)
    }
}
