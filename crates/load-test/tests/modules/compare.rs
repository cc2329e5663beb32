use load_test::compare::{pairs, two};
use load_test::results::Summary;

fn summary(p50: f64, void: bool) -> Summary {
    let mut figures = load_test::stats::Figures::default();
    figures.latency.p50 = p50;
    Summary {
        scenario: "x".into(),
        seed: 1,
        plan: "p".into(),
        planned: 1,
        void: void.then(|| "lag".to_owned()),
        broken: Default::default(),
        crashed: 0,
        cpu_us_per_query: 10.0,
        cpu_s: 1.0,
        peak_mb: 1.0,
        attempts_per_part: 1.0,
        audit_s: 0.0,
        figures,
    }
}

#[test]
fn void_pairs_are_left_out_when_builds_are_compared() {
    let pair = |a, b| (summary(a, false), summary(b, false));
    let void = (summary(1.0, false), summary(900.0, true));
    let t = pairs(&[pair(10.0, 11.0), pair(20.0, 20.0), pair(40.0, 60.0), void]);
    assert!(t.starts_with("4 pairs, 1 void"));
    assert!(
        t.contains("| latency p50 ms | 20.000 | 20.000 | 1.000 | 1.100 | 1.500 |"),
        "{t}"
    );
    assert!(
        t.contains("| broken rules | 0.000 | 0.000 | - | - | - |"),
        "{t}"
    );
    assert!(two(&summary(10.0, false), &summary(5.0, false))
        .contains("| latency p50 ms | 10.000 | 5.000 | 0.500 |"));
}
