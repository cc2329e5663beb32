//! The simulated world: clock, queue and machines. What is about the network, the disks, the faults, the callers
//! and the checkers stands beside.

mod budget;
mod bugs;
mod callers;
mod checks;
mod disk;
mod guesses;
mod moments;
mod network;
mod nodes;
mod orders;
mod readers;
mod strike;

use crate::faults::{Aimed, Fault, Moment};
use crate::operator::Operator;
use crate::plan::{ms, Plan, Report};
use crate::planted::Planted;
use control_plane::member::{DiskError, Input, Member, Output};
use orders::OrderBook;
use protocol::{MemberInfo, Message};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

#[derive(Debug)]
enum What {
    Wake,
    Deliver {
        from: usize,
        life: u32,
        message: Box<Message>,
    },
    /// As [`What::Deliver`], on another connection.
    Late {
        from: usize,
        life: u32,
        message: Box<Message>,
    },
    Wrote {
        ticket: u64,
        records: Vec<Vec<u8>>,
        rewrite: bool,
        result: Result<(), DiskError>,
    },
    Start,
    Fault(Fault),
    Heal(Fault),
    Call,
    Hello,
    /// A call of an operator reaches a member.
    Order {
        ticket: u64,
    },
    /// An operator may call.
    Operator(usize),
    /// An answer reaches its operator.
    Told {
        ticket: u64,
        told: orders::Told,
    },
    /// A taken order is sent again.
    Again {
        content: usize,
    },
    /// The aimed fault of this number strikes; its moment's subject goes with it.
    Aimed {
        number: usize,
        subject: usize,
    },
    /// Something happens to a process that mirrors the control plane.
    Station {
        place: readers::Place,
        life: u32,
        event: readers::Event,
    },
    /// Such a process starts.
    OpenStation(readers::Place),
    /// A process that was asked to end ends.
    End(usize, Option<Duration>),
    /// The checkers look.
    Check,
}

impl What {
    /// Whether it doesn't end with a member's process.
    fn is_of_the_world(&self) -> bool {
        matches!(
            self,
            Self::Fault(_)
                | Self::Heal(_)
                | Self::Call
                | Self::Operator(_)
                | Self::Told { .. }
                | Self::Again { .. }
                | Self::Aimed { .. }
                | Self::End(..)
                | Self::Station { .. }
                | Self::OpenStation(_)
                | Self::Check
        )
    }
}

/// Until when a member's troubles last, where several of one kind meet.
#[derive(Debug, Default)]
struct Until {
    frozen: Duration,
    stalled: Duration,
    full: Duration,
    slow: Duration,
    /// Since when its process stands still.
    frozen_since: Duration,
    /// It can't reach all others that are well.
    apart: Duration,
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
    /// Whether it is a voter of view 0 as long as its disk is empty.
    initial_voter: bool,
    /// Until when the budget counts it as lost.
    lost_until: Duration,
    /// Until when it counts as new.
    new_until: Duration,
    until: Until,
    /// How long its process stood still in all.
    stood_still: Duration,
    /// By how much its clock runs fast, in millionths.
    drift_ppm: i64,
    /// What it last showed as acknowledged in this life.
    shown: Option<Vec<u8>>,
    /// The ledger that its latest view began with, for a planted bug.
    view_ledger: Option<protocol::Snapshot>,
}

/// Sets what is drawn for pulls apart from what is drawn for members.
const STATION_SALT: u64 = 0x0057_a710;
/// As [`STATION_SALT`], for the drift of clocks.
const DRIFT_SALT: u64 = 0x00d2_1f70;
/// Parts of a second in which the drift of clocks is told.
const MILLION: i64 = 1_000_000;

type Due = Reverse<(Duration, u64, usize)>;

