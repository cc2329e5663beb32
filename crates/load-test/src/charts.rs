//! Charts of a run as SVG, with the faults marked.

use crate::faults::Mark;
use crate::run::Sample;
use crate::stats::Window;
use hdrhistogram::Histogram;
use plotters::coord::Shift;
use plotters::prelude::*;

const SIZE: (u32, u32) = (900, 320);
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(44, 160, 44),
    RGBColor(255, 127, 14),
    RGBColor(214, 39, 40),
    RGBColor(148, 103, 189),
    RGBColor(90, 90, 90),
];

/// Least width of a fault's band, as a share of the chart's.
const MIN_MARK_WIDTH: f64 = 1.0 / 400.0;

/// A chart that is being drawn.
type Chart<'a> = ChartContext<
    'a,
    SVGBackend<'a>,
    Cartesian2d<plotters::coord::types::RangedCoordf64, plotters::coord::types::RangedCoordf64>,
>;

/// A drawing that failed; drawing into memory should not.
pub type ChartError = Box<dyn std::error::Error>;

/// A named line.
pub struct Line {
    /// Its name.
    pub name: String,
    /// Its points.
    pub points: Vec<(f64, f64)>,
}

impl Line {
    /// One line.
    pub fn new(name: &str, points: Vec<(f64, f64)>) -> Self {
        Self {
            name: name.to_owned(),
            points,
        }
    }
}

fn extent(lines: &[Line]) -> ((f64, f64), f64) {
    let all = || lines.iter().flat_map(|l| &l.points);
    let least = all().map(|p| p.0).fold(f64::INFINITY, f64::min);
    let most = all().map(|p| p.0).fold(f64::NEG_INFINITY, f64::max);
    let top = all().map(|p| p.1).fold(0.0, f64::max);
    if least < most {
        ((least, most), top.max(1e-9) * 1.08)
    } else {
        ((0.0, 1.0), top.max(1.0))
    }
}

fn draw(
    root: &DrawingArea<SVGBackend, Shift>,
    title: &str,
    x: &str,
    y: &str,
    lines: &[Line],
    marks: &[Mark],
    x_label: &dyn Fn(&f64) -> String,
) -> Result<(), ChartError> {
    root.fill(&WHITE)?;
    let ((left, right), top) = extent(lines);
    let mut chart = ChartBuilder::on(root)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(left..right, 0.0..top)?;
    draw_marks(&mut chart, marks, right - left, right, top)?;
    chart
        .configure_mesh()
        .light_line_style(TRANSPARENT)
        .x_desc(x)
        .y_desc(y)
        .x_label_formatter(x_label)
        .label_style(("sans-serif", 11))
        .draw()?;
    draw_lines(&mut chart, lines)?;
    root.present()?;
    Ok(())
}

/// Bands over the time of each fault.
fn draw_marks(
    chart: &mut Chart,
    marks: &[Mark],
    width: f64,
    right: f64,
    top: f64,
) -> Result<(), ChartError> {
    for mark in marks.iter().filter(|mark| mark.at_s < right) {
        let to = mark.to_s.clamp(mark.at_s + width * MIN_MARK_WIDTH, right);
        let band = Rectangle::new(
            [(mark.at_s, 0.0), (to, top)],
            RGBColor(200, 60, 60).mix(0.12).filled(),
        );
        chart.draw_series([band])?;
        chart.draw_series([Text::new(
            mark.what.clone(),
            (mark.at_s, top * 0.99),
            ("sans-serif", 10),
        )])?;
    }
    Ok(())
}

