//! A member that stands: it canvasses, gathers promises, takes the ledger over, installs a view. The primary
//! goes the same way to change its view.
//!
//! A view whose voters differ from those before it may not have been agreed on: until its primary has followed it
//! with one that keeps the voters, whoever stands needs a majority of both, and hands both on as they are.

use super::acknowledged::ledger_bytes;
use super::disk::After;
use super::primary::PrimaryState;
use super::transfer::transfer_time;
use super::view::{choose_replicas, majority_shortfall};
use super::{Member, Output, Role};
use crate::replicated_state::ReplicatedState;
use protocol::{LogPosition, MemberInfo, MembershipConfig, Message, Record, Snapshot};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A candidate that fetches a ledger doesn't know how long it is: each time that its time was too short, the next
/// try takes twice as long, so many times at most.
const MAX_FETCH_DOUBLINGS: u32 = 4;
/// A phase that may last longer than this share of a lease is told of: half a lease is usual.
const LONG_PHASE: f64 = 0.75;
/// Share of a lease after which a candidate that moves a long ledger tells its voters that it is at it.
const STILL_AT_IT_INTERVAL: f64 = 0.25;
/// Bits of an epoch that tell candidates apart.
const OWN_BITS: u32 = 20;

/// How a view is to differ from the one before.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ViewChange {
    /// Members that are not to be replicas.
    pub(super) exclude: BTreeSet<u64>,
    /// Voters that come.
    pub(super) add: Vec<MemberInfo>,
    /// Voters that go.
    pub(super) remove: BTreeSet<u64>,
}

/// How far a candidate has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionPhase {
    /// It asks whether the others would promise; nothing is on disk yet.
    PreVote,
    /// It gathers promises under a new epoch.
    Prepare,
    /// It has a majority's promises and takes the ledger from a replica.
    Fetch,
    /// It waits for the new view's replicas to have the view and the ledger on disk.
    Replicas,
    /// It waits for a majority of the voters to have the view on disk.
    Witnesses,
}

#[derive(Clone, Debug)]
pub(super) struct CandidateState {
    pub(super) epoch: u64,
    pub(super) phase: ElectionPhase,
    since: Duration,
    /// When those that promised are next told that a ledger is on its way.
    tell_at: Duration,
    willing: BTreeSet<u64>,
    asked: BTreeSet<u64>,
    promises: BTreeMap<u64, (MembershipConfig, Option<LogPosition>)>,
    installed: BTreeSet<u64>,
    target: Option<(MembershipConfig, ReplicatedState)>,
    change: ViewChange,
    /// The view whose primary this member was, and so knows to be agreed on.
    agreed: Option<u64>,
    /// Since when it has acted, where it changes its own view.
    acting_since: Option<Duration>,
    /// Nobody else has promised in time: fewer replicas than the budget asks for will do, where there are too few
    /// voters for the budget anyway.
    accepts_few_replicas: bool,
}

impl CandidateState {
    fn new(now: Duration, change: ViewChange, agreed: Option<u64>) -> Self {
        Self {
            epoch: 0,
            phase: ElectionPhase::PreVote,
            since: now,
            tell_at: now,
            willing: BTreeSet::new(),
            asked: BTreeSet::new(),
            promises: BTreeMap::new(),
            installed: BTreeSet::new(),
            target: None,
            change,
            agreed,
            acting_since: None,
            accepts_few_replicas: false,
        }
    }
}

/// The voter of a view that asked for an epoch: an epoch's low bits are those of its candidate's identity.
pub fn candidate_of(epoch: u64, view: &MembershipConfig) -> Option<&MemberInfo> {
    let own = (1 << OWN_BITS) - 1;
    view.voters
        .iter()
        .chain(&view.previous_voters)
        .find(|s| s.id & own == epoch & own)
}

/// All seats of a view that have a say.
fn all_voters(view: &MembershipConfig) -> BTreeSet<u64> {
    view.voters
        .iter()
        .chain(&view.previous_voters)
        .map(|s| s.id)
        .collect()
}

