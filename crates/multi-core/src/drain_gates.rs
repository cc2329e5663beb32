//! Drain gates of hosts, and the list versions that cores have acknowledged.
//!
//! A drain closes the host's gate for all cores in one step. A core that is busy for seconds and has not read
//! the update still finds the gate closed at its next send.
//!
//! Times are microseconds since an origin that the publisher chooses, the same for all cores.

use crate::sync::{Arc, AtomicU64, Ordering, RwLock};
use std::collections::{HashMap, HashSet};
use std::sync::PoisonError;

/// The closing time of a gate that stays open.
const NEVER_CLOSES: u64 = u64::MAX;

type GatesByHost = HashMap<String, Arc<DrainGate>>;

/// The gate of one host: from its closing time on, no core sends anything new to the host.
pub struct DrainGate {
    closes_at_us: AtomicU64,
}

impl DrainGate {
    fn open() -> Self {
        Self {
            closes_at_us: AtomicU64::new(NEVER_CLOSES),
        }
    }

    /// Whether a send may start at this time.
    pub fn allows_send(&self, now_us: u64) -> bool {
        now_us < self.closes_at_us.load(Ordering::Acquire)
    }

    /// Lets sends through again.
    fn reopen(&self) {
        self.closes_at_us.store(NEVER_CLOSES, Ordering::Release);
    }

    /// Closes the gate at this time, or sooner if that was decided before.
    fn close_at(&self, stop_at_us: u64) {
        self.closes_at_us.fetch_min(stop_at_us, Ordering::AcqRel);
    }

    fn closed_before(&self, time_us: u64) -> bool {
        self.closes_at_us.load(Ordering::Acquire) < time_us
    }
}

/// The gates of all hosts, and each core's acknowledged version of the host list.
pub struct DrainGates {
    gates: RwLock<GatesByHost>,
    /// The version published last.
    revision: AtomicU64,
    /// By core.
    acknowledged: Vec<AtomicU64>,
}

impl DrainGates {
    /// Creates the gates for `cores` cores, with no host known.
    pub fn new(cores: usize) -> Arc<Self> {
        let acknowledged = (0..cores).map(|_| AtomicU64::new(0)).collect();
        Arc::new(Self {
            gates: RwLock::new(HashMap::new()),
            revision: AtomicU64::new(0),
            acknowledged,
        })
    }

    /// The gate of a host. The gate of a host that was never published is open.
    pub fn gate(&self, host: &str) -> Arc<DrainGate> {
        let known = self
            .gates
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .get(host)
            .cloned();
        if let Some(gate) = known {
            return gate;
        }
        let mut gates = self.gates.write().unwrap_or_else(PoisonError::into_inner);
        gates
            .entry(host.to_owned())
            .or_insert_with(|| Arc::new(DrainGate::open()))
            .clone()
    }

    /// Publishes an update of the host list, before any core is sent it. Returns its version, which cores
    /// acknowledge.
    ///
    /// `hosts` gives each host and whether it is ready. With `complete`, hosts that are not named are gone. The
    /// gates of hosts that are not ready close at `stop_at_us`, or sooner if an earlier update said so: the
    /// grace counts from the first update that says that the host drains.
    pub fn publish<'a>(
        &self,
        complete: bool,
        hosts: impl Iterator<Item = (&'a str, bool)>,
        stop_at_us: u64,
    ) -> u64 {
        let mut named = HashSet::new();
        for (host, ready) in hosts {
            let gate = self.gate(host);
            if ready {
                gate.reopen();
            } else {
                gate.close_at(stop_at_us);
            }
            named.insert(host);
        }
        if complete {
            self.close_all_but(&named, stop_at_us);
        }
        self.revision.fetch_add(1, Ordering::AcqRel) + 1
    }

    fn close_all_but(&self, named: &HashSet<&str>, stop_at_us: u64) {
        let gates = self.gates.read().unwrap_or_else(PoisonError::into_inner);
        for (host, gate) in gates.iter() {
            if !named.contains(host.as_str()) {
                gate.close_at(stop_at_us);
            }
        }
    }

    /// Forgets the hosts whose gates closed before this time.
    pub fn prune(&self, before_us: u64) {
        self.gates
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|_, gate| !gate.closed_before(before_us));
    }

    /// Records that a core has applied a version.
    pub fn acknowledge(&self, core: usize, revision: u64) {
        if let Some(acknowledged) = self.acknowledged.get(core) {
            acknowledged.fetch_max(revision, Ordering::AcqRel);
        }
    }

    /// The version published last; 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.revision.load(Ordering::Acquire)
    }

    /// The latest version that a core has acknowledged; 0 if none.
    pub fn acknowledged(&self, core: usize) -> u64 {
        self.acknowledged
            .get(core)
            .map_or(0, |revision| revision.load(Ordering::Acquire))
    }
}
