//! What happens at a time of its own, and how time goes on to the next of it.

use super::actions::Run;
use super::network::{cuts, Envelope};
use super::readers::{new_reader, Reader};
use super::{World, HELLO_INTERVAL, MOST_MACHINES, PULL_INTERVAL};
use crate::cluster::faults::Way;
use crate::cluster::machine::{Machine, LEASE};
use crate::search::Breach;
use control_plane::member::Input;
use replication::Update;
use std::sync::Arc;
use std::time::Duration;

/// What happens at a time of its own.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Start(usize),
    Join,
    Thaw(usize),
    /// A process that leaves has had its time.
    Kill(usize, u32),
    Heal(usize, Way),
    FastDisk(usize),
    Deliver(Arc<Envelope>),
    Request(usize),
    Retry(usize),
    Hello,
    Pull,
    Update {
        reader: usize,
        member: usize,
        news: Arc<Update>,
        asked: Duration,
    },
    StartReader,
}

impl World {
    pub(super) fn schedule(&mut self, after: Duration, event: Event) {
        let at = self.now + after;
        let place = self.events.partition_point(|e| e.0 <= at);
        self.events.insert(place, (at, event));
    }

    pub(super) fn advance(&mut self, run: &Run) -> Result<(), Breach> {
        let wake = |m: &Arc<Machine>| {
            let process = m.process.as_ref().filter(|_| !m.frozen)?;
            Some((process.origin + process.wake, m.index))
        };
        let next_wake = self.machines.iter().filter_map(wake).min();
        let next_event = self.events.first().map(|e| e.0);
        match (next_wake, next_event) {
            (Some((at, n)), event) if event.is_none_or(|event| at < event) => {
                self.now = self.now.max(at);
                self.step(run, n, Input::Tick)
            }
            (_, Some(at)) => {
                self.now = self.now.max(at);
                let (_, event) = self.events.remove(0);
                self.happen(run, event)
            }
            _ => {
                self.now += LEASE;
                Ok(())
            }
        }
    }

    fn happen(&mut self, run: &Run, event: Event) -> Result<(), Breach> {
        match event {
            Event::Start(n) => self.start(run, n),
            Event::Join => {
                let n = self.machines.len();
                if n < MOST_MACHINES {
                    self.machines.push(Arc::new(Machine::new(n)));
                    self.start(run, n)?;
                }
                Ok(())
            }
            Event::Thaw(n) => {
                self.machine(n).frozen = false;
                let (mine, others) = std::mem::take(&mut self.held)
                    .into_iter()
                    .partition(|e| e.to == n);
                self.held = others;
                let mine: Vec<Arc<Envelope>> = mine;
                mine.into_iter()
                    .rev()
                    .for_each(|e| self.network.push_front(e));
                self.changed(n);
                Ok(())
            }
            Event::Heal(n, way) => {
                self.cut.retain(|c| !cuts(n, way, *c));
                Ok(())
            }
            Event::FastDisk(n) => {
                self.machine(n).slow = false;
                self.changed(n);
                Ok(())
            }
            Event::Kill(n, life) => {
                if self.machines[n].lives == life {
                    if let Some(down) = self.machines[n].leaving {
                        self.crash(n, down);
                    }
                }
                Ok(())
            }
            Event::Deliver(envelope) => self.deliver(run, &envelope),
            Event::Request(number) => {
                let step = run.scenario.steps[number];
                let newest = self.facts.newest_confirmed;
                let order = self.operators.make(step.request, newest);
                self.send_order(run, order, step.to)
            }
            Event::Retry(order) => {
                let next = self.operators.orders[order].at.map_or(0, |at| at + 1);
                self.send_order(run, order, next)
            }
            Event::Hello => {
                self.schedule(HELLO_INTERVAL, Event::Hello);
                self.hello(run)
            }
            Event::Pull => {
                self.schedule(PULL_INTERVAL, Event::Pull);
                self.pull_all(run)
            }
            Event::Update {
                reader,
                member,
                news,
                asked,
            } => {
                let news = (*news).clone().aged(asked, self.now);
                self.read_news(run, reader, member, &news)
            }
            Event::StartReader => {
                let mirror = new_reader();
                self.readers.push(Arc::new(Reader {
                    mirror,
                    newest: (0, 0),
                }));
                Ok(())
            }
        }
    }
}
