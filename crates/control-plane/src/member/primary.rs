//! A member that acts: takes changes, has them written by all replicas, keeps its lease, and changes its view
//! when replicas or voters come and go.

use super::candidate::ViewChange;
use super::commands::Source;
use super::disk::After;
use super::view::choose_replicas;
use super::{Member, Output, Role};
use crate::ledger::{Ledger, Plan};
use configuration::Code;
use protocol::{Change, Command, MemberInfo, Message, Record, View};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Shares of a lease's length: how often it is renewed, how much of it counts, after how much silence a copy
/// is replaced, how soon a change that a copy hasn't confirmed is sent again, the least age of a view.
const RENEW_INTERVAL: f64 = 0.25;
const LEASE_COUNTED_SHARE: f64 = 0.9;
const REPLICA_SILENCE: f64 = 0.7;
const RESEND_INTERVAL: f64 = 0.2;
const MIN_VIEW_AGE: f64 = 0.3;
/// A voter silent for so many leases makes room for a member that joins, or is dropped where enough are left.
const REPLACE_AFTER_LEASES: u32 = 3;
const REMOVE_AFTER_LEASES: u32 = 10;
/// Most voters; further members only mirror.
const MOST_VOTERS: usize = 9;
/// Hosts that left are forgotten after this.
const DRAIN_RETENTION: Duration = Duration::from_secs(120);

#[derive(Clone, Debug)]
struct Pending {
    change: Option<Change>,
    ledger: Ledger,
    at: Duration,
    answers: Vec<(Source, Code, Vec<u8>)>,
}

#[derive(Clone, Debug)]
pub(super) struct PrimaryState {
    pub(super) epoch: u64,
    since: Duration,
    committed: Ledger,
    /// Whether its ledger was shown: not before the first lease, as others may act already.
    shown: bool,
    pending: VecDeque<Pending>,
    acked: BTreeMap<u64, u64>,
    /// When the latest lease that a voter granted was asked for.
    stamps: BTreeMap<u64, Duration>,
    renew_at: Duration,
    again_at: Duration,
    /// Voters that haven't accepted the view yet.
    pub(super) lacking: BTreeSet<u64>,
    /// Copies that can't go on.
    broken: BTreeSet<u64>,
    pub(super) inbox: VecDeque<(Source, Command)>,
    drained: BTreeMap<String, Duration>,
}

impl PrimaryState {
    pub(super) fn new(
        epoch: u64,
        now: Duration,
        ledger: Ledger,
        view: &View,
        lacking: BTreeSet<u64>,
    ) -> Self {
        Self {
            epoch,
            since: now,
            acked: view.replicas.iter().map(|c| (*c, ledger.seq)).collect(),
            drained: ledger.drains.iter().map(|d| (d.clone(), now)).collect(),
            committed: ledger,
            shown: false,
            pending: VecDeque::new(),
            stamps: BTreeMap::new(),
            renew_at: now,
            again_at: now,
            lacking,
            broken: BTreeSet::new(),
            inbox: VecDeque::new(),
        }
    }
}

impl Member {
    /// When the lease ends, as this member counts it: from when it was asked for.
    pub(super) fn lease_end(&self, state: &PrimaryState) -> Duration {
        let Some(view) = &self.view else { return Duration::ZERO };
        let nth = |seats: &[MemberInfo]| {
            let stamp = |s: &MemberInfo| match s.id {
                id if id == self.config.me.id => self.now,
                id => state.stamps.get(&id).copied().unwrap_or(Duration::ZERO),
            };
            let mut stamps: Vec<Duration> = seats.iter().map(stamp).collect();
            stamps.sort_unstable_by(|a, b| b.cmp(a));
            stamps.get(seats.len() / 2).copied().unwrap_or(self.now)
        };
        let asked = nth(&view.voters).min(nth(&view.before));
        if asked.is_zero() {
            return Duration::ZERO;
        }
        asked + self.config.lease.mul_f64(LEASE_COUNTED_SHARE)
    }

    /// A primary whose lease has ended stops acting.
    pub(super) fn end_of_lease(&mut self) {
        let Role::Primary(state) = &self.role else { return };
        if self.now >= self.lease_end(state) && self.now >= state.since + self.config.lease {
            self.step_down();
            self.election_at = self.now + self.election_delay();
        }
    }