impl Member {
    /// A voter that sees no lease stands once its turn has come.
    pub(super) fn run_election_timer(&mut self, out: &mut Vec<Output>) {
        let held_back = self.grant.is_some_and(|g| g.until > self.now)
            || self.departure.is_some()
            || !self.disk_healthy();
        let idle = matches!(self.role, Role::Follower)
            && self.is_voter()
            && !self.given_up()
            && self.now >= self.election_at;
        if held_back || !idle {
            return;
        }
        self.election_at = self.now + self.config.lease_duration / 2 + self.election_delay();
        self.role = Role::Candidate(Box::new(CandidateState::new(
            self.now,
            ViewChange::default(),
            None,
        )));
        let others = self.view.as_ref().map(all_voters).unwrap_or_default();
        let view = self.view.as_ref().map_or(0, |v| v.epoch);
        for id in others.into_iter().filter(|id| *id != self.me()) {
            self.send(
                id,
                Message::PreVote {
                    known_epoch: self.seen,
                    accepted_epoch: view,
                },
                out,
            );
        }
        self.pre_votes_changed(out);
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        from: MemberInfo,
        willing: bool,
        seen: u64,
        wait_ms: u32,
        out: &mut Vec<Output>,
    ) {
        self.see(seen);
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        if candidacy.phase != ElectionPhase::PreVote {
            return;
        }
        if willing {
            candidacy.willing.insert(from.id);
            self.pre_votes_changed(out);
        } else {
            let wait = Duration::from_millis(u64::from(wait_ms));
            self.election_at = self
                .election_at
                .max(self.now + wait + self.config.lease_duration / 20);
        }
    }

    fn pre_votes_changed(&mut self, out: &mut Vec<Output>) {
        let (me, Role::Candidate(candidacy)) = (self.me(), &self.role) else {
            return;
        };
        let enough =
            |v: &MembershipConfig| v.has_quorum(|id| id == me || candidacy.willing.contains(&id));
        if self.view.as_ref().is_some_and(enough) {
            self.prepare(ViewChange::default(), None, out);
        }
    }

    /// Asks for promises under a new epoch.
    pub(super) fn prepare(
        &mut self,
        change: ViewChange,
        agreed: Option<u64>,
        out: &mut Vec<Output>,
    ) {
        let round = (self.seen.max(self.promised) >> OWN_BITS) + 1;
        let epoch = (round << OWN_BITS) | (self.me() & ((1 << OWN_BITS) - 1));
        let mut candidacy = CandidateState::new(self.now, change, agreed);
        (candidacy.epoch, candidacy.phase) = (epoch, ElectionPhase::Prepare);
        if let Role::Primary(state) = &self.role {
            candidacy.acting_since = Some(state.acting_since);
        }
        self.step_down();
        self.role = Role::Candidate(Box::new(candidacy));
        let me = self.config.local_member.clone();
        self.promise(me, epoch);
        let all_voters = self.view.as_ref().map(all_voters).unwrap_or_default();
        self.ask_promises(all_voters, out);
    }

    fn ask_promises(&mut self, ids: BTreeSet<u64>, out: &mut Vec<Output>) {
        let me = self.config.local_member.clone();
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        let epoch = candidacy.epoch;
        let new: Vec<u64> = ids
            .into_iter()
            .filter(|id| *id != me.id && candidacy.asked.insert(*id))
            .collect();
        for id in new {
            self.send(
                id,
                Message::Prepare {
                    epoch,
                    candidate: me.clone(),
                },
                out,
            );
        }
    }

    pub(super) fn on_promise(
        &mut self,
        from: MemberInfo,
        epoch: u64,
        granted: bool,
        has: Option<(MembershipConfig, Option<LogPosition>)>,
        wait_ms: u32,
        out: &mut Vec<Output>,
    ) {
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        if candidacy.epoch != epoch {
            return;
        }
        let fetches = candidacy.phase == ElectionPhase::Fetch;
        if candidacy.phase != ElectionPhase::Prepare && !fetches {
            return;
        }
        match has {
            // The ledger that is on its way is that of the highest view known so far: a higher one comes too late.
            Some(has) if granted && fetches => {
                let highest = candidacy.promises.values().map(|p| p.0.epoch).max();
                if highest.is_some_and(|highest| has.0.epoch <= highest) {
                    candidacy.promises.insert(from.id, has);
                }
            }
            Some(has) if granted => {
                candidacy.promises.insert(from.id, has);
                self.promises_changed(out);
            }
            _ => {
                let wait = Duration::from_millis(u64::from(wait_ms));
                self.election_at = self.election_at.max(self.now + wait);
            }
        }
    }

