//! The simulated world: clock, network, disks, and the checkers.

use crate::faults::{Fault, Planted};
use crate::operator::Operator;
use configuration::FaultBudget;
use control_plane::member::{Config, DiskError, Input, Member, Output};
use protocol::{Addr, MemberInfo, Message, Record};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Members at the start; the first three are the seeds.
    pub members: usize,
    /// Machines that may be lost at once.
    pub losses: u32,
    /// How long it goes on.
    pub length: Duration,
    /// Faults by their time.
    pub faults: Vec<(Duration, Fault)>,
    /// A bug to be found.
    pub planted: Planted,
    /// More is lost at once than the budget allows: nothing may be broken, but nobody has to act either.
    pub safety_only: bool,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// What was broken.
    pub breaches: Vec<String>,
    /// Calls that were acknowledged.
    pub acknowledged: u64,
    /// The longest that a call took which was made in calm times.
    pub slowest: Duration,
    /// Steps that members took.
    pub steps: u64,
    /// Times without a primary that acted, each from its start to its end.
    pub gaps: Vec<Duration>,
    /// Highest epoch that was reached.
    pub epoch: u64,
}

impl Plan {
    /// A run without faults.
    pub fn calm(seed: u64) -> Self {
        let (members, losses, length) = (3, 1, ms(12_000));
        Self { seed, members, losses, length, faults: vec![], planted: Planted::Nothing, safety_only: false }
    }

