//! A member as a voter and a copy: promises, views, changes, leases.

use super::disk::After;
use super::{Grant, Member, Output, PrimaryContact, Role};
use crate::replicated_state::ReplicatedState;
use protocol::{Change, LogPosition, MemberInfo, MembershipConfig, Message, Record, Snapshot};
use std::time::Duration;

impl Member {
    /// Whether a promise to a candidate can be given now; else when asking again makes sense.
    fn may_promise(&self, candidate: u64) -> Result<(), Duration> {
        let wait = self.config.lease_duration / 2;
        // One that joins may be a voter without having been told yet: with no view of its own it can't know better
        // than whoever asks, and a promise never does harm.
        // Until a change of voters is settled, those who go count as well.
        let counts = self.view.as_ref().is_none_or(|v| v.has_vote(self.me()));
        let may_be_voter = counts && !self.given_up();
        if !may_be_voter || !self.disk_healthy() {
            return Err(wait);
        }
        let grant = self
            .grant
            .filter(|g| g.to != candidate && g.until > self.now);
        let own = match &self.role {
            Role::Primary(state) if candidate != self.me() => Some(self.lease_end(state)),
            _ => None,
        };
        // What it granted before it was started again is not known.
        let earlier = self
            .restarted
            .then_some(self.started + self.config.lease_duration);
        let until = [grant.map(|g| g.until), own, earlier]
            .into_iter()
            .flatten()
            .max();
        match until.filter(|until| *until > self.now) {
            Some(until) => Err(until - self.now),
            None => Ok(()),
        }
    }

    /// Whether another candidate may be preferred now: not to one that moves a ledger, which may take long.
    fn may_prefer(&self, candidate: u64) -> Result<(), Duration> {
        let told = Some(self.held_back_until).filter(|_| self.promised_to != Some(candidate));
        let until = self.moves_ledger_until().max(told);
        match until.filter(|until| *until > self.now) {
            Some(until) => Err(until - self.now),
            None => Ok(()),
        }
    }

    pub(super) fn on_pre_vote(
        &mut self,
        from: MemberInfo,
        seen: u64,
        view: u64,
        out: &mut Vec<Output>,
    ) {
        self.see(seen);
        // Whoever has been left out since can't win, it would only hold the others up.
        let left_out = |v: &MembershipConfig| v.epoch > view && v.voter(from.id).is_none();
        let may = if self.view.as_ref().is_some_and(left_out) {
            Err(4 * self.config.lease_duration)
        } else {
            self.may_promise(from.id)
                .and_then(|()| self.may_prefer(from.id))
        };
        let wait_ms = may.err().map_or(0, |w| w.as_millis() as u32);
        let message = Message::PreVoteReply {
            granted: may.is_ok(),
            promised_epoch: self.promised,
            retry_after_ms: wait_ms,
        };
        out.push(Output::Send { to: from, message });
    }

    pub(super) fn on_prepare(
        &mut self,
        from: MemberInfo,
        epoch: u64,
        candidate: MemberInfo,
        out: &mut Vec<Output>,
    ) {
        if epoch == self.promised && self.promised_to == Some(from.id) {
            // It is still at it: a ledger is on its way.
            self.election_at = self.now + self.config.lease_duration + self.election_delay();
            self.held_back_until = self.now + self.config.lease_duration / 2;
            return;
        }
        let wait = match self.may_promise(from.id) {
            Ok(()) if epoch > self.promised => return self.promise(candidate, epoch),
            Ok(()) => Duration::ZERO,
            Err(wait) => wait,
        };
        let (seen, wait_ms) = (self.promised, wait.as_millis() as u32);
        let message = Message::Promise {
            epoch,
            granted: false,
            promised_epoch: seen,
            membership: self.view.clone(),
            log_position: None,
            retry_after_ms: wait_ms,
        };
        out.push(Output::Send { to: from, message });
    }

