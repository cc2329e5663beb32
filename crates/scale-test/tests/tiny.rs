//! The scale run at a tiny size, and its figures.

use scale_test::{percentile, play, policy, process, threads, Plan};
use std::time::Duration;

fn plan(dir: &std::path::Path) -> Plan {
    Plan {
        members: 3,
        agents: 1,
        coordinators: 4,
        hosts: 6,
        routes: 5,
        zones: 3,
        beat: Duration::from_millis(300),
        change: Duration::from_millis(250),
        churn: Duration::from_millis(500),
        ramp: Duration::from_millis(500),
        phase: Duration::from_secs(4),
        freeze: Duration::from_secs(2),
        thrice: false,
        dir: dir.to_owned(),
        program: env!("CARGO_BIN_EXE_scale-test").into(),
        net: 64 + (std::process::id() % 128) as u8,
    }
}

#[tokio::test]
async fn changes_reach_all_through_every_loss() {
    let dir = tempfile::tempdir().unwrap();
    let mut told = Vec::new();
    let rows = play(plan(dir.path()), |row| told.push(row.clone()))
        .await
        .unwrap();
    assert_eq!(rows, told);
    let names: Vec<&str> = rows.iter().map(|r| r.phase.as_str()).collect();
    assert_eq!(
        names,
        [
            "start",
            "calm",
            "zone lost",
            "zone back",
            "member replaced",
            "core frozen"
        ]
    );
    for row in &rows[1..] {
        let get = |name: &str| row.get(name).unwrap();
        assert!(get("changes_acked") >= 1.0, "{row:?}");
        assert_eq!(get("over_6_s"), 0.0, "{row:?}");
        assert!(get("beats_per_s") > 0.0, "{row:?}");
        assert!(get("coordinator_in_bps") > 0.0, "{row:?}");
        assert!(
            get("member_peak_mb") > 0.0 && get("agent_peak_mb") > 0.0,
            "{row:?}"
        );
        assert_eq!(row.line().split(',').count(), row.head().split(',').count());
    }
    assert_eq!(rows[1].get("members"), Some(3.0));
    assert_eq!(rows[2].get("members"), Some(2.0));
    assert_eq!(rows[5].get("members"), Some(3.0));
}

#[test]
fn the_figures_are_those_of_the_process() {
    let own = process(std::process::id()).unwrap();
    assert!(own.rss_kb > 0 && own.peak_kb >= own.rss_kb);
    assert!(!threads().is_empty());
    assert!(process(u32::MAX).is_none());
}

#[test]
fn a_percentile_is_the_value_that_covers_its_share() {
    let values: Vec<f64> = (1..=100).rev().map(f64::from).collect();
    assert_eq!(
        [0.5, 0.99, 1.0].map(|share| percentile(&values, share)),
        [50.0, 99.0, 100.0]
    );
    assert_eq!(percentile(&[], 0.5), 0.0);
    assert_eq!(percentile(&[7.0], 0.99), 7.0);
}

#[test]
fn the_policy_s_costs_are_measured_per_request() {
    let row = policy(20, 50, 2000, 4);
    assert_eq!(
        (row.get("hosts"), row.get("requests")),
        (Some(20.0), Some(2000.0))
    );
    assert!(row.get("request_us").unwrap() >= 0.0 && row.get("memory_mb").unwrap() >= 0.0);
}
