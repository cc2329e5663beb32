//! A second fault at **every** step of a repair, a replacement or a departure: a primary accepts requests again within
//! the time bound, nothing acknowledged is lost, and after the time to catch up the next loss is tolerated as well
//! (`docs/design/hardening/3-second-loss.md`).

mod faults;
mod scenario;
#[path = "../support/mod.rs"]
mod support;
mod sweep;

use faults::{Change, FailureDomain, Layout};
use rstest::rstest;
use support::budget;
use sweep::sweep;

const THREE: Layout = Layout {
    budget: budget(1, 0, 0),
    failure_domain: FailureDomain::Machine,
    zones: &["r/a", "r/b", "r/c"],
};
const FOUR: Layout = Layout {
    budget: budget(1, 0, 0),
    failure_domain: FailureDomain::Machine,
    zones: &["r/a", "r/b", "r/c", "r/a"],
};
const FIVE: Layout = Layout {
    budget: budget(2, 0, 0),
    failure_domain: FailureDomain::Machine,
    zones: &["r/a", "r/a", "r/b", "r/b", "r/c"],
};
const EIGHT: Layout = Layout {
    budget: budget(3, 0, 0),
    failure_domain: FailureDomain::Machine,
    zones: &["r/a", "r/b", "r/c", "r/a", "r/b", "r/c", "r/a", "r/b"],
};
const FIVE_WITH_SMALL_BUDGET: Layout = Layout {
    budget: budget(1, 0, 0),
    ..FIVE
};
const ZONES: Layout = Layout {
    budget: budget(1, 1, 0),
    failure_domain: FailureDomain::Zone,
    zones: &["r/a", "r/b", "r/c", "r/a"],
};
const FIVE_IN_ZONES: Layout = Layout {
    budget: budget(1, 1, 0),
    failure_domain: FailureDomain::Zone,
    zones: &["r/a", "r/b", "r/c", "r/a", "r/b"],
};
const REGIONS: Layout = Layout {
    budget: budget(1, 0, 1),
    failure_domain: FailureDomain::Region,
    zones: &["r/a", "s/b", "t/c", "r/d", "s/e"],
};

/// Distance between the steps at which a fault is injected, so that a sweep takes some seconds. Set `SWEEP_STRIDE` to 1
/// to try every step.
fn stride(default: usize) -> usize {
    std::env::var("SWEEP_STRIDE")
        .ok()
        .and_then(|stride| stride.parse().ok())
        .unwrap_or(default)
}

#[rstest]
fn three_machines(
    #[values(
        Change::Join,
        Change::Replace,
        Change::Restart,
        Change::Kill,
        Change::Wipe,
        Change::Lose,
        Change::Isolate,
        Change::SlowDisk
    )]
    change: Change,
) {
    sweep(&THREE, change, stride(20));
}

#[rstest]
fn four_machines(
    #[values(Change::Replace, Change::Remove, Change::Wipe, Change::Lose)] change: Change,
) {
    sweep(&FOUR, change, stride(40));
}

#[rstest]
fn five_machines(
    #[values(
        Change::Join,
        Change::Replace,
        Change::Restart,
        Change::Wipe,
        Change::Lose,
        Change::Isolate,
        Change::SlowDisk
    )]
    change: Change,
) {
    sweep(&FIVE, change, stride(90));
}

#[rstest]
fn five_machines_with_small_budget(#[values(Change::Remove, Change::RemoveTwo)] change: Change) {
    sweep(&FIVE_WITH_SMALL_BUDGET, change, stride(90));
}

#[rstest]
fn eight_machines(#[values(Change::Remove, Change::Replace, Change::Lose)] change: Change) {
    sweep(&EIGHT, change, stride(300));
}

#[rstest]
fn zones(#[values(Change::Replace, Change::Remove)] change: Change) {
    sweep(&ZONES, change, stride(40));
    sweep(&FIVE_IN_ZONES, change, stride(40));
}

#[rstest]
fn regions(#[values(Change::Replace, Change::Join)] change: Change) {
    sweep(&REGIONS, change, stride(60));
}

/// After a recovery from one replica's disk. No disk may be lost until other members have joined.
#[rstest]
fn recovered_cluster(#[values(&THREE, &FIVE)] layout: &Layout) {
    sweep(layout, Change::Recover, stride(4));
}
