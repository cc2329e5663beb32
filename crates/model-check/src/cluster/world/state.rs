//! The state of all machines, of the network, of the clients and readers.

use super::envelope::Envelope;
use super::event::Event;
use super::reader::Reader;
use crate::cluster::clients::{Clients, RequestOutcome};
use crate::cluster::faults::ms;
use crate::cluster::invariants::Observations;
use crate::cluster::machine::Machine;
use crate::cluster::Scenario;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Number of seeds: the first voters.
pub(super) const SEEDS: usize = 3;
/// Number of machines at most.
pub(super) const MAX_MACHINES: usize = 7;
/// How often members show each other that they are there, as their connections do.
pub(super) const REACHABILITY_INTERVAL: Duration = Duration::from_millis(1000);
/// A process that leaves is killed after this.
pub(super) const LEAVE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often members and readers pull.
pub(super) const PULL_INTERVAL: Duration = Duration::from_millis(250);

/// A state of the search. Parts that rarely change are shared between states.
#[derive(Clone)]
pub struct World {
    pub(super) now: Duration,
    /// When the scenario's times begin: the members have started.
    pub(super) begun: Option<Duration>,
    pub(super) machines: Vec<Arc<Machine>>,
    pub(super) network: VecDeque<Arc<Envelope>>,
    /// Messages for frozen processes.
    pub(super) deferred: Vec<Arc<Envelope>>,
    pub(super) events: Vec<(Duration, Event)>,
    /// Links between machines that are cut: from, to.
    pub(super) cut: Vec<(usize, usize)>,
    pub(super) clients: Clients,
    pub(super) readers: Vec<Arc<Reader>>,
    pub(super) observations: Arc<Observations>,
    pub(super) wipes: u8,
    pub(super) replaced: u8,
    /// The member whose answers to the next pulls come late.
    pub(super) late_updates: Option<(usize, Duration)>,
}

impl World {
    pub(in crate::cluster) fn new(scenario: &Scenario) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            begun: None,
            machines: (0..scenario.machines)
                .map(|n| Arc::new(Machine::new(n)))
                .collect(),
            network: VecDeque::new(),
            deferred: Vec::new(),
            events: Vec::new(),
            cut: Vec::new(),
            clients: Clients::default(),
            readers: Vec::new(),
            observations: Arc::default(),
            wipes: 0,
            replaced: 0,
            late_updates: None,
        };
        for n in 0..scenario.machines {
            world.schedule(Duration::ZERO, Event::Start(n));
        }
        world.schedule(ms(1), Event::AnnounceReachable);
        world
    }

    /// The members are up: the scenario's times begin.
    pub(in crate::cluster) fn begin(&mut self, scenario: &Scenario) {
        self.begun = Some(self.now);
        for (number, step) in scenario.requests.iter().enumerate() {
            self.schedule(step.at, Event::Request(number));
        }
        for at in &scenario.readers {
            self.schedule(*at, Event::StartReader);
        }
        if !scenario.readers.is_empty() {
            self.schedule(Duration::ZERO, Event::Pull);
        }
        if let Some(at) = scenario.joiner {
            self.schedule(at, Event::Join);
        }
    }

    /// The time of the global clock.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Whether a member acts as primary now, by its own account.
    pub fn somebody_acts(&self) -> bool {
        let acts = |m: &Arc<Machine>| {
            m.process
                .as_ref()
                .is_some_and(|p| p.member.is_acting_primary())
                && !m.frozen
        };
        self.machines.iter().any(acts)
    }

    /// Whether all seeds but one have promised an epoch.
    pub fn majority_promised(&self) -> bool {
        let promised = |m: &&Arc<Machine>| {
            m.process
                .as_ref()
                .is_some_and(|p| p.member.promised_epoch() > 0)
        };
        self.machines.iter().filter(promised).count() + 1 >= SEEDS
    }

    /// The newest version of the configuration that was acknowledged to a client.
    pub fn newest_acknowledged(&self) -> u64 {
        self.observations.newest_acknowledged
    }

    /// Requests that were neither acknowledged nor rejected.
    pub fn open_requests(&self) -> usize {
        self.clients
            .requests
            .iter()
            .filter(|o| o.outcome == RequestOutcome::Open)
            .count()
    }

    /// A line for each machine, for people.
    pub fn describe(&self) -> Vec<String> {
        let line = |m: &Arc<Machine>| match &m.process {
            None => format!("{}: down", m.index),
            Some(p) => {
                let membership = p
                    .member
                    .membership()
                    .map(|v| (v.epoch >> 20, v.primary, v.replicas.clone(), v.voters.len()));
                let frozen = if m.frozen { " (frozen)" } else { "" };
                format!(
                    "{}: id {} promised {} view {membership:?} acts {} shows {}{frozen}",
                    m.index,
                    p.info.id,
                    p.member.promised_epoch() >> 20,
                    p.member.is_acting_primary(),
                    p.mirror.read().configuration().version
                )
            }
        };
        self.machines.iter().map(line).collect()
    }

    pub(in crate::cluster) fn remaining(&self, scenario: &Scenario) -> Duration {
        self.begun.map_or(scenario.length, |begun| {
            (begun + scenario.length).saturating_sub(self.now)
        })
    }

    /// A machine, to be changed.
    pub(super) fn machine(&mut self, n: usize) -> &mut Machine {
        Arc::make_mut(&mut self.machines[n])
    }

    /// Takes the fingerprint of a machine anew.
    pub(super) fn refresh_fingerprint(&mut self, n: usize) {
        let now = self.now;
        self.machine(n).refresh_fingerprint(now);
    }
}