struct World<'p> {
    plan: &'p Plan,
    now: Duration,
    rng: Pcg32,
    station_rng: Pcg32,
    drift_rng: Pcg32,
    nodes: Vec<Node>,
    /// The voters of view 0, as they were when the system began.
    initial_voters: Vec<MemberInfo>,
    queue: BinaryHeap<Due>,
    what: BTreeMap<u64, What>,
    numbers: u64,
    cut: BTreeMap<(usize, usize), u32>,
    /// When the last message on each way comes.
    link_busy: BTreeMap<(usize, usize), Duration>,
    operator: Operator,
    report: Report,
    published: BTreeMap<u64, u64>,
    orders: OrderBook,
    stations: BTreeMap<readers::Place, readers::Station>,
    /// Faults that wait for a moment, and the moments that have come.
    armed: Vec<Aimed>,
    moments: BTreeMap<Moment, u32>,
    /// Whether somebody acted at the last look, and who.
    last_acting: Option<usize>,
    /// Disks that are lost for good.
    disks_lost: u32,
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
        station_rng: Pcg32::seed_from_u64(plan.seed ^ STATION_SALT),
        drift_rng: Pcg32::seed_from_u64(plan.seed ^ DRIFT_SALT),
        nodes: Vec::new(),
        initial_voters: Vec::new(),
        queue: BinaryHeap::new(),
        what: BTreeMap::new(),
        numbers: 0,
        cut: BTreeMap::new(),
        link_busy: BTreeMap::new(),
        operator: Operator::default(),
        report: Report::default(),
        published: BTreeMap::new(),
        orders: OrderBook::default(),
        stations: BTreeMap::new(),
        armed: plan.aimed.clone(),
        moments: BTreeMap::new(),
        last_acting: None,
        disks_lost: 0,
        calm_since: ms(1000),
        gap_from: None,
        acting: 0,
    };
    for n in 0..plan.members {
        world.add(n as u64 + 1);
        let late = ms(world.pick(300));
        world.at(world.now + late, n, What::Start);
    }
    world.initial_voters = world
        .nodes
        .iter()
        .take(nodes::INITIAL_VOTERS)
        .map(|n| n.seat.clone())
        .collect();
    for (at, fault) in &plan.faults {
        world.at(world.now + *at, 0, What::Fault(*fault));
    }
    match &plan.orders {
        None => world.at(world.now + ms(2000), 0, What::Call),
        Some(orders) => {
            (0..orders.operators)
                .for_each(|o| world.at(world.now + ms(1500), 0, What::Operator(o)));
        }
    }
    for k in 0..plan.agents {
        world.open_station(readers::Place::Agent(k));
        world.open_station(readers::Place::Proxy(k));
    }
    if plan.strict {
        world.at(world.now + ms(4000), 0, What::Check);
    }
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
        let now = self.clock(n);
        self.planted_input(n, &input);
        let Some(member) = self.nodes[n].member.as_mut() else {
            return;
        };
        member.step(now, input, &mut out);
        self.report.epoch = self.report.epoch.max(member.promised_epoch());
        self.report.steps += 1;
        for output in out {
            self.station_hears(n, &output);
            self.perform(n, output);
        }
        self.station_shows(n);
        self.check_one_acts(n);
        let now = self.now;
        let acts = self.someone_acts();
        match (acts, self.gap_from) {
            (true, Some(from)) => {
                self.report.gaps.push(now - from);
                self.gap_from = None;
            }
            (false, None) => self.gap_from = Some(now),
            _ => {}
        }
        let acting = acts.then_some(self.acting);
        if acting != self.last_acting {
            self.last_acting = acting;
            self.note(|w| {
                format!(
                    "acts: {:?} {:?}",
                    acting,
                    acting.and_then(|n| w.nodes[n].member.as_ref()?.membership().map(|v| (
                        v.epoch,
                        v.replicas.clone(),
                        v.voters.iter().map(|s| s.id).collect::<Vec<_>>(),
                        v.previous_voters.iter().map(|s| s.id).collect::<Vec<_>>()
                    )))
                )
            });
            if let Some(acting) = acting {
                self.moment(Moment::TookOver, acting);
            }
        }
    }

    /// Notes what happened, where the plan asks for it.
    fn note(&mut self, line: impl FnOnce(&Self) -> String) {
        if self.plan.trace {
            let line = format!("{:?} {}", self.now, line(self));
            self.report.trace.push(line);
        }
    }

    /// A member's clock.
    fn clock(&self, n: usize) -> Duration {
        let node = &self.nodes[n];
        let passed = match self.plan.planted {
            Planted::ClockStopsInFreeze => self.now - node.stood_still,
            _ => self.now,
        };
        let passed = passed.as_nanos() as i128;
        let drift = passed * i128::from(node.drift_ppm) / i128::from(MILLION);
        Duration::from_nanos((passed + drift) as u64)
    }

    /// How long it takes until a member's clock has gone on by so much.
    fn true_delay(&self, n: usize, delay: Duration) -> Duration {
        match self.nodes[n].drift_ppm {
            0 => delay,
            // Rounded up, so that nobody wakes too early.
            ppm => {
                delay.mul_f64(MILLION as f64 / (MILLION + ppm) as f64) + Duration::from_micros(2)
            }
        }
    }

    fn draw_drift(&mut self) -> i64 {
        let most = i64::from(self.plan.drift_ppm);
        match most {
            0 => 0,
            _ => i64::from(self.drift_rng.next_u32()) % (2 * most + 1) - most,
        }
    }

    /// Whether some member acts that isn't frozen; the one that did at the last step is looked at first.
    fn someone_acts(&mut self) -> bool {
        let acts = |n: &Node| !n.frozen && n.member.as_ref().is_some_and(Member::is_acting_primary);
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
            Output::Write {
                ticket,
                records,
                rewrite,
            } => self.write(n, ticket, records, rewrite),
            Output::Answer { ticket, code, body } => {
                self.answered(n, ticket, self.planted_answer(code), &body);
            }
            Output::PublishState {
                index,
                configuration,
                drains,
            } => self.shown(n, index, &configuration, &drains),
            Output::RestoreState {
                index,
                configuration,
                drains,
            } => self.restored(n, index, &configuration, &drains),
            Output::Wake { at } => {
                let at = self.now + self.true_delay(n, at.saturating_sub(self.clock(n)));
                self.nodes[n].wake = at;
                self.at(at, n, What::Wake);
            }
            // The process ends.
            Output::DepartureComplete if self.plan.strict => self.nodes[n].member = None,
            Output::DepartureComplete => {}
        }
    }

    fn happen(&mut self, n: usize, what: What) {
        if self.nodes[n].frozen && !what.is_of_the_world() {
            self.nodes[n].held_back.push((n, what));
            return;
        }
        match what {
            What::Wake if self.now >= self.nodes[n].wake => self.step(n, Input::Tick),
            What::Wake => {}
            What::Deliver {
                from,
                life,
                message,
            } => self.deliver(from, life, *message, n),
            What::Late {
                from,
                life,
                message,
            } => self.deliver_late(from, life, *message, n),
            What::Wrote {
                ticket,
                records,
                rewrite,
                result,
            } => self.wrote(n, ticket, records, rewrite, result),
            What::Start => self.start(n),
            What::Hello => self.hello(n),
            What::Call => self.call(),
            What::Order { ticket } => self.order_arrives(n, ticket),
            What::Operator(operator) => self.operator_calls(operator),
            What::Told { ticket, told } => self.operator_told(ticket, told),
            What::Again { content } => self.order_again(content),
            What::Aimed { number, subject } => self.aim(number, subject),
            What::Station { place, life, event } => self.station_event(place, life, event),
            What::OpenStation(place) => self.open_station(place),
            What::End(n, back) => self.end(n, back),
            What::Check => self.look(),
            What::Fault(fault) if self.plan.strict => self.strike_in_budget(fault),
            What::Fault(fault) => self.strike(fault),
            What::Heal(fault) => self.heal(fault),
        }
    }
}
