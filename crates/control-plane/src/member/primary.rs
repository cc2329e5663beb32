//! A member that acts: takes changes, has them written by all replicas, keeps its lease, and changes its view
//! when replicas or voters come and go.

use super::commands::Source;
use super::disk::After;
use super::early::EarlyOrders;
use super::transfer::{change_bytes, extra_time};
use super::{Member, Output, Role};
use crate::replicated_state::{Plan, ReplicatedState};
use configuration::ResultCode;
use protocol::{Change, Command, MemberInfo, MembershipConfig, Message, Record};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Shares of a lease's length: how often it is renewed, how much of it counts, how soon a change that a copy
/// hasn't confirmed is sent again, the least age of a view.
pub(super) const RENEW_INTERVAL: f64 = 0.25;
const LEASE_COUNTED_SHARE: f64 = 0.9;
const RESEND_INTERVAL: f64 = 0.2;
const MIN_VIEW_AGE: f64 = 0.3;
/// Acknowledged changes that the primary's own disk need not know to be acknowledged while more follow.
const MAX_UNRECORDED_COMMITS: u64 = 4;
/// Hosts that left are forgotten after this.
const DRAIN_RETENTION: Duration = Duration::from_secs(120);

#[derive(Clone, Debug)]
pub(super) struct Pending {
    change: Option<Change>,
    pub(super) ledger: ReplicatedState,
    pub(super) at: Duration,
    /// When it was last sent to replicas that haven't confirmed it.
    sent_at: Duration,
    bytes: usize,
    /// How much longer than a small one it may be on its way, behind those that weren't confirmed then.
    pub(super) extra: Duration,
    answers: Vec<(Source, ResultCode, Vec<u8>)>,
}

#[derive(Clone, Debug)]
pub(super) struct PrimaryState {
    pub(super) epoch: u64,
    pub(super) since: Duration,
    /// Since when this member has acted, in this view and in those of its own before.
    pub(super) acting_since: Duration,
    /// Whether its replicas are enough for the budget; else nothing new may be acknowledged.
    pub(super) takes_changes: bool,
    committed: ReplicatedState,
    /// Whether its ledger was shown: not before the first lease, as others may act already.
    shown: bool,
    pub(super) pending: VecDeque<Pending>,
    pub(super) acked: BTreeMap<u64, u64>,
    /// When the latest lease that a voter granted was asked for.
    pub(super) stamps: BTreeMap<u64, Duration>,
    /// The clock that each voter told with its latest answer.
    clocks: BTreeMap<u64, u64>,
    pub(super) renew_at: Duration,
    again_at: Duration,
    /// Voters that haven't accepted the view yet.
    pub(super) lacking: BTreeSet<u64>,
    /// Replicas that can't go on.
    pub(super) broken: BTreeSet<u64>,
    pub(super) inbox: VecDeque<(Source, Command)>,
    /// Orders whose base isn't in force yet.
    pub(super) early: EarlyOrders,
    drained: BTreeMap<String, Duration>,
}

impl PrimaryState {
    pub(super) fn new(
        epoch: u64,
        now: Duration,
        acting_since: Duration,
        ledger: ReplicatedState,
        view: &MembershipConfig,
        lacking: BTreeSet<u64>,
    ) -> Self {
        Self {
            epoch,
            since: now,
            acting_since,
            takes_changes: true,
            acked: view.replicas.iter().map(|c| (*c, ledger.index)).collect(),
            drained: ledger.drains.iter().map(|d| (d.clone(), now)).collect(),
            committed: ledger,
            shown: false,
            pending: VecDeque::new(),
            stamps: BTreeMap::new(),
            clocks: BTreeMap::new(),
            renew_at: now,
            again_at: now,
            lacking,
            broken: BTreeSet::new(),
            inbox: VecDeque::new(),
            early: EarlyOrders::default(),
        }
    }

    /// Number of the last change that is acknowledged.
    pub(super) fn committed_index(&self) -> u64 {
        self.committed.index
    }

