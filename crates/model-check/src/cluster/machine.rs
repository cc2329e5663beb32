//! A machine: its disk, and the process on it with member and mirror.

use super::seeded_bug::SeededBug;
use super::shared_mirror::SharedMirror;
use crate::canonical;
use configuration::FaultBudget;
use control_plane::member::{Member, MemberConfig};
use control_plane::runtime::identity::{Identity, StartContext};
use protocol::{Addr, MemberInfo, Record, Snapshot};
use replication::Mirror;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

/// How long a lease lasts; all other times of a model are counted against it.
pub const LEASE: Duration = Duration::from_millis(1000);
/// How long a member holds a command before it answers that the outcome is unclear.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// A disk that takes longer for a write counts as stalled.
const DISK_STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time between a host's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
/// Port for messages between members.
const MEMBER_PORT: u16 = 7660;
/// Port of the control API.
const CONTROL_PORT: u16 = 80;

/// A write that the disk hasn't completed yet.
#[derive(Clone, Debug, Hash)]
pub(super) struct PendingWrite {
    pub(super) ticket: u64,
    pub(super) records: Vec<Vec<u8>>,
    pub(super) rewrite: bool,
}

/// A process with its member and mirror.
#[derive(Clone)]
pub(super) struct Process {
    pub(super) info: MemberInfo,
    pub(super) member: Member,
    pub(super) mirror: SharedMirror,
    /// When its clock started, by the global clock.
    pub(super) origin: Duration,
    /// When it wants to be woken, by its own clock.
    pub(super) wake: Duration,
    pub(super) writes: VecDeque<PendingWrite>,
    /// The snapshot that its membership began with.
    pub(super) membership_snapshot: Option<Arc<Snapshot>>,
    /// Number of this process among those of its machine.
    pub(super) incarnation: u32,
}

/// A machine with its disk.
#[derive(Clone)]
pub(super) struct Machine {
    pub(super) index: usize,
    pub(super) identity: Option<Identity>,
    pub(super) records: Arc<Vec<Vec<u8>>>,
    pub(super) process: Option<Process>,
    pub(super) incarnations: u32,
    pub(super) frozen: bool,
    /// Its disk completes writes only when nothing else is left to do.
    pub(super) slow: bool,
    /// It was asked to leave; the process restarts this long after its end.
    pub(super) leaving: Option<Duration>,
    /// It never restarts.
    pub(super) gone: bool,
    fingerprint: u64,
    fingerprint_at: Duration,
}

/// What a member is started with.
pub(super) struct Start<'a> {
    pub(super) now: Duration,
    /// Whether the whole system starts for the first time.
    pub(super) bootstrap: bool,
    /// Time that the disk takes to open.
    pub(super) opening: Duration,
    pub(super) losses: u32,
    pub(super) seeds: &'a [SocketAddrV4],
    pub(super) seeded_bug: SeededBug,
}

/// The control address of a machine.
pub(super) fn control_addr(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1 + index as u8), CONTROL_PORT)
}

/// The address of a machine for the members' own messages.
pub(super) fn member_addr(index: usize) -> Addr {
    Addr {
        ip: u32::from(*control_addr(index).ip()),
        port: MEMBER_PORT,
    }
}

impl Machine {
    pub(super) fn new(index: usize) -> Self {
        Self {
            index,
            identity: None,
            records: Arc::default(),
            process: None,
            incarnations: 0,
            frozen: false,
            slow: false,
            leaving: None,
            gone: false,
            fingerprint: 0,
            fingerprint_at: Duration::ZERO,
        }
    }

