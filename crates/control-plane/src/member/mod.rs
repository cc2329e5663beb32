//! A member of the control plane: voter, copy, candidate, primary. Takes inputs with the time and says what to
//! send, write and answer. Safety rests on epochs; leases only say who may act and when others may stand.

mod acknowledged;
mod candidate;
mod commands;
mod disk;
mod early;
pub(crate) mod generation;
mod leave;
mod membership;
mod primary;
mod recovery;
mod summary;
mod transfer;
mod view;
mod voter;

pub use candidate::{candidate_of, ElectionPhase};
pub use recovery::ReplayError;
pub use summary::{DiskState, LeaseGrantSummary, MemberSummary, RoleSummary};
pub use view::{choose_replicas, majority_shortfall};

use crate::replicated_state::ReplicatedState;
use acknowledged::Acknowledged;
use candidate::CandidateState;
use commands::LocalCommand;
use configuration::{Configuration, FaultBudget, ResultCode};
use disk::{After, Disk};
use leave::Departure;
use primary::PrimaryState;
use protocol::{Command, MemberInfo, MembershipConfig, Message, Record};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Whom nothing was heard of for so many leases is out of touch. Links tell once a lease that they are up.
const IN_TOUCH_LEASES: u32 = 3;

/// What a member is told at its start.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// Its own seat.
    pub local_member: MemberInfo,
    /// The voters of view 0, for those that are among them since the whole system started for the first time; a
    /// view on the disk goes before.
    pub bootstrap_voters: Option<Vec<MemberInfo>>,
    /// What may be lost at once.
    pub fault_budget: FaultBudget,
    /// How long a lease lasts.
    pub lease_duration: Duration,
    /// How long a command of a caller may wait for its answer.
    pub request_timeout: Duration,
    /// A write that takes longer means that the disk stalls.
    pub disk_stall_timeout: Duration,
}

/// A write that the disk refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskError {
    /// There is no room.
    Full,
    /// Another failure.
    Failed,
}

/// What happens to a member.
#[allow(clippy::large_enum_variant)] // Handed over once and never kept.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message came.
    Message {
        /// Who sent it.
        from: MemberInfo,
        /// The message.
        message: Message,
    },
    /// A write that was asked for is over.
    WriteCompleted {
        /// Its number.
        ticket: u64,
        /// How it ended; what was refused is not on disk.
        result: Result<(), DiskError>,
    },
    /// A host or the operator calls.
    Command {
        /// The caller's number for it.
        ticket: u64,
        /// The command.
        command: Command,
    },
    /// A member shows that it is there.
    PeerReachable {
        /// Its seat.
        member: MemberInfo,
    },
    /// The process is asked to end.
    Depart,
}

/// What a member asks for.
#[allow(clippy::large_enum_variant)] // Handed over once and never kept.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// To whom.
        to: MemberInfo,
        /// The message.
        message: Message,
    },
    /// Write records and sync them. One write is out at a time.
    Write {
        /// Number of the write.
        ticket: u64,
        /// The records.
        records: Vec<Vec<u8>>,
        /// Whether they stand for all that the file holds; else they are appended.
        rewrite: bool,
    },
    /// Answer a command.
    Answer {
        /// The caller's number.
        ticket: u64,
        /// The result.
        code: ResultCode,
        /// What goes with it: a text, or the configuration read.
        body: Vec<u8>,
    },
    /// The newest acknowledged ledger, from the primary.
    PublishState {
        /// Number of its last change.
        index: u64,
        /// The configuration.
        configuration: Arc<Configuration>,
        /// Hosts that are leaving or gone.
        drains: Vec<String>,
    },
    /// The ledger that was known to be acknowledged when the process last ended: good until a primary shows a
    /// newer one.
    RestoreState {
        /// Number of its last change.
        index: u64,
        /// The configuration.
        configuration: Arc<Configuration>,
        /// Hosts that are leaving or gone.
        drains: Vec<String>,
    },
    /// Come back with a [`Input::Tick`] at this time at the latest.
    Wake {
        /// The time.
        at: Duration,
    },
    /// Nothing is left to hand over: the process may end.
    DepartureComplete,
}

/// A lease granted as a voter.
#[derive(Clone, Copy, Debug)]
struct Grant {
    to: u64,
    epoch: u64,
    until: Duration,
}

