//! The second loss at **every** step of a repair, a replacement or a departure: there is a primary again that accepts requests
//! in time, nothing acknowledged is lost, and after the time to catch up the next loss is borne as well
//! (`docs/design/hardening/3-second-loss.md`).

mod events;
mod play;
#[path = "../support/mod.rs"]
mod support;
mod sweep;

use events::{Change, Site, Unit};
use rstest::rstest;
use support::budget;
use sweep::sweep;

const THREE: Site = Site {
    budget: budget(1, 0, 0),
    unit: Unit::Machine,
    zones: &["r/a", "r/b", "r/c"],
};
const FOUR: Site = Site {
    budget: budget(1, 0, 0),
    unit: Unit::Machine,
    zones: &["r/a", "r/b", "r/c", "r/a"],
};
const FIVE: Site = Site {
    budget: budget(2, 0, 0),
    unit: Unit::Machine,
    zones: &["r/a", "r/a", "r/b", "r/b", "r/c"],
};
const EIGHT: Site = Site {
    budget: budget(3, 0, 0),
    unit: Unit::Machine,
    zones: &["r/a", "r/b", "r/c", "r/a", "r/b", "r/c", "r/a", "r/b"],
};
const FIVE_WITH_ROOM: Site = Site {
    budget: budget(1, 0, 0),
    ..FIVE
};
const ZONES: Site = Site {
    budget: budget(1, 1, 0),
    unit: Unit::Zone,
    zones: &["r/a", "r/b", "r/c", "r/a"],
};
const FIVE_IN_ZONES: Site = Site {
    budget: budget(1, 1, 0),
    unit: Unit::Zone,
    zones: &["r/a", "r/b", "r/c", "r/a", "r/b"],
};
const REGIONS: Site = Site {
    budget: budget(1, 0, 1),
    unit: Unit::Region,
    zones: &["r/a", "s/b", "t/c", "r/d", "s/e"],
};

/// Every so many moments, so that a sweep takes some seconds; set to 1 to play all.
fn stride(usual: usize) -> usize {
    std::env::var("SWEEP_STRIDE")
        .ok()
        .and_then(|stride| stride.parse().ok())
        .unwrap_or(usual)
}

#[rstest]
fn of_three(
    #[values(
        Change::Join,
        Change::Replace,
        Change::Restart,
        Change::Die,
        Change::Wipe,
        Change::Lose,
        Change::CutOff,
        Change::SlowDisk
    )]
    change: Change,
) {
    sweep(&THREE, change, stride(20));
}

#[rstest]
fn of_four(#[values(Change::Replace, Change::Remove, Change::Wipe, Change::Lose)] change: Change) {
    sweep(&FOUR, change, stride(40));
}

#[rstest]
fn of_five(
    #[values(
        Change::Join,
        Change::Replace,
        Change::Restart,
        Change::Wipe,
        Change::Lose,
        Change::CutOff,
        Change::SlowDisk
    )]
    change: Change,
) {
    sweep(&FIVE, change, stride(90));
}

#[rstest]
fn of_five_with_room(#[values(Change::Remove, Change::RemoveTwo)] change: Change) {
    sweep(&FIVE_WITH_ROOM, change, stride(90));
}

#[rstest]
fn of_eight(#[values(Change::Remove, Change::Replace, Change::Lose)] change: Change) {
    sweep(&EIGHT, change, stride(300));
}

#[rstest]
fn by_zones(#[values(Change::Replace, Change::Remove)] change: Change) {
    sweep(&ZONES, change, stride(40));
    sweep(&FIVE_IN_ZONES, change, stride(40));
}

#[rstest]
fn by_regions(#[values(Change::Replace, Change::Join)] change: Change) {
    sweep(&REGIONS, change, stride(60));
}

/// After the operator has gone on from one replica's disk: no disk may be lost until others have joined.
#[rstest]
fn of_recovered(#[values(&THREE, &FIVE)] site: &Site) {
    sweep(site, Change::Recover, stride(4));
}