    /// Starts a process on what the disk holds.
    pub(super) fn start(&mut self, start: &Start) {
        self.incarnations += 1;
        // In place of random numbers: different for each incarnation, the same in each search.
        let random = 1000 + 100 * self.index as u64 + u64::from(self.incarnations);
        let context = StartContext {
            control: control_addr(self.index),
            seeds: start.seeds.to_vec(),
            port: MEMBER_PORT,
            bootstrap: start.bootstrap,
            random,
            clock_ms: u64::from(self.incarnations),
        };
        let identity = context.identity(self.identity.take());
        let info = MemberInfo {
            id: identity.id,
            name: format!("core-{}", self.index),
            addr: member_addr(self.index),
            control_addr: control_addr(self.index).into(),
            zone: format!("z{}", self.index),
            region: "r".into(),
        };
        let records = start.seeded_bug.read_back(&self.records);
        let voters = identity.initial_voters.clone();
        let config = MemberConfig {
            local_member: info.clone(),
            bootstrap_voters: Some(voters).filter(|voters| !voters.is_empty()),
            fault_budget: FaultBudget {
                machine_losses: start.losses,
                zones: 0,
                region_losses: 0,
            },
            lease_duration: LEASE,
            request_timeout: REQUEST_TIMEOUT,
            disk_stall_timeout: DISK_STALL_TIMEOUT,
            watch_history: Duration::from_secs(20),
        };
        self.identity = Some(identity);
        let spread = random.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let member = Member::new(config, &records, start.opening, spread);
        let mut mirror = Mirror::new(info.id, HEARTBEAT_INTERVAL);
        if start.seeded_bug == SeededBug::FreshAfterStart {
            mirror.record_primary_contact(start.opening);
        }
        self.process = Some(Process {
            info,
            member,
            mirror: SharedMirror::new(mirror),
            origin: start.now.saturating_sub(start.opening),
            wake: start.opening,
            writes: VecDeque::new(),
            membership_snapshot: None,
            incarnation: self.incarnations,
        });
        self.refresh_fingerprint(start.now);
    }

    /// The disk loses everything.
    pub(super) fn wipe(&mut self, seeded_bug: SeededBug) {
        self.records = Arc::default();
        if seeded_bug != SeededBug::OldIdentity {
            self.identity = None;
        }
    }

    pub(super) fn apply_write(&mut self, write: &PendingWrite) {
        let records = Arc::make_mut(&mut self.records);
        if write.rewrite {
            records.clear();
        }
        records.extend(write.records.iter().cloned());
        let accepted = write
            .records
            .iter()
            .rev()
            .find_map(|r| match protocol::decode_record(r) {
                Ok(Record::Accepted { snapshot, .. }) => Some(snapshot.map(Arc::new)),
                _ => None,
            });
        if let (Some(process), Some(snapshot)) = (&mut self.process, accepted) {
            process.membership_snapshot = snapshot;
        }
    }

    /// Takes the fingerprint anew.
    pub(super) fn refresh_fingerprint(&mut self, now: Duration) {
        let mut hasher = DefaultHasher::new();
        (
            self.incarnations,
            self.frozen,
            self.slow,
            self.leaving,
            self.gone,
        )
            .hash(&mut hasher);
        (self.identity.as_ref().map(|i| i.id), &*self.records).hash(&mut hasher);
        if let Some(process) = &self.process {
            let own = now.saturating_sub(process.origin);
            canonical::hash_of_member(&process.member, own, LEASE).hash(&mut hasher);
            let mirror = process.mirror.read();
            let shown = (
                mirror.index(),
                mirror.configuration().version,
                mirror.age_ms(own).min(9000),
            );
            (shown, &process.writes).hash(&mut hasher);
            canonical::relative(own, process.wake, LEASE).hash(&mut hasher);
        }
        (self.fingerprint, self.fingerprint_at) = (hasher.finish(), now);
    }

    /// Hash for the state's fingerprint.
    pub(super) fn fingerprint(&self, now: Duration) -> (u64, i64) {
        (
            self.fingerprint,
            canonical::relative(now, self.fingerprint_at, LEASE),
        )
    }
}

impl Process {
    /// Its own clock.
    pub(super) fn clock(&self, now: Duration) -> Duration {
        now.saturating_sub(self.origin)
    }

    /// Tells the mirror how up to date it is, as the product's runtime does after each turn.
    pub(super) fn publish_freshness(&mut self, now: Duration) {
        let now = self.clock(now);
        if self.member.membership().is_none_or(|v| v.epoch == 0) {
            return;
        }
        let proof = self.member.primary_contact(now);
        if let Some(proof) = proof.filter(|proof| self.mirror.read().index() >= proof.fleet_index) {
            self.mirror.get().record_primary_contact(proof.at);
        }
    }
}
