//! The event loop: hands what happens to the state machine, one input after the other.

use super::control_server::ControlCounters;
use super::peer_connections::{PeerConnections, PeerEvent};
use super::request_handler::CommandReply;
use super::status::PublishedControlPlane;
use super::storage::{self, StorageEvent};
use super::transitions::{self, Recorder};
use super::Event;
use crate::configuration_history::ConfigurationHistory;
use crate::member::{Input, Member, Output};
use replication::SharedMirror;
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep_until, Instant};

/// Inputs that are taken before other tasks run again.
const INPUTS_PER_TURN: usize = 64;

/// The state machine with all that it needs to be carried out.
pub(super) struct EventLoop {
    pub(super) member: Member,
    pub(super) outputs: Vec<Output>,
    pub(super) origin: Instant,
    pub(super) wake: Option<Duration>,
    pub(super) callers: HashMap<u64, oneshot::Sender<CommandReply>>,
    pub(super) tickets: u64,
    pub(super) left: bool,
    pub(super) steps: u64,
    /// What the mirror was told of the control plane.
    pub(super) known: PublishedControlPlane,
    pub(super) disk: std::sync::mpsc::Sender<storage::Write>,
    pub(super) links: PeerConnections,
    pub(super) mirror: Arc<SharedMirror>,
    pub(super) leave: watch::Sender<bool>,
    pub(super) history: Rc<RefCell<ConfigurationHistory>>,
    /// Time between two lines of counters.
    pub(super) period: Duration,
    /// Longest wait for the handing over at the end.
    pub(super) leave_time: Duration,
    pub(super) recorder: Recorder,
}

impl EventLoop {
    /// Takes what happens until all is handed over after `stop`.
    pub(super) async fn run(
        &mut self,
        queue: &mut UnboundedReceiver<Event>,
        mut stop: impl Future<Output = ()> + Unpin,
        counters: &ControlCounters,
    ) {
        let mut end: Option<Instant> = None;
        let mut line = Instant::now() + self.period;
        while !self.left && end.is_none_or(|end| Instant::now() < end) {
            let wake = self.origin + self.wake.unwrap_or(Duration::from_secs(1 << 30));
            let wake = end.map_or(wake, |end| wake.min(end)).min(line);
            tokio::select! {
                biased;
                () = &mut stop, if end.is_none() => {
                    end = Some(Instant::now() + self.leave_time);
                    self.leave.send_replace(true);
                    self.step(Input::Depart);
                }
                event = queue.recv() => {
                    // The desk holds a sender.
                    let Some(event) = event else { return };
                    self.take(event);
                    for _ in 1..INPUTS_PER_TURN {
                        let Ok(event) = queue.try_recv() else { break };
                        self.take(event);
                    }
                    self.show();
                }
                () = sleep_until(wake) => {
                    if line <= Instant::now() {
                        line += self.period;
                        self.count(counters);
                    }
                    let now = self.origin.elapsed();
                    if self.wake.is_some_and(|at| at <= now) {
                        self.wake = None;
                        self.step(Input::Tick);
                        self.show();
                    }
                }
            }
        }
    }

    /// Hands one input to the state machine and carries out what it asks for.
    fn step(&mut self, input: Input) {
        self.steps += 1;
        let mut outputs = std::mem::take(&mut self.outputs);
        self.member.step(self.origin.elapsed(), input, &mut outputs);
        self.recorder
            .after_step(&self.member)
            .iter()
            .for_each(transitions::log);
        for output in outputs.drain(..) {
            self.recorder
                .of_output(&output)
                .iter()
                .for_each(transitions::log);
            self.carry_out(output);
        }
        self.outputs = outputs;
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::PeerEvent(PeerEvent::Hello(member)) => {
                self.step(Input::PeerReachable { member })
            }
            Event::PeerEvent(PeerEvent::Message(from, message)) => {
                self.step(Input::Message {
                    from,
                    message: *message,
                });
            }
            Event::Disk(StorageEvent::Wrote { ticket, result }) => {
                self.step(Input::WriteCompleted { ticket, result });
            }
            Event::Disk(StorageEvent::Open { .. } | StorageEvent::NotOpen { .. }) => {}
            Event::Command(command, caller) => {
                self.mirror.update(|mirror, _| {
                    let fleet = mirror.fleet();
                    let primary = fleet.members.iter().find(|s| s.id == fleet.primary);
                    if let Some(primary) = primary {
                        self.member.learn_primary(fleet.epoch, primary.clone());
                    }
                });
                // Whoever stopped waiting may have been answered elsewhere, but what it asked for still holds.
                self.callers.retain(|_, caller| !caller.is_closed());
                self.tickets += 1;
                self.callers.insert(self.tickets, caller);
                self.step(Input::Command {
                    ticket: self.tickets,
                    command,
                });
            }
            // Whoever asked may have stopped waiting.
            Event::MemberStatus(asker) => drop(asker.send(self.status())),
        }
    }
}