    /// Promises an epoch to a candidate, itself perhaps.
    pub(super) fn promise(&mut self, to: MemberInfo, epoch: u64) {
        self.promised = epoch;
        self.promised_to = Some(to.id);
        self.see(epoch);
        if to.id != self.me() {
            self.step_down();
            self.election_at = self.now + self.config.lease_duration + self.election_delay();
        }
        self.write(&Record::Promised { epoch }, After::Promise { to, epoch });
    }

    pub(super) fn promise_written(&mut self, to: MemberInfo, epoch: u64, out: &mut Vec<Output>) {
        let (view, tag) = (self.view.clone(), self.tag());
        if to.id == self.me() {
            let me = self.config.local_member.clone();
            return self.on_promise(me, epoch, true, view.zip(Some(tag)), 0, out);
        }
        let message = Message::Promise {
            epoch,
            granted: true,
            promised_epoch: self.promised,
            membership: view,
            log_position: tag,
            retry_after_ms: 0,
        };
        out.push(Output::Send { to, message });
    }

    /// How far the ledger on this disk goes.
    pub(super) fn tag(&self) -> Option<LogPosition> {
        let view = self.view.as_ref()?;
        self.held.as_ref().map(|h| LogPosition {
            epoch: view.epoch,
            index: h.disk.index,
        })
    }

    pub(super) fn on_fetch(&mut self, from: MemberInfo, epoch: u64, out: &mut Vec<Output>) {
        // Only under the promise: from here on no change of an older view gets this copy's word.
        if epoch != self.promised {
            return;
        }
        if let Some((tag, held)) = self.tag().zip(self.held.as_ref()) {
            let message = Message::SnapshotReply {
                epoch,
                log_position: tag,
                snapshot: held.disk.snapshot(),
            };
            out.push(Output::Send { to: from, message });
        }
    }

    pub(super) fn on_install(
        &mut self,
        from: MemberInfo,
        view: MembershipConfig,
        snapshot: Option<Snapshot>,
        out: &mut Vec<Output>,
    ) {
        let epoch = view.epoch;
        self.see(epoch);
        self.note_succession(&view);
        let held = self.view.as_ref().is_some_and(|v| v.epoch == epoch);
        let copy = view.replicas.contains(&self.me());
        let ledger = snapshot.as_ref().map(ReplicatedState::of).transpose();
        let fits = view.has_vote(self.me()) && epoch >= self.promised && copy == snapshot.is_some();
        match ledger {
            _ if held && epoch >= self.promised => {
                let message = Message::InstallMembershipReply {
                    epoch,
                    accepted: true,
                    promised_epoch: self.promised,
                };
                out.push(Output::Send { to: from, message });
            }
            Ok(ledger) if fits && self.disk_healthy() => {
                self.promised = epoch;
                self.waits_for_slow_disks = false;
                self.step_down();
                self.election_at = self.now + self.config.lease_duration + self.election_delay();
                let record = Record::Accepted {
                    membership: view.clone(),
                    snapshot,
                };
                let ledger = ledger.map(Box::new);
                self.write(
                    &record,
                    After::Installed {
                        to: from,
                        view: Box::new(view),
                        ledger,
                    },
                );
            }
            _ => {
                let message = Message::InstallMembershipReply {
                    epoch,
                    accepted: false,
                    promised_epoch: self.promised,
                };
                out.push(Output::Send { to: from, message });
            }
        }
    }

    pub(super) fn on_append(
        &mut self,
        from: MemberInfo,
        epoch: u64,
        index: u64,
        change: Change,
        out: &mut Vec<Output>,
    ) {
        let follows = self
            .view
            .as_ref()
            .is_some_and(|v| v.epoch == epoch && v.primary == from.id);
        let follows = follows && !self.given_up();
        let held = self
            .held
            .as_mut()
            .filter(|_| follows && self.promised == epoch);
        let message = match held {
            Some(held) if index <= held.disk.index => Message::AppendReply {
                epoch,
                match_index: held.disk.index,
                accepted: true,
                promised_epoch: self.promised,
            },
            // On its way to the disk.
            Some(held) if index <= held.head.index => return,
            Some(held)
                if index == held.head.index + 1
                    && self.disk.fit(self.now, self.config.disk_stall_timeout) =>
            {
                match held.head.after(&change) {
                    Ok(next) => {
                        held.head = next.clone();
                        let after = After::Appended {
                            to: from.id,
                            epoch,
                            ledger: Box::new(next),
                        };
                        return self.write(
                            &Record::Change {
                                epoch,
                                index,
                                change,
                            },
                            after,
                        );
                    }
                    Err(_) => Message::AppendReply {
                        epoch,
                        match_index: index,
                        accepted: false,
                        promised_epoch: self.promised,
                    },
                }
            }
            _ => Message::AppendReply {
                epoch,
                match_index: index,
                accepted: false,
                promised_epoch: self.promised,
            },
        };
        out.push(Output::Send { to: from, message });
    }

