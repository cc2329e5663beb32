//! The simulated world: clock, queue and machines. What is about the network, the disks, the faults, the callers
//! and the checkers stands beside.

mod callers;
mod checks;
mod disk;
mod network;
mod nodes;
mod strike;

use crate::faults::Fault;
use crate::operator::Operator;
use crate::plan::{ms, Plan, Report};
use control_plane::member::{DiskError, Input, Member, Output};
use protocol::{MemberInfo, Message};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

#[derive(Debug)]
enum What {
    Wake,
    Deliver { from: usize, life: u32, message: Box<Message> },
    Wrote { ticket: u64, records: Vec<Vec<u8>>, rewrite: bool, result: Result<(), DiskError> },
    Start,
    Fault(Fault),
    Heal(Fault),
    Call,
    Hello,
}

struct Node {
    seat: MemberInfo,
    member: Option<Member>,
    life: u32,
    records: Vec<Vec<u8>>,
    frozen: bool,
    gone: bool,
    wake: Duration,
    disk: (bool, bool, u32),
    held_back: Vec<(usize, What)>,
}

type Due = Reverse<(Duration, u64, usize)>;

struct World<'p> {
    plan: &'p Plan,
    now: Duration,
    rng: Pcg32,
    nodes: Vec<Node>,
    queue: BinaryHeap<Due>,
    what: BTreeMap<u64, What>,
    numbers: u64,
    cut: BTreeMap<(usize, usize), u32>,
    operator: Operator,
    report: Report,
    published: BTreeMap<u64, u64>,
    calm_since: Duration,
    gap_from: Option<Duration>,
    /// The member that acted at the last look.
    acting: usize,
}

/// Plays a plan.
pub fn run(plan: &Plan) -> Report {
    let mut world = World {
        plan,
        now: ms(1000),
        rng: Pcg32::seed_from_u64(plan.seed),
        nodes: Vec::new(),
        queue: BinaryHeap::new(),
        what: BTreeMap::new(),
        numbers: 0,
        cut: BTreeMap::new(),
        operator: Operator::default(),
        report: Report::default(),
        published: BTreeMap::new(),
        calm_since: ms(1000),
        gap_from: None,
        acting: 0,
    };
    for n in 0..plan.members {
        world.add(n as u64 + 1);
        let late = ms(world.pick(300));
        world.at(world.now + late, n, What::Start);
    }
    for (at, fault) in &plan.faults {
        world.at(world.now + *at, 0, What::Fault(*fault));
    }
    world.at(world.now + ms(2000), 0, What::Call);
    let end = world.now + plan.length;
    while let Some(Reverse((at, number, node))) = world.queue.pop() {
        if at > end || world.report.steps > 2_000_000 || !world.report.breaches.is_empty() {
            break;
        }
        world.now = world.now.max(at);
        if let Some(what) = world.what.remove(&number) {
            world.happen(node, what);
        }
    }
    world.finish(end)
}

impl World<'_> {
    fn pick(&mut self, n: u64) -> u64 {
        u64::from(self.rng.next_u32()) % n.max(1)
    }

    fn at(&mut self, at: Duration, node: usize, what: What) {
        self.numbers += 1;
        self.what.insert(self.numbers, what);
        self.queue.push(Reverse((at, self.numbers, node)));
    }

    fn step(&mut self, n: usize, input: Input) {
        let mut out = Vec::new();
        let now = self.now;
        let Some(member) = self.nodes[n].member.as_mut() else { return };
        member.step(now, input, &mut out);
        self.report.epoch = self.report.epoch.max(member.promised());
        self.report.steps += 1;
        for output in out {
            self.perform(n, output);
        }
        let acts = self.someone_acts();
        match (acts, self.gap_from) {
            (true, Some(from)) => {
                self.report.gaps.push(now - from);
                self.gap_from = None;
            }
            (false, None) => self.gap_from = Some(now),
            _ => {}
        }
    }

    /// Whether some member acts that isn't frozen; the one that did at the last step is looked at first.
    fn someone_acts(&mut self) -> bool {
        let acts = |n: &Node| !n.frozen && n.member.as_ref().is_some_and(Member::acts);
        if !self.nodes.get(self.acting).is_some_and(acts) {
            match self.nodes.iter().position(acts) {
                Some(found) => self.acting = found,
                None => return false,
            }
        }
        true
    }

    fn perform(&mut self, n: usize, output: Output) {
        match output {
            Output::Send { to, message } => self.send(n, &to, message),
            Output::Write { ticket, records, rewrite } => self.write(n, ticket, records, rewrite),
            Output::Answer { ticket, code, body } => self.answered(n, ticket, code, &body),
            Output::Publish { seq, document, drains } => self.shown(n, seq, &document, &drains),
            Output::Restore { seq, document, .. } => self.restored(n, seq, &document),
            Output::Wake { at } => {
                self.nodes[n].wake = at;
                self.at(at, n, What::Wake);
            }
            Output::Left => {}
        }
    }

    fn happen(&mut self, n: usize, what: What) {
        if self.nodes[n].frozen && !matches!(what, What::Fault(_) | What::Heal(_) | What::Call) {
            self.nodes[n].held_back.push((n, what));
            return;
        }
        match what {
            What::Wake if self.now >= self.nodes[n].wake => self.step(n, Input::Tick),
            What::Wake => {}
            What::Deliver { from, life, message } => self.deliver(from, life, *message, n),
            What::Wrote { ticket, records, rewrite, result } => {
                self.wrote(n, ticket, records, rewrite, result)
            }
            What::Start => self.start(n),
            What::Hello => self.hello(n),
            What::Call => self.call(),
            What::Fault(fault) => self.strike(fault),
            What::Heal(fault) => self.heal(fault),
        }
    }
}
