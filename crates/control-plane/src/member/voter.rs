//! The voter: it answers pre-votes, and promises epochs to candidates (phase 1 of Paxos).

use super::write_queue::OnDurable;
use super::{Member, Output};
use protocol::{LogPosition, MemberInfo, MembershipConfig, Message, Record};
use std::time::Duration;

/// The highest epoch that this member has promised. It follows no primary of a lower one.
#[derive(Clone, Debug)]
pub(super) struct PromiseState {
    epoch: u64,
    /// The candidate that received this incarnation's latest promise.
    candidate: Option<u64>,
    /// Pre-votes for other candidates are refused before this time.
    preferred_until: Duration,
}

impl PromiseState {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            epoch: 0,
            candidate: None,
            preferred_until: now,
        }
    }

    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Sets the promised epoch from the records on disk, or from a membership configuration that is being accepted.
    pub(super) fn set_epoch(&mut self, epoch: u64) {
        self.epoch = epoch;
    }

    fn give(&mut self, epoch: u64, candidate: u64) {
        self.epoch = epoch;
        self.candidate = Some(candidate);
    }

    fn is_given_to(&self, candidate: u64) -> bool {
        self.candidate == Some(candidate)
    }
}

/// What a voter that promised reported about its accepted state.
#[derive(Clone, Debug)]
pub(super) struct PromisedHistory {
    /// The latest membership configuration that it accepted. One without voters stands for none.
    pub(super) membership: MembershipConfig,
    /// The end of its log, if it is a replica.
    pub(super) log_position: Option<LogPosition>,
}

impl PromisedHistory {
    /// Creates the report from another voter's message. A voter that has just joined may not have accepted any
    /// membership configuration; its promise counts nevertheless.
    pub(super) fn from_message(
        membership: Option<MembershipConfig>,
        log_position: Option<LogPosition>,
    ) -> Self {
        Self {
            membership: membership.unwrap_or_default(),
            log_position,
        }
    }
}

/// A voter's reply to a candidate that prepares an epoch.
#[derive(Clone, Debug)]
pub(super) struct PromiseReply {
    pub(super) epoch: u64,
    pub(super) granted: bool,
    pub(super) history: Option<PromisedHistory>,
    /// How long the candidate should wait before it asks again.
    pub(super) retry_after: Duration,
}

impl Member {
    /// Whether this member may promise an epoch to a candidate now.
    ///
    /// # Errors
    /// How long the candidate should wait before it asks again.
    fn may_promise(&self, candidate: u64) -> Result<(), Duration> {
        // A joining voter may not have been informed yet: without a membership configuration of its own it can't know
        // better than the candidate, and a promise never does harm. Until a change of voters is complete, the voters
        // being removed have a vote as well.
        let may_have_vote = self
            .membership
            .as_ref()
            .is_none_or(|m| m.has_vote(self.own_id()));
        if !may_have_vote || self.is_superseded() || !self.disk_healthy() {
            return Err(self.config.lease_duration / 2);
        }
        let granted = self.granted_lease.filter(|g| g.primary != candidate);
        let granted_until = granted.map(|g| g.until).filter(|until| *until > self.now);
        let own_primary = self.role.primary().filter(|_| candidate != self.own_id());
        let own_until = own_primary.map(|primary| self.lease_end(primary));
        // The leases that an earlier incarnation granted are unknown.
        let earlier_until = self
            .restarted
            .then_some(self.started_at + self.config.lease_duration);
        let until = [granted_until, own_until, earlier_until];
        self.check_passed(until.into_iter().flatten().max())
    }

    /// Whether this member may grant a pre-vote to another candidate now. A candidate that transfers a large snapshot
    /// isn't interrupted.
    ///
    /// # Errors
    /// How long the other candidate should wait before it asks again.
    fn may_prefer(&self, candidate: u64) -> Result<(), Duration> {
        let preferred_until =
            (!self.promise.is_given_to(candidate)).then_some(self.promise.preferred_until);
        self.check_passed(self.long_phase_end().max(preferred_until))
    }

    /// Checks that a time has passed.
    ///
    /// # Errors
    /// The time left until then.
    fn check_passed(&self, time: Option<Duration>) -> Result<(), Duration> {
        match time.filter(|time| *time > self.now) {
            Some(time) => Err(time - self.now),
            None => Ok(()),
        }
    }

