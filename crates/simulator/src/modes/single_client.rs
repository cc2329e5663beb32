//! The older plans, with a single client.

use crate::faults::{CutDirection, Fault};
use crate::plan::{ms, Plan};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

fn one_way(outbound: bool) -> CutDirection {
    if outbound {
        CutDirection::Outbound
    } else {
        CutDirection::Inbound
    }
}

impl Plan {
    /// Faults in quick succession, whatever the budget says, but no more disks lost in all than it allows: they strike in
    /// the middle of takeovers.
    pub fn rough(seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed ^ 0x0bad);
        let mut random_below = |n: u64| u64::from(rng.next_u32()) % n;
        let (members, machine_losses) = [(3, 1), (3, 1), (3, 1), (5, 2)][random_below(4) as usize];
        let mut plan = Self {
            members,
            machine_losses,
            safety_only: true,
            ..Self::without_faults(seed)
        };
        let (mut at, mut wipes) = (ms(2500), machine_losses);
        for _ in 0..30 {
            let who = random_below(members as u64) as usize;
            let long = ms(30 + random_below(1800));
            let fault = match random_below(9) {
                0..=2 => Fault::Kill(who, ms(5 + random_below(1300))),
                3 => Fault::Freeze(who, long),
                4 => Fault::Cut(who, long, CutDirection::Both),
                5 => Fault::Cut(who, long, one_way(random_below(2) == 0)),
                6 => Fault::Stall(who, long),
                7 if wipes > 0 && random_below(3) == 0 => {
                    wipes -= 1;
                    Fault::Wipe(who, ms(5 + random_below(600)))
                }
                _ => Fault::Slow(who, long, 20 + random_below(20) as u32),
            };
            plan.faults.push((at, fault));
            at += ms(20 + random_below(900));
        }
        plan.duration = at + ms(6000);
        plan
    }

    /// A run whose size and faults are drawn; no more are lost at once than the budget allows.
    pub fn drawn(seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed ^ 0x5eed);
        let mut random_below = |n: u64| u64::from(rng.next_u32()) % n;
        let (members, machine_losses) =
            [(3, 1), (3, 1), (4, 1), (5, 2), (8, 2)][random_below(5) as usize];
        let mut plan = Self {
            members,
            machine_losses,
            ..Self::without_faults(seed)
        };
        let mut at = ms(2500 + random_below(2000));
        for _ in 0..2 + random_below(4) {
            let who = random_below(members as u64) as usize;
            let long = ms(200 + random_below(4000));
            let fault = match random_below(13) {
                0 => Fault::Kill(who, ms(100 + random_below(600))),
                1 => Fault::Power(who, long),
                2 => Fault::Wipe(who, long),
                3 => Fault::Replace(who, long),
                4 => Fault::Freeze(who, long),
                5 => Fault::Cut(who, long, CutDirection::Both),
                6 => Fault::Cut(who, long, one_way(random_below(2) == 0)),
                7 => Fault::Stall(who, long),
                8 => Fault::Slow(who, long, 20 + random_below(20) as u32),
                9 => Fault::Full(who, long),
                10 => Fault::KillAll(ms(300 + random_below(900))),
                11 => Fault::PowerAll(
                    ms(300 + random_below(900)),
                    Some(who).filter(|_| random_below(2) == 0),
                ),
                _ => Fault::Term(who, ms(100 + random_below(500))),
            };
            plan.faults.push((at, fault));
            // A lost member counts as lost for a while after it is back.
            at += long.max(ms(1200)) + ms(4500 + random_below(1500));
        }
        plan.duration = at + ms(9000);
        plan
    }
}
