//! A cluster of members on simulated time: a message takes 1 ms, a write 2 ms. A test isolates, pauses, freezes,
//! restarts or wipes members, withholds writes, and delivers messages again.

use super::{budget, member_config};
use configuration::ResultCode;
use control_plane::member::{Input, Member, Output};
use protocol::{Addr, Command, MemberInfo, Message};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const MESSAGE_DELAY: Duration = Duration::from_millis(1);
const WRITE_DELAY: Duration = Duration::from_millis(2);
/// Simulated time after which [`Cluster::run_until`] fails.
const RUN_UNTIL_TIMEOUT: Duration = Duration::from_secs(30);

/// Events that are withheld until [`Cluster::release`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WithheldEvents {
    /// Completions of writes, at all members.
    WriteCompletions,
}

#[derive(Clone, Debug)]
enum Event {
    Deliver {
        from: usize,
        to: usize,
        message: Box<Message>,
    },
    WriteCompleted {
        node: usize,
        incarnation: u64,
        ticket: u64,
        records: Vec<Vec<u8>>,
        rewrite: bool,
    },
    Wake {
        node: usize,
    },
    Command {
        node: usize,
        ticket: u64,
        command: Command,
    },
}

impl Event {
    /// The member that handles the event.
    fn target(&self) -> usize {
        match self {
            Event::Deliver { to, .. } => *to,
            Event::WriteCompleted { node, .. }
            | Event::Wake { node }
            | Event::Command { node, .. } => *node,
        }
    }
}

struct Node {
    info: MemberInfo,
    /// `None` while the process is down.
    member: Option<Member>,
    incarnation: u64,
    records: Vec<Vec<u8>>,
    rewrites: usize,
    wake_at: Duration,
    answers: BTreeMap<u64, (ResultCode, Vec<u8>)>,
    /// Index of the state that the member published last.
    published_index: Option<u64>,
}

/// Members with one shared clock; each one knows all others from the start.
pub struct Cluster {
    nodes: Vec<Node>,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    withholding: Option<WithheldEvents>,
    withheld: Vec<Event>,
    isolated: BTreeSet<usize>,
    paused: BTreeSet<usize>,
    frozen: BTreeMap<usize, Vec<Event>>,
    /// Sender, receiver and message, in the order of sending.
    sent: Vec<(usize, usize, Message)>,
    /// Number of forwarded commands that each member received.
    forwarded: BTreeMap<usize, usize>,
}

impl Cluster {
    /// Starts `count` members for the first time, with a budget of one lost machine.
    pub fn new(count: usize) -> Self {
        let member_info = |n: usize| MemberInfo {
            id: 101 + n as u64,
            name: format!("core-{n}"),
            addr: Addr {
                ip: 1 + n as u32,
                port: 7,
            },
            control_addr: Addr {
                ip: 1 + n as u32,
                port: 8,
            },
            zone: format!("z{n}"),
            region: "r".into(),
        };
        let node = |n: usize| Node {
            info: member_info(n),
            member: None,
            incarnation: 0,
            records: Vec::new(),
            rewrites: 0,
            wake_at: Duration::ZERO,
            answers: BTreeMap::new(),
            published_index: None,
        };
        let mut cluster = Self {
            nodes: (0..count).map(node).collect(),
            now: Duration::from_secs(1),
            events: BTreeMap::new(),
            sequence: 0,
            withholding: None,
            withheld: Vec::new(),
            isolated: BTreeSet::new(),
            paused: BTreeSet::new(),
            frozen: BTreeMap::new(),
            sent: Vec::new(),
            forwarded: BTreeMap::new(),
        };
        (0..count).for_each(|n| cluster.restart(n));
        cluster
    }

    /// Starts a member, or kills and restarts it. Its stored records stay; unfinished writes are lost.
    pub fn restart(&mut self, n: usize) {
        let voters: Vec<MemberInfo> = self.nodes.iter().map(|n| n.info.clone()).collect();
        let node = &mut self.nodes[n];
        node.incarnation += 1;
        let config = member_config(
            node.info.clone(),
            (node.incarnation == 1).then(|| voters.clone()),
            budget(1, 0, 0),
        );
        let random = (n as u64 + 1) * 1_000_003 + node.incarnation * 7_919;
        node.member = Some(Member::new(config, &node.records, self.now, random));
        node.answers.clear();
        let me = self.nodes[n].info.clone();
        for (other, member) in voters.into_iter().enumerate().filter(|v| v.0 != n) {
            self.step(n, Input::PeerReachable { member });
            self.step(other, Input::PeerReachable { member: me.clone() });
        }
    }

    /// Restarts a member with an empty disk and a new id at the same address.
    pub fn wipe(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.records.clear();
        node.info.id += 100;
        self.restart(n);
    }

