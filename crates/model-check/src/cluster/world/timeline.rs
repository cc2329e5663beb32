//! How time advances to the next event, and what events do.

use super::context::ActionContext;
use super::envelope::Envelope;
use super::event::Event;
use super::reader::{new_reader, Reader};
use super::state::{World, MAX_MACHINES, PULL_INTERVAL, REACHABILITY_INTERVAL};
use crate::cluster::machine::{Machine, LEASE};
use crate::search::Violation;
use control_plane::member::Input;
use std::sync::Arc;
use std::time::Duration;

impl World {
    /// Schedules an event; events of one time happen in the order in which they were scheduled.
    pub(super) fn schedule(&mut self, after: Duration, event: Event) {
        let at = self.now + after;
        let place = self.events.partition_point(|e| e.0 <= at);
        self.events.insert(place, (at, event));
    }

    /// Advances time to the next event or timer; events come before timers of the same time.
    pub(super) fn advance(&mut self, context: &ActionContext) -> Result<(), Violation> {
        let wake = |m: &Arc<Machine>| {
            let process = m.process.as_ref().filter(|_| !m.frozen)?;
            Some((process.origin + process.wake, m.index))
        };
        let next_wake = self.machines.iter().filter_map(wake).min();
        let next_event = self.events.first().map(|e| e.0);
        match (next_wake, next_event) {
            (Some((at, n)), event) if event.is_none_or(|event| at < event) => {
                self.now = self.now.max(at);
                self.step(context, n, Input::Tick)
            }
            (_, Some(at)) => {
                self.now = self.now.max(at);
                let (_, event) = self.events.remove(0);
                self.handle_event(context, event)
            }
            _ => {
                self.now += LEASE;
                Ok(())
            }
        }
    }

    fn handle_event(&mut self, context: &ActionContext, event: Event) -> Result<(), Violation> {
        match event {
            Event::Start(n) => return self.start(context, n),
            Event::Join => return self.join(context),
            Event::Deliver(envelope) => return self.deliver(context, &envelope),
            Event::Request(number) => return self.send_scheduled(context, number),
            Event::Retry(number) => {
                let last = self.clients.requests[number].at;
                return self.send_request(context, number, last.map_or(0, |at| at + 1));
            }
            Event::AnnounceReachable => {
                self.schedule(REACHABILITY_INTERVAL, Event::AnnounceReachable);
                return self.announce_all(context);
            }
            Event::Pull => {
                self.schedule(PULL_INTERVAL, Event::Pull);
                return self.pull_all(context);
            }
            Event::Update {
                reader,
                member,
                update,
                asked,
            } => {
                let update = (*update).clone().aged(asked, self.now);
                return self.apply_update(context, reader, member, &update);
            }
            Event::Thaw(n) => self.thaw(n),
            Event::Heal(n, way) => self.cut.retain(|link| !way.cuts(n, *link)),
            Event::FastDisk(n) => {
                self.machine(n).slow = false;
                self.refresh_fingerprint(n);
            }
            Event::Kill(n, incarnation) => self.kill(n, incarnation),
            Event::StartReader => self.readers.push(Arc::new(Reader {
                mirror: new_reader(),
                newest: (0, 0),
            })),
        }
        Ok(())
    }

    /// A new machine joins.
    fn join(&mut self, context: &ActionContext) -> Result<(), Violation> {
        let n = self.machines.len();
        if n >= MAX_MACHINES {
            return Ok(());
        }
        self.machines.push(Arc::new(Machine::new(n)));
        self.start(context, n)
    }

    /// A frozen process goes on; messages that arrived meanwhile are delivered first.
    fn thaw(&mut self, n: usize) {
        self.machine(n).frozen = false;
        let deferred = std::mem::take(&mut self.deferred);
        let (mine, others): (Vec<Arc<Envelope>>, _) = deferred.into_iter().partition(|e| e.to == n);
        self.deferred = others;
        for envelope in mine.into_iter().rev() {
            self.network.push_front(envelope);
        }
        self.refresh_fingerprint(n);
    }

    /// Ends a process that was asked to leave, if it still runs.
    fn kill(&mut self, n: usize, incarnation: u32) {
        if self.machines[n].incarnations != incarnation {
            return;
        }
        if let Some(down) = self.machines[n].leaving {
            self.crash(n, down);
        }
    }

    /// Sends a request of the scenario.
    fn send_scheduled(&mut self, context: &ActionContext, number: usize) -> Result<(), Violation> {
        let scheduled = context.scenario.requests[number];
        let newest = self.observations.newest_acknowledged;
        let number = self.clients.create(scheduled.request, newest);
        self.send_request(context, number, scheduled.to)
    }
}
