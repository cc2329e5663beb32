use fake_hosts::model::Micros;
use load_test::clients::AttemptOutcome;
use load_test::plan::Mixer;
use load_test::plan::Plan;
use load_test::record::AttemptRecord;
use load_test::record::QueryRecord;
use load_test::scenario::Scenario;
use load_test::stats::{figures, worth, Range};
use std::path::Path;

fn scenario() -> Scenario {
    let text =
        "name = 'x'\nlength_s = 20\n[traffic]\n[[traffic.shape]]\nkind = 'steady'\nrate = 100\n";
    Scenario::parse(text, Path::new("x.toml")).unwrap()
}

fn record(query: u32, at: Micros, took: Micros, end: AttemptOutcome) -> QueryRecord {
    let tried = AttemptRecord {
        query,
        attempt: 0,
        coordinator: 0,
        sent: at + 100,
        ended: at + took,
        wait_us: 1,
        end,
        retry_after_us: None,
        shards: vec![],
        values: vec![],
        extra: false,
    };
    QueryRecord {
        query,
        due: at,
        started: at + 50,
        first_sent: at + 100,
        ended: at + took,
        tries: vec![tried],
    }
}

#[test]
fn figures_equal_those_worked_out_by_hand() {
    let s = scenario();
    let mut mixer = Mixer::new(&s);
    // 1,000 queries, one each 10 ms: 990 answered after 10 ms, 10 after 1 s, the last 100 refused beside them.
    let plan = Plan(
        (0..1100)
            .map(|n| mixer.query(n * 10_000, Some(0), Some(0), None))
            .collect(),
    );
    let took = |n: u32| {
        if n.is_multiple_of(100) {
            1_000_000
        } else {
            10_000
        }
    };
    let all: Vec<QueryRecord> = (0..1100u32)
        .map(|n| {
            let end = if n < 1000 {
                AttemptOutcome::Served(true)
            } else {
                AttemptOutcome::Refused
            };
            record(n, 500 + u64::from(n) * 10_000, took(n), end)
        })
        .collect();
    let (f, _) = figures(&s, &plan, &all, 500);
    assert_eq!((f.outcomes["served"], f.outcomes["refused"]), (1000, 100));
    assert_eq!(f.latency.count, 1000);
    for (got, want) in [
        (f.latency.p50, 10.0),
        (f.latency.p90, 10.0),
        (f.latency.p999, 1000.0),
        (f.lag.p99, 0.05),
    ] {
        assert!((got / want - 1.0).abs() < 0.01, "{got} for {want}");
    }
    assert!((f.latency.mean - 19.9).abs() < 0.1 && (f.service.mean - 19.8).abs() < 0.1);
    assert_eq!(
        (f.windows[0].due, f.windows[0].served, f.windows[10].refused),
        (100, 100, 100)
    );
    // The last second's worth is lost: all that was asked for in that window.
    assert!(f.windows[10].worth == 0.0 && f.worth[0] < 1.0 && f.worth[1] < f.worth[0]);
}

#[test]
fn value_falls_when_an_answer_is_late_or_partial() {
    let s = scenario();
    let mut mixer = Mixer::new(&s);
    let plan = Plan(vec![mixer.query(0, Some(1), None, None)]);
    let share = |took, end, shards: &[u32]| {
        let mut r = record(0, 1, took, end);
        r.tries[0].shards = shards.to_vec();
        let (asked, earned) = worth(&s, &plan, &r);
        earned / asked
    };
    let shards: Vec<u32> = plan.0[0].parts.iter().skip(1).map(|p| p.shard).collect();
    let weight = 1.0 - plan.0[0].parts[0].weight;
    assert_eq!(share(1000, AttemptOutcome::Served(true), &[]), 1.0);
    assert!((share(3_100_000, AttemptOutcome::Served(true), &[]) - 0.3).abs() < 1e-9);
    assert!((share(1000, AttemptOutcome::Served(false), &shards) - 0.8 * weight).abs() < 1e-9);
    assert_eq!(share(1000, AttemptOutcome::Failed(504), &[]), 0.0);
}

#[test]
fn range_has_median_and_ends_when_values_are_given() {
    let r = Range::of(&[3.0, 1.0, 2.0, 10.0]).unwrap();
    assert_eq!((r.least, r.median, r.most), (1.0, 2.5, 10.0));
    assert_eq!(Range::of(&[]), None);
}
