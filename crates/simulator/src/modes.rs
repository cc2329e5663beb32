//! Plans drawn from a seed, by mode.

use crate::faults::{CutDirection, Fault, FaultTarget, FaultTrigger, TriggeredFault};
use crate::plan::{ms, ClientWorkload, Plan};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// How plans are drawn. `docs/design/hardening/simulator.md` has a table of the modes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// [`Plan::drawn`].
    Drawn,
    /// [`Plan::rough`].
    Rough,
    /// [`Plan::long`].
    Long,
    /// [`Plan::aimed`].
    Aimed,
    /// [`Plan::double`].
    Double,
    /// [`Plan::storm`].
    Storm,
    /// [`Plan::promises`].
    Promises,
    /// [`Plan::zones`].
    Zones,
}

impl Mode {
    /// All modes.
    pub const ALL: [Mode; 8] = [
        Self::Drawn,
        Self::Rough,
        Self::Long,
        Self::Aimed,
        Self::Double,
        Self::Storm,
        Self::Promises,
        Self::Zones,
    ];

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Drawn => "drawn",
            Self::Rough => "rough",
            Self::Long => "long",
            Self::Aimed => "aimed",
            Self::Double => "double",
            Self::Storm => "storm",
            Self::Promises => "promises",
            Self::Zones => "zones",
        }
    }

    /// The mode of a name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|m| m.name() == name)
    }

    /// The plan of a seed.
    pub fn plan(self, seed: u64) -> Plan {
        match self {
            Self::Drawn => Plan::drawn(seed),
            Self::Rough => Plan::rough(seed),
            Self::Long => Plan::long(seed),
            Self::Aimed => Plan::aimed(seed),
            Self::Double => Plan::double(seed),
            Self::Storm => Plan::storm(seed),
            Self::Promises => Plan::promises(seed),
            Self::Zones => Plan::zones(seed),
        }
    }
}

fn one_way(outbound: bool) -> CutDirection {
    if outbound {
        CutDirection::Outbound
    } else {
        CutDirection::Inbound
    }
}

/// Random numbers from which a plan is drawn. Each mode has a salt of its own.
struct PlanRng(Pcg32);

impl PlanRng {
    fn new(seed: u64, salt: u64) -> Self {
        Self(Pcg32::seed_from_u64(seed ^ salt))
    }

    fn below(&mut self, n: u64) -> u64 {
        u64::from(self.0.next_u32()) % n.max(1)
    }

    fn index(&mut self, n: usize) -> usize {
        self.below(n as u64) as usize
    }

    /// A time between the two, in milliseconds, both included.
    fn between(&mut self, from: u64, to: u64) -> Duration {
        ms(from + self.below(to - from + 1))
    }

    fn direction(&mut self) -> CutDirection {
        [
            CutDirection::Both,
            CutDirection::Outbound,
            CutDirection::Inbound,
        ][self.index(3)]
    }

    fn size(&mut self) -> (usize, u32) {
        [(3, 1), (3, 1), (4, 1), (5, 2), (8, 2)][self.index(5)]
    }

    fn workload(&mut self) -> ClientWorkload {
        ClientWorkload {
            clients: 2 + self.index(3),
            max_in_flight: 1 + self.index(8),
            lost_response_percent: [0, 10, 40, 70][self.index(4)],
            max_response_delay: [ms(0), ms(300), ms(3000)][self.index(3)],
            resend_percent: 30,
            max_pause: [ms(60), ms(200), ms(500)][self.index(3)],
            padding_bytes: 0,
            unconfirmed_base_percent: 10,
        }
    }

    /// A fault of one member.
    fn fault(&mut self, members: usize, length: Duration) -> Fault {
        let n = self.index(members);
        match self.below(16) {
            0..=2 => Fault::Kill(n, length),
            3 => Fault::Power(n, length),
            4 => Fault::Wipe(n, length),
            5 => Fault::Replace(n, length),
            6..=7 => Fault::Freeze(n, length),
            8 => Fault::Cut(n, length, CutDirection::Both),
            9 => Fault::Cut(n, length, self.direction()),
            10 => Fault::Stall(n, length),
            11 => Fault::Slow(n, length, 20 + self.below(20) as u32),
            12 => Fault::Full(n, length),
            13 => Fault::CutPair(n, self.index(members), length),
            14 => Fault::Retire(n),
            _ => Fault::Term(n, length),
        }
    }

