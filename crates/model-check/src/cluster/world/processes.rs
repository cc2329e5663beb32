//! Processes that start, die and lose their disk.

use super::actions::Run;
use super::event::Event;
use super::{World, SEEDS};
use crate::cluster::machine::{control, Start};
use crate::cluster::operator::RETRY_PAUSE;
use crate::cluster::planted::Planted;
use crate::cluster::Scenario;
use crate::search::Breach;
use control_plane::member::Input;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

impl World {
    pub(super) fn start(&mut self, run: &Run, n: usize) -> Result<(), Breach> {
        if self.machines[n].process.is_some() || self.machines[n].gone {
            return Ok(());
        }
        let seeds: Vec<SocketAddrV4> = (0..SEEDS).map(control).collect();
        let first = self.begun.is_none();
        let old_seed =
            run.scenario.planted == Planted::OldIdentity && self.machines[n].records.is_empty();
        let start = Start {
            now: self.now,
            bootstrap: first || old_seed,
            opening: if first {
                Duration::ZERO
            } else {
                run.scenario.opening
            },
            losses: run.scenario.losses,
            seeds: &seeds,
            planted: run.scenario.planted,
        };
        self.machine(n).start(&start);
        if let Some(process) = &self.machines[n].process {
            self.facts
                .starts(process.seat.id, process.member.promised_epoch())?;
        }
        self.step(run, n, Input::Tick)?;
        self.greet(run, n)
    }

    /// A process dies; what was on its way to it is lost.
    pub(super) fn crash(&mut self, n: usize, down: Duration) {
        let now = self.now;
        let machine = self.machine(n);
        (machine.process, machine.frozen, machine.leaving) = (None, false, None);
        machine.changed(now);
        self.network.retain(|e| e.to != n);
        self.held.retain(|e| e.to != n);
        self.events
            .retain(|(_, event)| !matches!(event, Event::Deliver(e) if e.to == n));
        self.schedule(down, Event::Start(n));
        let waiting: Vec<usize> = self.operators.waiting_at(n).collect();
        for order in waiting {
            self.schedule(RETRY_PAUSE, Event::Retry(order));
        }
    }

    pub(super) fn wipe(&mut self, scenario: &Scenario, n: usize) {
        if let Some(process) = &self.machines[n].process {
            let id = process.seat.id;
            Arc::make_mut(&mut self.facts).wiped(id);
        }
        self.machine(n).wipe(scenario.planted);
    }
}