    /// What a caller is told whose order doesn't build on the version in force.
    pub(super) fn told_base(&self, base: u64) -> Vec<u8> {
        self.committed.told_base(base)
    }
}

impl Member {
    /// When the lease ends, as this member counts it: from when it was asked for.
    pub(super) fn lease_end(&self, state: &PrimaryState) -> Duration {
        let Some(view) = &self.view else {
            return Duration::ZERO;
        };
        let nth = |seats: &[MemberInfo]| {
            let stamp = |s: &MemberInfo| match s.id {
                id if id == self.config.local_member.id => self.now,
                id => state.stamps.get(&id).copied().unwrap_or(Duration::ZERO),
            };
            let mut stamps: Vec<Duration> = seats.iter().map(stamp).collect();
            stamps.sort_unstable_by(|a, b| b.cmp(a));
            stamps.get(seats.len() / 2).copied().unwrap_or(self.now)
        };
        let asked = nth(&view.voters).min(nth(&view.previous_voters));
        if asked.is_zero() {
            return Duration::ZERO;
        }
        asked + self.config.lease_duration.mul_f64(LEASE_COUNTED_SHARE)
    }

    /// A primary whose lease has ended stops acting.
    pub(super) fn end_of_lease(&mut self) {
        let Role::Primary(state) = &self.role else {
            return;
        };
        if self.now >= self.lease_end(state) && self.now >= state.since + self.config.lease_duration
        {
            self.step_down();
            self.election_at = self.now + self.election_delay();
        }
    }

    pub(super) fn run_primary(&mut self, out: &mut Vec<Output>) {
        let (now, lease, fit) = (self.now, self.config.lease_duration, self.disk_healthy());
        let Role::Primary(state) = &self.role else {
            return;
        };
        let alone = self.view.as_ref().is_some_and(|v| v.voters.len() == 1);
        if !fit && !alone {
            return self.release_lease(out);
        }
        // What is half-way is brought to its end at once.
        let settled = self.view.as_ref().is_none_or(MembershipConfig::is_stable);
        if !settled || now >= state.since + lease.mul_f64(MIN_VIEW_AGE) {
            if let Some(change) = self.wanted(state) {
                let agreed = Some(state.epoch);
                return self.prepare(change, agreed, out);
            }
        }
        self.commit(out);
        self.renew(out);
        self.forget(out);
    }

    fn renew(&mut self, out: &mut Vec<Output>) {
        let (now, lease, me) = (self.now, self.config.lease_duration, self.me());
        let leased = self.is_acting_primary();
        let (Role::Primary(state), Some(view)) = (&mut self.role, self.view.clone()) else {
            return;
        };
        let epoch = state.epoch;
        let mut sends: Vec<(u64, Message)> = Vec::new();
        if now >= state.renew_at {
            state.renew_at = now + lease.mul_f64(RENEW_INTERVAL);
            let (stamp, committed) = (now.as_millis() as u64, state.committed.index);
            for id in view.voters.iter().map(|s| s.id).filter(|id| *id != me) {
                if state.lacking.contains(&id) && !view.replicas.contains(&id) {
                    sends.push((
                        id,
                        Message::InstallMembership {
                            membership: view.clone(),
                            snapshot: None,
                        },
                    ));
                }
                // Without a lease others may have acted since: no proof.
                let heard = state
                    .clocks
                    .get(&id)
                    .copied()
                    .filter(|_| leased)
                    .unwrap_or(0);
                sends.push((
                    id,
                    Message::RenewLease {
                        epoch,
                        requested_at_ms: stamp,
                        commit_index: committed,
                        echoed_clock_ms: heard,
                    },
                ));
            }
        }
        if now >= state.again_at {
            state.again_at = now + lease.mul_f64(RESEND_INTERVAL);
            let late = |p: &Pending| now >= p.sent_at + p.extra + lease.mul_f64(RESEND_INTERVAL);
            for pending in state.pending.iter_mut().filter(|p| late(p)) {
                pending.sent_at = now;
                let (index, Some(change)) = (pending.ledger.index, &pending.change) else {
                    continue;
                };
                let missing = state
                    .acked
                    .iter()
                    .filter(|a| *a.0 != me && *a.1 < index)
                    .map(|a| *a.0);
                sends.extend(missing.map(|copy| {
                    (
                        copy,
                        Message::AppendChange {
                            epoch,
                            index,
                            change: change.clone(),
                        },
                    )
                }));
            }
        }
        sends
            .into_iter()
            .for_each(|(to, message)| self.send(to, message, out));
    }