    /// Whether a member is a replica in the primary's membership and that membership is stable.
    pub fn is_settled_replica(&self, n: usize) -> bool {
        let primary = (0..self.nodes.len()).find(|p| self.is_primary(*p));
        let membership = primary
            .and_then(|p| self.nodes[p].member.as_ref())
            .and_then(Member::membership);
        membership.is_some_and(|m| m.is_stable() && m.replicas.contains(&self.nodes[n].info.id))
    }

    /// Number of times that a member's log was rewritten.
    pub fn rewrites(&self, n: usize) -> usize {
        self.nodes[n].rewrites
    }

    /// Kills a member.
    pub fn stop(&mut self, n: usize) {
        self.nodes[n].member = None;
    }

    /// Drops all messages from and to a member until [`heal`](Self::heal).
    pub fn isolate(&mut self, n: usize) {
        self.isolated.insert(n);
    }

    /// Connects all isolated members again.
    pub fn heal(&mut self) {
        self.isolated.clear();
    }

    /// Pauses a member for good; inputs that arrive for it are lost.
    pub fn pause(&mut self, n: usize) {
        self.paused.insert(n);
    }

    /// Stops a member's execution until [`thaw`](Self::thaw); inputs that arrive for it are queued.
    pub fn freeze(&mut self, n: usize) {
        self.frozen.entry(n).or_default();
    }

    /// Resumes a frozen member and delivers the inputs that were queued for it.
    pub fn thaw(&mut self, n: usize) {
        for event in self.frozen.remove(&n).unwrap_or_default() {
            self.schedule(Duration::ZERO, event);
        }
        self.schedule(Duration::ZERO, Event::Wake { node: n });
    }

    /// Whether a member is frozen.
    pub fn is_frozen(&self, n: usize) -> bool {
        self.frozen.contains_key(&n)
    }

    /// Withholds these events until [`release`](Self::release).
    pub fn withhold(&mut self, events: WithheldEvents) {
        self.withholding = Some(events);
    }

    /// Delivers the withheld events.
    pub fn release(&mut self) {
        self.withholding = None;
        let withheld = std::mem::take(&mut self.withheld);
        withheld
            .into_iter()
            .for_each(|event| self.schedule(WRITE_DELAY, event));
    }

    /// Runs until there is an acting primary and returns it.
    pub fn wait_for_primary(&mut self) -> usize {
        self.run_until(|c| (0..c.nodes.len()).any(|n| c.is_primary(n)));
        (0..self.nodes.len()).find(|n| self.is_primary(*n)).unwrap()
    }

    /// Runs until there is an acting primary and returns a member that is no replica in its membership.
    pub fn wait_for_witness(&mut self) -> usize {
        let primary = self.wait_for_primary();
        let membership = self.nodes[primary]
            .member
            .as_ref()
            .and_then(Member::membership)
            .cloned()
            .unwrap();
        self.nodes
            .iter()
            .position(|n| !membership.replicas.contains(&n.info.id))
            .unwrap()
    }

    /// Whether a member is the acting primary.
    pub fn is_primary(&self, n: usize) -> bool {
        !self.paused.contains(&n)
            && self.nodes[n]
                .member
                .as_ref()
                .is_some_and(Member::is_acting_primary)
    }

    /// Simulated time in ms.
    pub fn now_ms(&self) -> u64 {
        self.now.as_millis() as u64
    }

    /// Sends a caller's command to a member; `ticket` identifies its answer.
    pub fn send_command(&mut self, n: usize, ticket: u64, command: Command) {
        if let Some(waiting) = self.frozen.get_mut(&n) {
            waiting.push(Event::Command {
                node: n,
                ticket,
                command,
            });
            return;
        }
        self.step(n, Input::Command { ticket, command });
    }

    /// Index of the state that a member published last.
    pub fn published_index(&self, n: usize) -> Option<u64> {
        self.nodes[n].published_index
    }

    /// A member's state machine; `None` while its process is down.
    pub fn member(&self, n: usize) -> Option<&Member> {
        self.nodes[n].member.as_ref()
    }

    /// The result code that a member's current incarnation gave to a command, if it has answered.
    pub fn answer(&self, n: usize, ticket: u64) -> Option<ResultCode> {
        self.nodes[n].answers.get(&ticket).map(|answer| answer.0)
    }

    /// The body of the answer to a command that was answered.
    pub fn answer_text(&self, n: usize, ticket: u64) -> String {
        String::from_utf8_lossy(&self.nodes[n].answers[&ticket].1).into_owned()
    }

    /// Runs until a command is answered and returns the result code.
    pub fn wait_for_answer(&mut self, n: usize, ticket: u64) -> ResultCode {
        self.run_until(|c| c.answer(n, ticket).is_some());
        self.answer(n, ticket).unwrap()
    }