    /// Goes on once a majority of the highest view's voters, a replica of it among them, has promised.
    fn promises_changed(&mut self, out: &mut Vec<Output>) {
        let Role::Candidate(candidacy) = &self.role else {
            return;
        };
        // Without voters it is no view: its speaker has not accepted any yet.
        let views = candidacy
            .promises
            .values()
            .map(|p| &p.0)
            .filter(|v| !v.voters.is_empty());
        let Some(highest) = views.max_by_key(|v| v.epoch).cloned() else {
            return;
        };
        // The highest view may know of others than this member's own.
        self.ask_promises(all_voters(&highest), out);
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        if !highest.has_quorum(|id| candidacy.promises.contains_key(&id)) {
            return;
        }
        if highest.epoch == 0 {
            return self.compose(highest, ReplicatedState::default(), out);
        }
        let holds = |p: &(&u64, &(MembershipConfig, Option<LogPosition>))| {
            highest.replicas.contains(p.0) && p.1 .1.is_some_and(|t| t.epoch == highest.epoch)
        };
        let mut holders: Vec<(u64, u64)> = candidacy
            .promises
            .iter()
            .filter(holds)
            .map(|(id, p)| (*id, p.1.map_or(0, |t| t.index)))
            .collect();
        let me = self.config.local_member.id;
        let own = self.view.as_ref().is_some_and(|v| v.epoch == highest.epoch);
        if let Some(held) = self
            .held
            .as_ref()
            .filter(|_| own && holders.iter().any(|h| h.0 == me))
        {
            let ledger = held.disk.clone();
            return self.compose(highest, ledger, out);
        }
        holders.sort_by_key(|h| h.1);
        if let Some((holder, _)) = holders.pop().filter(|h| h.0 != me) {
            let epoch = candidacy.epoch;
            (candidacy.phase, candidacy.since) = (ElectionPhase::Fetch, self.now);
            candidacy.tell_at = self.now + self.config.lease_duration.mul_f64(STILL_AT_IT_INTERVAL);
            self.send(holder, Message::FetchSnapshot { epoch }, out);
        }
    }

    pub(super) fn on_fetched(
        &mut self,
        _from: MemberInfo,
        epoch: u64,
        snapshot: &Snapshot,
        out: &mut Vec<Output>,
    ) {
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        if candidacy.epoch != epoch || candidacy.phase != ElectionPhase::Fetch {
            return;
        }
        // Where no view can be made yet, more promises may come.
        candidacy.phase = ElectionPhase::Prepare;
        let highest = candidacy
            .promises
            .values()
            .map(|p| &p.0)
            .max_by_key(|v| v.epoch)
            .cloned();
        if let Some((highest, ledger)) = highest.zip(ReplicatedState::of(snapshot).ok()) {
            self.fetch_doublings = 0;
            self.compose(highest, ledger, out);
        }
    }

