//! Which faults come when, drawn from a seed.

use crate::random::Random;
use crate::support::request_cluster::Cluster;

/// Members of the cluster, of which one may be lost at a time.
pub const MEMBERS: usize = 4;
/// How long applications call, in ms.
pub const LENGTH_MS: u64 = 20_000;
/// Pause between the end of a fault and the next one, in ms: after a loss the cluster makes up for it.
const MIN_PAUSE_MS: u64 = 1_500;
const PAUSE_SPREAD_MS: u64 = 2_500;
/// How long a cut or a freeze lasts, in ms.
const MIN_FAULT_MS: u64 = 300;
const FAULT_SPREAD_MS: u64 = 3_500;

/// The kinds of faults of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Faults {
    None,
    /// Members are cut off or frozen.
    Partitions,
    /// Members are killed, all of them at once too, or lose their disk.
    Losses,
}

#[derive(Clone, Copy, Debug)]
enum Active {
    Cut,
    Frozen(usize),
}

/// The faults of one run.
pub struct Schedule {
    pub seed: u64,
    pub random: Random,
    faults: Faults,
    next_at_ms: u64,
    active: Option<Active>,
}

impl Schedule {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut random = Random::new(seed + 1);
        let next_at_ms = 1_000 + random.below(2_000);
        Self {
            seed,
            random,
            faults,
            next_at_ms,
            active: None,
        }
    }

    /// Begins or ends a fault if one is due.
    pub fn run(&mut self, cluster: &mut Cluster, at_ms: u64) {
        if self.faults == Faults::None || at_ms < self.next_at_ms {
            return;
        }
        if self.active.is_some() {
            self.end(cluster);
            self.next_at_ms = at_ms + MIN_PAUSE_MS + self.random.below(PAUSE_SPREAD_MS);
            return;
        }
        match self.faults {
            Faults::None => {}
            Faults::Partitions => self.begin_partition(cluster, at_ms),
            Faults::Losses => self.lose(cluster, at_ms),
        }
    }

    fn begin_partition(&mut self, cluster: &mut Cluster, at_ms: u64) {
        let target = self.target(cluster);
        self.active = Some(if self.random.one_in(2) {
            cluster.freeze(target);
            Active::Frozen(target)
        } else {
            cluster.isolate(target);
            Active::Cut
        });
        self.next_at_ms = at_ms + MIN_FAULT_MS + self.random.below(FAULT_SPREAD_MS);
    }

    fn lose(&mut self, cluster: &mut Cluster, at_ms: u64) {
        let target = self.target(cluster);
        match self.random.below(4) {
            0 => (0..MEMBERS).for_each(|n| cluster.restart(n)),
            1 => cluster.restart(target),
            _ => cluster.wipe(target),
        }
        // A wiped member has to be replaced as a replica before the next loss.
        let pause = 2 * MIN_PAUSE_MS + self.random.below(PAUSE_SPREAD_MS);
        self.next_at_ms = at_ms + pause;
    }

    /// Mostly the primary: most depends on it.
    fn target(&mut self, cluster: &Cluster) -> usize {
        let primary = (0..MEMBERS).find(|n| cluster.is_primary(*n));
        match primary {
            Some(primary) if !self.random.one_in(3) => primary,
            _ => self.random.below(MEMBERS as u64) as usize,
        }
    }

    /// Ends the fault that lasts.
    pub fn end(&mut self, cluster: &mut Cluster) {
        match self.active.take() {
            Some(Active::Cut) => cluster.heal(),
            Some(Active::Frozen(n)) => cluster.thaw(n),
            None => {}
        }
    }
}
