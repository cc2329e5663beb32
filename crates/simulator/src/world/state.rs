//! State of the simulated world, its clocks and its event queue.

use super::event::{EventKind, QueueEntry};
use super::node::Node;
use super::request_log::RequestLog;
use super::subscriber::{ProcessId, SubscriberProcess};
use crate::faults::{FaultTrigger, TriggeredFault};
use crate::plan::{ms, Plan, Report};
use crate::seeded_bug::SeededBug;
use crate::single_client::SingleClient;
use control_plane::member::Member;
use protocol::MemberInfo;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Separates the random numbers drawn for pulls from those drawn for members.
const SUBSCRIBER_RNG_SALT: u64 = 0x0057_a710;
/// Separates the random numbers drawn for the drift of clocks from the others.
const CLOCK_DRIFT_RNG_SALT: u64 = 0x00d2_1f70;
/// Clock drift is given in millionths.
const PARTS_PER_MILLION: i64 = 1_000_000;
/// The world's clock at the start of a run.
const START_TIME: Duration = ms(1000);

/// State of a run.
pub(super) struct World<'p> {
    pub(super) plan: &'p Plan,
    pub(super) now: Duration,
    pub(super) rng: Pcg32,
    pub(super) subscriber_rng: Pcg32,
    drift_rng: Pcg32,
    pub(super) nodes: Vec<Node>,
    /// The voters of epoch 0, as they were when the system began.
    pub(super) initial_voters: Vec<MemberInfo>,
    pub(super) queue: BinaryHeap<QueueEntry>,
    /// The queue's events by their numbers.
    pub(super) events: BTreeMap<u64, EventKind>,
    /// The number given out last, to an event or a waiting pull.
    pub(super) last_number: u64,
    /// Links (from, to) that are partitioned, with the number of faults that cut each of them.
    pub(super) cut: BTreeMap<(usize, usize), u32>,
    /// When the last message on each link (from, to) arrives.
    pub(super) link_busy_until: BTreeMap<(usize, usize), Duration>,
    pub(super) single_client: SingleClient,
    pub(super) report: Report,
    /// The version published under each index, in runs with the single client.
    pub(super) published: BTreeMap<u64, u64>,
    pub(super) request_log: RequestLog,
    pub(super) subscribers: BTreeMap<ProcessId, SubscriberProcess>,
    /// Faults that wait for their triggers.
    pub(super) armed: Vec<TriggeredFault>,
    /// How often each trigger has fired.
    pub(super) trigger_counts: BTreeMap<FaultTrigger, u32>,
    /// The acting primary after the latest step, if there was one.
    pub(super) traced_primary: Option<usize>,
    /// Disks that are lost for good.
    pub(super) lost_disks: u32,
    /// Faults that have struck and not healed.
    pub(super) lasting_faults: u32,
    /// When the latest fault struck or healed.
    pub(super) quiet_since: Duration,
    /// Since when no primary has acted.
    pub(super) gap_started_at: Option<Duration>,
    /// The member that was found to act most recently.
    pub(super) acting: usize,
}

impl<'p> World<'p> {
    /// A world without machines.
    pub(super) fn new(plan: &'p Plan) -> Self {
        Self {
            plan,
            now: START_TIME,
            rng: Pcg32::seed_from_u64(plan.seed),
            subscriber_rng: Pcg32::seed_from_u64(plan.seed ^ SUBSCRIBER_RNG_SALT),
            drift_rng: Pcg32::seed_from_u64(plan.seed ^ CLOCK_DRIFT_RNG_SALT),
            nodes: Vec::new(),
            initial_voters: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_number: 0,
            cut: BTreeMap::new(),
            link_busy_until: BTreeMap::new(),
            single_client: SingleClient::default(),
            report: Report::default(),
            published: BTreeMap::new(),
            request_log: RequestLog::default(),
            subscribers: BTreeMap::new(),
            armed: plan.triggered_faults.clone(),
            trigger_counts: BTreeMap::new(),
            traced_primary: None,
            lost_disks: 0,
            lasting_faults: 0,
            quiet_since: START_TIME,
            gap_started_at: None,
            acting: 0,
        }
    }

    /// A random number below `n`.
    pub(super) fn random_below(&mut self, n: u64) -> u64 {
        u64::from(self.rng.next_u32()) % n.max(1)
    }

    /// Schedules an event of a machine.
    pub(super) fn schedule(&mut self, at: Duration, node: usize, event: EventKind) {
        self.last_number += 1;
        self.events.insert(self.last_number, event);
        self.queue.push(Reverse((at, self.last_number, node)));
    }

    /// Numbers of the queued events of a machine, in the queue's own order.
    pub(super) fn queued_events(&self, n: usize) -> Vec<u64> {
        self.queue
            .iter()
            .filter(|entry| entry.0 .2 == n)
            .map(|entry| entry.0 .1)
            .collect()
    }

    /// Adds a line to the report's trace, if the plan asks for one.
    pub(super) fn trace(&mut self, line: impl FnOnce(&Self) -> String) {
        if self.plan.trace {
            let line = format!("{:?} {}", self.now, line(self));
            self.report.trace.push(line);
        }
    }

    /// The clock of a machine.
    pub(super) fn clock(&self, n: usize) -> Duration {
        let node = &self.nodes[n];
        let passed = match self.plan.seeded_bug {
            SeededBug::ClockStopsInFreeze => self.now - node.total_frozen,
            _ => self.now,
        };
        let passed = passed.as_nanos() as i128;
        let drift = passed * i128::from(node.clock_drift_ppm) / i128::from(PARTS_PER_MILLION);
        Duration::from_nanos((passed + drift) as u64)
    }

    /// The world's time until the clock of a machine has advanced by `delay`.
    pub(super) fn true_delay(&self, n: usize, delay: Duration) -> Duration {
        let drift = self.nodes[n].clock_drift_ppm;
        if drift == 0 {
            return delay;
        }
        let rate = PARTS_PER_MILLION as f64 / (PARTS_PER_MILLION + drift) as f64;
        // Rounded up, so that nobody wakes too early.
        delay.mul_f64(rate) + Duration::from_micros(2)
    }

    /// Draws a clock drift, in millionths.
    pub(super) fn draw_drift(&mut self) -> i64 {
        let max = i64::from(self.plan.clock_drift_ppm);
        if max == 0 {
            return 0;
        }
        i64::from(self.drift_rng.next_u32()) % (2 * max + 1) - max
    }

    /// Whether a member acts as primary that isn't frozen. The one that did at the latest step is asked first.
    pub(super) fn somebody_acts(&mut self) -> bool {
        let acts = |n: &Node| !n.frozen && n.member.as_ref().is_some_and(Member::is_acting_primary);
        if self.nodes.get(self.acting).is_some_and(acts) {
            return true;
        }
        let Some(found) = self.nodes.iter().position(acts) else {
            return false;
        };
        self.acting = found;
        true
    }
}
