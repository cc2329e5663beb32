//! A member that acts: takes changes, has them written by all copies, keeps its lease, and changes its view
//! when copies or voters come and go.

use super::candidate::ViewChange;
use super::commands::Source;
use super::disk::After;
use super::view::choose_copies;
use super::{Member, Output, Role};
use crate::ledger::{Ledger, Plan};
use configuration::Code;
use protocol::{Change, Command, Message, Record, Seat, View};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Shares of a lease's length: how often it is renewed, how much of it counts, after how much silence a copy
/// is replaced, how soon a change that a copy hasn't confirmed is sent again, the least age of a view.
const RENEW: f64 = 0.25;
const COUNTS: f64 = 0.9;
const SILENT: f64 = 0.7;
const AGAIN: f64 = 0.2;
const LEAST_AGE: f64 = 0.3;
/// A voter silent for so many leases makes room for a member that joins, or is dropped where enough are left.
const LOST: u32 = 3;
const DROPPED: u32 = 10;
/// Most voters; further members only mirror.
const MOST_VOTERS: usize = 9;
/// Hosts that left are forgotten after this.
const FORGET: Duration = Duration::from_secs(120);

#[derive(Debug)]
struct Pending {
    change: Option<Change>,
    ledger: Ledger,
    at: Duration,
    answers: Vec<(Source, Code, Vec<u8>)>,
}

#[derive(Debug)]
pub(super) struct Acting {
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

impl Acting {
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
            acked: view.copies.iter().map(|c| (*c, ledger.seq)).collect(),
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
    pub(super) fn lease_end(&self, acting: &Acting) -> Duration {
        let Some(view) = &self.view else { return Duration::ZERO };
        let nth = |seats: &[Seat]| {
            let stamp = |s: &Seat| match s.id {
                id if id == self.config.me.id => self.now,
                id => acting.stamps.get(&id).copied().unwrap_or(Duration::ZERO),
            };
            let mut stamps: Vec<Duration> = seats.iter().map(stamp).collect();
            stamps.sort_unstable_by(|a, b| b.cmp(a));
            stamps.get(seats.len() / 2).copied().unwrap_or(self.now)
        };
        let asked = nth(&view.voters).min(nth(&view.before));
        if asked.is_zero() {
            return Duration::ZERO;
        }
        asked + self.config.lease.mul_f64(COUNTS)
    }

    /// A primary whose lease has ended stops acting.
    pub(super) fn end_of_lease(&mut self) {
        let Role::Primary(acting) = &self.role else { return };
        if self.now >= self.lease_end(acting) && self.now >= acting.since + self.config.lease {
            self.step_down();
            self.stand_at = self.now + self.stagger();
        }
    }

    pub(super) fn run_primary(&mut self, out: &mut Vec<Output>) {
        let (now, lease, fit) = (self.now, self.config.lease, self.fit());
        let Role::Primary(acting) = &self.role else { return };
        let alone = self.view.as_ref().is_some_and(|v| v.voters.len() == 1);
        if !fit && !alone {
            return self.yield_lease(out);
        }
        if now >= acting.since + lease.mul_f64(LEAST_AGE) {
            if let Some(change) = self.wanted(acting) {
                let agreed = Some(acting.epoch);
                return self.prepare(change, agreed, out);
            }
        }
        self.commit(out);
        self.renew(out);
        self.forget(out);
    }

    fn renew(&mut self, out: &mut Vec<Output>) {
        let (now, lease, me) = (self.now, self.config.lease, self.me());
        let (Role::Primary(acting), Some(view)) = (&mut self.role, self.view.clone()) else { return };
        let epoch = acting.epoch;
        let mut sends: Vec<(u64, Message)> = Vec::new();
        if now >= acting.renew_at {
            acting.renew_at = now + lease.mul_f64(RENEW);
            let (stamp, committed) = (now.as_millis() as u64, acting.committed.seq);
            for id in view.voters.iter().map(|s| s.id).filter(|id| *id != me) {
                if acting.lacking.contains(&id) && !view.copies.contains(&id) {
                    sends.push((id, Message::Install { view: view.clone(), snapshot: None }));
                }
                sends.push((id, Message::Renew { epoch, stamp, committed }));
            }
        }
        if now >= acting.again_at {
            acting.again_at = now + lease.mul_f64(AGAIN);
            let late = |p: &&Pending| now >= p.at + lease.mul_f64(AGAIN);
            for (copy, acked) in acting.acked.iter().filter(|a| *a.0 != me) {
                let (copy, acked) = (*copy, *acked);
                let missing = acting.pending.iter().filter(late).filter(|p| p.ledger.seq > acked);
                sends.extend(missing.filter_map(|p| {
                    let change = p.change.clone()?;
                    Some((copy, Message::Append { epoch, seq: p.ledger.seq, change }))
                }));
            }
        }
        sends.into_iter().for_each(|(to, message)| self.send(to, message, out));
    }

