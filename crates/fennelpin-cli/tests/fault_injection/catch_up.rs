//! Hundreds of changes while a member is down: it catches up once it is back, and becomes primary with the newest state.

use crate::harness::callers::{ChangeRequest, TestOperator};
use crate::harness::cluster::TestCluster;
use crate::harness::wait_until;

const ALL: [u8; 3] = [1, 2, 3];
/// Changes that the member misses.
const MISSED: usize = 500;
/// Routes of a large configuration.
const ROUTES: usize = 60;
/// Takeovers after which the member is primary at the latest.
const TAKEOVERS: usize = 6;

/// A configuration of some KiB that differs much from version to version.
fn large(base: u64, version: u64) -> ChangeRequest {
    let route = |n: usize| {
        format!(
            r#"{{"name":"r{n}","hostname":"h.example","path_prefix":"/v{version}/{n}/","route_class":"pure","deadline_ms":1000,"service":"s"}}"#
        )
    };
    let routes: Vec<String> = (0..ROUTES).map(route).collect();
    let routes = routes.join(",");
    let body =
        format!(r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"s"}}]}}"#);
    ChangeRequest {
        base,
        version,
        body,
    }
}

fn order(operator: &mut TestOperator) {
    let base = operator.newest();
    operator.send(large(base, base + 1));
}

#[test]
fn member_when_it_missed_many_changes_then_catches_up_and_leads() {
    let mut cluster = TestCluster::new(3, 0);
    let mut operator = cluster.operator(&ALL);
    (0..5).for_each(|_| order(&mut operator));
    let primary = cluster.wait_until_stable(&ALL);
    let away = cluster.backups(&ALL, primary)[0];
    cluster.kill(away);
    (0..MISSED).for_each(|_| order(&mut operator));
    assert!(operator.count() > MISSED);

    cluster.start(away);
    // It is killed once more while it catches up.
    wait_until("it answers", || {
        cluster.status(away).filter(|s| s["opening"] == false)
    });
    cluster.kill(away);
    order(&mut operator);
    cluster.start(away);
    let newest = operator.newest();
    let caught_up = |s: &serde_json::Value| s["ledger"]["version"] == newest;
    wait_until("it has caught up", || {
        cluster.status(away).filter(caught_up)
    });
    cluster.wait_until_stable(&ALL);

    // Other primaries are killed until it becomes primary.
    for _ in 0..TAKEOVERS {
        let primary = cluster.wait_until_stable(&ALL);
        if primary == away {
            break;
        }
        order(&mut operator);
        cluster.kill(primary);
        wait_until("another acts", || {
            cluster.primary(&ALL).filter(|n| *n != primary)
        });
        operator.assert_reads_back(cluster.control(away));
        order(&mut operator);
        cluster.start(primary);
    }
    assert_eq!(cluster.wait_until_stable(&ALL), away, "it never leads");
    operator.assert_reads_back(cluster.control(away));
    order(&mut operator);
    ALL.iter()
        .for_each(|n| operator.assert_reads_back(cluster.control(*n)));
}