/// That nothing which was acknowledged before a moment is missing in a ledger that goes so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimaryContact {
    /// The moment, by this process's clock.
    pub at: Duration,
    /// Number of the last change that was acknowledged then.
    pub commit_index: u64,
}

/// The ledger as a copy holds it.
#[derive(Clone, Debug)]
struct ReplicaLog {
    /// With all changes taken.
    head: ReplicatedState,
    /// As far as it is on disk.
    disk: ReplicatedState,
}

#[derive(Clone, Debug)]
struct Peer {
    seat: MemberInfo,
    heard: Duration,
    /// Whether its disk takes writes, by its latest word.
    fit: bool,
    /// When it last said that it is about to end.
    leaving: Option<Duration>,
}

#[derive(Clone, Debug)]
enum Role {
    Follower,
    Candidate(Box<CandidateState>),
    Primary(Box<PrimaryState>),
}

/// A member.
#[derive(Clone, Debug)]
pub struct Member {
    config: MemberConfig,
    now: Duration,
    started: Duration,
    /// Whether it may have granted a lease in an earlier life.
    restarted: bool,
    random: u64,
    promised: u64,
    /// The candidate that the latest promise of this life was given to.
    promised_to: Option<u64>,
    /// No other candidate is preferred until then.
    held_back_until: Duration,
    /// How often in a row the time for fetching a ledger was too short.
    fetch_doublings: u32,
    /// A candidacy of its own has ended for want of answers since it last acted or took a view.
    waits_for_slow_disks: bool,
    /// The highest epoch seen anywhere.
    seen: u64,
    view: Option<MembershipConfig>,
    held: Option<ReplicaLog>,
    /// What this disk knows to be acknowledged.
    acknowledged: Acknowledged,
    /// Why the records can't be relied on: such a member has no say and holds no ledger.
    unsound: Option<Arc<ReplayError>>,
    /// What is to be shown at the first step.
    restored: Option<ReplicatedState>,
    grant: Option<Grant>,
    /// The latest that a primary proved.
    proof: Option<PrimaryContact>,
    /// What this life counts from in the clocks and numbers that others send back: an answer to an earlier life isn't
    /// taken for one to this.
    life_base: u64,
    peers: BTreeMap<u64, Peer>,
    role: Role,
    /// When it may stand next.
    election_at: Duration,
    disk: Disk,
    local: BTreeMap<u64, LocalCommand>,
    /// Since when no primary is known here; none where one is.
    without_primary: Option<Duration>,
    /// Where this life's numbers of forwarded commands begin: drawn, so that an answer to a command of an
    /// earlier life is never taken for the answer to one of this life.
    forward_base: u64,
    /// The primary and its epoch, as others tell.
    hint: Option<(u64, MemberInfo)>,
    /// Set once the process is asked to end.
    departure: Option<Departure>,
}