    /// Handles a pre-vote: a member asks whether it could win an election. Nothing is promised yet.
    pub(super) fn on_pre_vote(
        &mut self,
        from: MemberInfo,
        known_epoch: u64,
        accepted_epoch: u64,
        out: &mut Vec<Output>,
    ) {
        self.observe_epoch(known_epoch);
        // A member that later membership configurations exclude can't win: its campaign would only disturb the others.
        let is_left_out = self
            .membership
            .as_ref()
            .is_some_and(|own| own.epoch > accepted_epoch && own.voter(from.id).is_none());
        let verdict = if is_left_out {
            Err(4 * self.config.lease_duration)
        } else {
            self.may_promise(from.id)
                .and_then(|()| self.may_prefer(from.id))
        };
        let message = Message::PreVoteReply {
            granted: verdict.is_ok(),
            promised_epoch: self.promise.epoch(),
            retry_after_ms: verdict.err().map_or(0, |wait| wait.as_millis() as u32),
        };
        out.push(Output::Send { to: from, message });
    }

    /// Handles a candidate's request for a promise.
    pub(super) fn on_prepare(
        &mut self,
        from: MemberInfo,
        epoch: u64,
        candidate: MemberInfo,
        out: &mut Vec<Output>,
    ) {
        if epoch == self.promise.epoch() && self.promise.is_given_to(from.id) {
            // A progress report: the candidate transfers a large snapshot and its campaign continues.
            self.postpone_election();
            self.promise.preferred_until = self.now + self.config.lease_duration / 2;
            return;
        }
        let wait = match self.may_promise(from.id) {
            Ok(()) if epoch > self.promise.epoch() => return self.give_promise(candidate, epoch),
            Ok(()) => Duration::ZERO,
            Err(wait) => wait,
        };
        let message = Message::Promise {
            epoch,
            granted: false,
            promised_epoch: self.promise.epoch(),
            membership: self.membership.clone(),
            log_position: None,
            retry_after_ms: wait.as_millis() as u32,
        };
        out.push(Output::Send { to: from, message });
    }

    /// Promises an epoch to a candidate, which may be this member. The candidate is informed once the promise is on
    /// disk.
    pub(super) fn give_promise(&mut self, candidate: MemberInfo, epoch: u64) {
        self.promise.give(epoch, candidate.id);
        self.observe_epoch(epoch);
        if candidate.id != self.own_id() {
            self.step_down();
            self.postpone_election();
        }
        let on_durable = OnDurable::Promise { candidate, epoch };
        self.queue_record(&Record::Promised { epoch }, on_durable);
    }

    pub(super) fn on_promise_durable(
        &mut self,
        candidate: MemberInfo,
        epoch: u64,
        out: &mut Vec<Output>,
    ) {
        let (membership, log_position) = (self.membership.clone(), self.log_position());
        if candidate.id == self.own_id() {
            let history = membership.map(|membership| PromisedHistory {
                membership,
                log_position,
            });
            let reply = PromiseReply {
                epoch,
                granted: true,
                history,
                retry_after: Duration::ZERO,
            };
            return self.on_promise(candidate.id, reply, out);
        }
        let message = Message::Promise {
            epoch,
            granted: true,
            promised_epoch: self.promise.epoch(),
            membership,
            log_position,
            retry_after_ms: 0,
        };
        out.push(Output::Send {
            to: candidate,
            message,
        });
    }

    /// The end of the log on this disk; `None` if this member is no replica.
    fn log_position(&self) -> Option<LogPosition> {
        let membership = self.membership.as_ref()?;
        self.log.as_ref().map(|log| LogPosition {
            epoch: membership.epoch,
            index: log.durable().index,
        })
    }

    /// Handles the request of a candidate that holds this member's promise for the replicated state.
    pub(super) fn on_fetch_snapshot(
        &mut self,
        from: MemberInfo,
        epoch: u64,
        out: &mut Vec<Output>,
    ) {
        // After the promise, this replica confirms no change of a lower epoch any more, so the snapshot is complete.
        if epoch != self.promise.epoch() {
            return;
        }
        if let Some((log_position, log)) = self.log_position().zip(self.log.as_ref()) {
            let message = Message::SnapshotReply {
                epoch,
                log_position,
                snapshot: log.durable().snapshot(),
            };
            out.push(Output::Send { to: from, message });
        }
    }
}