    /// Messages sent so far that `matches` accepts, with sender and receiver.
    pub fn sent_messages(
        &self,
        matches: impl Fn(&Message) -> bool,
    ) -> Vec<(usize, usize, Message)> {
        self.sent
            .iter()
            .filter(|sent| matches(&sent.2))
            .cloned()
            .collect()
    }

    /// Number of commands that other members forwarded to a member.
    pub fn forwarded_commands(&self, n: usize) -> usize {
        self.forwarded.get(&n).copied().unwrap_or(0)
    }

    /// Delivers a message after the network delay; may be called again for the same message.
    pub fn deliver(&mut self, from: usize, to: usize, message: Message) {
        self.schedule(
            MESSAGE_DELAY,
            Event::Deliver {
                from,
                to,
                message: Box::new(message),
            },
        );
    }

    /// Runs for `ms` of simulated time.
    pub fn run_ms(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.events.first_key_value().is_some_and(|e| e.0 .0 <= end) {
            self.handle_next_event();
        }
        self.now = end;
    }

    /// Runs until `holds` returns true; panics after [`RUN_UNTIL_TIMEOUT`].
    pub fn run_until(&mut self, holds: impl Fn(&Self) -> bool) {
        let end = self.now + RUN_UNTIL_TIMEOUT;
        while !holds(self) {
            assert!(
                self.now < end && !self.events.is_empty(),
                "the awaited condition doesn't come about"
            );
            self.handle_next_event();
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
    }

    fn handle_next_event(&mut self) {
        let Some(((at, _), event)) = self.events.pop_first() else {
            return;
        };
        self.now = self.now.max(at);
        if let Some(waiting) = self.frozen.get_mut(&event.target()) {
            waiting.push(event);
            return;
        }
        match event {
            Event::Deliver { from, to, message } => {
                if self.isolated.contains(&from) || self.isolated.contains(&to) {
                    return;
                }
                if matches!(*message, Message::ForwardCommand { .. }) {
                    *self.forwarded.entry(to).or_default() += 1;
                }
                let from = self.nodes[from].info.clone();
                self.step(
                    to,
                    Input::Message {
                        from,
                        message: *message,
                    },
                );
            }
            Event::WriteCompleted {
                node,
                incarnation,
                ticket,
                records,
                rewrite,
            } => {
                if self.nodes[node].incarnation != incarnation || self.nodes[node].member.is_none()
                {
                    return;
                }
                if rewrite {
                    self.nodes[node].records.clear();
                    self.nodes[node].rewrites += 1;
                }
                self.nodes[node].records.extend(records);
                self.step(
                    node,
                    Input::WriteCompleted {
                        ticket,
                        result: Ok(()),
                    },
                );
            }
            Event::Command {
                node,
                ticket,
                command,
            } => self.step(node, Input::Command { ticket, command }),
            Event::Wake { node } => {
                if self.nodes[node].wake_at <= self.now {
                    self.step(node, Input::Tick);
                }
            }
        }
    }

    fn step(&mut self, n: usize, input: Input) {
        if self.paused.contains(&n) {
            return;
        }
        let now = self.now;
        let Some(member) = self.nodes[n].member.as_mut() else {
            return;
        };
        let mut outputs = Vec::new();
        member.step(now, input, &mut outputs);
        outputs
            .into_iter()
            .for_each(|output| self.handle_output(n, output));
    }

    fn handle_output(&mut self, n: usize, output: Output) {
        match output {
            Output::Send { to, message } => {
                let Some(to) = self.nodes.iter().position(|m| m.info.id == to.id) else {
                    return;
                };
                self.sent.push((n, to, message.clone()));
                self.deliver(n, to, message);
            }
            Output::Write {
                ticket,
                records,
                rewrite,
            } => {
                let event = Event::WriteCompleted {
                    node: n,
                    incarnation: self.nodes[n].incarnation,
                    ticket,
                    records,
                    rewrite,
                };
                match self.withholding {
                    Some(WithheldEvents::WriteCompletions) => self.withheld.push(event),
                    None => self.schedule(WRITE_DELAY, event),
                }
            }
            Output::Answer { ticket, code, body } => {
                self.nodes[n].answers.insert(ticket, (code, body));
            }
            Output::Wake { at } => {
                self.nodes[n].wake_at = at;
                let after = at.saturating_sub(self.now);
                self.schedule(after, Event::Wake { node: n });
            }
            Output::PublishState { index, .. } | Output::RestoreState { index, .. } => {
                self.nodes[n].published_index = Some(index);
            }
            Output::DepartureComplete => {}
        }
    }
}
