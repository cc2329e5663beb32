//! Random sizes, workloads and faults from which plans are drawn.

use crate::faults::{CutDirection, Fault, FaultTarget, FaultTrigger, TriggeredFault};
use crate::plan::{ms, ClientWorkload};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// Random numbers from which a plan is drawn. Each mode has a salt of its own.
pub(super) struct PlanRng(Pcg32);

impl PlanRng {
    pub(super) fn new(seed: u64, salt: u64) -> Self {
        Self(Pcg32::seed_from_u64(seed ^ salt))
    }

    pub(super) fn below(&mut self, n: u64) -> u64 {
        u64::from(self.0.next_u32()) % n.max(1)
    }

    pub(super) fn index(&mut self, n: usize) -> usize {
        self.below(n as u64) as usize
    }

    /// A time between the two, in milliseconds, both included.
    pub(super) fn between(&mut self, from: u64, to: u64) -> Duration {
        ms(from + self.below(to - from + 1))
    }

    pub(super) fn direction(&mut self) -> CutDirection {
        [
            CutDirection::Both,
            CutDirection::Outbound,
            CutDirection::Inbound,
        ][self.index(3)]
    }

    pub(super) fn size(&mut self) -> (usize, u32) {
        [(3, 1), (3, 1), (4, 1), (5, 2), (8, 2)][self.index(5)]
    }

    pub(super) fn workload(&mut self) -> ClientWorkload {
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
    pub(super) fn fault(&mut self, members: usize, length: Duration) -> Fault {
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

    pub(super) fn trigger(&mut self) -> (FaultTrigger, u32, Duration) {
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

    pub(super) fn target(&mut self) -> FaultTarget {
        match self.below(4) {
            0 | 1 => FaultTarget::Subject,
            2 => FaultTarget::Primary,
            _ => FaultTarget::Other(self.index(4)),
        }
    }

    pub(super) fn triggered_fault(&mut self, fault: Fault) -> TriggeredFault {
        let (trigger, nth, delay) = self.trigger();
        TriggeredFault {
            trigger,
            nth,
            delay,
            target: self.target(),
            fault,
        }
    }

    /// Two halves of the members, as [`Fault::Split`] takes them. Machines that join later fall to either.
    pub(super) fn halves(&mut self, members: usize) -> u32 {
        let mut order: Vec<usize> = (0..members).collect();
        for n in (1..members).rev() {
            order.swap(n, self.index(n + 1));
        }
        let size = (members + self.index(2)) / 2;
        let later_machines = (self.below(1 << 16) as u32) << members;
        order[..size]
            .iter()
            .fold(later_machines, |parts, n| parts | 1 << n)
    }

    /// A fault of one member, or of all at once, that may strike while others last.
    pub(super) fn overlapping_fault(&mut self, members: usize) -> Fault {
        let length = self.between(20, 3000);
        match self.below(8) {
            0 => Fault::KillAll(length.min(ms(1200))),
            1 => Fault::PowerAll(length.min(ms(1200)), None),
            _ => self.fault(members, length),
        }
    }

    /// The loss of a whole zone or region at this time, and how long it lasts: a cut, with a kill inside meanwhile; or
    /// the power, the processes or the disks of all its machines.
    pub(super) fn zone_loss(
        &mut self,
        at: Duration,
        members: usize,
        seeds_share_a_zone: bool,
    ) -> (Vec<(Duration, Fault)>, Duration) {
        let (zone, way) = (self.index(3), self.direction());
        let (long, short) = (self.between(15_000, 25_000), self.between(100, 3000));
        let is_inside = |n: &usize| {
            let zone_of = if seeds_share_a_zone { n / 2 % 3 } else { n % 3 };
            zone_of == zone
        };
        let machines: Vec<usize> = (0..members).filter(is_inside).collect();
        let at_all =
            |fault: &dyn Fn(usize) -> Fault| machines.iter().map(|n| (at, fault(*n))).collect();
        match self.below(5) {
            0 | 1 => {
                let one = machines[self.index(machines.len())];
                let killed_at = at + self.between(500, 14_000);
                let faults = vec![
                    (at, Fault::CutZone(zone, long, way)),
                    (killed_at, Fault::Kill(one, short)),
                ];
                (faults, long)
            }
            2 => (at_all(&|n| Fault::Power(n, short)), short),
            3 => (at_all(&|n| Fault::Freeze(n, long)), long),
            _ => (at_all(&|n| Fault::Wipe(n, short)), short),
        }
    }
}
