//! Members on simulated time: messages take 1 ms, writes 2 ms; what has to be held, cut or lost is told.

use super::{budget, member_config};
use configuration::ResultCode;
use control_plane::member::{Input, Member, Output};
use protocol::{Addr, Command, MemberInfo, Message};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const MESSAGE_DELAY: Duration = Duration::from_millis(1);
const WRITE_DELAY: Duration = Duration::from_millis(2);
/// Simulated time within which whatever is waited for has to come.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// What is kept back until [`Cluster::release`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Held {
    /// Ends of writes, at all members.
    Writes,
}

#[derive(Clone, Debug)]
enum Event {
    Deliver {
        from: usize,
        to: usize,
        message: Box<Message>,
    },
    Wrote {
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
    /// The member that it is for.
    fn node(&self) -> usize {
        match self {
            Event::Deliver { to, .. } => *to,
            Event::Wrote { node, .. } | Event::Wake { node } | Event::Command { node, .. } => *node,
        }
    }
}

struct Node {
    info: MemberInfo,
    /// None while it is down.
    member: Option<Member>,
    incarnation: u64,
    records: Vec<Vec<u8>>,
    rewrites: usize,
    wake: Duration,
    answers: BTreeMap<u64, (ResultCode, Vec<u8>)>,
    /// Index of the state that it published last.
    published: Option<u64>,
}

/// Members that know each other, on one clock.
pub struct Cluster {
    nodes: Vec<Node>,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    held: Option<Held>,
    kept_back: Vec<Event>,
    cut: BTreeSet<usize>,
    paused: BTreeSet<usize>,
    frozen: BTreeMap<usize, Vec<Event>>,
    sent: Vec<(usize, usize, Message)>,
    forwarded: BTreeMap<usize, usize>,
}

impl Cluster {
    /// `count` members that start for the first time, of which one may be lost.
    pub fn new(count: usize) -> Self {
        let info = |n: usize| MemberInfo {
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
            info: info(n),
            member: None,
            incarnation: 0,
            records: Vec::new(),
            rewrites: 0,
            wake: Duration::ZERO,
            answers: BTreeMap::new(),
            published: None,
        };
        let mut cluster = Self {
            nodes: (0..count).map(node).collect(),
            now: Duration::from_secs(1),
            events: BTreeMap::new(),
            sequence: 0,
            held: None,
            kept_back: Vec::new(),
            cut: BTreeSet::new(),
            paused: BTreeSet::new(),
            frozen: BTreeMap::new(),
            sent: Vec::new(),
            forwarded: BTreeMap::new(),
        };
        (0..count).for_each(|n| cluster.restart(n));
        cluster
    }

    /// Starts a member, again where it ran; what is on its disk stays, what waits for the disk is lost.
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

    /// Starts a member with an empty disk: another identity at the same address.
    pub fn wipe(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.records.clear();
        node.info.id += 100;
        self.restart(n);
    }

    /// Whether a member is a replica in the membership of the primary, and that membership is stable.
    pub fn is_settled_replica(&self, n: usize) -> bool {
        let primary = (0..self.nodes.len()).find(|p| self.is_primary(*p));
        let membership = primary
            .and_then(|p| self.nodes[p].member.as_ref())
            .and_then(Member::membership);
        membership.is_some_and(|v| v.is_stable() && v.replicas.contains(&self.nodes[n].info.id))
    }

    /// Rewrites of a member's file so far.
    pub fn rewrites(&self, n: usize) -> usize {
        self.nodes[n].rewrites
    }

    /// Ends a member without a word.
    pub fn stop(&mut self, n: usize) {
        self.nodes[n].member = None;
    }

