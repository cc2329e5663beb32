//! Agents, proxies and the members' mirrors: how these processes start and end, and what connections, pulls and timers
//! do to them.

use super::event::EventKind;
use super::state::World;
use super::subscriber::{agent_addr, InForce, ProcessId, SubscriberEvent, SubscriberProcess};
use crate::plan::ms;
use crate::seeded_bug::SeededBug;
use protocol::{Addr, Subscriber};
use rand_core::RngCore;
use replication::{Action, Mirror, Puller, Update, AGE_UNKNOWN, MEMBERS_PER_AGENT};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two heartbeats of a host.
const HEARTBEAT_INTERVAL: Duration = ms(500);
/// Members that a process is told of at its start.
const SEEDS: usize = 3;
/// Longest and shortest time between two ticks of a puller.
const MAX_TICK_INTERVAL: Duration = ms(1000);
const MIN_TICK_INTERVAL: Duration = ms(1);
/// Shortest delay of a message, in microseconds.
const MIN_DELAY_US: u64 = 300;
/// Random delay on top of that, in microseconds.
const DELAY_SPREAD_US: u64 = 1000;

impl World<'_> {
    fn process_at(&self, addr: Addr) -> Option<ProcessId> {
        let member = self
            .nodes
            .iter()
            .position(|n| n.info.addr == addr)
            .map(ProcessId::Member);
        let agent = (0..self.plan.agents)
            .find(|k| agent_addr(*k) == addr)
            .map(ProcessId::Agent);
        member.or(agent)
    }

    /// Starts a process's mirror anew.
    pub(super) fn start_subscriber(&mut self, process: ProcessId) {
        let incarnation = self.subscribers.get(&process).map_or(0, |s| s.incarnation) + 1;
        let listed = self.nodes.iter().filter(|n| !n.gone).take(SEEDS);
        let seeds: Vec<Addr> = listed.map(|n| n.info.addr).collect();
        let name = format!("{process:?}");
        let identity = Subscriber {
            name: name.clone(),
            ..Subscriber::default()
        };
        let (mirror, mut puller, seeds) = match process {
            ProcessId::Member(n) => {
                let info = &self.nodes[n].info;
                (
                    Mirror::new(info.id, HEARTBEAT_INTERVAL),
                    Puller::new(&name, usize::MAX, Some(info.addr)),
                    seeds,
                )
            }
            ProcessId::Agent(_) => (
                Mirror::new(0, HEARTBEAT_INTERVAL),
                Puller::new(&name, MEMBERS_PER_AGENT, None).preferring_one_member(),
                seeds,
            ),
            ProcessId::Proxy(k) => (
                Mirror::new(0, HEARTBEAT_INTERVAL).without_history(),
                Puller::new(&name, 1, None).seeds_only(),
                vec![agent_addr(k)],
            ),
        };
        puller.set_seeds(&seeds);
        let subscriber = SubscriberProcess {
            incarnation,
            started_at: self.now,
            mirror,
            puller,
            subscriber: identity,
            links: BTreeMap::new(),
            waiting: Vec::new(),
            puller_info_version: 0,
            next_tick_at: ms(0),
            in_force: InForce::default(),
            published_membership: (0, 0),
        };
        self.subscribers.insert(process, subscriber);
        self.handle_subscriber_event(process, incarnation, SubscriberEvent::Tick);
    }

    /// The process has ended.
    pub(super) fn stop_subscriber(&mut self, process: ProcessId) {
        if let Some(subscriber) = self.subscribers.get_mut(&process) {
            subscriber.incarnation += 1;
            subscriber.links.clear();
            subscriber.waiting.clear();
            subscriber.puller = Puller::new("", 0, None);
        }
        // Its connections end, where the others hear of it.
        let broken: Vec<(ProcessId, u32, u64)> = self
            .subscribers
            .iter()
            .flat_map(|(p, s)| {
                s.links
                    .iter()
                    .filter(|l| *l.1 == process)
                    .map(|l| (*p, s.incarnation, *l.0))
            })
            .collect();
        for (other, incarnation, link) in broken {
            if !self.is_partitioned(process, other) {
                let delay = self.message_delay();
                self.schedule_subscriber_event(
                    delay,
                    other,
                    incarnation,
                    SubscriberEvent::Failed(link),
                );
            }
        }
    }

    fn is_running(&self, process: ProcessId) -> bool {
        match process {
            ProcessId::Member(n) => self.nodes[n].member.is_some(),
            ProcessId::Agent(_) | ProcessId::Proxy(_) => self.subscribers.contains_key(&process),
        }
    }

    pub(super) fn is_partitioned(&self, from: ProcessId, to: ProcessId) -> bool {
        from.machine() != to.machine() && self.cut.contains_key(&(from.machine(), to.machine()))
    }

    /// The clock of a process.
    pub(super) fn subscriber_clock(&self, process: ProcessId) -> Duration {
        match process {
            ProcessId::Member(n) => self.clock(n),
            ProcessId::Agent(_) | ProcessId::Proxy(_) => self.now,
        }
    }

    /// Schedules an event of a process.
    pub(super) fn schedule_subscriber_event(
        &mut self,
        delay: Duration,
        process: ProcessId,
        incarnation: u32,
        event: SubscriberEvent,
    ) {
        let event = EventKind::Subscriber {
            process,
            incarnation,
            event,
        };
        self.schedule(self.now + delay, 0, event);
    }

    /// Draws the delay of a message between such processes. It is drawn apart from all else, so that what members do
    /// doesn't depend on how often they pull.
    pub(super) fn message_delay(&mut self) -> Duration {
        let spread = u64::from(self.subscriber_rng.next_u32()) % DELAY_SPREAD_US;
        Duration::from_micros(MIN_DELAY_US + spread)
    }

    /// Handles an event of a process, unless it was meant for an earlier incarnation. While the process is frozen the event
    /// waiting.
    pub(super) fn handle_subscriber_event(
        &mut self,
        process: ProcessId,
        incarnation: u32,
        event: SubscriberEvent,
    ) {
        let subscriber = self.subscribers.get(&process);
        let Some(subscriber) = subscriber.filter(|s| s.incarnation == incarnation) else {
            return;
        };
        if !self.is_running(process) {
            return;
        }
        let generation = subscriber.mirror.generation();
        if let ProcessId::Member(n) = process {
            if self.nodes[n].frozen {
                let event = EventKind::Subscriber {
                    process,
                    incarnation,
                    event,
                };
                self.nodes[n].deferred_events.push((0, event));
                return;
            }
        }
        let actions = self.apply_event(process, event);
        self.check_never_goes_back(process);
        self.perform_actions(process, actions);
        self.follow_up(process, generation);
    }

    /// Hands an event to a process's mirror and puller; what the puller asks for.
    fn apply_event(&mut self, process: ProcessId, event: SubscriberEvent) -> Vec<Action> {
        let now = self.subscriber_clock(process);
        let bug = self.plan.seeded_bug;
        let Some(subscriber) = self.subscribers.get_mut(&process) else {
            return Vec::new();
        };
        match event {
            SubscriberEvent::Tick => {
                subscriber.mirror.tick(now);
                subscriber.puller.tick(now)
            }
            SubscriberEvent::Connected(link) if subscriber.links.contains_key(&link) => {
                if bug == SeededBug::MirrorReset && matches!(process, ProcessId::Agent(_)) {
                    subscriber.mirror = Mirror::new(0, HEARTBEAT_INTERVAL);
                }
                subscriber.puller.connected(now, link)
            }
            SubscriberEvent::Failed(link) => {
                subscriber.links.remove(&link);
                subscriber.puller.failed(now, link)
            }
            SubscriberEvent::UpdateArrives { link, update }
                if subscriber.links.contains_key(&link) =>
            {
                subscriber.apply_update(now, link, *update)
            }
            SubscriberEvent::PullArrives {
                from,
                from_incarnation,
                link,
                pull,
            } => {
                self.pull_arrives(process, from, from_incarnation, link, *pull);
                Vec::new()
            }
            SubscriberEvent::PullTimedOut(number) => {
                self.pull_timed_out(process, number);
                Vec::new()
            }
            SubscriberEvent::Connected(_) | SubscriberEvent::UpdateArrives { .. } => Vec::new(),
        }
    }

    /// What follows each event: pulls that waited are answered, the puller hears of members, the next tick is set.
    pub(super) fn follow_up(&mut self, process: ProcessId, generation: u64) {
        let now = self.subscriber_clock(process);
        let Some(subscriber) = self.subscribers.get_mut(&process) else {
            return;
        };
        if subscriber.mirror.generation() != generation {
            let version = subscriber.mirror.control_plane().version;
            if version != subscriber.puller_info_version {
                subscriber.puller_info_version = version;
                let members: Vec<Addr> = subscriber
                    .mirror
                    .control_plane()
                    .members
                    .iter()
                    .map(|s| s.addr)
                    .collect();
                subscriber.puller.set_members(members);
            }
            let waiting = std::mem::take(&mut subscriber.waiting);
            for pull in waiting {
                self.try_answer_pull(process, pull);
            }
        }
        let Some(subscriber) = self.subscribers.get_mut(&process) else {
            return;
        };
        let actions = subscriber.puller.tick(now);
        self.perform_actions(process, actions);
        let Some(subscriber) = self.subscribers.get_mut(&process) else {
            return;
        };
        let next = subscriber
            .puller
            .next_tick()
            .unwrap_or(now + MAX_TICK_INTERVAL)
            .max(now + MIN_TICK_INTERVAL)
            .min(now + MAX_TICK_INTERVAL);
        if subscriber.next_tick_at <= now || next < subscriber.next_tick_at {
            subscriber.next_tick_at = next;
            let incarnation = subscriber.incarnation;
            let delay = match process {
                ProcessId::Member(n) => self.true_delay(n, next - now),
                ProcessId::Agent(_) | ProcessId::Proxy(_) => next - now,
            };
            self.schedule_subscriber_event(delay, process, incarnation, SubscriberEvent::Tick);
        }
    }

    fn perform_actions(&mut self, process: ProcessId, actions: Vec<Action>) {
        for action in actions {
            let Some(subscriber) = self.subscribers.get(&process) else {
                return;
            };
            let incarnation = subscriber.incarnation;
            match action {
                Action::Connect { link, addr } => {
                    let Some(to) = self.process_at(addr) else {
                        continue;
                    };
                    if self.is_partitioned(process, to) || self.is_partitioned(to, process) {
                        continue;
                    }
                    let round_trip = self.message_delay() * 2;
                    let event = if self.is_running(to) {
                        SubscriberEvent::Connected(link)
                    } else {
                        SubscriberEvent::Failed(link)
                    };
                    if let Some(subscriber) = self.subscribers.get_mut(&process) {
                        subscriber.links.insert(link, to);
                    }
                    self.schedule_subscriber_event(round_trip, process, incarnation, event);
                }
                Action::Pull { link, wait_ms } => {
                    let Some(to) = subscriber.links.get(&link).copied() else {
                        continue;
                    };
                    let pull = Box::new(subscriber.mirror.pull(&subscriber.subscriber, wait_ms));
                    let to_incarnation = self.subscribers.get(&to).map_or(0, |s| s.incarnation);
                    if !self.is_partitioned(process, to) {
                        let delay = self.message_delay();
                        let event = SubscriberEvent::PullArrives {
                            from: process,
                            from_incarnation: incarnation,
                            link,
                            pull,
                        };
                        self.schedule_subscriber_event(delay, to, to_incarnation, event);
                    }
                }
                Action::Close { link } => {
                    if let Some(subscriber) = self.subscribers.get_mut(&process) {
                        subscriber.links.remove(&link);
                    }
                }
            }
        }
    }

    /// An agent's process is killed and starts again with nothing that it knew.
    pub(super) fn restart_agent(&mut self, k: usize, back: Duration) {
        if k < self.plan.agents {
            self.stop_subscriber(ProcessId::Agent(k));
            self.schedule(
                self.now + back,
                0,
                EventKind::StartSubscriber(ProcessId::Agent(k)),
            );
        }
    }
}

impl SubscriberProcess {
    /// Applies the answer to a pull.
    fn apply_update(&mut self, now: Duration, link: u64, update: Update) -> Vec<Action> {
        let update = match self.puller.pull_sent_at(link) {
            Some(asked) => update.aged(asked, now),
            // The pull was given up: when it was sent is not known any more.
            None => Update {
                age_ms: AGE_UNKNOWN,
                ..update
            },
        };
        let applied = self.mirror.apply(now, &update);
        self.puller
            .answered(now, link, update.member, update.age_ms, applied)
    }
}
