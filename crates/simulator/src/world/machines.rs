//! Machines: how members join, start and end.

use super::event::EventKind;
use super::network::ZONES;
use super::node::{DiskState, FaultEnds, Node};
use super::state::World;
use super::subscriber::ProcessId;
use crate::faults::FaultTrigger;
use crate::plan::ms;
use crate::seeded_bug::SeededBug;
use configuration::FaultBudget;
use control_plane::member::{Input, Member, MemberConfig};
use protocol::{Addr, MemberInfo};
use rand_core::RngCore;
use std::time::Duration;

/// A machine counts as lost for this long after it has joined: its start, and the time to catch up.
const JOIN_TIME: Duration = ms(4300);
/// The voters of epoch 0 are this many machines, the first ones.
pub(super) const INITIAL_VOTERS: usize = 3;
/// How long a lease lasts.
const LEASE: Duration = ms(1000);
/// How long a member holds a request before it answers that the outcome is unclear.
const REQUEST_TIMEOUT: Duration = ms(900);
/// A disk that takes longer for a write counts as stalled.
const DISK_STALL_TIMEOUT: Duration = ms(600);
/// Address of the first machine.
const FIRST_MACHINE_IP: u32 = 0x0a00_0001;
/// Port of the members' own messages.
const MEMBER_PORT: u16 = 7660;
/// Port of the control API.
const CONTROL_PORT: u16 = 80;

impl World<'_> {
    /// Adds a machine with an empty disk.
    pub(super) fn add_machine(&mut self, id: u64) {
        let n = self.nodes.len() as u32;
        let addr = Addr {
            ip: FIRST_MACHINE_IP + n,
            port: MEMBER_PORT,
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
        let clock_drift_ppm = self.draw_drift();
        let info = MemberInfo {
            id,
            name: format!("core-{n}"),
            addr,
            control_addr: Addr {
                port: CONTROL_PORT,
                ..addr
            },
            zone,
            region,
        };
        self.nodes.push(Node {
            info,
            member: None,
            incarnation: 0,
            records: vec![],
            frozen: false,
            gone: false,
            wake: ms(0),
            disk: DiskState::HEALTHY,
            deferred_events: vec![],
            is_initial_voter: (n as usize) < INITIAL_VOTERS,
            lost_until: ms(0),
            joining_until: self.now + JOIN_TIME,
            fault_ends: FaultEnds::default(),
            total_frozen: ms(0),
            clock_drift_ppm,
            last_published: None,
            membership_snapshot: None,
        });
    }

    /// Starts the member of a machine on what its disk holds.
    pub(super) fn start(&mut self, n: usize) {
        if self.nodes[n].gone || (self.plan.strict && self.nodes[n].member.is_some()) {
            return;
        }
        let is_initial_voter = self.starts_as_initial_voter(n);
        // The voters' ids follow from their addresses, whatever became of their disks.
        let seeds = self.seeds();
        let random = u64::from(self.rng.next_u32());
        let now = self.clock(n);
        self.nodes[n].incarnation += 1;
        self.corrupt_records_at_start(n);
        let node = &self.nodes[n];
        let votes_after_wipe =
            self.plan.seeded_bug == SeededBug::WipedMemberVotes && node.records.is_empty();
        let config = MemberConfig {
            local_member: node.info.clone(),
            bootstrap_voters: (is_initial_voter || votes_after_wipe).then_some(seeds),
            fault_budget: self.announced_budget(),
            lease_duration: LEASE,
            request_timeout: REQUEST_TIMEOUT,
            disk_stall_timeout: DISK_STALL_TIMEOUT,
            watch_history: Duration::from_secs(20),
        };
        let member = Member::new(config, &node.records, now, random);
        self.nodes[n].member = Some(member);
        self.start_subscriber(ProcessId::Member(n));
        self.schedule(self.now, n, EventKind::AnnounceReachable);
        self.nodes[n].last_published = None;
        self.step(n, Input::Tick);
        self.fire_trigger(FaultTrigger::Started, n);
    }

    /// Whether a member that starts now is told that it is one of the first voters.
    fn starts_as_initial_voter(&self, n: usize) -> bool {
        let node = &self.nodes[n];
        if !self.plan.strict {
            return node.incarnation == 0 && n < self.plan.members;
        }
        let forgets = self.plan.seeded_bug == SeededBug::InitialVotersForgotten;
        node.is_initial_voter && (!forgets || node.records.is_empty())
    }

    fn seeds(&self) -> Vec<MemberInfo> {
        if self.plan.strict {
            return self.initial_voters.clone();
        }
        let first = self.nodes.iter().take(INITIAL_VOTERS);
        first.map(|n| n.info.clone()).collect()
    }

    /// The budget of losses that members are told.
    fn announced_budget(&self) -> FaultBudget {
        let fewer = u32::from(self.plan.seeded_bug == SeededBug::TooFewReplicas);
        FaultBudget {
            machine_losses: self.plan.machine_losses.saturating_sub(fewer),
            zones: self.plan.zone_losses.saturating_sub(fewer),
            region_losses: self.plan.region_losses.saturating_sub(fewer),
        }
    }

    /// The process ends at once, and starts again later.
    pub(super) fn stop_process(&mut self, n: usize, back: Duration) {
        // What the process had pending is lost, except for what the disk keeps of its writes.
        self.nodes[n].member = None;
        self.stop_subscriber(ProcessId::Member(n));
        if self.plan.strict {
            self.settle_unfinished_writes(n);
            self.nodes[n].frozen = false;
        }
        self.nodes[n].deferred_events.clear();
        let ends_with_process = |event: &EventKind| !event.outlives_process();
        for number in self.queued_events(n) {
            if self.events.get(&number).is_some_and(ends_with_process) {
                self.events.remove(&number);
            }
        }
        self.schedule(self.now + back, n, EventKind::Start);
    }
}
