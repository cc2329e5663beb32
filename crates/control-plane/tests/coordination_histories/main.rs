//! Applications that use locks, counters, cells and watches while members are isolated, frozen, killed and wiped. Their
//! answers are recorded in a history and checked: a lock has at most one holder, fences, numbers and revisions rise, no
//! read is stale, no value appears that nobody put or whose put was rejected, no event is skipped, and nothing
//! acknowledged is lost.
//!
//! A failing seed prints the violations; `COORDINATION_SEEDS=17..18` runs only seed 17.

#[path = "../support/mod.rs"]
mod support;

mod applications;
mod broken_histories;
mod checker;
mod random;
mod schedule;

use applications::Applications;
use schedule::{FaultKind, FaultSchedule};

/// Seeds that are run by default.
const DEFAULT_SEEDS: std::ops::Range<u64> = 0..12;

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("COORDINATION_SEEDS") else {
        return DEFAULT_SEEDS;
    };
    let (from, to) = text.split_once("..").expect("FROM..TO");
    from.parse().unwrap()..to.parse().unwrap()
}

fn violations(fault_kind: FaultKind) -> Vec<(u64, String)> {
    let mut all = Vec::new();
    for seed in seeds() {
        let schedule = FaultSchedule::new(seed, fault_kind);
        for violation in Applications::run(schedule) {
            all.push((seed, violation));
        }
    }
    all
}

#[test]
fn applications_when_nothing_fails_see_no_violation() {
    assert_eq!(violations(FaultKind::None), Vec::new());
}

#[test]
fn applications_when_members_are_isolated_or_frozen_see_no_violation() {
    assert_eq!(violations(FaultKind::Partitions), Vec::new());
}

#[test]
fn applications_when_members_are_killed_or_wiped_see_no_violation() {
    assert_eq!(violations(FaultKind::Losses), Vec::new());
}