    /// `told` is the number of the last change that is acknowledged, and this voter's clock as the primary heard it.
    pub(super) fn on_renew(
        &mut self,
        from: MemberInfo,
        epoch: u64,
        stamp: u64,
        told: (u64, u64),
        out: &mut Vec<Output>,
    ) {
        let follows = self
            .view
            .as_ref()
            .is_some_and(|v| v.epoch == epoch && v.primary == from.id);
        let ok = follows && self.promised == epoch && !self.given_up();
        if ok {
            self.withdraw_candidacy();
            let until = self.now + self.config.lease_duration;
            self.grant = Some(Grant {
                to: from.id,
                epoch,
                until,
            });
            self.election_at = until + self.election_delay();
            self.take_proof(told.0, told.1);
        }
        let fit = self.disk_healthy() && self.departure.is_none();
        if self.departure.is_some() {
            out.push(Output::Send {
                to: from.clone(),
                message: Message::Leaving { epoch },
            });
        }
        let (seen, clock) = (self.promised, self.clock());
        let message = Message::LeaseReply {
            epoch,
            requested_at_ms: stamp,
            granted: ok,
            promised_epoch: seen,
            disk_healthy: fit,
            clock_ms: clock,
        };
        out.push(Output::Send { to: from, message });
    }

    /// Whoever grants a lease stands no more: it would be its own first voter while the lease is in force.
    fn withdraw_candidacy(&mut self) {
        if matches!(self.role, Role::Candidate(_)) {
            self.step_down();
        }
    }

    /// This voter's clock as it tells it to a primary.
    fn clock(&self) -> u64 {
        self.life_base.wrapping_add(self.now.as_millis() as u64)
    }

    /// A primary whose lease was in force has heard this voter's clock and tells how far the acknowledged ledger goes:
    /// however long that was under way, nothing acknowledged before that moment is missing from it.
    fn take_proof(&mut self, committed: u64, heard: u64) {
        let at = Duration::from_millis(heard.wrapping_sub(self.life_base));
        // 0, and the clock of an earlier life, are no moment of this one.
        let of_this_life = heard != 0 && at <= self.now;
        if of_this_life && self.proof.is_none_or(|known| known.at <= at) {
            self.proof = Some(PrimaryContact {
                at,
                commit_index: committed,
            });
        }
    }

    /// While its lease was in force nobody else acknowledged anything: that stays proved.
    fn keep_own_proof(&mut self) {
        let Role::Primary(state) = &self.role else {
            return;
        };
        let (at, committed) = (self.lease_end(state).min(self.now), state.committed_index());
        if !at.is_zero() && self.proof.is_none_or(|known| known.at <= at) {
            self.proof = Some(PrimaryContact {
                at,
                commit_index: committed,
            });
        }
    }

    /// The holder of a lease needs it no more. Somebody else's word says nothing of it.
    pub(super) fn on_release(&mut self, from: u64, epoch: u64) {
        if self.grant.is_some_and(|g| g.to == from && g.epoch <= epoch) {
            self.grant = None;
            self.election_at = self.now + self.election_delay();
        }
    }

    /// Stops acting as primary or standing for election. Commands that wait are asked of whoever acts next.
    pub(super) fn step_down(&mut self) {
        self.keep_own_proof();
        self.role = Role::Follower;
        self.local.values_mut().for_each(|l| l.asked = None);
    }
}
