//! A machine: its disk, and the process on it with member and mirror.

use super::mirror::StateMirror;
use super::planted::Planted;
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
/// How long a command waits for its answer.
const PATIENCE: Duration = Duration::from_millis(900);
/// A write that takes longer means that the disk stalls.
const STALL: Duration = Duration::from_millis(600);
/// Time between a host's heartbeats.
const BEAT: Duration = Duration::from_millis(1200);
/// Port of the members' own messages.
const INNER_PORT: u16 = 7660;
/// Port of the control API.
const CONTROL_PORT: u16 = 80;

/// A write that the disk hasn't ended yet.
#[derive(Clone, Debug, Hash)]
pub(super) struct PendingWrite {
    pub(super) ticket: u64,
    pub(super) records: Vec<Vec<u8>>,
    pub(super) rewrite: bool,
}

/// A process.
#[derive(Clone)]
pub(super) struct Process {
    pub(super) seat: MemberInfo,
    pub(super) member: Member,
    pub(super) mirror: StateMirror,
    /// When its clock began.
    pub(super) origin: Duration,
    /// By its own clock.
    pub(super) wake: Duration,
    pub(super) writes: VecDeque<PendingWrite>,
    /// The ledger at the start of its view.
    pub(super) at_start: Option<Arc<Snapshot>>,
    /// Number of this process among all of its machine.
    pub(super) life: u32,
}

/// A machine.
#[derive(Clone)]
pub(super) struct Machine {
    pub(super) index: usize,
    pub(super) identity: Option<Identity>,
    pub(super) records: Arc<Vec<Vec<u8>>>,
    pub(super) process: Option<Process>,
    pub(super) lives: u32,
    pub(super) frozen: bool,
    /// Its disk answers only when nothing else is left to do.
    pub(super) slow: bool,
    /// It has been asked to leave, and is started again so long after it has.
    pub(super) leaving: Option<Duration>,
    /// Never to be started again.
    pub(super) gone: bool,
    fingerprint: u64,
    fingerprint_at: Duration,
}

/// What a start of a member is told.
pub(super) struct Start<'a> {
    pub(super) now: Duration,
    /// Whether the whole system starts for the first time.
    pub(super) bootstrap: bool,
    /// Time that the disk takes until it is open.
    pub(super) opening: Duration,
    pub(super) losses: u32,
    pub(super) seeds: &'a [SocketAddrV4],
    pub(super) planted: Planted,
}

/// The control address of a machine.
pub(super) fn control(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1 + index as u8), CONTROL_PORT)
}

/// The address of a machine for the members' own messages.
pub(super) fn inner(index: usize) -> Addr {
    Addr {
        ip: u32::from(*control(index).ip()),
        port: INNER_PORT,
    }
}

impl Machine {
    pub(super) fn new(index: usize) -> Self {
        Self {
            index,
            identity: None,
            records: Arc::default(),
            process: None,
            lives: 0,
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
        self.lives += 1;
        // Drawn identities and random numbers: different for each life, the same in each search.
        let random = 1000 + 100 * self.index as u64 + u64::from(self.lives);
        let facts = StartContext {
            control: control(self.index),
            seeds: start.seeds.to_vec(),
            port: INNER_PORT,
            bootstrap: start.bootstrap,
            random,
            clock_ms: u64::from(self.lives),
        };
        let identity = facts.identity(self.identity.take());
        let seat = MemberInfo {
            id: identity.id,
            name: format!("core-{}", self.index),
            addr: inner(self.index),
            control: control(self.index).into(),
            zone: format!("z{}", self.index),
            region: "r".into(),
        };
        let records = start.planted.read_back(&self.records);
        let voters = identity.initial_voters.clone();
        let config = MemberConfig {
            local_member: seat.clone(),
            bootstrap_voters: Some(voters).filter(|voters| !voters.is_empty()),
            fault_budget: FaultBudget {
                machine_losses: start.losses,
                zones: 0,
                region_losses: 0,
            },
            lease_duration: LEASE,
            request_timeout: PATIENCE,
            disk_stall_timeout: STALL,
        };
        self.identity = Some(identity);
        let spread = random.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let member = Member::new(config, &records, start.opening, spread);
        let mut mirror = Mirror::new(seat.id, BEAT);
        if start.planted == Planted::FreshAfterStart {
            mirror.proved(start.opening);
        }
        self.process = Some(Process {
            seat,
            member,
            mirror: StateMirror::new(mirror),
            origin: start.now.saturating_sub(start.opening),
            wake: start.opening,
            writes: VecDeque::new(),
            at_start: None,
            life: self.lives,
        });
        self.changed(start.now);
    }

    /// The disk loses all.
    pub(super) fn wipe(&mut self, planted: Planted) {
        self.records = Arc::default();
        if planted != Planted::OldIdentity {
            self.identity = None;
        }
    }

    pub(super) fn put(&mut self, write: &PendingWrite) {
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
        if let (Some(process), Some(at_start)) = (&mut self.process, accepted) {
            process.at_start = at_start;
        }
    }

    /// Takes the fingerprint anew.
    pub(super) fn changed(&mut self, now: Duration) {
        let mut hasher = DefaultHasher::new();
        (self.lives, self.frozen, self.slow, self.leaving, self.gone).hash(&mut hasher);
        (self.identity.as_ref().map(|i| i.id), &*self.records).hash(&mut hasher);
        if let Some(process) = &self.process {
            let own = now.saturating_sub(process.origin);
            canonical::hash_of_member(&process.member, own, LEASE).hash(&mut hasher);
            let mirror = process.mirror.read();
            let shown = (
                mirror.ledger(),
                mirror.document().version,
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

    /// As the shell does after each turn: tells the mirror how fresh it is.
    pub(super) fn show(&mut self, now: Duration) {
        let now = self.clock(now);
        if self.member.membership().is_none_or(|v| v.epoch == 0) {
            return;
        }
        let proof = self.member.primary_contact(now);
        if let Some(proof) = proof.filter(|proof| self.mirror.read().ledger() >= proof.commit_index)
        {
            self.mirror.get().proved(proof.at);
        }
    }
}