    /// Makes the new view and sends it to its replicas; where they are too few, more promises may come.
    fn compose(&mut self, base: MembershipConfig, ledger: ReplicatedState, out: &mut Vec<Output>) {
        let Role::Candidate(candidacy) = &self.role else {
            return;
        };
        let change = candidacy.change.clone();
        let agreed = candidacy.agreed == Some(base.epoch);
        let mut voters: Vec<MemberInfo> = base.voters.iter().map(|s| self.fresh(s)).collect();
        let previous_voters = if agreed {
            voters.retain(|s| !change.remove.contains(&s.id));
            voters.extend(
                change
                    .add
                    .iter()
                    .filter(|a| !base.voters.iter().any(|v| v.id == a.id))
                    .cloned(),
            );
            base.voters.iter().map(|s| self.fresh(s)).collect()
        } else {
            base.previous_voters.iter().map(|s| self.fresh(s)).collect()
        };
        let me = self.me();
        let there = |id: u64| {
            let joins = agreed && change.add.iter().any(|s| s.id == id);
            id == me
                || (!change.exclude.contains(&id)
                    && (candidacy.promises.contains_key(&id) || joins))
        };
        let well = |id: u64| id == me || (self.peer_fit(id) && !self.peer_leaving(id));
        let mut seats: Vec<&MemberInfo> = voters.iter().filter(|s| there(s.id)).collect();
        seats.sort_by_key(|s| (s.id != me, !base.replicas.contains(&s.id)));
        let staying: Vec<&MemberInfo> = seats.iter().copied().filter(|s| well(s.id)).collect();
        // Where there are too few that stay, a replica that leaves is better than a view that can't be made: what it
        // alone holds is on another disk then.
        let leaving = seats
            .iter()
            .copied()
            .filter(|s| well(s.id) || self.peer_leaving(s.id));
        let replicas = choose_replicas(&self.config.fault_budget, &staying)
            .or_else(|| choose_replicas(&self.config.fault_budget, &leaving.collect::<Vec<_>>()))
            // And then whoever has promised: its disk took the promise, whatever it last told a primary of it.
            .or_else(|| choose_replicas(&self.config.fault_budget, &seats))
            .or_else(|| {
                // Too few voters for the budget: those there are hold the ledger, and take no change until more come.
                let all: Vec<&MemberInfo> = voters.iter().collect();
                let short = candidacy.accepts_few_replicas
                    && majority_shortfall(&self.config.fault_budget, &all) > 0;
                let too_few = short || choose_replicas(&self.config.fault_budget, &all).is_none();
                too_few.then(|| staying.iter().map(|s| s.id).collect())
            });
        let Some(replicas) = replicas.filter(|_| voters.iter().any(|s| s.id == me)) else {
            return;
        };
        let view = MembershipConfig {
            epoch: candidacy.epoch,
            primary: me,
            replicas,
            voters,
            previous_voters,
        };
        let snapshot = Some(ledger.snapshot());
        for copy in view.replicas.iter().filter(|c| **c != me) {
            let to = view.voter(*copy).map(|s| self.fresh(s));
            let message = Message::InstallMembership {
                membership: view.clone(),
                snapshot: snapshot.clone(),
            };
            out.extend(to.map(|to| Output::Send { to, message }));
        }
        let after = After::Installed {
            to: self.config.local_member.clone(),
            view: Box::new(view.clone()),
            ledger: Some(Box::new(ledger.clone())),
        };
        self.write(
            &Record::Accepted {
                membership: view.clone(),
                snapshot,
            },
            after,
        );
        let now = self.now;
        if let Role::Candidate(candidacy) = &mut self.role {
            (candidacy.phase, candidacy.since) = (ElectionPhase::Replicas, now);
            candidacy.tell_at = now + self.config.lease_duration.mul_f64(STILL_AT_IT_INTERVAL);
            candidacy.target = Some((view, ledger));
        }
    }

    pub(super) fn on_installed(&mut self, from: u64, epoch: u64, ok: bool, out: &mut Vec<Output>) {
        if let (Role::Primary(state), true) = (&mut self.role, ok) {
            // A voter grants no lease, and knows no primary, before it has the view: it is asked at once.
            if state.epoch == epoch && state.lacking.remove(&from) {
                state.renew_at = self.now;
            }
            return;
        }
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        let Some((view, ledger)) = candidacy.target.clone().filter(|t| t.0.epoch == epoch) else {
            return;
        };
        if !ok {
            if view.replicas.contains(&from) {
                self.peers.entry(from).and_modify(|p| p.fit = false);
                self.give_up(self.now);
            }
            return;
        }
        candidacy.installed.insert(from);
        if candidacy.phase == ElectionPhase::Replicas
            && view
                .replicas
                .iter()
                .all(|c| candidacy.installed.contains(c))
        {
            candidacy.phase = ElectionPhase::Witnesses;
            let told = all_voters(&view)
                .into_iter()
                .chain(self.leaving_without_say(&view));
            for id in told.filter(|id| !view.replicas.contains(id)) {
                self.send(
                    id,
                    Message::InstallMembership {
                        membership: view.clone(),
                        snapshot: None,
                    },
                    out,
                );
            }
        }
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        if candidacy.phase == ElectionPhase::Witnesses
            && view.has_quorum(|id| candidacy.installed.contains(&id))
        {
            let lacking = view
                .voters
                .iter()
                .map(|s| s.id)
                .filter(|id| !candidacy.installed.contains(id));
            let lacking = lacking.collect();
            let acting_since = candidacy.acting_since.unwrap_or(self.now);
            self.grant = None;
            let mut state =
                PrimaryState::new(epoch, self.now, acting_since, ledger, &view, lacking);
            let held_by: Vec<&MemberInfo> = view
                .replicas
                .iter()
                .filter_map(|id| view.voter(*id))
                .collect();
            state.takes_changes = choose_replicas(&self.config.fault_budget, &held_by).is_some();
            self.waits_for_slow_disks = false;
            self.role = Role::Primary(Box::new(state));
            self.run_primary(out);
        }
    }

