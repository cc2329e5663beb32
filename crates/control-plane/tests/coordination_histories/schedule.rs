//! The faults of a run and their times, drawn from a seed.

use crate::random::Random;
use crate::support::request_cluster::Cluster;

/// Number of members; the budget allows the loss of one at a time.
pub const MEMBER_COUNT: usize = 4;
/// Time for which applications send requests, in ms.
pub const RUN_LENGTH_MS: u64 = 20_000;
/// Shortest pause between the end of a fault and the next one, in ms. The cluster needs it to replace a lost replica.
const MIN_PAUSE_MS: u64 = 1_500;
/// Longest random addition to a pause, in ms.
const PAUSE_SPREAD_MS: u64 = 2_500;
/// Shortest duration of an isolation or a freeze, in ms.
const MIN_FAULT_MS: u64 = 300;
/// Longest random addition to the duration of a fault, in ms.
const FAULT_SPREAD_MS: u64 = 3_500;

/// The kind of faults in a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    None,
    /// Members are isolated or frozen.
    Partitions,
    /// Members are killed, alone or all at once, or lose their disks.
    Losses,
}

#[derive(Clone, Copy, Debug)]
enum ActiveFault {
    Isolated,
    Frozen(usize),
}

/// The faults of one run.
pub struct FaultSchedule {
    pub seed: u64,
    pub random: Random,
    kind: FaultKind,
    next_at_ms: u64,
    active: Option<ActiveFault>,
}

impl FaultSchedule {
    pub fn new(seed: u64, kind: FaultKind) -> Self {
        let mut random = Random::new(seed + 1);
        let next_at_ms = 1_000 + random.below(2_000);
        Self {
            seed,
            random,
            kind,
            next_at_ms,
            active: None,
        }
    }

    /// Starts or ends a fault if one is due.
    pub fn apply_due(&mut self, cluster: &mut Cluster, at_ms: u64) {
        if self.kind == FaultKind::None || at_ms < self.next_at_ms {
            return;
        }
        if self.active.is_some() {
            self.end_active_fault(cluster);
            self.next_at_ms = at_ms + MIN_PAUSE_MS + self.random.below(PAUSE_SPREAD_MS);
            return;
        }
        match self.kind {
            FaultKind::None => {}
            FaultKind::Partitions => self.begin_partition(cluster, at_ms),
            FaultKind::Losses => self.inject_loss(cluster, at_ms),
        }
    }

    fn begin_partition(&mut self, cluster: &mut Cluster, at_ms: u64) {
        let target = self.choose_target(cluster);
        self.active = Some(if self.random.one_in(2) {
            cluster.freeze(target);
            ActiveFault::Frozen(target)
        } else {
            cluster.isolate(target);
            ActiveFault::Isolated
        });
        self.next_at_ms = at_ms + MIN_FAULT_MS + self.random.below(FAULT_SPREAD_MS);
    }

    fn inject_loss(&mut self, cluster: &mut Cluster, at_ms: u64) {
        let target = self.choose_target(cluster);
        match self.random.below(4) {
            0 => (0..MEMBER_COUNT).for_each(|n| cluster.restart(n)),
            1 => cluster.restart(target),
            _ => cluster.wipe(target),
        }
        // The replica of a wiped member has to be replaced before the next loss.
        let pause = 2 * MIN_PAUSE_MS + self.random.below(PAUSE_SPREAD_MS);
        self.next_at_ms = at_ms + pause;
    }

    /// Chooses the member to hit: the primary in most cases, as most requests depend on it.
    fn choose_target(&mut self, cluster: &Cluster) -> usize {
        let primary = (0..MEMBER_COUNT).find(|n| cluster.is_primary(*n));
        match primary {
            Some(primary) if !self.random.one_in(3) => primary,
            _ => self.random.below(MEMBER_COUNT as u64) as usize,
        }
    }

    /// Ends the fault that is active, if any.
    pub fn end_active_fault(&mut self, cluster: &mut Cluster) {
        match self.active.take() {
            Some(ActiveFault::Isolated) => cluster.heal(),
            Some(ActiveFault::Frozen(n)) => cluster.thaw(n),
            None => {}
        }
    }
}
