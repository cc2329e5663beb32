//! Processes that start, die and lose their disk.

use super::context::ActionContext;
use super::event::Event;
use super::state::{World, SEEDS};
use crate::cluster::clients::RETRY_DELAY;
use crate::cluster::machine::{control_addr, Start};
use crate::cluster::seeded_bug::SeededBug;
use crate::cluster::Scenario;
use crate::search::Violation;
use control_plane::member::Input;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

impl World {
    pub(super) fn start(&mut self, context: &ActionContext, n: usize) -> Result<(), Violation> {
        if self.machines[n].process.is_some() || self.machines[n].gone {
            return Ok(());
        }
        let seeds: Vec<SocketAddrV4> = (0..SEEDS).map(control_addr).collect();
        let first = self.begun.is_none();
        let old_seed = context.scenario.seeded_bug == SeededBug::OldIdentity
            && self.machines[n].records.is_empty();
        let start = Start {
            now: self.now,
            bootstrap: first || old_seed,
            opening: if first {
                Duration::ZERO
            } else {
                context.scenario.opening
            },
            losses: context.scenario.losses,
            seeds: &seeds,
            seeded_bug: context.scenario.seeded_bug,
        };
        self.machine(n).start(&start);
        if let Some(process) = &self.machines[n].process {
            self.observations
                .observe_start(process.info.id, process.member.promised_epoch())?;
        }
        self.step(context, n, Input::Tick)?;
        self.announce_reachable(context, n)
    }

    /// A process dies; what was on its way to it is lost.
    pub(super) fn crash(&mut self, n: usize, down: Duration) {
        let now = self.now;
        let machine = self.machine(n);
        (machine.process, machine.frozen, machine.leaving) = (None, false, None);
        machine.refresh_fingerprint(now);
        self.network.retain(|e| e.to != n);
        self.deferred.retain(|e| e.to != n);
        self.events
            .retain(|(_, event)| !matches!(event, Event::Deliver(e) if e.to == n));
        self.schedule(down, Event::Start(n));
        let waiting: Vec<usize> = self.clients.waiting_at(n).collect();
        for number in waiting {
            self.schedule(RETRY_DELAY, Event::Retry(number));
        }
    }

    pub(super) fn wipe(&mut self, scenario: &Scenario, n: usize) {
        if let Some(process) = &self.machines[n].process {
            let id = process.info.id;
            Arc::make_mut(&mut self.observations).observe_wipe(id);
        }
        self.machine(n).wipe(scenario.seeded_bug);
    }
}
