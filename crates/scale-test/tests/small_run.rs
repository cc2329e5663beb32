//! The scale run at a small size, and its figures.

use scale_test::{
    measure_balancing, percentile, process, run, threads, BalancingCostOptions, RunPlan,
};
use std::time::Duration;

fn plan(dir: &std::path::Path) -> RunPlan {
    RunPlan {
        members: 3,
        agents: 1,
        coordinators: 4,
        hosts: 6,
        routes: 5,
        zones: 3,
        heartbeat_interval: Duration::from_millis(300),
        change_interval: Duration::from_millis(250),
        churn_interval: Duration::from_millis(500),
        ramp: Duration::from_millis(500),
        phase: Duration::from_secs(4),
        freeze: Duration::from_secs(2),
        pull_from_all: false,
        dir: dir.to_owned(),
        program: env!("CARGO_BIN_EXE_scale-test").into(),
        net: 64 + (std::process::id() % 128) as u8,
    }
}

#[tokio::test]
async fn changes_when_processes_are_lost_then_reach_all_coordinators() {
    let dir = tempfile::tempdir().unwrap();
    let mut reported = Vec::new();
    let reports = run(plan(dir.path()), |report| reported.push(report.clone()))
        .await
        .unwrap();
    assert_eq!(reports, reported);
    let names: Vec<&str> = reports.iter().map(|report| report.phase.as_str()).collect();
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
    for report in &reports[1..] {
        let get = |name: &str| report.get(name).unwrap();
        assert!(get("changes_acked") >= 1.0, "{report:?}");
        assert_eq!(get("over_6_s"), 0.0, "{report:?}");
        assert!(get("beats_per_s") > 0.0, "{report:?}");
        assert!(get("coordinator_in_bps") > 0.0, "{report:?}");
        assert!(
            get("member_peak_mb") > 0.0 && get("agent_peak_mb") > 0.0,
            "{report:?}"
        );
        assert_eq!(
            report.csv_line().split(',').count(),
            report.csv_header().split(',').count()
        );
    }
    assert_eq!(reports[1].get("members"), Some(3.0));
    assert_eq!(reports[2].get("members"), Some(2.0));
    assert_eq!(reports[5].get("members"), Some(3.0));
}

#[test]
fn resource_usage_when_process_exists_then_known() {
    let own = process(std::process::id()).unwrap();
    assert!(own.rss_kb > 0 && own.peak_kb >= own.rss_kb);
    assert!(!threads().is_empty());
    assert!(process(u32::MAX).is_none());
}

#[test]
fn percentile_when_values_exist_then_covers_its_share() {
    let values: Vec<f64> = (1..=100).rev().map(f64::from).collect();
    assert_eq!(
        [0.5, 0.99, 1.0].map(|share| percentile(&values, share)),
        [50.0, 99.0, 100.0]
    );
    assert_eq!(percentile(&[], 0.5), 0.0);
    assert_eq!(percentile(&[7.0], 0.99), 7.0);
}

#[test]
fn balancing_cost_when_measured_then_given_for_each_request() {
    let report = measure_balancing(&BalancingCostOptions {
        hosts: 20,
        prefixes: 50,
        requests: 2000,
        coordinators: 4,
    });
    assert_eq!(
        (report.get("hosts"), report.get("requests")),
        (Some(20.0), Some(2000.0))
    );
    assert!(report.get("request_us").unwrap() >= 0.0 && report.get("memory_mb").unwrap() >= 0.0);
}
