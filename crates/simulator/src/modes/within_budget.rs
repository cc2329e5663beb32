//! Plans of several clients whose faults keep to the budget of losses.

use super::plan_rng::PlanRng;
use crate::faults::{CutDirection, Fault};
use crate::plan::{ms, ClientWorkload, Plan};

impl Plan {
    /// Cuts and freezes of 15 to 25 s, one way too, by member, pair and zone; members are restarted while they are cut
    /// off; other faults follow as soon as the budget allows.
    pub fn long(seed: u64) -> Self {
        let mut draw = PlanRng::new(seed, 0x1075);
        let mut plan = Self::with_drawn_size(seed, &mut draw);
        let mut at = draw.between(2500, 4500);
        for _ in 0..1 + draw.below(2) {
            let (n, length) = (draw.index(plan.members), draw.between(15_000, 25_000));
            let fault = match draw.below(8) {
                0 | 1 => Fault::Freeze(n, length),
                2 => Fault::Cut(n, length, CutDirection::Both),
                3 => Fault::Cut(n, length, draw.direction()),
                4 => Fault::CutPair(n, draw.index(plan.members), length),
                5 => Fault::Stall(n, length),
                _ => Fault::CutZone(n, length, draw.direction()),
            };
            plan.faults.push((at, fault));
            // The same machine is restarted meanwhile, or another one goes where the budget allows it.
            if draw.below(2) == 0 {
                let back = draw.between(50, 3000);
                plan.faults
                    .push((at + draw.between(500, 14_000), Fault::Kill(n, back)));
            }
            if draw.below(2) == 0 {
                let short = draw.between(100, 3000);
                let other = draw.fault(plan.members, short);
                plan.faults.push((at + draw.between(100, 14_000), other));
            }
            at += length + draw.between(0, 5000);
        }
        plan.duration = at + ms(14_000);
        plan.with_agents(&mut draw)
    }

    /// Triggered faults, as far as the budget allows them, beside faults that make the triggers fire.
    pub fn aimed(seed: u64) -> Self {
        let mut draw = PlanRng::new(seed, 0xa13ed);
        let mut plan = Self::with_drawn_size(seed, &mut draw);
        let mut at = draw.between(2500, 4500);
        for _ in 0..2 + draw.below(3) {
            let length = draw.between(50, 1500);
            let fault = if draw.below(4) == 0 {
                Fault::Join
            } else {
                draw.fault(plan.members, length)
            };
            plan.faults.push((at, fault));
            let length = draw.between(50, 4000);
            let fault = draw.fault(plan.members, length);
            plan.triggered_faults.push(draw.triggered_fault(fault));
            at += draw.between(500, 6000);
        }
        if draw.below(4) == 0 {
            let (back, wiped) = (draw.between(300, 1200), Some(draw.index(plan.members)));
            let wiped = wiped.filter(|_| draw.below(2) == 0);
            let fault = if draw.below(2) == 0 {
                Fault::KillAll(back)
            } else {
                Fault::PowerAll(back, wiped)
            };
            let aimed = draw.triggered_fault(fault);
            plan.triggered_faults.push(aimed);
        }
        plan.duration = at + ms(12_000);
        plan.with_agents(&mut draw)
    }

    /// Budgets by zone or region, six or nine machines in three of them: cuts of 15 to 25 s of a whole one, one way too,
    /// losses of power and kills of all its machines at once, single faults beside, as soon as the budget allows.
    /// Members' clocks run up to 4 % fast or slow in half of the runs.
    pub fn zones(seed: u64) -> Self {
        let mut draw = PlanRng::new(seed, 0x2093);
        let (workload, clock_drift_ppm) = (Some(draw.workload()), [0, 40_000][draw.index(2)]);
        let (zone_losses, region_losses) = [(1, 0), (0, 1)][draw.index(2)];
        let (members, seeds_share_a_zone) = ([6, 6, 9][draw.index(3)], draw.below(3) == 0);
        let (machine_losses, strict) = (0, true);
        let mut plan = Self {
            members,
            machine_losses,
            zone_losses,
            region_losses,
            clock_drift_ppm,
            ..Self::without_faults(seed)
        };
        plan = Self {
            seeds_share_a_zone,
            strict,
            workload,
            ..plan
        };
        let mut at = draw.between(4500, 6500);
        for _ in 0..2 + draw.below(3) {
            let (faults, length) = draw.zone_loss(at, members, seeds_share_a_zone);
            plan.faults.extend(faults);
            at += length + draw.between(0, 5000);
        }
        plan.duration = at + ms(14_000);
        plan.with_agents(&mut draw)
    }

    /// 300 changes and more while members are away, short and long.
    pub fn storm(seed: u64) -> Self {
        let mut draw = PlanRng::new(seed, 0x5708);
        let mut plan = Self::with_drawn_size(seed, &mut draw);
        plan.workload = Some(ClientWorkload {
            clients: 1 + draw.index(3),
            max_in_flight: 1 + draw.index(2),
            lost_response_percent: [0, 10, 40][draw.index(3)],
            max_response_delay: ms(0),
            resend_percent: 5,
            max_pause: ms(8),
            padding_bytes: [0, 200, 4000][draw.index(3)],
            unconfirmed_base_percent: 3,
        });
        let mut at = draw.between(2500, 4500);
        for _ in 0..2 {
            let length = [draw.between(100, 1000), draw.between(5000, 10_000)][draw.index(2)];
            let fault = draw.fault(plan.members, length);
            plan.faults.push((at, fault));
            let length = draw.between(50, 2000);
            let fault = draw.fault(plan.members, length);
            plan.triggered_faults.push(draw.triggered_fault(fault));
            at += draw.between(500, 8000);
        }
        plan.duration = at + ms(14_000);
        plan
    }
}