    /// A run with one fault upon the other, whatever the budget says, but no more disks lost in all than it allows:
    /// takeovers are met half-way.
    pub fn rough(seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed ^ 0x0bad);
        let mut pick = |n: u64| u64::from(rng.next_u32()) % n;
        let (members, losses) = [(3, 1), (3, 1), (3, 1), (5, 2)][pick(4) as usize];
        let mut plan = Self { members, losses, safety_only: true, ..Self::calm(seed) };
        let (mut at, mut wipes) = (ms(2500), losses);
        for _ in 0..30 {
            let who = pick(members as u64) as usize;
            let long = ms(30 + pick(1800));
            let fault = match pick(9) {
                0..=2 => Fault::Kill(who, ms(5 + pick(1300))),
                3 => Fault::Freeze(who, long),
                4 => Fault::Cut(who, long, None),
                5 => Fault::Cut(who, long, Some(pick(2) == 0)),
                6 => Fault::Stall(who, long),
                7 if wipes > 0 && pick(3) == 0 => {
                    wipes -= 1;
                    Fault::Wipe(who, ms(5 + pick(600)))
                }
                _ => Fault::Slow(who, long, 20 + pick(20) as u32),
            };
            plan.faults.push((at, fault));
            at += ms(20 + pick(900));
        }
        plan.length = at + ms(6000);
        plan
    }

    /// A run whose size and faults are drawn; no more are lost at once than the budget allows.
    pub fn drawn(seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed ^ 0x5eed);
        let mut pick = |n: u64| u64::from(rng.next_u32()) % n;
        let (members, losses) = [(3, 1), (3, 1), (4, 1), (5, 2), (8, 2)][pick(5) as usize];
        let mut plan = Self { members, losses, ..Self::calm(seed) };
        let mut at = ms(2500 + pick(2000));
        for _ in 0..2 + pick(4) {
            let who = pick(members as u64) as usize;
            let long = ms(200 + pick(4000));
            let fault = match pick(13) {
                0 => Fault::Kill(who, ms(100 + pick(600))),
                1 => Fault::Power(who, long),
                2 => Fault::Wipe(who, long),
                3 => Fault::Replace(who, long),
                4 => Fault::Freeze(who, long),
                5 => Fault::Cut(who, long, None),
                6 => Fault::Cut(who, long, Some(pick(2) == 0)),
                7 => Fault::Stall(who, long),
                8 => Fault::Slow(who, long, 20 + pick(20) as u32),
                9 => Fault::Full(who, long),
                10 => Fault::KillAll(ms(300 + pick(900))),
                11 => Fault::PowerAll(ms(300 + pick(900)), Some(who).filter(|_| pick(2) == 0)),
                _ => Fault::Term(who, ms(100 + pick(500))),
            };
            plan.faults.push((at, fault));
            // A lost member counts as lost for a while after it is back.
            at += long.max(ms(1200)) + ms(4500 + pick(1500));
        }
        plan.length = at + ms(9000);
        plan
    }
}

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

    fn add(&mut self, id: u64) {
        let n = self.nodes.len() as u32;
        let addr = Addr { ip: 0x0a00_0001 + n, port: 7660 };
        let zone = format!("z{}", n % 3);
        let seat = MemberInfo {
            id,
            name: format!("core-{n}"),
            addr,
            control: Addr { port: 80, ..addr },
            zone,
            region: "r".into(),
        };
        self.nodes.push(Node {
            seat,
            member: None,
            life: 0,
            records: vec![],
            frozen: false,
            gone: false,
            wake: ms(0),
            disk: (false, false, 1),
            held_back: vec![],
        });
    }

    fn start(&mut self, n: usize) {
        if self.nodes[n].gone {
            return;
        }
        let first = self.nodes[n].life == 0 && n < self.plan.members;
        let seeds: Vec<MemberInfo> = self.nodes.iter().take(3).map(|n| n.seat.clone()).collect();
        let random = u64::from(self.rng.next_u32());
        let losses = self.plan.losses - u32::from(self.plan.planted == Planted::TooFewReplicas);
        let node = &mut self.nodes[n];
        node.life += 1;
        if self.plan.planted == Planted::ForgetsPromises {
            node.records.retain(|r| !matches!(protocol::read_one(r), Ok(Record::Promised { .. })));
        }
        let config = Config {
            me: node.seat.clone(),
            bootstrap_voters: (first
                || (self.plan.planted == Planted::WipedVotes && node.records.is_empty()))
            .then_some(seeds),
            budget: FaultBudget { machine_losses: losses, zones: 0, region_losses: 0 },
            lease: ms(1000),
            patience: ms(900),
            stall: ms(600),
        };
        node.member = Some(Member::new(config, &node.records, self.now, random));
        self.at(self.now, n, What::Hello);
        self.step(n, Input::Tick);
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
        let acts = self.nodes.iter().any(|n| n.member.as_ref().is_some_and(Member::acts) && !n.frozen);
        match (acts, self.gap_from) {
            (true, Some(from)) => {
                self.report.gaps.push(now - from);
                self.gap_from = None;
            }
            (false, None) => self.gap_from = Some(now),
            _ => {}
        }
    }

    fn perform(&mut self, n: usize, output: Output) {
        let life = self.nodes[n].life;
        match output {
            Output::Send { to, message } => {
                let Some(to) = self.nodes.iter().position(|m| m.seat.addr == to.addr) else { return };
                let lost = self.pick(200) == 0;
                let delay = Duration::from_micros(400 + self.pick(1200)) + ms(if lost { 200 } else { 0 });
                if !self.cut.contains_key(&(n, to)) {
                    self.at(
                        self.now + delay,
                        to,
                        What::Deliver { from: n, life, message: Box::new(message) },
                    );
                }
            }
            Output::Write { ticket, mut records, rewrite } => {
                let (stalled, full, slow) = self.nodes[n].disk;
                let time = (ms(2) + Duration::from_micros(self.pick(1500))) * slow;
                if self.plan.planted == Planted::NoSnapshot {
                    records.iter_mut().for_each(|r| {
                        if let Ok(Record::Accepted { view, .. }) = protocol::read_one(r) {
                            *r = protocol::write_one(&Record::Accepted { view, snapshot: None });
                        }
                    });
                }
                if self.plan.planted == Planted::LosesEveryTenthWrite && self.pick(10) == 0 {
                    records.clear();
                }
                let result = if full { Err(DiskError::Full) } else { Ok(()) };
                let early = self.plan.planted == Planted::NoSync;
                let wrote = What::Wrote { ticket, records, rewrite, result };
                if stalled {
                    self.nodes[n].held_back.push((n, wrote));
                } else if early {
                    // Confirmed now, on disk long after.
                    if let What::Wrote { ticket, records, rewrite, result } = wrote {
                        self.at(self.now, n, What::Wrote { ticket, records: vec![], rewrite: false, result });
                        self.at(self.now + ms(400), n, What::Wrote { ticket: 0, records, rewrite, result });
                    }
                } else {
                    self.at(self.now + time, n, wrote);
                }
            }
            Output::Answer { ticket, code, body } => {
                let calm =
                    self.operator.calls.get(&ticket).is_some_and(|c| c.made > self.calm_since + ms(3000));
                if let Err(breach) = self.operator.answered(self.now, ticket, code, &body, calm) {
                    self.report.breaches.push(format!("{:?} node {n}: {breach}", self.now));
                }
            }
            Output::Publish { seq, document, drains } => {
                let version = document.version;
                let same = *self.published.entry(seq).or_insert(version);
                if same != version {
                    self.breach(n, format!("change {seq} is {same} and {version}"));
                }
                if version < self.operator.newest {
                    self.breach(
                        n,
                        format!("{version} shown after {} was acknowledged", self.operator.newest),
                    );
                }
                if let Some(lost) = self.operator.drained.iter().find(|d| !drains.contains(d)) {
                    let lost = lost.clone();
                    self.breach(n, format!("drain of {lost} lost"));
                }
            }
            Output::Restore { seq, document, .. } => {
                // Perhaps not the newest, perhaps agreed on and not shown yet, but never what is taken back: whatever is
                // shown under this number, before or after, has to be the same.
                let version = document.version;
                let same = *self.published.entry(seq).or_insert(version);
                if same != version {
                    self.breach(n, format!("change {seq} is {same}, and {version} after a start"));
                }
            }
            Output::Wake { at } => {
                self.nodes[n].wake = at;
                self.at(at, n, What::Wake);
            }
            Output::Left => {}
        }
    }

    fn breach(&mut self, n: usize, what: String) {
        self.report.breaches.push(format!("{:?} node {n}: {what}", self.now));
    }

    fn happen(&mut self, n: usize, what: What) {
        if self.nodes[n].frozen && !matches!(what, What::Fault(_) | What::Heal(_) | What::Call) {
            self.nodes[n].held_back.push((n, what));
            return;
        }
        match what {
            What::Wake if self.now >= self.nodes[n].wake => self.step(n, Input::Tick),
            What::Wake => {}
            What::Deliver { from, life, message } => {
                let seat = self.nodes[from].seat.clone();
                if self.nodes[from].life == life && !self.cut.contains_key(&(from, n)) {
                    self.step(n, Input::Message { from: seat, message: *message });
                }
            }
            What::Wrote { ticket, records, rewrite, result } => {
                if result.is_ok() {
                    if rewrite {
                        self.nodes[n].records.clear();
                    }
                    self.nodes[n].records.extend(records);
                }
                self.step(n, Input::Wrote { ticket, result });
            }
            What::Start => self.start(n),
            What::Hello => self.hello(n),
            What::Call => self.call(),
            What::Fault(fault) => self.strike(fault),
            What::Heal(fault) => self.heal(fault),
        }
    }

    /// Members show that they are there, as their links do.
    fn hello(&mut self, n: usize) {
        if self.nodes[n].member.is_none() {
            return;
        }
        let seat = self.nodes[n].seat.clone();
        for to in 0..self.nodes.len() {
            let reaches = to != n && !self.cut.contains_key(&(n, to)) && !self.nodes[to].frozen;
            if reaches && self.nodes[to].member.is_some() {
                self.step(to, Input::Reachable { seat: seat.clone() });
            }
        }
        self.at(self.now + ms(1000), n, What::Hello);
    }

    fn call(&mut self) {
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].member.is_some() && !self.nodes[*n].frozen)
            .collect();
        if !up.is_empty() {
            let member = up[self.pick(up.len() as u64) as usize];
            // Calls without a clear answer are made again, elsewhere.
            let stale: Vec<u64> = self
                .operator
                .calls
                .iter()
                .filter(|c| self.now >= c.1.sent + ms(1000))
                .map(|c| *c.0)
                .collect();
            for ticket in stale {
                if let Some(call) = self.operator.calls.get_mut(&ticket) {
                    (call.sent, call.member) = (self.now, member);
                    let command = call.command.clone();
                    self.step(member, Input::Command { ticket, command });
                }
            }
            if self.operator.calls.len() < 6 {
                let kind = self.pick(16);
                let ticket = self.operator.make(self.now, kind, member);
                let command = self.operator.calls[&ticket].command.clone();
                self.step(member, Input::Command { ticket, command });
            }
        }
        let next = ms(20 + self.pick(160));
        self.at(self.now + next, 0, What::Call);
    }

    fn down(&mut self, n: usize, back: Duration) {
        // What the dead process still had under way comes to nothing.
        self.nodes[n].member = None;
        self.nodes[n].held_back.clear();
        let lost: Vec<u64> = self.queue.iter().filter(|q| q.0 .2 == n).map(|q| q.0 .1).collect();
        for number in lost {
            if !matches!(self.what.get(&number), Some(What::Fault(_) | What::Heal(_) | What::Call)) {
                self.what.remove(&number);
            }
        }
        self.at(self.now + back, n, What::Start);
    }

    fn strike(&mut self, fault: Fault) {
        self.calm_since = Duration::MAX / 2;
        let heal = match fault {
            Fault::Kill(n, d) | Fault::Power(n, d) => {
                self.down(n, d);
                d
            }
            Fault::Term(n, d) => {
                self.step(n, Input::Leave);
                self.at(self.now + ms(1200), n, What::Fault(Fault::Kill(n, d)));
                d + ms(1200)
            }
            Fault::Wipe(n, d) => {
                self.wipe(n);
                self.down(n, d);
                d
            }
            Fault::Replace(n, d) => {
                self.nodes[n].gone = true;
                self.down(n, d);
                let id = 1000 + self.nodes.len() as u64;
                self.add(id);
                let new = self.nodes.len() - 1;
                self.at(self.now + d, new, What::Start);
                d
            }
            Fault::Freeze(n, d) => {
                self.nodes[n].frozen = true;
                d
            }
            Fault::Cut(n, d, way) => {
                self.cut_off(n, way, true);
                d
            }
            Fault::Stall(n, d) => {
                self.nodes[n].disk.0 = true;
                d
            }
            Fault::Full(n, d) => {
                self.nodes[n].disk.1 = true;
                d
            }
            Fault::Slow(n, d, x) => {
                self.nodes[n].disk.2 = x;
                d
            }
            Fault::KillAll(d) | Fault::PowerAll(d, _) => {
                if let Fault::PowerAll(_, Some(n)) = fault {
                    self.wipe(n);
                }
                for n in 0..self.nodes.len() {
                    if !self.nodes[n].gone {
                        let spread = ms(self.pick(200));
                        self.down(n, d + spread);
                    }
                }
                d
            }
        };
        self.at(self.now + heal, 0, What::Heal(fault));
    }

    fn wipe(&mut self, n: usize) {
        let id = 10_000 + u64::from(self.rng.next_u32());
        self.nodes[n].records.clear();
        if self.plan.planted != Planted::WipedVotes {
            self.nodes[n].seat.id = id;
        }
    }

    fn cut_off(&mut self, n: usize, way: Option<bool>, on: bool) {
        for other in (0..self.nodes.len()).filter(|o| *o != n) {
            for pair in [(n, other), (other, n)] {
                let out = pair.0 == n;
                if way.is_none_or(|w| w == out) {
                    let count = self.cut.entry(pair).or_insert(0);
                    *count = if on { *count + 1 } else { count.saturating_sub(1) };
                    if *count == 0 {
                        self.cut.remove(&pair);
                    }
                }
            }
        }
    }

    fn heal(&mut self, fault: Fault) {
        match fault {
            Fault::Freeze(n, _) => {
                self.nodes[n].frozen = false;
                for (node, what) in std::mem::take(&mut self.nodes[n].held_back) {
                    self.at(self.now, node, what);
                }
            }
            Fault::Cut(n, _, way) => self.cut_off(n, way, false),
            Fault::Stall(n, _) => {
                self.nodes[n].disk.0 = false;
                for (node, what) in std::mem::take(&mut self.nodes[n].held_back) {
                    self.at(self.now + ms(2), node, what);
                }
            }
            Fault::Full(n, _) => self.nodes[n].disk.1 = false,
            Fault::Slow(n, ..) => self.nodes[n].disk.2 = 1,
            _ => {}
        }
        self.calm_since = self.now;
    }

    /// In the end what was acknowledged has to be there, and a primary with it.
    fn finish(mut self, end: Duration) -> Report {
        let acting: Vec<usize> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].member.as_ref().is_some_and(Member::acts))
            .collect();
        // A view may just be changing.
        let long = self.gap_from.is_some_and(|from| end > from + ms(2000));
        if acting.is_empty() && long && !self.plan.safety_only && self.report.breaches.is_empty() {
            let ids = |seats: &[MemberInfo]| seats.iter().map(|s| s.id).collect::<Vec<_>>();
            let views: Vec<_> = self
                .nodes
                .iter()
                .map(|n| {
                    let member = n.member.as_ref()?;
                    let view = member.view();
                    let view = view.map(|v| (v.epoch, v.replicas.clone(), ids(&v.voters), ids(&v.before)));
                    Some((n.seat.id, member.promised(), view))
                })
                .collect();
            self.report.breaches.push(format!("{end:?}: nobody acts: {views:?}"));
        }
        let stuck = self
            .operator
            .calls
            .values()
            .find(|c| c.made > self.calm_since + ms(3000) && end > c.made + ms(4000));
        if let Some(stuck) = stuck.cloned().filter(|_| !self.plan.safety_only) {
            self.report.breaches.push(format!("no answer since {:?} to {:?}", stuck.made, stuck.version));
        }
        if self.operator.slowest > ms(4000) && !self.plan.safety_only {
            self.report.breaches.push(format!("a call in calm times took {:?}", self.operator.slowest));
        }
        self.report.acknowledged = self.operator.acknowledged;
        self.report.slowest = self.operator.slowest;
        self.report
    }
}
