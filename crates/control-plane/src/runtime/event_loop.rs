//! The event loop: passes events to the state machine as inputs, one at a time.

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

/// Largest number of events that are handled before other tasks run again.
const MAX_EVENTS_PER_TURN: usize = 64;
/// Wake-up delay when the state machine has requested no tick: longer than any process runs.
const MAX_WAKE_DELAY: Duration = Duration::from_secs(1 << 30);

/// The parts of the runtime with which the event loop carries out outputs.
pub(super) struct Services {
    pub(super) storage: std::sync::mpsc::Sender<Write>,
    pub(super) peers: PeerConnections,
    pub(super) mirror: Arc<SharedMirror>,
    /// Set to true when the process is asked to shut down.
    pub(super) shutdown: watch::Sender<bool>,
    pub(super) history: Rc<RefCell<ConfigurationHistory>>,
    /// Time between two log lines of counters.
    pub(super) counters_interval: Duration,
    /// Longest time for the departure at shutdown.
    pub(super) departure_timeout: Duration,
}

/// The state machine and the parts of the runtime that carry out its outputs.
pub(super) struct EventLoop {
    pub(super) member: Member,
    /// Buffer for the outputs of a step; empty between steps.
    outputs: Vec<Output>,
    /// The instant from which the state machine's time is measured.
    pub(super) origin: Instant,
    /// When the state machine needs its next tick, counted from `origin`; `None` if it needs none.
    pub(super) wake_at: Option<Duration>,
    /// The reply channels of pending commands, by ticket.
    pub(super) reply_senders: HashMap<u64, oneshot::Sender<CommandReply>>,
    /// The ticket of the latest command.
    last_ticket: u64,
    /// Whether the member has completed its departure.
    pub(super) has_departed: bool,
    /// Number of inputs passed to the state machine.
    pub(super) steps: u64,
    /// The control plane's members as last published in the mirror.
    pub(super) published_control_plane: PublishedControlPlane,
    pub(super) recorder: Recorder,
    pub(super) transition_log: TransitionLog,
    pub(super) services: Services,
}

impl EventLoop {
    /// Creates the event loop of a member that was created at `started_at`, counted from `origin`. Logs the state that
    /// was on the disk.
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
            reply_senders: HashMap::new(),
            last_ticket: 0,
            has_departed: false,
            steps: 0,
            published_control_plane: PublishedControlPlane::default(),
            services,
        }
    }

    /// Handles events until the member has departed after `shutdown`, or its departure timeout has expired.
    pub(super) async fn run(
        &mut self,
        events: &mut UnboundedReceiver<Event>,
        mut shutdown: impl Future<Output = ()> + Unpin,
        counters: &ControlCounters,
    ) {
        let mut deadline: Option<Instant> = None;
        let mut next_counters_at = Instant::now() + self.services.counters_interval;
        while !self.has_departed && deadline.is_none_or(|deadline| Instant::now() < deadline) {
            let wake_at = self.next_wake(deadline, next_counters_at);
            tokio::select! {
                biased;
                () = &mut shutdown, if deadline.is_none() => {
                    deadline = Some(Instant::now() + self.services.departure_timeout);
                    self.services.shutdown.send_replace(true);
                    self.step(Input::Depart);
                }
                event = events.recv() => {
                    // The request handler holds a sender, so this doesn't happen while the control API runs.
                    let Some(event) = event else { return };
                    self.handle_events(event, events);
                }
                () = sleep_until(wake_at) => {
                    if next_counters_at <= Instant::now() {
                        next_counters_at += self.services.counters_interval;
                        self.log_counters(counters);
                    }
                    self.tick_if_due();
                }
            }
        }
    }

    fn next_wake(&self, deadline: Option<Instant>, next_counters_at: Instant) -> Instant {
        let wake_at = self.origin + self.wake_at.unwrap_or(MAX_WAKE_DELAY);
        deadline
            .map_or(wake_at, |deadline| wake_at.min(deadline))
            .min(next_counters_at)
    }

    /// Handles an event and those queued behind it, up to [`MAX_EVENTS_PER_TURN`].
    fn handle_events(&mut self, first: Event, events: &mut UnboundedReceiver<Event>) {
        self.handle_event(first);
        for _ in 1..MAX_EVENTS_PER_TURN {
            let Ok(event) = events.try_recv() else { break };
            self.handle_event(event);
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

    /// Passes one input to the state machine, logs the state transitions and carries out the outputs.
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

    fn handle_event(&mut self, event: Event) {
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
            Event::Storage(StorageEvent::Open { .. } | StorageEvent::OpenFailed { .. }) => {}
            Event::Command(command, reply_sender) => self.handle_command(command, reply_sender),
            // The requester may have stopped waiting.
            Event::Status(status_sender) => drop(status_sender.send(self.status())),
        }
    }

    fn handle_command(&mut self, command: Command, reply_sender: oneshot::Sender<CommandReply>) {
        self.learn_primary_from_mirror();
        // A caller that stopped waiting needs no reply, but its command still runs.
        self.reply_senders
            .retain(|_, reply_sender| !reply_sender.is_closed());
        self.last_ticket += 1;
        self.reply_senders.insert(self.last_ticket, reply_sender);
        self.step(Input::Command {
            ticket: self.last_ticket,
            command,
        });
    }

    /// Passes the primary that the mirror knows to the member: other members may have published a newer one than the
    /// member has heard of itself.
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