/// The lines, and their names where there are as many colours as lines.
fn draw_lines(chart: &mut Chart, lines: &[Line]) -> Result<(), ChartError> {
    let has_legend = lines.len() <= COLOURS.len();
    for (n, line) in lines.iter().enumerate() {
        let colour = COLOURS[n % COLOURS.len()];
        let series = chart.draw_series(LineSeries::new(
            line.points.iter().copied(),
            colour.stroke_width(1),
        ))?;
        if has_legend {
            series
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
    }
    if has_legend {
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .background_style(WHITE.mix(0.8))
            .label_font(("sans-serif", 11))
            .draw()?;
    }
    Ok(())
}

/// Lines over time in seconds.
///
/// # Errors
/// If drawing fails.
pub fn over_time(
    title: &str,
    y: &str,
    lines: &[Line],
    marks: &[Mark],
) -> Result<String, ChartError> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        draw(&root, title, "seconds", y, lines, marks, &|x| {
            format!("{x:.0}")
        })?;
    }
    Ok(svg)
}

/// The percentile of so many nines, with the digits that tell it from its neighbours: 0.5 is 68%, 3 is 99.9%.
pub fn percentile_label(nines: f64) -> String {
    let digits = (nines - 1.0).ceil().max(0.0) as usize;
    let text = format!("{:.digits$}", 100.0 - 100.0 * 10f64.powf(-nines));
    let text = if digits > 0 {
        text.trim_end_matches('0').trim_end_matches('.')
    } else {
        &text
    };
    format!("{text}%")
}

/// Latency by percentile, on an axis that gives each further nine the same room.
///
/// # Errors
/// If drawing fails.
pub fn percentiles(title: &str, all: &[(&str, &Histogram<u64>)]) -> Result<String, ChartError> {
    let line = |(name, h): &(&str, &Histogram<u64>)| {
        // Up to where a single value decides.
        let most = (h.len().max(10) as f64).log10();
        let at = |n: u32| {
            let nines = most * f64::from(n) / 200.0;
            let q = 1.0 - 10f64.powf(-nines);
            (nines, h.value_at_quantile(q) as f64 / 1e3)
        };
        Line::new(name, (0..=200).map(at).collect())
    };
    let lines: Vec<Line> = all.iter().map(line).collect();
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        draw(&root, title, "percentile", "ms", &lines, &[], &|nines| {
            percentile_label(*nines)
        })?;
    }
    Ok(svg)
}

/// The parts that each host holds over time.
fn lines_of_hosts(samples: &[Sample]) -> Vec<Line> {
    let count = samples.first().map_or(0, |sample| sample.hosts.len());
    let line_of_host = |n: usize| {
        let points = samples
            .iter()
            .map(|sample| (sample.at_s, f64::from(sample.hosts[n].held)))
            .collect();
        Line::new(&format!("host {n}"), points)
    };
    (0..count).map(line_of_host).collect()
}

/// The charts of a run: name and SVG.
///
/// # Errors
/// If drawing fails.
pub fn of_run(
    windows: &[Window],
    samples: &[Sample],
    marks: &[Mark],
    histograms: &[(&str, &Histogram<u64>)],
) -> Result<Vec<(&'static str, String)>, ChartError> {
    let over = |name: &str, of: &dyn Fn(&Window) -> f64| {
        Line::new(
            name,
            windows.iter().map(|w| (w.at_s + 0.5, of(w))).collect(),
        )
    };
    let rates = [
        over("due", &|w| w.due as f64),
        over("served", &|w| w.served as f64),
        over("refused", &|w| w.refused as f64),
        over("failed", &|w| w.failed as f64),
        over("tries", &|w| w.tries as f64),
    ];
    let latency = [
        over("p50", &|w| w.latency.p50),
        over("p99", &|w| w.latency.p99),
    ];
    let worth = [over("worth earned of worth asked", &|w| w.worth)];
    let hosts = lines_of_hosts(samples);
    let mut all = vec![
        (
            "percentiles",
            percentiles("Time by percentile", histograms)?,
        ),
        (
            "rates",
            over_time(
                "Queries a second, by the instant they were due",
                "a second",
                &rates,
                marks,
            )?,
        ),
        (
            "latency",
            over_time("Latency from the planned instant", "ms", &latency, marks)?,
        ),
        ("worth", over_time("Worth", "share", &worth, marks)?),
    ];
    if !hosts.is_empty() {
        all.push((
            "hosts",
            over_time("Parts held by each host", "parts", &hosts, marks)?,
        ));
    }
    Ok(all)
}
