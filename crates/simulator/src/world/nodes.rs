//! The machines: how members come, start and end.

use super::network::ZONES;
use super::readers::Place;
use super::{Node, Until, What, World};
use crate::faults::Moment;
use crate::plan::ms;
use crate::planted::Planted;
use configuration::FaultBudget;
use control_plane::member::{Input, Member, MemberConfig};
use protocol::{Addr, MemberInfo, Record};
use rand_core::RngCore;
use std::time::Duration;

/// A machine counts as lost for this after it has come: its start, and the time to catch up.
const NEW: Duration = Duration::from_millis(4300);

/// The voters of view 0: the first so many machines.
pub(super) const INITIAL_VOTERS: usize = 3;

impl World<'_> {
    pub(super) fn add(&mut self, id: u64) {
        let n = self.nodes.len() as u32;
        let addr = Addr {
            ip: 0x0a00_0001 + n,
            port: 7660,
        };
        let part = self.zone_of(n as usize);
        let (zone, region) = match self.plan.region_losses {
            0 => (format!("z{part}"), "r".to_owned()),
            // Two zones in each region.
            _ => (
                format!("z{part}-{}", n as usize / ZONES % 2),
                format!("r{part}"),
            ),
        };
        let drift_ppm = self.draw_drift();
        let seat = MemberInfo {
            id,
            name: format!("core-{n}"),
            addr,
            control: Addr { port: 80, ..addr },
            zone,
            region,
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
            initial_voter: (n as usize) < INITIAL_VOTERS,
            lost_until: ms(0),
            new_until: self.now + NEW,
            until: Until::default(),
            stood_still: ms(0),
            drift_ppm,
            shown: None,
            view_ledger: None,
        });
    }

    pub(super) fn start(&mut self, n: usize) {
        if self.nodes[n].gone || (self.plan.strict && self.nodes[n].member.is_some()) {
            return;
        }
        let first = if self.plan.strict {
            let forgets = self.plan.planted == Planted::InitialVotersForgotten;
            self.nodes[n].initial_voter && (!forgets || self.nodes[n].records.is_empty())
        } else {
            self.nodes[n].life == 0 && n < self.plan.members
        };
        // Their identities follow from their addresses, whatever became of their disks.
        let seeds = if self.plan.strict {
            self.initial_voters.clone()
        } else {
            self.nodes
                .iter()
                .take(INITIAL_VOTERS)
                .map(|n| n.seat.clone())
                .collect()
        };
        let random = u64::from(self.rng.next_u32());
        let fewer = u32::from(self.plan.planted == Planted::TooFewReplicas);
        let budget = FaultBudget {
            machine_losses: self.plan.losses.saturating_sub(fewer),
            zones: self.plan.zone_losses.saturating_sub(fewer),
            region_losses: self.plan.region_losses.saturating_sub(fewer),
        };
        let now = self.clock(n);
        let node = &mut self.nodes[n];
        node.life += 1;
        if self.plan.planted == Planted::ForgetsPromises {
            node.records
                .retain(|r| !matches!(protocol::decode_record(r), Ok(Record::Promised { .. })));
        }
        if self.plan.planted == Planted::ReplaySkipsLastChange {
            let change =
                |r: &Vec<u8>| matches!(protocol::decode_record(r), Ok(Record::Change { .. }));
            if let Some(last) = node.records.iter().rposition(change) {
                node.records.remove(last);
            }
        }
        let config = MemberConfig {
            local_member: node.seat.clone(),
            bootstrap_voters: (first
                || (self.plan.planted == Planted::WipedVotes && node.records.is_empty()))
            .then_some(seeds),
            fault_budget: budget,
            lease_duration: ms(1000),
            request_timeout: ms(900),
            disk_stall_timeout: ms(600),
        };
        node.member = Some(Member::new(config, &node.records, now, random));
        self.open_station(Place::Member(n));
        self.at(self.now, n, What::Hello);
        self.nodes[n].shown = None;
        self.step(n, Input::Tick);
        self.moment(Moment::Started, n);
    }

    /// The process ends at once, and starts again later.
    pub(super) fn down(&mut self, n: usize, back: Duration) {
        // What the dead process still had under way comes to nothing, but for what the disk made of it.
        self.nodes[n].member = None;
        self.close_station(Place::Member(n));
        if self.plan.strict {
            self.end_writes(n);
            self.nodes[n].frozen = false;
        }
        self.nodes[n].held_back.clear();
        let lost: Vec<u64> = self
            .queue
            .iter()
            .filter(|q| q.0 .2 == n)
            .map(|q| q.0 .1)
            .collect();
        for number in lost {
            if self.what.get(&number).is_some_and(|w| !w.is_of_the_world()) {
                self.what.remove(&number);
            }
        }
        self.at(self.now + back, n, What::Start);
    }
}