    /// Cuts a member off from all others.
    pub fn cut(&mut self, n: usize) {
        self.cut.insert(n);
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// A member stands still; what comes for it is lost.
    pub fn pause(&mut self, n: usize) {
        self.paused.insert(n);
    }

    /// A member stands still until [`thaw`](Self::thaw); what comes for it waits.
    pub fn freeze(&mut self, n: usize) {
        self.frozen.entry(n).or_default();
    }

    /// A member goes on, with all that has waited for it.
    pub fn thaw(&mut self, n: usize) {
        for event in self.frozen.remove(&n).unwrap_or_default() {
            self.schedule(Duration::ZERO, event);
        }
        self.schedule(Duration::ZERO, Event::Wake { node: n });
    }

    /// Whether a member stands still.
    pub fn is_frozen(&self, n: usize) -> bool {
        self.frozen.contains_key(&n)
    }

    /// Keeps something back from now on.
    pub fn hold(&mut self, held: Held) {
        self.held = Some(held);
    }

    /// Lets go of what was kept back.
    pub fn release(&mut self) {
        self.held = None;
        let kept_back = std::mem::take(&mut self.kept_back);
        kept_back
            .into_iter()
            .for_each(|event| self.schedule(WRITE_DELAY, event));
    }

    /// The primary, once there is one.
    pub fn primary(&mut self) -> usize {
        self.run_until(|c| (0..c.nodes.len()).any(|n| c.is_primary(n)));
        (0..self.nodes.len()).find(|n| self.is_primary(*n)).unwrap()
    }

    /// A member that holds no replica.
    pub fn witness(&mut self) -> usize {
        let primary = self.primary();
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

    /// The time.
    pub fn now_ms(&self) -> u64 {
        self.now.as_millis() as u64
    }

    /// A caller's command at a member.
    pub fn command(&mut self, n: usize, ticket: u64, command: Command) {
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
    pub fn published(&self, n: usize) -> Option<u64> {
        self.nodes[n].published
    }

    /// A member's view of itself; none while it is down.
    pub fn member(&self, n: usize) -> Option<&Member> {
        self.nodes[n].member.as_ref()
    }

    /// What a call of a member's present incarnation was answered.
    pub fn answered(&self, n: usize, ticket: u64) -> Option<ResultCode> {
        self.nodes[n].answers.get(&ticket).map(|a| a.0)
    }

    /// The text that went with the answer to a call.
    pub fn text_of(&self, n: usize, ticket: u64) -> String {
        String::from_utf8_lossy(&self.nodes[n].answers[&ticket].1).into_owned()
    }

    /// Runs until a call is answered.
    pub fn answer_to(&mut self, n: usize, ticket: u64) -> ResultCode {
        self.run_until(|c| c.answered(n, ticket).is_some());
        self.answered(n, ticket).unwrap()
    }

    /// Messages sent so far, with sender and receiver.
    pub fn sent(&self, which: impl Fn(&Message) -> bool) -> Vec<(usize, usize, Message)> {
        self.sent.iter().filter(|s| which(&s.2)).cloned().collect()
    }

    /// Commands of others that a member got.
    pub fn forwarded_to(&self, n: usize) -> usize {
        self.forwarded.get(&n).copied().unwrap_or(0)
    }

    /// Delivers a message, once more perhaps.
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

    /// Lets time pass.
    pub fn run_ms(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.events.first_key_value().is_some_and(|e| e.0 .0 <= end) {
            self.step_next();
        }
        self.now = end;
    }

    /// Lets time pass until something holds.
    pub fn run_until(&mut self, holds: impl Fn(&Self) -> bool) {
        let end = self.now + LONGEST_WAIT;
        while !holds(self) {
            assert!(self.now < end && !self.events.is_empty(), "it never comes");
            self.step_next();
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
    }

    fn step_next(&mut self) {
        let Some(((at, _), event)) = self.events.pop_first() else {
            return;
        };
        self.now = self.now.max(at);
        if let Some(waiting) = self.frozen.get_mut(&event.node()) {
            waiting.push(event);
            return;
        }
        match event {
            Event::Deliver { from, to, message } => {
                if self.cut.contains(&from) || self.cut.contains(&to) {
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
            Event::Wrote {
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
                if self.nodes[node].wake <= self.now {
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
                let event = Event::Wrote {
                    node: n,
                    incarnation: self.nodes[n].incarnation,
                    ticket,
                    records,
                    rewrite,
                };
                match self.held {
                    Some(Held::Writes) => self.kept_back.push(event),
                    None => self.schedule(WRITE_DELAY, event),
                }
            }
            Output::Answer { ticket, code, body } => {
                self.nodes[n].answers.insert(ticket, (code, body));
            }
            Output::Wake { at } => {
                self.nodes[n].wake = at;
                let after = at.saturating_sub(self.now);
                self.schedule(after, Event::Wake { node: n });
            }
            Output::PublishState { index, .. } | Output::RestoreState { index, .. } => {
                self.nodes[n].published = Some(index);
            }
            Output::DepartureComplete => {}
        }
    }
}
