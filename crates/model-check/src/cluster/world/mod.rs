//! The state of all machines, of the network, of the operators and readers.
//!
//! What can happen is in [`choices`], what an action makes of a state in [`actions`]; the other modules each have one
//! part of that: time's [`event`]s, [`processes`], the [`network`], [`members`], [`orders`] and [`readers`].

mod actions;
mod choices;
mod event;
mod fingerprint;
mod members;
mod network;
mod orders;
mod processes;
mod readers;

use super::claims::Facts;
use super::faults::ms;
use super::machine::Machine;
use super::operator::{Operators, Result as OrderResult};
use super::Scenario;
use event::Event;
use network::Envelope;
use readers::Reader;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Seeds of a system: they vote first.
const SEEDS: usize = 3;
/// Machines at most.
const MOST_MACHINES: usize = 7;
/// How often members show each other that they are there, as their links do.
const HELLO_INTERVAL: Duration = Duration::from_millis(1000);
/// A process that leaves is killed after this.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often members and readers pull.
const PULL_INTERVAL: Duration = Duration::from_millis(250);

/// A state.
#[derive(Clone)]
pub struct World {
    now: Duration,
    /// When the scenario's times begin.
    begun: Option<Duration>,
    machines: Vec<Arc<Machine>>,
    network: VecDeque<Arc<Envelope>>,
    /// Messages for processes that stand still.
    held: Vec<Arc<Envelope>>,
    events: Vec<(Duration, Event)>,
    /// Ways between machines that are cut, from and to.
    cut: Vec<(usize, usize)>,
    operators: Operators,
    readers: Vec<Arc<Reader>>,
    facts: Arc<Facts>,
    wipes: u8,
    replaced: u8,
    /// The member whose answers to the next pulls come late.
    late_news: Option<(usize, Duration)>,
}

impl World {
    pub(super) fn new(scenario: &Scenario) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            begun: None,
            machines: (0..scenario.machines)
                .map(|n| Arc::new(Machine::new(n)))
                .collect(),
            network: VecDeque::new(),
            held: Vec::new(),
            events: Vec::new(),
            cut: Vec::new(),
            operators: Operators::default(),
            readers: Vec::new(),
            facts: Arc::default(),
            wipes: 0,
            replaced: 0,
            late_news: None,
        };
        for n in 0..scenario.machines {
            world.schedule(Duration::ZERO, Event::Start(n));
        }
        world.schedule(ms(1), Event::Hello);
        world
    }

    /// The members are up: the scenario's times begin.
    pub(super) fn begin(&mut self, scenario: &Scenario) {
        self.begun = Some(self.now);
        for (number, step) in scenario.steps.iter().enumerate() {
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

    /// Whether somebody acts now, by its own word.
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
    pub fn most_promised(&self) -> bool {
        let promised = |m: &&Arc<Machine>| {
            m.process
                .as_ref()
                .is_some_and(|p| p.member.promised_epoch() > 0)
        };
        self.machines.iter().filter(promised).count() + 1 >= SEEDS
    }

    /// The newest version of the configuration that was confirmed to an operator.
    pub fn newest_confirmed(&self) -> u64 {
        self.facts.newest_confirmed
    }

    /// Orders that have neither been confirmed nor refused.
    pub fn open_orders(&self) -> usize {
        self.operators
            .orders
            .iter()
            .filter(|o| o.result == OrderResult::Open)
            .count()
    }

    /// A line for each machine, for people.
    pub fn describe(&self) -> Vec<String> {
        let line = |m: &Arc<Machine>| match &m.process {
            None => format!("{}: down", m.index),
            Some(p) => {
                let view = p
                    .member
                    .membership()
                    .map(|v| (v.epoch >> 20, v.primary, v.replicas.clone(), v.voters.len()));
                let frozen = if m.frozen { " (stands still)" } else { "" };
                format!(
                    "{}: id {} promised {} view {view:?} acts {} shows {}{frozen}",
                    m.index,
                    p.seat.id,
                    p.member.promised_epoch() >> 20,
                    p.member.is_acting_primary(),
                    p.mirror.read().document().version
                )
            }
        };
        self.machines.iter().map(line).collect()
    }

    pub(super) fn left(&self, scenario: &Scenario) -> Duration {
        self.begun.map_or(scenario.length, |begun| {
            (begun + scenario.length).saturating_sub(self.now)
        })
    }

    fn machine(&mut self, n: usize) -> &mut Machine {
        Arc::make_mut(&mut self.machines[n])
    }

    fn changed(&mut self, n: usize) {
        let now = self.now;
        self.machine(n).changed(now);
    }
}
