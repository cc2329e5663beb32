//! The changes during which a second fault is injected, the faults, and the layouts of members.

use configuration::FaultBudget;
use std::collections::BTreeSet;

/// What is in progress when the second fault is injected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// A machine is added.
    Join,
    /// A machine is added and, once it has caught up, another one departs for good.
    Replace,
    /// A machine departs for good.
    Remove,
    /// Two machines depart for good at the same time.
    RemoveTwo,
    /// A machine's process is terminated and restarted.
    Restart,
    /// A machine's process is killed and restarted.
    Kill,
    /// A machine loses its disk and restarts at the same address.
    Wipe,
    /// A machine is lost for good; an empty one starts at another address.
    Lose,
    /// A machine is isolated from the others for some seconds.
    Isolate,
    /// A machine's disk is slow for some seconds.
    SlowDisk,
    /// All members but one replica are lost for good; the operator recovers from that one, and empty machines start.
    Recover,
}

impl Change {
    /// Whether the fault budget of a layout allows a fault during this change.
    pub fn allows(self, fault: Fault, layout: &Layout) -> bool {
        // After a recovery no disk may be lost until other members have joined.
        let is_no_loss = fault.losses() == 0;
        let is_within_budget = self.losses() + fault.losses() <= layout.allowed_losses();
        is_no_loss || (self != Change::Recover && is_within_budget)
    }

    /// Number of machines, zones or regions that count as lost while the change is in progress.
    fn losses(self) -> usize {
        match self {
            Change::Join | Change::Replace | Change::Remove | Change::RemoveTwo => 0,
            Change::Recover => 0,
            Change::Restart | Change::Kill | Change::Wipe | Change::Lose => 1,
            Change::Isolate | Change::SlowDisk => 1,
        }
    }
}

/// A fault that is injected during a change: at the machines of one failure domain, or at all machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The machines are killed and restarted.
    Kill,
    /// They are killed after their unfinished writes have reached the disk, and restarted.
    KillAfterWrites,
    /// They are lost for good; empty ones start at other addresses.
    Lose,
    /// They lose their disks and restart at the same addresses.
    Wipe,
    /// They are killed with half of their last write on disk, and restarted.
    KillDuringWrite,
    /// They are isolated from the others for a second.
    Isolate,
    /// Their disks are slow for a second.
    SlowDisk,
    /// All machines are killed. Those of the failure domain are lost for good, the others are restarted.
    KillAllLoseSome,
    /// All machines are killed and restarted.
    KillAll,
    /// All machines are killed after their unfinished writes have reached the disk, and restarted.
    KillAllAfterWrites,
    /// All machines are killed with half of their last write on disk, and restarted.
    KillAllDuringWrite,
}

impl Fault {
    pub const SOME_MACHINES: [Fault; 8] = [
        Fault::Kill,
        Fault::KillAfterWrites,
        Fault::Lose,
        Fault::Wipe,
        Fault::KillAllLoseSome,
        Fault::KillDuringWrite,
        Fault::Isolate,
        Fault::SlowDisk,
    ];
    pub const ALL_MACHINES: [Fault; 3] = [
        Fault::KillAll,
        Fault::KillAllAfterWrites,
        Fault::KillAllDuringWrite,
    ];

    /// Number of machines, zones or regions that count as lost from then on. Machines that restart with their disk are
    /// back before the time bound starts.
    pub fn losses(self) -> usize {
        match self {
            Fault::Lose | Fault::Wipe | Fault::KillAllLoseSome => 1,
            Fault::Kill | Fault::KillAfterWrites | Fault::KillDuringWrite => 0,
            Fault::KillAll | Fault::KillAllAfterWrites | Fault::KillAllDuringWrite => 0,
            Fault::Isolate | Fault::SlowDisk => 0,
        }
    }
}

/// Kind of failure domain: the set of machines that are lost together.
#[derive(Clone, Copy, Debug)]
pub enum FailureDomain {
    Machine,
    Zone,
    Region,
}

/// Where the members of a scenario are, and the losses that they have to tolerate.
pub struct Layout {
    pub budget: FaultBudget,
    pub failure_domain: FailureDomain,
    pub zones: &'static [&'static str],
}

impl Layout {
    pub fn allowed_losses(&self) -> usize {
        let allowed = match self.failure_domain {
            FailureDomain::Machine => self.budget.machine_losses,
            FailureDomain::Zone => self.budget.zones,
            FailureDomain::Region => self.budget.region_losses,
        };
        allowed as usize
    }
}

/// Whether machines at these places tolerate another loss of a failure domain.
pub fn tolerates_next_loss(layout: &Layout, places: &[&str]) -> bool {
    let domain = |place: &str| match layout.failure_domain {
        FailureDomain::Machine => None,
        FailureDomain::Zone => Some(place.to_owned()),
        FailureDomain::Region => place.split_once('/').map(|p| p.0.to_owned()),
    };
    let domains: BTreeSet<String> = places.iter().filter_map(|p| domain(p)).collect();
    let domain_count = if matches!(layout.failure_domain, FailureDomain::Machine) {
        places.len()
    } else {
        domains.len()
    };
    domain_count > 2 * layout.allowed_losses()
}
