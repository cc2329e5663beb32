//! Hundreds of changes while a member is away: it catches up once it is back, and leads with the newest state.

use crate::callers::{Operator, Order};
use crate::stage::{until, Stage};

const ALL: [u8; 3] = [1, 2, 3];
/// Changes that it misses.
const MISSED: usize = 500;
/// Routes of a large configuration.
const ROUTES: usize = 60;
/// Takeovers after which the member leads at the latest.
const TAKEOVERS: usize = 6;

/// A configuration of some KiB, of which little is the same in the next version.
fn large(base: u64, version: u64) -> Order {
    let route = |n: usize| {
        format!(
            r#"{{"name":"r{n}","hostname":"h.example","path_prefix":"/v{version}/{n}/","route_class":"pure","deadline_ms":1000,"service":"s"}}"#
        )
    };
    let routes: Vec<String> = (0..ROUTES).map(route).collect();
    let routes = routes.join(",");
    let body =
        format!(r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"s"}}]}}"#);
    Order {
        base,
        version,
        body,
    }
}

fn order(operator: &mut Operator) {
    let base = operator.newest();
    operator.send(large(base, base + 1));
}

#[test]
fn a_member_that_missed_five_hundred_changes_catches_up_and_leads_with_the_newest() {
    let mut stage = Stage::new(3, 0);
    let mut operator = stage.operator(&ALL);
    (0..5).for_each(|_| order(&mut operator));
    let primary = stage.settled(&ALL);
    let away = stage.backups(&ALL, primary)[0];
    stage.kill(away);
    (0..MISSED).for_each(|_| order(&mut operator));
    assert!(operator.count() > MISSED);

    stage.start(away);
    // Killed once more while it catches up.
    until("it answers", || {
        stage.status(away).filter(|s| s["opening"] == false)
    });
    stage.kill(away);
    order(&mut operator);
    stage.start(away);
    let newest = operator.newest();
    let caught_up = |s: &serde_json::Value| s["ledger"]["version"] == newest;
    until("it has caught up", || stage.status(away).filter(caught_up));
    stage.settled(&ALL);

    // The others' primaries go until it leads.
    for _ in 0..TAKEOVERS {
        let primary = stage.settled(&ALL);
        if primary == away {
            break;
        }
        order(&mut operator);
        stage.kill(primary);
        until("another acts", || {
            stage.acting(&ALL).filter(|n| *n != primary)
        });
        operator.read_back(stage.control(away));
        order(&mut operator);
        stage.start(primary);
    }
    assert_eq!(stage.settled(&ALL), away, "it never leads");
    operator.read_back(stage.control(away));
    order(&mut operator);
    ALL.iter()
        .for_each(|n| operator.read_back(stage.control(*n)));
}
