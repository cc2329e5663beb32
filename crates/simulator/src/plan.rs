//! A run: its size, its faults, what is watched; and how plans are drawn from a seed.

use crate::faults::{Aimed, Fault};
use crate::planted::Planted;
use std::time::Duration;

pub(crate) const fn ms(n: u64) -> Duration {
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
    /// Zones that may be lost at once, where zones are counted in place of machines.
    pub zone_losses: u32,
    /// Regions that may be lost at once, where regions are counted.
    pub region_losses: u32,
    /// Whether machines stand in their zones by twos, so that two of the three seeds share one.
    pub seeds_share_a_zone: bool,
    /// By how much members' clocks run fast or slow at most, in millionths.
    pub drift_ppm: u32,
    /// How long it goes on.
    pub length: Duration,
    /// Faults by their time.
    pub faults: Vec<(Duration, Fault)>,
    /// A bug to be found.
    pub planted: Planted,
    /// More is lost at once than the budget allows: nothing may be broken, but nobody has to act either.
    pub safety_only: bool,
    /// Faults that wait for a moment.
    pub aimed: Vec<Aimed>,
    /// Faults wait until the budget allows them (but where [`Plan::safety_only`] is set), disks keep or lose what
    /// was under way record by record, and somebody has to act soon after each fault, healed or not.
    pub strict: bool,
    /// Operators in place of the single one.
    pub orders: Option<Orders>,
    /// Agents that mirror the control plane, each with a proxy.
    pub agents: usize,
    /// Whether the run notes what it sees in [`Report::trace`].
    pub trace: bool,
}

/// How operators give orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Orders {
    /// How many there are.
    pub operators: usize,
    /// Orders that each has under way at once at most.
    pub at_once: usize,
    /// Answers lost on their way, of a hundred.
    pub lost: u64,
    /// Longest delay of an answer.
    pub late: Duration,
    /// Of a hundred taken orders, those that are sent again later.
    pub again: u64,
    /// Longest pause between two calls of an operator.
    pub pause: Duration,
    /// Bytes by which configurations are longer.
    pub padding: usize,
    /// Of a hundred orders, those that build on a version which isn't known to be in force.
    pub guessed: u64,
}

impl Default for Orders {
    fn default() -> Self {
        Self {
            operators: 2,
            at_once: 2,
            lost: 20,
            late: ms(500),
            again: 30,
            pause: ms(160),
            padding: 0,
            guessed: 10,
        }
    }
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
    /// Faults as they struck, where the plan leaves that to the run.
    pub struck: Vec<(Duration, Fault)>,
    /// What happened, line by line, where the plan asks for it.
    pub trace: Vec<String>,
    /// Highest epoch that was reached.
    pub epoch: u64,
}

impl Plan {
    /// A run without faults.
    pub fn calm(seed: u64) -> Self {
        let (members, losses, length) = (3, 1, ms(12_000));
        Self {
            seed,
            members,
            losses,
            zone_losses: 0,
            region_losses: 0,
            seeds_share_a_zone: false,
            drift_ppm: 0,
            length,
            faults: vec![],
            planted: Planted::Nothing,
            safety_only: false,
            aimed: vec![],
            strict: false,
            orders: None,
            agents: 0,
            trace: false,
        }
    }
}
