//! The drain gates of hosts, and the list versions that cores have acknowledged.
//!
//! Draining a host closes its gate for all cores in one step. A core that is busy for seconds and has not read the
//! update still finds the gate closed at its next send.
//!
//! Times are microseconds since an origin that the publisher chooses, the same for all cores.

use crate::sync::{Arc, AtomicU64, Ordering, RwLock};
use std::collections::{HashMap, HashSet};
use std::sync::PoisonError;

/// The closing time of an open gate, in microseconds.
const NEVER_CLOSES_US: u64 = u64::MAX;

type GatesByHost = HashMap<String, Arc<DrainGate>>;

/// The gate of one host: from its closing time on, no core starts a send to the host.
pub struct DrainGate {
    closes_at_us: AtomicU64,
}

impl DrainGate {
    fn open() -> Self {
        Self {
            closes_at_us: AtomicU64::new(NEVER_CLOSES_US),
        }
    }

    /// Whether a send may start at `now_us`.
    pub fn allows_send(&self, now_us: u64) -> bool {
        now_us < self.closes_at_us.load(Ordering::Acquire)
    }

    /// Allows sends again.
    fn reopen(&self) {
        self.closes_at_us.store(NEVER_CLOSES_US, Ordering::Release);
    }

    /// Closes the gate at `stop_at_us`, or at the closing time set earlier if that comes first.
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
    /// The last published version.
    revision: AtomicU64,
    /// The latest acknowledged version, by core.
    acknowledged: Vec<AtomicU64>,
}

impl DrainGates {
    /// Creates the gates for `cores` cores, without any host.
    pub fn new(cores: usize) -> Arc<Self> {
        let acknowledged = (0..cores).map(|_| AtomicU64::new(0)).collect();
        Arc::new(Self {
            gates: RwLock::new(HashMap::new()),
            revision: AtomicU64::new(0),
            acknowledged,
        })
    }

    /// The gate of a host. A host that was never published gets an open gate.
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

    /// Publishes an update of the host list; must be called before the update is sent to any core. Returns the update's
    /// version, which cores acknowledge.
    ///
    /// `hosts` yields each host and whether it is ready. With `complete`, all other hosts are gone. The gates of hosts
    /// that are gone or not ready close at `stop_at_us`, or earlier if an earlier update set such a time: the drain
    /// grace starts with the first update in which the host drains.
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
            self.close_all_except(&named, stop_at_us);
        }
        self.revision.fetch_add(1, Ordering::AcqRel) + 1
    }

    fn close_all_except(&self, named: &HashSet<&str>, stop_at_us: u64) {
        let gates = self.gates.read().unwrap_or_else(PoisonError::into_inner);
        for (host, gate) in gates.iter() {
            if !named.contains(host.as_str()) {
                gate.close_at(stop_at_us);
            }
        }
    }

    /// Removes the gates that closed before `before_us`.
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

    /// The last published version; 0 before the first one.
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
