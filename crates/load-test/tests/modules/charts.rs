use load_test::charts::{of_run, percentile_label};
use load_test::faults::Mark;
use load_test::stats::Window;

#[test]
fn labels_differ_when_percentiles_differ() {
    let labels = [0.0, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0].map(percentile_label);
    assert_eq!(
        labels,
        ["0%", "68%", "90%", "96.8%", "99%", "99.68%", "99.9%", "99.99%"]
    );
}

#[test]
fn charts_are_drawn_when_there_are_marks_or_no_data() {
    let mut h = load_test::stats::histogram();
    (1..1000).for_each(|n| h.saturating_record(n * 100));
    let windows: Vec<Window> = (0..10)
        .map(|n| Window {
            at_s: f64::from(n),
            due: 10 * n as u64,
            ..Window::default()
        })
        .collect();
    let marks = [Mark {
        at_s: 3.0,
        to_s: 5.0,
        what: "host-crash 3".into(),
    }];
    let charts = of_run(&windows, &[], &marks, &[("latency", &h)]).unwrap();
    assert_eq!(charts.len(), 4);
    assert!(charts
        .iter()
        .all(|(_, svg)| svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>")));
    assert!(charts[1].1.contains("host-crash 3") && charts[0].1.contains("99.68%"));
    of_run(
        &[],
        &[],
        &[],
        &[("latency", &load_test::stats::histogram())],
    )
    .unwrap();
}
