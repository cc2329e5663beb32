//! Changes of the control plane, what strikes in the middle of them, and the sites where that happens.

use configuration::FaultBudget;
use std::collections::BTreeSet;

/// What goes on when the second loss strikes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// A machine comes beside the others.
    Join,
    /// A machine comes, and once it has caught up another one goes for good, as planned.
    Replace,
    /// A machine goes for good, as planned.
    Remove,
    /// Two machines go for good at once, as planned.
    RemoveTwo,
    /// A machine's process ends as planned and starts again.
    Restart,
    /// A machine's process dies and starts again.
    Die,
    /// A machine loses its disk and is back at its address.
    Wipe,
    /// A machine is lost for good; an empty one comes at another address.
    Lose,
    /// A machine is cut off from the others for some seconds.
    CutOff,
    /// A machine's disk is slow for some seconds.
    SlowDisk,
    /// All members but one replica are lost for good; the operator goes on from that one, and empty machines come.
    Recover,
}

impl Change {
    /// Whether a site bears a strike while it goes on.
    pub fn allows(self, strike: Strike, site: &Site) -> bool {
        // After a recovery no disk may be lost until the others have joined.
        let is_borne_by_any = strike.losses() == 0;
        let is_in_budget = self.losses() + strike.losses() <= site.allowed_losses();
        is_borne_by_any || (self != Change::Recover && is_in_budget)
    }

    /// Machines, zones or regions that count as lost while it goes on.
    fn losses(self) -> usize {
        match self {
            Change::Join | Change::Replace | Change::Remove | Change::RemoveTwo => 0,
            Change::Recover => 0,
            Change::Restart | Change::Die | Change::Wipe | Change::Lose => 1,
            Change::CutOff | Change::SlowDisk => 1,
        }
    }
}

/// What strikes in the middle of it: all machines that are lost together, or all there are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Strike {
    /// They die and start again.
    Die,
    /// They die with what they are writing on disk, and start again.
    DieWriting,
    /// They are lost for good; empty ones come at other addresses.
    Lose,
    /// They lose their disks and are back at their addresses.
    Wipe,
    /// They die with a part of what they are writing on disk, and start again.
    DieTorn,
    /// They are cut off from the others for a second.
    CutOff,
    /// Their disks are slow for a second.
    SlowDisk,
    /// All die and start again, but for these, which are lost for good.
    AllDieSomeLost,
    /// All die and start again.
    AllDie,
    /// All die with what they are writing on disk, and start again.
    AllDieWriting,
    /// All die with a part of what they are writing on disk, and start again.
    AllDieTorn,
}

impl Strike {
    pub const OF_SOME: [Strike; 8] = [
        Strike::Die,
        Strike::DieWriting,
        Strike::Lose,
        Strike::Wipe,
        Strike::AllDieSomeLost,
        Strike::DieTorn,
        Strike::CutOff,
        Strike::SlowDisk,
    ];
    pub const OF_ALL: [Strike; 3] = [Strike::AllDie, Strike::AllDieWriting, Strike::AllDieTorn];

    /// Machines, zones or regions that count as lost from then on. Who starts again with its disk is back before the
    /// bound counts.
    pub fn losses(self) -> usize {
        match self {
            Strike::Lose | Strike::Wipe | Strike::AllDieSomeLost => 1,
            Strike::Die | Strike::DieWriting | Strike::DieTorn => 0,
            Strike::AllDie | Strike::AllDieWriting | Strike::AllDieTorn => 0,
            Strike::CutOff | Strike::SlowDisk => 0,
        }
    }
}

/// What is lost together.
#[derive(Clone, Copy, Debug)]
pub enum Unit {
    Machine,
    Zone,
    Region,
}

/// Members to play with.
pub struct Site {
    pub budget: FaultBudget,
    pub unit: Unit,
    pub zones: &'static [&'static str],
}

impl Site {
    pub fn allowed_losses(&self) -> usize {
        let allowed = match self.unit {
            Unit::Machine => self.budget.machine_losses,
            Unit::Zone => self.budget.zones,
            Unit::Region => self.budget.region_losses,
        };
        allowed as usize
    }
}

/// Whether machines at these places bear the next loss of a unit.
pub fn bears_a_loss(site: &Site, places: &[&str]) -> bool {
    let unit = |place: &str| match site.unit {
        Unit::Machine => None,
        Unit::Zone => Some(place.to_owned()),
        Unit::Region => place.split_once('/').map(|p| p.0.to_owned()),
    };
    let units: BTreeSet<String> = places.iter().filter_map(|p| unit(p)).collect();
    let units = if matches!(site.unit, Unit::Machine) {
        places.len()
    } else {
        units.len()
    };
    units > 2 * site.allowed_losses()
}