    pub(super) fn run_primary(&mut self, out: &mut Vec<Output>) {
        let (now, lease, fit) = (self.now, self.config.lease, self.fit());
        let Role::Primary(state) = &self.role else { return };
        let alone = self.view.as_ref().is_some_and(|v| v.voters.len() == 1);
        if !fit && !alone {
            return self.release_lease(out);
        }
        if now >= state.since + lease.mul_f64(MIN_VIEW_AGE) {
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
        let (now, lease, me) = (self.now, self.config.lease, self.me());
        let (Role::Primary(state), Some(view)) = (&mut self.role, self.view.clone()) else { return };
        let epoch = state.epoch;
        let mut sends: Vec<(u64, Message)> = Vec::new();
        if now >= state.renew_at {
            state.renew_at = now + lease.mul_f64(RENEW_INTERVAL);
            let (stamp, committed) = (now.as_millis() as u64, state.committed.seq);
            for id in view.voters.iter().map(|s| s.id).filter(|id| *id != me) {
                if state.lacking.contains(&id) && !view.replicas.contains(&id) {
                    sends.push((id, Message::InstallView { view: view.clone(), snapshot: None }));
                }
                sends.push((id, Message::RenewLease { epoch, stamp, committed }));
            }
        }
        if now >= state.again_at {
            state.again_at = now + lease.mul_f64(RESEND_INTERVAL);
            let late = |p: &&Pending| now >= p.at + lease.mul_f64(RESEND_INTERVAL);
            for (copy, acked) in state.acked.iter().filter(|a| *a.0 != me) {
                let (copy, acked) = (*copy, *acked);
                let missing = state.pending.iter().filter(late).filter(|p| p.ledger.seq > acked);
                sends.extend(missing.filter_map(|p| {
                    let change = p.change.clone()?;
                    Some((copy, Message::AppendChange { epoch, seq: p.ledger.seq, change }))
                }));
            }
        }
        sends.into_iter().for_each(|(to, message)| self.send(to, message, out));
    }

    /// How the view has to change, if it has to.
    fn wanted(&self, state: &PrimaryState) -> Option<ViewChange> {
        let (view, now, lease) = (self.view.as_ref()?, self.now, self.config.lease);
        // Since the last lease that it granted; since anything came from it, in whichever view.
        let unsigned = |id: u64| now.saturating_sub(state.stamps.get(&id).copied().unwrap_or(state.since));
        let silence = |id: u64| now.saturating_sub(self.peers.get(&id).map_or(state.since, |p| p.heard));
        let fit = |id: u64| self.peers.get(&id).is_none_or(|p| p.fit);
        let me = self.me();
        let late = |copy: u64| {
            let waits = state.pending.front().is_some_and(|p| {
                now >= p.at + lease.mul_f64(REPLICA_SILENCE)
                    && state.acked.get(&copy).is_none_or(|a| *a < p.ledger.seq)
            });
            waits
                || unsigned(copy) > lease.mul_f64(REPLICA_SILENCE)
                || !fit(copy)
                || state.broken.contains(&copy)
        };
        let mut change = ViewChange::default();
        let bad: BTreeSet<u64> = view.replicas.iter().copied().filter(|c| *c != me && late(*c)).collect();
        let mut needed = state.broken.iter().any(|b| unsigned(*b) < lease.mul_f64(REPLICA_SILENCE));
        if !bad.is_empty() {
            let well = |id: u64| {
                id == me
                    || (!bad.contains(&id) && fit(id) && unsigned(id) < lease.mul_f64(2.0 * RENEW_INTERVAL))
            };
            let seats: Vec<&MemberInfo> = view.voters.iter().filter(|s| well(s.id)).collect();
            if choose_replicas(&self.config.budget, &seats).is_some() {
                change.exclude = bad;
                needed = true;
            }
        }
        // Somebody else has been promised a higher epoch: whoever promised no longer follows this view.
        needed |= self.seen > state.epoch;
        needed |= !view.settled();
        let joins = self.peers.values().filter(|p| {
            view.seat(p.seat.id).is_none()
                && p.fit
                && !p.seat.zone.is_empty()
                && now < p.heard + REPLACE_AFTER_LEASES * lease
        });
        for joiner in joins {
            let at_home = view.voters.iter().find(|v| v.addr == joiner.seat.addr);
            let lost = |v: &&MemberInfo| {
                v.id != me && silence(v.id) > REPLACE_AFTER_LEASES * lease && !change.remove.contains(&v.id)
            };
            match at_home.or_else(|| view.voters.iter().find(lost)) {
                Some(old) => {
                    change.remove.insert(old.id);
                }
                None if view.voters.len() + change.add.len() >= MOST_VOTERS => continue,
                // A voter that has just fallen silent may be the one it comes for: one more voter beside a lost
                // one would leave less room for the next loss.
                None if view
                    .voters
                    .iter()
                    .any(|v| v.id != me && silence(v.id) > lease.mul_f64(REPLICA_SILENCE)) =>
                {
                    continue
                }
                None => {}
            }
            change.add.push(joiner.seat.clone());
            needed = true;
        }
        let least = 2 * self.config.budget.machine_losses as usize + 1;
        // Of an even number of voters one can go without a loss of room.
        let patience =
            if view.voters.len().is_multiple_of(2) { REPLACE_AFTER_LEASES } else { REMOVE_AFTER_LEASES };
        let silent = |v: &&MemberInfo| v.id != me && silence(v.id) > patience * lease;
        if change.add.is_empty() && view.voters.len() > least {
            if let Some(silent) = view.voters.iter().find(silent) {
                change.remove.insert(silent.id);
                needed = true;
            }
        }
        needed.then_some(change)
    }

    fn forget(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let Role::Primary(state) = &self.role else { return };
        let hosts: Vec<String> =
            state.drained.iter().filter(|d| now >= *d.1 + DRAIN_RETENTION).map(|d| d.0.clone()).collect();
        if hosts.is_empty() || !state.pending.is_empty() || self.lease_end(state) <= now {
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
            let Role::Primary(state) = &self.role else { return };
            if state.inbox.is_empty() || self.lease_end(state) <= self.now {
                return;
            }
            let Role::Primary(state) = &mut self.role else { return };
            let (Some((source, command)), Some(held)) = (state.inbox.pop_front(), &self.held) else {
                return;
            };
            match held.head.plan(&command) {
                Plan::Change(change, next) => {
                    self.change(change, *next, vec![(source, Code::Ok, vec![])], out)
                }
                // An answer that rests on a change that isn't safe yet waits for it.
                Plan::Answer(code, body) => match state.pending.back_mut() {
                    Some(last) => last.answers.push((source, code, body)),
                    None => self.answer(source, code, body, out),
                },
            }
        }
    }

    fn change(
        &mut self,
        change: Change,
        next: Ledger,
        answers: Vec<(Source, Code, Vec<u8>)>,
        out: &mut Vec<Output>,
    ) {
        let (now, me) = (self.now, self.me());
        let (Role::Primary(state), Some(held)) = (&mut self.role, &mut self.held) else { return };
        let (epoch, seq) = (state.epoch, next.seq);
        held.head = next.clone();
        match &change {
            Change::Drain { host } => drop(state.drained.insert(host.clone(), now)),
            Change::Forget { hosts } => state.drained.retain(|d, _| !hosts.contains(d)),
            Change::Configure { .. } => {}
        }
        state.pending.push_back(Pending {
            ledger: next.clone(),
            change: Some(change.clone()),
            at: now,
            answers,
        });
        let replicas: Vec<u64> = state.acked.keys().copied().filter(|c| *c != me).collect();
        for copy in replicas {
            self.send(copy, Message::AppendChange { epoch, seq, change: change.clone() }, out);
        }
        self.write(&Record::Change { epoch, seq, change }, After::Own { epoch, ledger: Box::new(next) });
    }

    pub(super) fn on_appended(&mut self, from: u64, epoch: u64, seq: u64, ok: bool, out: &mut Vec<Output>) {
        let Role::Primary(state) = &mut self.role else { return };
        if state.epoch != epoch {
            return;
        }
        if !ok {
            state.broken.insert(from);
            return;
        }
        state.acked.entry(from).and_modify(|a| *a = seq.max(*a));
        self.commit(out);
    }

    /// Acknowledges what all replicas have on disk, for as long as the lease lasts.
    fn commit(&mut self, out: &mut Vec<Output>) {
        let leased = |m: &Self| matches!(&m.role, Role::Primary(state) if m.lease_end(state) > m.now);
        if !leased(self) {
            return;
        }
        let Role::Primary(state) = &mut self.role else { return };
        let safe = state.acked.values().copied().min().unwrap_or(0);
        let mut answers = Vec::new();
        let before = state.committed.seq;
        while let Some(done) = state.pending.pop_front_if(|p| p.ledger.seq <= safe) {
            state.committed = done.ledger;
            answers.extend(done.answers);
        }
        if state.committed.seq > before || !std::mem::replace(&mut state.shown, true) {
            self.publish(out);
            self.record_own_commits();
        }
        answers.into_iter().for_each(|(to, code, body)| self.answer(to, code, body, out));
    }

    /// The primary notes what it has acknowledged, unless more is about to follow.
    pub(super) fn record_own_commits(&mut self) {
        if let Role::Primary(state) = &self.role {
            let (epoch, seq, more) = (state.epoch, state.committed.seq, !state.pending.is_empty());
            if !more {
                self.record_committed(epoch, seq);
            }
        }
    }

    pub(super) fn publish(&self, out: &mut Vec<Output>) {
        let Role::Primary(state) = &self.role else { return };
        let ledger = &state.committed;
        out.push(Output::Publish {
            seq: ledger.seq,
            document: ledger.document.clone(),
            drains: ledger.drains.iter().cloned().collect(),
        });
    }

    pub(super) fn on_renewed(
        &mut self,
        from: MemberInfo,
        epoch: u64,
        stamp: u64,
        ok: bool,
        fit: bool,
        out: &mut Vec<Output>,
    ) {
        if let Some(peer) = self.peers.get_mut(&from.id) {
            peer.fit = fit;
        }
        let Role::Primary(state) = &mut self.role else { return };
        if state.epoch != epoch {
            return;
        }
        if ok {
            let stamp = Duration::from_millis(stamp);
            let latest = state.stamps.entry(from.id).or_insert(stamp);
            *latest = stamp.max(*latest);
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
                let waits = !state.pending.is_empty();
                Some(if waits { state.renew_at.min(state.again_at) } else { state.renew_at })
            }
            _ => None,
        }
    }
}