    /// How the view has to change, if it has to.
    fn wanted(&self, acting: &Acting) -> Option<ViewChange> {
        let (view, now, lease) = (self.view.as_ref()?, self.now, self.config.lease);
        // Since the last lease that it granted; since anything came from it, in whichever view.
        let unsigned = |id: u64| now.saturating_sub(acting.stamps.get(&id).copied().unwrap_or(acting.since));
        let silence = |id: u64| now.saturating_sub(self.peers.get(&id).map_or(acting.since, |p| p.heard));
        let fit = |id: u64| self.peers.get(&id).is_none_or(|p| p.fit);
        let me = self.me();
        let late = |copy: u64| {
            let waits = acting.pending.front().is_some_and(|p| {
                now >= p.at + lease.mul_f64(SILENT)
                    && acting.acked.get(&copy).is_none_or(|a| *a < p.ledger.seq)
            });
            waits || unsigned(copy) > lease.mul_f64(SILENT) || !fit(copy) || acting.broken.contains(&copy)
        };
        let mut change = ViewChange::default();
        let bad: BTreeSet<u64> = view.copies.iter().copied().filter(|c| *c != me && late(*c)).collect();
        let mut needed = acting.broken.iter().any(|b| unsigned(*b) < lease.mul_f64(SILENT));
        if !bad.is_empty() {
            let well = |id: u64| {
                id == me || (!bad.contains(&id) && fit(id) && unsigned(id) < lease.mul_f64(2.0 * RENEW))
            };
            let seats: Vec<&Seat> = view.voters.iter().filter(|s| well(s.id)).collect();
            if choose_copies(&self.config.budget, &seats).is_some() {
                change.exclude = bad;
                needed = true;
            }
        }
        // Somebody else has been promised a higher epoch: whoever promised no longer follows this view.
        needed |= self.seen > acting.epoch;
        needed |= !view.settled();
        let joins = self.peers.values().filter(|p| {
            view.seat(p.seat.id).is_none() && p.fit && !p.seat.zone.is_empty() && now < p.heard + LOST * lease
        });
        for joiner in joins {
            let at_home = view.voters.iter().find(|v| v.addr == joiner.seat.addr);
            let lost =
                |v: &&Seat| v.id != me && silence(v.id) > LOST * lease && !change.remove.contains(&v.id);
            match at_home.or_else(|| view.voters.iter().find(lost)) {
                Some(old) => {
                    change.remove.insert(old.id);
                }
                None if view.voters.len() + change.add.len() >= MOST_VOTERS => continue,
                // A voter that has just fallen silent may be the one it comes for: one more voter beside a lost
                // one would leave less room for the next loss.
                None if view.voters.iter().any(|v| v.id != me && silence(v.id) > lease.mul_f64(SILENT)) => {
                    continue
                }
                None => {}
            }
            change.add.push(joiner.seat.clone());
            needed = true;
        }
        let least = 2 * self.config.budget.machine_losses as usize + 1;
        // Of an even number of voters one can go without a loss of room.
        let patience = if view.voters.len().is_multiple_of(2) { LOST } else { DROPPED };
        let silent = |v: &&Seat| v.id != me && silence(v.id) > patience * lease;
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
        let Role::Primary(acting) = &self.role else { return };
        let hosts: Vec<String> =
            acting.drained.iter().filter(|d| now >= *d.1 + FORGET).map(|d| d.0.clone()).collect();
        if hosts.is_empty() || !acting.pending.is_empty() || self.lease_end(acting) <= now {
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
            let Role::Primary(acting) = &self.role else { return };
            if acting.inbox.is_empty() || self.lease_end(acting) <= self.now {
                return;
            }
            let Role::Primary(acting) = &mut self.role else { return };
            let (Some((source, command)), Some(held)) = (acting.inbox.pop_front(), &self.held) else {
                return;
            };
            match held.head.plan(&command) {
                Plan::Change(change, next) => {
                    self.change(change, *next, vec![(source, Code::Ok, vec![])], out)
                }
                // An answer that rests on a change that isn't safe yet waits for it.
                Plan::Answer(code, body) => match acting.pending.back_mut() {
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
        let (Role::Primary(acting), Some(held)) = (&mut self.role, &mut self.held) else { return };
        let (epoch, seq) = (acting.epoch, next.seq);
        held.head = next.clone();
        match &change {
            Change::Drain { host } => drop(acting.drained.insert(host.clone(), now)),
            Change::Forget { hosts } => acting.drained.retain(|d, _| !hosts.contains(d)),
            Change::Configure { .. } => {}
        }
        acting.pending.push_back(Pending {
            ledger: next.clone(),
            change: Some(change.clone()),
            at: now,
            answers,
        });
        let copies: Vec<u64> = acting.acked.keys().copied().filter(|c| *c != me).collect();
        for copy in copies {
            self.send(copy, Message::Append { epoch, seq, change: change.clone() }, out);
        }
        self.write(&Record::Change { epoch, seq, change }, After::Own { epoch, ledger: Box::new(next) });
    }

    pub(super) fn on_appended(&mut self, from: u64, epoch: u64, seq: u64, ok: bool, out: &mut Vec<Output>) {
        let Role::Primary(acting) = &mut self.role else { return };
        if acting.epoch != epoch {
            return;
        }
        if !ok {
            acting.broken.insert(from);
            return;
        }
        acting.acked.entry(from).and_modify(|a| *a = seq.max(*a));
        self.commit(out);
    }

    /// Acknowledges what all copies have on disk, for as long as the lease lasts.
    fn commit(&mut self, out: &mut Vec<Output>) {
        let leased = |m: &Self| matches!(&m.role, Role::Primary(acting) if m.lease_end(acting) > m.now);
        if !leased(self) {
            return;
        }
        let Role::Primary(acting) = &mut self.role else { return };
        let safe = acting.acked.values().copied().min().unwrap_or(0);
        let mut answers = Vec::new();
        let before = acting.committed.seq;
        while let Some(done) = acting.pending.pop_front_if(|p| p.ledger.seq <= safe) {
            acting.committed = done.ledger;
            answers.extend(done.answers);
        }
        if acting.committed.seq > before || !std::mem::replace(&mut acting.shown, true) {
            self.publish(out);
            self.know_own();
        }
        answers.into_iter().for_each(|(to, code, body)| self.answer(to, code, body, out));
    }

    /// The primary notes what it has acknowledged, unless more is about to follow.
    pub(super) fn know_own(&mut self) {
        if let Role::Primary(acting) = &self.role {
            let (epoch, seq, more) = (acting.epoch, acting.committed.seq, !acting.pending.is_empty());
            if !more {
                self.know_committed(epoch, seq);
            }
        }
    }

    pub(super) fn publish(&self, out: &mut Vec<Output>) {
        let Role::Primary(acting) = &self.role else { return };
        let ledger = &acting.committed;
        out.push(Output::Publish {
            seq: ledger.seq,
            document: ledger.document.clone(),
            drains: ledger.drains.iter().cloned().collect(),
        });
    }

    pub(super) fn on_renewed(
        &mut self,
        from: Seat,
        epoch: u64,
        stamp: u64,
        ok: bool,
        fit: bool,
        out: &mut Vec<Output>,
    ) {
        if let Some(peer) = self.peers.get_mut(&from.id) {
            peer.fit = fit;
        }
        let Role::Primary(acting) = &mut self.role else { return };
        if acting.epoch != epoch {
            return;
        }
        if ok {
            let stamp = Duration::from_millis(stamp);
            let latest = acting.stamps.entry(from.id).or_insert(stamp);
            *latest = stamp.max(*latest);
            acting.lacking.remove(&from.id);
            // What came before the lease waits for it.
            self.commit(out);
        } else {
            acting.lacking.insert(from.id);
        }
    }

    pub(super) fn primary_wake(&self) -> Option<Duration> {
        match &self.role {
            Role::Primary(acting) => {
                let waits = !acting.pending.is_empty();
                Some(if waits { acting.renew_at.min(acting.again_at) } else { acting.renew_at })
            }
            _ => None,
        }
    }
}
