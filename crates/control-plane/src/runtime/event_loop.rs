//! The event loop: hands what happens to the state machine, one input after the other.

use super::control_server::ControlCounters;
use super::member_status::PublishedControlPlane;
use super::peer_connections::{PeerConnections, PeerEvent};
use super::storage::{StorageEvent, Write};
use super::transitions::{Recorder, TransitionLog};
use super::{CommandReply, Event};
use crate::configuration_history::ConfigurationHistory;
use crate::member::{Input, Member, Output};
use protocol::Command;
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

/// Events that are taken before other tasks run again.
const EVENTS_PER_TURN: usize = 64;
/// Wait of a state machine that asks for no tick: longer than any process runs.
const NO_WAKE: Duration = Duration::from_secs(1 << 30);

/// What the event loop carries outputs out with.
pub(super) struct Services {
    pub(super) storage: std::sync::mpsc::Sender<Write>,
    pub(super) peers: PeerConnections,
    pub(super) mirror: Arc<SharedMirror>,
    /// Set when the process is asked to end.
    pub(super) shutdown: watch::Sender<bool>,
    pub(super) history: Rc<RefCell<ConfigurationHistory>>,
    /// Time between two log lines of counters.
    pub(super) counters_interval: Duration,
    /// Longest wait for the handing over at the end.
    pub(super) leave_timeout: Duration,
}

/// The state machine with all that carries out its outputs.
pub(super) struct EventLoop {
    pub(super) member: Member,
    /// Empty between steps; keeps its memory.
    outputs: Vec<Output>,
    /// The state machine's time counts from here.
    pub(super) origin: Instant,
    /// When the state machine wants a tick.
    pub(super) wake_at: Option<Duration>,
    /// Who waits for the reply to a command, by the command's ticket.
    pub(super) callers: HashMap<u64, oneshot::Sender<CommandReply>>,
    /// Tickets given out.
    tickets: u64,
    /// Whether all is handed over.
    pub(super) has_left: bool,
    /// Inputs taken.
    pub(super) steps: u64,
    pub(super) published: PublishedControlPlane,
    pub(super) recorder: Recorder,
    pub(super) transition_log: TransitionLog,
    pub(super) services: Services,
}

impl EventLoop {
    /// The loop of a member that was made at `started_at`, counted from `origin`. Logs what the disk held.
    pub(super) fn new(
        member: Member,
        transition_log: TransitionLog,
        origin: Instant,
        started_at: Duration,
        services: Services,
    ) -> Self {
        let recorder = Recorder::new(&member);
        transition_log.log_start(recorder.summary());
        Self {
            recorder,
            transition_log,
            member,
            outputs: Vec::new(),
            origin,
            wake_at: Some(started_at),
            callers: HashMap::new(),
            tickets: 0,
            has_left: false,
            steps: 0,
            published: PublishedControlPlane::default(),
            services,
        }
    }

    /// Takes events until all is handed over after `shutdown`, or the time for that is over.
    pub(super) async fn run(
        &mut self,
        events: &mut UnboundedReceiver<Event>,
        mut shutdown: impl Future<Output = ()> + Unpin,
        counters: &ControlCounters,
    ) {
        let mut deadline: Option<Instant> = None;
        let mut next_counters = Instant::now() + self.services.counters_interval;
        while !self.has_left && deadline.is_none_or(|deadline| Instant::now() < deadline) {
            let wake_at = self.next_wake(deadline, next_counters);
            tokio::select! {
                biased;
                () = &mut shutdown, if deadline.is_none() => {
                    deadline = Some(Instant::now() + self.services.leave_timeout);
                    self.services.shutdown.send_replace(true);
                    self.step(Input::Depart);
                }
                event = events.recv() => {
                    // The request handler holds a sender.
                    let Some(event) = event else { return };
                    self.take_events(event, events);
                }
                () = sleep_until(wake_at) => {
                    if next_counters <= Instant::now() {
                        next_counters += self.services.counters_interval;
                        self.log_counters(counters);
                    }
                    self.tick_if_due();
                }
            }
        }
    }

    fn next_wake(&self, deadline: Option<Instant>, next_counters: Instant) -> Instant {
        let wake_at = self.origin + self.wake_at.unwrap_or(NO_WAKE);
        deadline
            .map_or(wake_at, |deadline| wake_at.min(deadline))
            .min(next_counters)
    }

    /// Takes an event and those that have queued up behind it.
    fn take_events(&mut self, first: Event, events: &mut UnboundedReceiver<Event>) {
        self.take(first);
        for _ in 1..EVENTS_PER_TURN {
            let Ok(event) = events.try_recv() else { break };
            self.take(event);
        }
        self.publish_control_plane();
    }

    fn tick_if_due(&mut self) {
        let now = self.origin.elapsed();
        if self.wake_at.is_some_and(|at| at <= now) {
            self.wake_at = None;
            self.step(Input::Tick);
            self.publish_control_plane();
        }
    }

    /// Hands one input to the state machine and carries out what it asks for.
    fn step(&mut self, input: Input) {
        self.steps += 1;
        let mut outputs = std::mem::take(&mut self.outputs);
        self.member.step(self.origin.elapsed(), input, &mut outputs);
        for transition in self.recorder.after_step(&self.member) {
            self.transition_log.log(&transition);
        }
        for output in outputs.drain(..) {
            if let Some(transition) = self.recorder.after_output(&output) {
                self.transition_log.log(&transition);
            }
            self.carry_out(output);
        }
        self.outputs = outputs;
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Peer(PeerEvent::Connected(member)) => {
                self.step(Input::PeerReachable { member });
            }
            Event::Peer(PeerEvent::Message(from, message)) => {
                self.step(Input::Message {
                    from,
                    message: *message,
                });
            }
            Event::Storage(StorageEvent::Wrote { ticket, result }) => {
                self.step(Input::WriteCompleted { ticket, result });
            }
            Event::Storage(StorageEvent::Open { .. } | StorageEvent::NotOpen { .. }) => {}
            Event::Command(command, caller) => self.take_command(command, caller),
            // Whoever asked may have stopped waiting.
            Event::Status(asker) => drop(asker.send(self.status())),
        }
    }

    fn take_command(&mut self, command: Command, caller: oneshot::Sender<CommandReply>) {
        self.learn_primary_from_mirror();
        // A caller that stopped waiting may have been answered elsewhere, but what it asked for still holds.
        self.callers.retain(|_, caller| !caller.is_closed());
        self.tickets += 1;
        self.callers.insert(self.tickets, caller);
        self.step(Input::Command {
            ticket: self.tickets,
            command,
        });
    }

    /// What others published may be newer than what the member heard itself.
    fn learn_primary_from_mirror(&mut self) {
        self.services.mirror.update(|mirror, _| {
            let info = mirror.control_plane();
            let primary = info.members.iter().find(|member| member.id == info.primary);
            if let Some(primary) = primary {
                self.member.learn_primary(info.epoch, primary.clone());
            }
        });
    }
}