    fn trigger(&mut self) -> (FaultTrigger, u32, Duration) {
        match self.below(9) {
            0 => (
                FaultTrigger::MembershipComposed,
                1 + self.below(4) as u32,
                Duration::from_micros(self.below(6000)),
            ),
            1 => (
                FaultTrigger::Installing,
                1 + self.below(6) as u32,
                Duration::from_micros(self.below(6000)),
            ),
            2 => (
                FaultTrigger::FetchingSnapshot,
                1,
                Duration::from_micros(self.below(6000)),
            ),
            3 => (
                FaultTrigger::Acknowledged,
                1 + self.below(60) as u32,
                Duration::from_micros(self.below(4000)),
            ),
            4 => (
                FaultTrigger::RequestSent,
                1 + self.below(90) as u32,
                self.between(5, 400),
            ),
            5 => (
                FaultTrigger::VotersChanging,
                1 + self.below(2) as u32,
                self.between(0, 600),
            ),
            6 => (FaultTrigger::Leaving, 1, self.between(0, 1500)),
            7 => (
                FaultTrigger::TookOver,
                1 + self.below(4) as u32,
                self.between(0, 1000),
            ),
            // Members are started at first, too.
            _ => (
                FaultTrigger::Started,
                4 + self.below(4) as u32,
                self.between(0, 4100),
            ),
        }
    }

    fn target(&mut self) -> FaultTarget {
        match self.below(4) {
            0 | 1 => FaultTarget::Subject,
            2 => FaultTarget::Primary,
            _ => FaultTarget::Other(self.index(4)),
        }
    }

    fn triggered_fault(&mut self, fault: Fault) -> TriggeredFault {
        let (trigger, nth, delay) = self.trigger();
        TriggeredFault {
            trigger,
            nth,
            delay,
            target: self.target(),
            fault,
        }
    }
}

impl Plan {
    fn with_drawn_size(seed: u64, draw: &mut PlanRng) -> Self {
        let (members, machine_losses) = draw.size();
        let workload = Some(draw.workload());
        Self {
            members,
            machine_losses,
            strict: true,
            workload,
            ..Self::without_faults(seed)
        }
    }

    /// Adds agents to one of two runs; they may be restarted at any time.
    fn with_agents(mut self, draw: &mut PlanRng) -> Self {
        self.agents = [0, 2][draw.index(2)];
        for _ in 0..self.agents {
            let at = ms(draw.below(self.duration.as_millis() as u64));
            self.faults.push((
                at,
                Fault::Agent(draw.index(self.agents), draw.between(50, 1500)),
            ));
        }
        self
    }

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

    /// Triggered faults whatever the budget says, but no more disks lost in all than it allows: only safety is checked.
    pub fn double(seed: u64) -> Self {
        let mut draw = PlanRng::new(seed, 0xd0b1e);
        let mut plan = Self {
            safety_only: true,
            ..Self::with_drawn_size(seed, &mut draw)
        };
        let mut at = draw.between(2500, 3500);
        for _ in 0..8 {
            let length = draw.between(10, 1500);
            let fault = if draw.below(10) == 0 {
                Fault::Join
            } else {
                draw.fault(plan.members, length)
            };
            plan.faults.push((at, fault));
            let length = draw.between(10, 1500);
            let fault = draw.fault(plan.members, length);
            plan.triggered_faults.push(draw.triggered_fault(fault));
            at += draw.between(100, 2500);
        }
        plan.duration = at + ms(6000);
        plan
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
            let (zone, way) = (draw.index(3), draw.direction());
            let (long, short) = (draw.between(15_000, 25_000), draw.between(100, 3000));
            let inside = |n: &usize| {
                if seeds_share_a_zone {
                    n / 2 % 3 == zone
                } else {
                    n % 3 == zone
                }
            };
            let machines: Vec<usize> = (0..members).filter(inside).collect();
            let length = match draw.below(5) {
                0 | 1 => {
                    plan.faults.push((at, Fault::CutZone(zone, long, way)));
                    let one = machines[draw.index(machines.len())];
                    plan.faults
                        .push((at + draw.between(500, 14_000), Fault::Kill(one, short)));
                    long
                }
                2 => {
                    plan.faults
                        .extend(machines.iter().map(|n| (at, Fault::Power(*n, short))));
                    short
                }
                3 => {
                    plan.faults
                        .extend(machines.iter().map(|n| (at, Fault::Freeze(*n, long))));
                    long
                }
                _ => {
                    plan.faults
                        .extend(machines.iter().map(|n| (at, Fault::Wipe(*n, short))));
                    short
                }
            };
            at += length + draw.between(0, 5000);
        }
        plan.duration = at + ms(14_000);
        plan.with_agents(&mut draw)
    }

    /// As [`Plan::rough`], and voters are killed right after they have promised, and are back at once.
    pub fn promises(seed: u64) -> Self {
        let mut draw = PlanRng::new(seed, 0x9405);
        let mut plan = Self {
            strict: true,
            workload: Some(ClientWorkload::default()),
            ..Self::rough(seed)
        };
        for _ in 0..12 {
            let fault = Fault::Kill(0, draw.between(1, 40));
            let (nth, delay) = (
                1 + draw.below(40) as u32,
                Duration::from_micros(draw.below(2500)),
            );
            plan.triggered_faults.push(TriggeredFault {
                trigger: FaultTrigger::Promised,
                nth,
                delay,
                target: FaultTarget::Subject,
                fault,
            });
        }
        plan
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