    fn give_up(&mut self, until: Duration) {
        self.step_down();
        self.election_at = self.election_at.max(until) + self.election_delay();
    }

    /// How long the phase of a candidacy may last.
    fn phase_time(&self, candidacy: &CandidateState) -> Duration {
        let half = self.config.lease_duration / 2;
        match (candidacy.phase, &candidacy.target) {
            (ElectionPhase::PreVote, _) => half,
            (ElectionPhase::Fetch, _) => half * (1 << self.fetch_doublings),
            (ElectionPhase::Replicas, Some((_, ledger))) => {
                self.write_time() + transfer_time(ledger_bytes(ledger))
            }
            _ => self.write_time(),
        }
    }

    /// How long a candidate waits for what others have to write before they answer: half a lease or, once that was too
    /// short, as long as a disk may take that is still relied on.
    fn write_time(&self) -> Duration {
        let half = self.config.lease_duration / 2;
        if self.waits_for_slow_disks {
            half.max(self.config.disk_stall_timeout + half / 4)
        } else {
            half
        }
    }

    /// Until when this member is at moving a long ledger as a candidate.
    pub(super) fn moves_ledger_until(&self) -> Option<Duration> {
        match &self.role {
            Role::Candidate(candidacy) => {
                let time = self.phase_time(candidacy);
                (time > self.config.lease_duration.mul_f64(LONG_PHASE))
                    .then_some(candidacy.since + time)
            }
            _ => None,
        }
    }

    /// Where a majority has promised and its time is over, too few replicas are better than no view: only a primary
    /// can add voters. False where that doesn't help.
    fn goes_on_with_few(&mut self, out: &mut Vec<Output>) -> bool {
        let now = self.now;
        let Role::Candidate(candidacy) = &mut self.role else {
            return false;
        };
        if candidacy.phase != ElectionPhase::Prepare || candidacy.accepts_few_replicas {
            return false;
        }
        candidacy.accepts_few_replicas = true;
        candidacy.since = now;
        self.promises_changed(out);
        matches!(&self.role, Role::Candidate(candidacy) if candidacy.phase != ElectionPhase::Prepare)
    }

    pub(super) fn run_candidate(&mut self, out: &mut Vec<Output>) {
        let Role::Candidate(candidacy) = &self.role else {
            return;
        };
        // One that leaves stands no more; a primary goes on changing its view until it has handed over.
        let leaves = self.departure.is_some() && candidacy.agreed.is_none();
        if self.now >= candidacy.since + self.phase_time(candidacy) || leaves {
            match candidacy.phase {
                ElectionPhase::PreVote => {}
                ElectionPhase::Fetch => {
                    self.fetch_doublings = (self.fetch_doublings + 1).min(MAX_FETCH_DOUBLINGS);
                }
                _ => self.waits_for_slow_disks = true,
            }
            if !leaves && self.goes_on_with_few(out) {
                return;
            }
            return self.give_up(self.now);
        }
        if self.moves_ledger_until().is_some() {
            self.tell_still_at_it(out);
        }
    }

    /// Whoever promised waits for as long as it hears that the ledger is on its way.
    fn tell_still_at_it(&mut self, out: &mut Vec<Output>) {
        let (now, me) = (self.now, self.config.local_member.clone());
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        if now < candidacy.tell_at {
            return;
        }
        candidacy.tell_at = now + self.config.lease_duration.mul_f64(STILL_AT_IT_INTERVAL);
        let epoch = candidacy.epoch;
        let promised: Vec<u64> = candidacy
            .promises
            .keys()
            .copied()
            .filter(|id| *id != me.id)
            .collect();
        for id in promised {
            self.send(
                id,
                Message::Prepare {
                    epoch,
                    candidate: me.clone(),
                },
                out,
            );
        }
    }

    pub(super) fn candidate_wake(&self) -> Option<Duration> {
        let Role::Candidate(candidacy) = &self.role else {
            return None;
        };
        let over = candidacy.since + self.phase_time(candidacy);
        Some(
            self.moves_ledger_until()
                .map_or(over, |_| over.min(candidacy.tell_at)),
        )
    }
}
