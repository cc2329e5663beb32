//! A run: its size, its faults, what is watched; and how plans are drawn from a seed.

use crate::faults::{Fault, Planted};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
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