    fn forget(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let Role::Primary(state) = &self.role else {
            return;
        };
        let hosts: Vec<String> = state
            .drained
            .iter()
            .filter(|d| now >= *d.1 + DRAIN_RETENTION)
            .map(|d| d.0.clone())
            .collect();
        if hosts.is_empty()
            || !state.takes_changes
            || !state.pending.is_empty()
            || self.lease_end(state) <= now
        {
            return;
        }
        let change = Change::Forget { hosts };
        if let Some(next) = self.held.as_ref().and_then(|h| h.head.after(&change).ok()) {
            self.change(change, next, Vec::new(), out);
        }
    }

    /// Runs the commands that wait, in order.
    pub(super) fn serve_inbox(&mut self, out: &mut Vec<Output>) {
        loop {
            let Role::Primary(state) = &self.role else {
                return;
            };
            if state.inbox.is_empty() || self.lease_end(state) <= self.now {
                return;
            }
            let Role::Primary(state) = &mut self.role else {
                return;
            };
            let (Some((source, command)), Some(held)) = (state.inbox.pop_front(), &self.held)
            else {
                return;
            };
            match held.head.plan(&command) {
                Plan::Change(..) if !state.takes_changes => {
                    self.answer(source, ResultCode::NoPrimary, vec![], out);
                }
                Plan::Change(change, next) => {
                    self.change(change, *next, vec![(source, ResultCode::Ok, vec![])], out);
                    self.requeue_early();
                }
                Plan::Answer(ResultCode::BaseNotInForce, _) => {
                    self.hold_early(source, command, out);
                }
                // An answer that rests on a change that isn't safe yet waits for it.
                Plan::Answer(code, body) => match state.pending.back_mut() {
                    Some(last) => last.answers.push((source, code, body)),
                    None => self.answer(source, code, body, out),
                },
            }
        }
    }

    /// Early orders whose base has been taken are planned again.
    fn requeue_early(&mut self) {
        let (Role::Primary(state), Some(held)) = (&mut self.role, &self.held) else {
            return;
        };
        state
            .inbox
            .extend(state.early.take_ready(held.head.configuration.version));
    }

    fn change(
        &mut self,
        change: Change,
        next: ReplicatedState,
        answers: Vec<(Source, ResultCode, Vec<u8>)>,
        out: &mut Vec<Output>,
    ) {
        let (now, me) = (self.now, self.me());
        let (Role::Primary(state), Some(held)) = (&mut self.role, &mut self.held) else {
            return;
        };
        let (epoch, index) = (state.epoch, next.index);
        held.head = next.clone();
        match &change {
            Change::Drain { host } => drop(state.drained.insert(host.clone(), now)),
            Change::Forget { hosts } => state.drained.retain(|d, _| !hosts.contains(d)),
            Change::Configure { .. } => {}
        }
        let bytes = change_bytes(&change);
        let on_their_way: usize = state.pending.iter().map(|p| p.bytes).sum();
        state.pending.push_back(Pending {
            ledger: next.clone(),
            change: Some(change.clone()),
            at: now,
            sent_at: now,
            bytes,
            extra: extra_time(on_their_way + bytes),
            answers,
        });
        let replicas: Vec<u64> = state.acked.keys().copied().filter(|c| *c != me).collect();
        for copy in replicas {
            self.send(
                copy,
                Message::AppendChange {
                    epoch,
                    index,
                    change: change.clone(),
                },
                out,
            );
        }
        self.write(
            &Record::Change {
                epoch,
                index,
                change,
            },
            After::Own {
                epoch,
                ledger: Box::new(next),
            },
        );
    }