/// Spreads `random` over all bits, in a way of its own (SplitMix64), as [`Member::draw`] uses it too.
fn forward_base(random: u64) -> u64 {
    let mixed = random.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

impl Member {
    /// A member whose disk holds these records. `random` differs from life to life; it spreads
    /// what several members do and tells the commands of one life from those of another.
    pub fn new(config: MemberConfig, records: &[Vec<u8>], now: Duration, random: u64) -> Self {
        let mut member = Self {
            now,
            started: now,
            restarted: !records.is_empty(),
            random: random | 1,
            promised: 0,
            promised_to: None,
            held_back_until: now,
            fetch_doublings: 0,
            waits_for_slow_disks: false,
            seen: 0,
            view: None,
            held: None,
            acknowledged: Acknowledged::default(),
            unsound: None,
            restored: None,
            grant: None,
            proof: None,
            life_base: random.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            peers: BTreeMap::new(),
            role: Role::Follower,
            election_at: now,
            disk: Disk::default(),
            local: BTreeMap::new(),
            without_primary: Some(now),
            forward_base: forward_base(random),
            hint: None,
            departure: None,
            config,
        };
        if let Some(voters) = member.config.bootstrap_voters.clone() {
            let previous_voters = voters.clone();
            member.view = Some(MembershipConfig {
                epoch: 0,
                primary: 0,
                replicas: vec![],
                voters,
                previous_voters,
            });
        }
        member.recover(records);
        member.disk.kept(records.iter().map(Vec::len).sum());
        let start = if member.restarted {
            member.config.lease_duration
        } else {
            Duration::ZERO
        };
        member.election_at = now + start + member.election_delay();
        member
    }

    fn recover(&mut self, records: &[Vec<u8>]) {
        let recovered = match recovery::replay(records) {
            Ok(recovered) => recovered,
            Err(error) => {
                // What was promised isn't known: nothing is promised, accepted or held any more.
                self.view = None;
                self.unsound = Some(Arc::new(error));
                return;
            }
        };
        self.promised = recovered.promised;
        self.seen = recovered.promised;
        self.view = recovered.view.or(self.view.take());
        self.held = recovered.held.map(|l| ReplicaLog {
            head: l.clone(),
            disk: l,
        });
        self.restored = recovered.acknowledged.clone();
        self.acknowledged = Acknowledged::recovered(recovered.acknowledged);
        self.acknowledged
            .view_begins(self.held.as_ref().map(|h| &h.disk));
    }

    /// Takes one input; what has to be done is added to `out`, which ends with the next time to wake.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if let Some(ledger) = self.restored.take() {
            let drains = ledger.drains.into_iter().collect();
            out.push(Output::RestoreState {
                index: ledger.index,
                configuration: ledger.configuration,
                drains,
            });
        }
        // After a standstill the lease may have ended: others act, and nothing more is acknowledged here.
        self.end_of_lease();
        match input {
            Input::Tick => {}
            Input::Message { from, message } => {
                self.note(&from);
                self.on_message(from, message, out);
            }
            Input::WriteCompleted { ticket, result } => self.on_wrote(ticket, result, out),
            Input::Command { ticket, command } => self.on_command(ticket, command),
            Input::PeerReachable { member } => self.on_reachable(&member),
            Input::Depart => self.on_leave(out),
        }
        self.end_if_given_up();
        self.run_departure(out);
        self.run_primary(out);
        self.run_candidate(out);
        self.run_election_timer(out);
        self.run_commands(out);
        self.flush(out);
        out.push(Output::Wake {
            at: self.next_wake(),
        });
    }

    fn on_message(&mut self, from: MemberInfo, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::PreVote {
                known_epoch,
                accepted_epoch,
            } => self.on_pre_vote(from, known_epoch, accepted_epoch, out),
            Message::Prepare { epoch, candidate } => self.on_prepare(from, epoch, candidate, out),
            Message::InstallMembership {
                membership,
                snapshot,
            } => {
                self.on_install(from, membership, snapshot, out);
            }
            Message::AppendChange {
                epoch,
                index,
                change,
            } => {
                self.on_append(from, epoch, index, change, out);
            }
            Message::RenewLease {
                epoch,
                requested_at_ms,
                commit_index,
                echoed_clock_ms,
            } => {
                self.on_renew(
                    from,
                    epoch,
                    requested_at_ms,
                    (commit_index, echoed_clock_ms),
                    out,
                );
                self.record_committed(epoch, commit_index);
            }
            Message::FetchSnapshot { epoch } => self.on_fetch(from, epoch, out),
            Message::ReleaseLease { epoch } => self.on_release(from.id, epoch),
            Message::Leaving { .. } => self.on_peer_leaving(from.id),
            Message::PreVoteReply {
                granted,
                promised_epoch,
                retry_after_ms,
            } => self.on_pre_vote_reply(from, granted, promised_epoch, retry_after_ms, out),
            Message::Promise {
                epoch,
                granted,
                promised_epoch,
                membership,
                log_position,
                retry_after_ms,
            } => {
                self.see(promised_epoch);
                // A voter that has just joined may not have accepted any view yet: its promise counts all the same.
                let has = (membership.unwrap_or_default(), log_position);
                self.on_promise(from, epoch, granted, Some(has), retry_after_ms, out);
            }
            Message::SnapshotReply {
                epoch, snapshot, ..
            } => self.on_fetched(from, epoch, &snapshot, out),
            Message::InstallMembershipReply {
                epoch,
                accepted,
                promised_epoch,
            } => {
                self.see(promised_epoch);
                self.on_installed(from.id, epoch, accepted, out);
            }
            Message::AppendReply {
                epoch,
                match_index,
                accepted,
                promised_epoch,
            } => {
                self.see(promised_epoch);
                self.on_appended(from.id, epoch, match_index, accepted, out);
            }
            Message::LeaseReply {
                epoch,
                requested_at_ms,
                granted,
                promised_epoch,
                disk_healthy,
                clock_ms,
            } => {
                self.see(promised_epoch);
                self.on_renewed(
                    from,
                    epoch,
                    requested_at_ms,
                    granted,
                    (disk_healthy, clock_ms),
                    out,
                );
            }
            Message::ForwardCommand {
                request_id,
                command,
            } => self.on_ask(from, request_id, command),
            Message::CommandResult {
                request_id,
                code,
                body,
            } => self.on_answer(request_id, code, body, out),
            Message::Hello { .. }
            | Message::Peers { .. }
            | Message::Pull { .. }
            | Message::Update { .. }
            | Message::PromptPlaced { .. }
            | Message::PlacementsRequest { .. }
            | Message::Placements { .. } => {}
        }
    }

    /// A link to a member is up. Of a voter that says little, as a link may outlive its process for seconds;
    /// of others there is no other word.
    fn on_reachable(&mut self, seat: &MemberInfo) {
        let voter = self
            .view
            .as_ref()
            .is_some_and(|v| v.voter(seat.id).is_some());
        let heard = self.peers.get(&seat.id).map(|p| p.heard).filter(|_| voter);
        self.note(seat);
        if let Some(peer) = self.peers.get_mut(&seat.id) {
            peer.heard = heard.unwrap_or(peer.heard);
            // Only voters are asked how their disks are.
            peer.fit |= !voter;
        }
    }

    fn note(&mut self, seat: &MemberInfo) {
        if seat.id == 0 || seat.id == self.config.local_member.id {
            return;
        }
        // At one address there is one process: another identity there has lost its disk.
        self.peers
            .retain(|id, p| *id == seat.id || p.seat.addr != seat.addr);
        let now = self.now;
        let peer = Peer {
            seat: seat.clone(),
            heard: now,
            fit: true,
            leaving: None,
        };
        let peer = self.peers.entry(seat.id).or_insert(peer);
        peer.heard = now;
        if !seat.name.is_empty() {
            peer.seat = seat.clone();
        }
    }

    fn see(&mut self, epoch: u64) {
        self.seen = self.seen.max(epoch);
    }

    fn me(&self) -> u64 {
        self.config.local_member.id
    }

    fn is_voter(&self) -> bool {
        self.view
            .as_ref()
            .is_some_and(|v| v.voter(self.me()).is_some())
    }

    /// A replica notes what the primary of its view has acknowledged, for its next life.
    fn record_committed(&mut self, epoch: u64, index: u64) {
        let follows = self.view.as_ref().is_some_and(|v| v.epoch == epoch);
        let Some(held) = self
            .held
            .as_ref()
            .filter(|h| follows && h.disk.index >= index)
        else {
            return;
        };
        if self.acknowledged.acknowledge(index, &held.disk) {
            self.write(&Record::Committed { index }, After::Nothing);
        }
    }

    /// The freshest word on where a seat is.
    fn fresh(&self, seat: &MemberInfo) -> MemberInfo {
        match seat.id {
            id if id == self.me() => self.config.local_member.clone(),
            id => self.peers.get(&id).map_or(seat, |p| &p.seat).clone(),
        }
    }

    fn member_info(&self, id: u64) -> Option<MemberInfo> {
        let voter = self.view.as_ref().and_then(|v| {
            v.voter(id)
                .or(v.previous_voters.iter().find(|s| s.id == id))
        });
        self.peers.get(&id).map(|p| &p.seat).or(voter).cloned()
    }

    fn send(&self, to: u64, message: Message, out: &mut Vec<Output>) {
        if let Some(to) = self.member_info(to) {
            out.push(Output::Send { to, message });
        }
    }

    fn draw(&mut self, below: Duration) -> Duration {
        // xorshift64*
        self.random ^= self.random >> 12;
        self.random ^= self.random << 25;
        self.random ^= self.random >> 27;
        let part =
            (self.random.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 40) as f64 / (1u64 << 24) as f64;
        below.mul_f64(part)
    }

    /// Voters stand one after the other: replicas first, in the view's order.
    fn election_delay(&mut self) -> Duration {
        let step = self.config.lease_duration / 8;
        let me = self.me();
        let rank = self.view.as_ref().map_or(0, |v| {
            let replicas = v.replicas.iter().copied();
            let rest = v
                .voters
                .iter()
                .map(|s| s.id)
                .filter(|id| !v.replicas.contains(id));
            replicas
                .chain(rest)
                .filter(|id| *id != v.primary || *id == me)
                .position(|id| id == me)
                .unwrap_or(0)
        });
        step * rank as u32 + self.draw(step / 2)
    }

    /// Who acts, as far as known here: the holder of a lease that hasn't ended.
    pub fn primary(&self) -> Option<MemberInfo> {
        if let Role::Primary(_) = &self.role {
            Some(self.config.local_member.clone())
        } else {
            let granted = self
                .grant
                .filter(|g| g.until > self.now)
                .and_then(|g| self.member_info(g.to));
            // Who has no say grants no leases, and knows by what others tell alone.
            let newer = |epoch: u64| self.view.as_ref().is_none_or(|v| epoch > v.epoch);
            let told = || {
                self.hint
                    .as_ref()
                    .filter(|h| !self.is_voter() || newer(h.0))
            };
            let told = || told().filter(|h| self.in_touch_with(h.1.id));
            granted.or_else(|| told().map(|h| h.1.clone()))
        }
    }

    /// Whether a member was heard of lately, itself or by a link to it; one never heard of may be about to be reached.
    fn in_touch_with(&self, id: u64) -> bool {
        let silent_at = |heard: Duration| heard + IN_TOUCH_LEASES * self.config.lease_duration;
        self.peers
            .get(&id)
            .is_none_or(|peer| self.now < silent_at(peer.heard))
    }

    /// Takes who is the primary in the view of an epoch, as others tell. It only says whom to hand commands to.
    pub fn learn_primary(&mut self, epoch: u64, primary: MemberInfo) {
        if primary.id != self.me() && self.hint.as_ref().is_none_or(|h| epoch >= h.0) {
            self.hint = Some((epoch, primary));
        }
    }

    /// Whether this member acts now.
    pub fn is_acting_primary(&self) -> bool {
        self.is_acting_primary_at(self.now)
    }

    /// Whether this member acts at a time, no earlier than that of its latest step, at which nothing has reached it
    /// since.
    pub fn is_acting_primary_at(&self, now: Duration) -> bool {
        matches!(&self.role, Role::Primary(state) if self.lease_end(state) > now)
    }

    /// The latest view that this member accepted.
    pub fn membership(&self) -> Option<&MembershipConfig> {
        self.view.as_ref()
    }

    /// The highest epoch that this member has promised.
    pub fn promised_epoch(&self) -> u64 {
        self.promised
    }

    /// What is proved of how fresh the acknowledged ledger is that this member may show; nothing before a primary
    /// has been heard of in this life.
    pub fn primary_contact(&self, now: Duration) -> Option<PrimaryContact> {
        match &self.role {
            Role::Primary(state) if self.lease_end(state) > now => Some(PrimaryContact {
                at: now,
                commit_index: state.committed_index(),
            }),
            _ => self.proof,
        }
    }

    /// Why this member can't rely on its records, where that is so: it promises, accepts and holds nothing until
    /// its disk is emptied.
    pub fn replay_error(&self) -> Option<&ReplayError> {
        self.unsound.as_deref()
    }

    /// Whether the disk takes writes and its records can be relied on.
    pub fn disk_healthy(&self) -> bool {
        self.unsound.is_none() && self.disk.fit(self.now, self.config.disk_stall_timeout)
    }

    fn next_wake(&self) -> Duration {
        let idle =
            self.is_voter() && matches!(self.role, Role::Follower) && self.departure.is_none();
        let stand = idle.then(|| {
            self.election_at
                .max(self.grant.map_or(self.election_at, |g| g.until))
        });
        let grace = Duration::from_millis(1);
        [
            stand,
            self.primary_wake(),
            self.candidate_wake(),
            self.commands_wake(),
            self.departure_wake(),
            self.disk.wake(self.config.disk_stall_timeout),
        ]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(self.now + self.config.lease_duration)
        .max(self.now + grace)
        .min(self.now + 4 * self.config.lease_duration)
    }
}
