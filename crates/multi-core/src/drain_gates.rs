//! Gates of hosts, and who has acknowledged which version of the list. A drain closes the host's gate for
//! all cores in one step: a core that is busy for seconds, and has not read the news, still finds the gate
//! closed at its next send. What cores have acknowledged is shown beside it.

use crate::sync::{Arc, AtomicU64, Ordering, RwLock};
use std::collections::{HashMap, HashSet};

/// A gate that is open.
const OPEN: u64 = u64::MAX;

/// A host's gate: from a stated time on nothing new is sent through it, by any core.
pub struct Gate(AtomicU64);

impl Gate {
    /// Whether a send may start at this time (microseconds since the origin of the one who publishes).
    pub fn lets_through(&self, now: u64) -> bool {
        now < self.0.load(Ordering::Acquire)
    }
}

/// All gates and acknowledgements.
pub struct Gates {
    gates: RwLock<HashMap<String, Arc<Gate>>>,
    revision: AtomicU64,
    acked: Vec<AtomicU64>,
}

impl Gates {
    /// For so many cores, with no host known.
    pub fn new(cores: usize) -> Arc<Self> {
        let acked = (0..cores).map(|_| AtomicU64::new(0)).collect();
        Arc::new(Self {
            gates: RwLock::new(HashMap::new()),
            revision: AtomicU64::new(0),
            acked,
        })
    }

    /// The gate of a host, open if it was never heard of.
    pub fn of(&self, host: &str) -> Arc<Gate> {
        if let Some(gate) = self
            .gates
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .get(host)
        {
            return gate.clone();
        }
        let mut gates = self
            .gates
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        gates
            .entry(host.to_owned())
            .or_insert_with(|| Arc::new(Gate(AtomicU64::new(OPEN))))
            .clone()
    }

    /// Publishes news before any core is told of it: each host with whether it is ready. `complete` says
    /// that hosts which are not named are gone. Gates of hosts that are not ready close at `stop_at`,
    /// unless they were to close sooner: the grace counts from the first news of a drain. Gives the new
    /// version, which cores acknowledge.
    pub fn publish<'a>(
        &self,
        complete: bool,
        hosts: impl Iterator<Item = (&'a str, bool)>,
        stop_at: u64,
    ) -> u64 {
        let mut named = HashSet::new();
        for (host, ready) in hosts {
            let gate = self.of(host);
            if ready {
                gate.0.store(OPEN, Ordering::Release)
            } else {
                drop(gate.0.fetch_min(stop_at, Ordering::AcqRel))
            }
            named.insert(host);
        }
        if complete {
            let gates = self
                .gates
                .read()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            for gate in gates
                .iter()
                .filter(|(host, _)| !named.contains(host.as_str()))
                .map(|(_, g)| g)
            {
                gate.0.fetch_min(stop_at, Ordering::AcqRel);
            }
        }
        self.revision.fetch_add(1, Ordering::AcqRel) + 1
    }

    /// Forgets hosts whose gates have been closed since before this time.
    pub fn prune(&self, before: u64) {
        let closed = |g: &Arc<Gate>| g.0.load(Ordering::Acquire) < before;
        self.gates
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .retain(|_, g| !closed(g));
    }

    /// A core has taken a version in.
    pub fn acknowledge(&self, core: usize, revision: u64) {
        if let Some(acked) = self.acked.get(core) {
            acked.fetch_max(revision, Ordering::AcqRel);
        }
    }

    /// The version published last.
    pub fn revision(&self) -> u64 {
        self.revision.load(Ordering::Acquire)
    }

    /// The version that a core has acknowledged.
    pub fn acknowledged(&self, core: usize) -> u64 {
        self.acked
            .get(core)
            .map_or(0, |a| a.load(Ordering::Acquire))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{explore, thread};

    fn publish(g: &Gates, host: &'static str, ready: bool, stop_at: u64) -> u64 {
        g.publish(false, [(host, ready)].into_iter(), stop_at)
    }

    #[test]
    fn a_drain_is_in_force_on_a_core_that_has_not_read_of_it() {
        explore(|| {
            let gates = Gates::new(2);
            let gate = gates.of("h");
            let other = {
                let gates = gates.clone();
                thread::spawn(move || {
                    let revision = publish(&gates, "h", false, 100);
                    gates.acknowledge(0, revision);
                    revision
                })
            };
            // This core has acknowledged nothing. If it can see that another one has, its gate is closed.
            let seen = gates.acknowledged(0);
            let open = gate.lets_through(150);
            assert!(seen == 0 || !open, "a send after an acknowledged drain");
            let revision = other.join().unwrap();
            assert!(!gate.lets_through(100) && gate.lets_through(99));
            assert_eq!(
                (
                    gates.revision(),
                    gates.acknowledged(0),
                    gates.acknowledged(1)
                ),
                (revision, 1, 0)
            );
        });
    }

    #[test]
    fn a_host_met_for_the_first_time_by_two_cores_has_one_gate() {
        explore(|| {
            let gates = Gates::new(2);
            let other = {
                let gates = gates.clone();
                thread::spawn(move || gates.of("h"))
            };
            let mine = gates.of("h");
            let theirs = other.join().unwrap();
            publish(&gates, "h", false, 10);
            assert!(!mine.lets_through(10) && !theirs.lets_through(10));
        });
    }

    #[test]
    fn the_grace_counts_from_the_first_news_and_a_host_that_is_back_is_let_through() {
        explore(|| {
            let gates = Gates::new(1);
            publish(&gates, "h", false, 100);
            publish(&gates, "h", false, 200);
            assert!(
                !gates.of("h").lets_through(100),
                "its repetition lengthens nothing"
            );
            publish(&gates, "h", true, 300);
            assert!(gates.of("h").lets_through(1_000_000));
            // A whole list without it.
            gates.publish(true, [("other", true)].into_iter(), 400);
            assert!(!gates.of("h").lets_through(400) && gates.of("other").lets_through(400));
            let held = gates.of("h");
            gates.prune(500);
            assert!(
                !held.lets_through(500),
                "who holds the old gate finds it closed"
            );
        });
    }
}