    pub(super) fn on_appended(
        &mut self,
        from: u64,
        epoch: u64,
        index: u64,
        ok: bool,
        out: &mut Vec<Output>,
    ) {
        let Role::Primary(state) = &mut self.role else {
            return;
        };
        if state.epoch != epoch {
            return;
        }
        if !ok {
            state.broken.insert(from);
            return;
        }
        state.acked.entry(from).and_modify(|a| *a = index.max(*a));
        self.commit(out);
    }

    /// Acknowledges what all replicas have on disk, for as long as the lease lasts.
    fn commit(&mut self, out: &mut Vec<Output>) {
        let leased =
            |m: &Self| matches!(&m.role, Role::Primary(state) if m.lease_end(state) > m.now);
        if !leased(self) {
            return;
        }
        let Role::Primary(state) = &mut self.role else {
            return;
        };
        let safe = state.acked.values().copied().min().unwrap_or(0);
        let mut answers = Vec::new();
        let before = state.committed.index;
        while let Some(done) = state.pending.pop_front_if(|p| p.ledger.index <= safe) {
            state.committed = done.ledger;
            answers.extend(done.answers);
        }
        if state.committed.index > before || !std::mem::replace(&mut state.shown, true) {
            self.publish(out);
            self.record_own_commits();
        }
        answers
            .into_iter()
            .for_each(|(to, code, body)| self.answer(to, code, body, out));
    }

    /// The primary notes what it has acknowledged, unless more is about to follow.
    pub(super) fn record_own_commits(&mut self) {
        if let Role::Primary(state) = &self.role {
            let (epoch, index, more) = (
                state.epoch,
                state.committed.index,
                !state.pending.is_empty(),
            );
            // Where changes never cease to come, it is noted from time to time all the same.
            let known = self.acknowledged.index();
            if !more || index >= known + MAX_UNRECORDED_COMMITS {
                self.record_committed(epoch, index);
            }
        }
    }

    pub(super) fn publish(&self, out: &mut Vec<Output>) {
        let Role::Primary(state) = &self.role else {
            return;
        };
        let ledger = &state.committed;
        out.push(Output::PublishState {
            index: ledger.index,
            configuration: ledger.configuration.clone(),
            drains: ledger.drains.iter().cloned().collect(),
        });
    }

    pub(super) fn on_renewed(
        &mut self,
        from: MemberInfo,
        epoch: u64,
        stamp: u64,
        ok: bool,
        (fit, clock): (bool, u64),
        out: &mut Vec<Output>,
    ) {
        if let Some(peer) = self.peers.get_mut(&from.id) {
            peer.fit = fit;
            // Back in another life.
            peer.leaving = peer.leaving.filter(|_| !fit);
        }
        let Role::Primary(state) = &mut self.role else {
            return;
        };
        if state.epoch != epoch {
            return;
        }
        if ok {
            let stamp = Duration::from_millis(stamp);
            let latest = state.stamps.entry(from.id).or_insert(stamp);
            *latest = stamp.max(*latest);
            state.clocks.insert(from.id, clock);
            state.lacking.remove(&from.id);
            // What came before the lease waits for it.
            self.commit(out);
        } else {
            state.lacking.insert(from.id);
        }
    }

    pub(super) fn primary_wake(&self) -> Option<Duration> {
        match &self.role {
            Role::Primary(state) => {
                let resend = (!state.pending.is_empty()).then_some(state.again_at);
                [resend, state.early.next_end()]
                    .into_iter()
                    .flatten()
                    .chain([state.renew_at])
                    .min()
            }
            _ => None,
        }
    }
}
