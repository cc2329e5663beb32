//! The primary's service for locks, numbers, cells and watches.
//!
//! Requests that change something are replicated like any other change: they are on the disks of all replicas before
//! they are answered. Reads are answered from the committed state under the lease, so they include whatever was
//! acknowledged before the read was sent. Renewing a lock only changes the primary's memory, because the next primary
//! counts each lock's full hold time anew.

use super::commands::CommandSource;
use super::coordination_answer::{encode_answer, list_cells, list_locks};
use super::replication::PendingAnswer;
use super::{Member, Output};
use configuration::ResultCode;
use coordination::{Answer, Decision, HistoryRetention, LockDeadlines, ParkedWatch, Watches};
use protocol::{Change, CoordinationChange, CoordinationRequest};
use std::sync::Arc;
use std::time::Duration;

/// Time for which the history of cells is kept beyond the time in which watches may be resumed, because calls take
/// some time to arrive.
const RETENTION_MARGIN: Duration = Duration::from_secs(5);
/// Additional retention, as a fraction of the time in which watches may be resumed.
const RETENTION_MARGIN_FRACTION: f64 = 0.25;

/// The state of locks and watches that a primary keeps in memory only.
#[derive(Clone, Debug)]
pub(super) struct CoordinationService {
    pub(super) deadlines: LockDeadlines,
    retention: HistoryRetention,
    watches: Watches<CommandSource>,
}

impl CoordinationService {
    /// Creates the service. Watches can be resumed for `history` after their last answer.
    pub(super) fn new(history: Duration) -> Self {
        let retention = history + history.mul_f64(RETENTION_MARGIN_FRACTION) + RETENTION_MARGIN;
        Self {
            deadlines: LockDeadlines::default(),
            retention: HistoryRetention::new(retention),
            watches: Watches::default(),
        }
    }

    /// Whether a watch from this source is waiting.
    pub(super) fn has_watch(&self, source: CommandSource) -> bool {
        self.watches.contains(&source)
    }

    pub(super) fn next_wake_at(&self) -> Option<Duration> {
        let wakes = [self.watches.next_expiry(), self.retention.next_at()];
        wakes.into_iter().flatten().min()
    }

    /// Extends a lock's deadline after a change that a client requested. `before` is the state before the change,
    /// `fence` the last fencing token issued.
    fn record_change(
        &mut self,
        change: &CoordinationChange,
        before: &coordination::CoordinationState,
        fence: u64,
        now: Duration,
    ) {
        match change {
            CoordinationChange::LockAcquired {
                name,
                holder,
                hold_ms,
                ..
            } => {
                let same_holder = before.lock(name).filter(|lock| *lock.holder == **holder);
                let deadlines = &mut self.deadlines;
                deadlines.extend(name, same_holder, fence, *hold_ms, now);
            }
            CoordinationChange::LockExtended { name, hold_ms } => {
                if let Some(lock) = before.lock(name) {
                    let deadlines = &mut self.deadlines;
                    deadlines.extend(name, Some(lock), lock.fence, *hold_ms, now);
                }
            }
            _ => {}
        }
    }

    /// Extends the deadline of the lock that a request acquired again or renewed without a change of the state.
    fn record_answer(
        &mut self,
        request: &CoordinationRequest,
        answer: &Answer,
        state: &coordination::CoordinationState,
        now: Duration,
    ) {
        let extended = match (request, answer) {
            (CoordinationRequest::AcquireLock { name, hold_ms, .. }, Answer::Acquired { .. })
            | (CoordinationRequest::RenewLock { name, hold_ms, .. }, Answer::Renewed) => {
                Some((name, *hold_ms))
            }
            _ => None,
        };
        if let Some((name, hold_ms)) = extended {
            if let Some(lock) = state.lock(name) {
                let deadlines = &mut self.deadlines;
                deadlines.extend(name, Some(lock), lock.fence, hold_ms, now);
            }
        }
    }
}

impl Member {
    /// Runs a request. The caller makes sure that the primary's lease is in force.
    pub(super) fn run_coordination_request(
        &mut self,
        source: CommandSource,
        request: CoordinationRequest,
        out: &mut Vec<Output>,
    ) {
        match request {
            CoordinationRequest::ReadCell { name } => {
                self.answer_from_committed(source, |state| state.read(&name), out);
            }
            CoordinationRequest::Watch {
                group,
                after,
                wait_ms,
            } => {
                let wait = Duration::from_millis(u64::from(wait_ms));
                self.run_watch(source, group.into(), after, wait, out);
            }
            CoordinationRequest::ListLocks { .. } | CoordinationRequest::ListCells { .. } => {
                self.answer_list(source, &request, out);
            }
            request => self.run_coordination_change(source, &request, out),
        }
    }

    fn answer_from_committed(
        &mut self,
        source: CommandSource,
        read: impl FnOnce(&coordination::CoordinationState) -> Answer,
        out: &mut Vec<Output>,
    ) {
        let Some(primary) = self.role.primary() else {
            return;
        };
        let answer = read(&primary.replication.committed().coordination);
        self.answer_coordination(source, &answer, out);
    }

    fn answer_coordination(
        &mut self,
        source: CommandSource,
        answer: &Answer,
        out: &mut Vec<Output>,
    ) {
        let (code, body) = encode_answer(answer);
        self.answer(source, code, body, out);
    }

    fn answer_list(
        &mut self,
        source: CommandSource,
        request: &CoordinationRequest,
        out: &mut Vec<Output>,
    ) {
        let Some(primary) = self.role.primary() else {
            return;
        };
        let state = &primary.replication.committed().coordination;
        let body = match request {
            CoordinationRequest::ListCells { group } => list_cells(state, group),
            _ => list_locks(state, &primary.coordination.deadlines, self.now),
        };
        self.answer(source, ResultCode::Ok, body, out);
    }

    fn run_coordination_change(
        &mut self,
        source: CommandSource,
        request: &CoordinationRequest,
        out: &mut Vec<Output>,
    ) {
        let now = self.now;
        let (Some(primary), Some(log)) = (self.role.primary_mut(), &self.log) else {
            return;
        };
        let appended = log.appended();
        let deadlines = &primary.coordination.deadlines;
        match appended.coordination.decide(request, deadlines, now) {
            Decision::Change(_) if !primary.accepts_changes() => {
                self.answer(source, ResultCode::NoPrimary, vec![], out);
            }
            Decision::Change(change) => {
                let replicated = Change::Coordinate {
                    change: change.clone(),
                };
                // A change that the state itself decided always applies to it.
                let Ok(next) = appended.apply(&replicated) else {
                    return;
                };
                let fence = next.coordination.last_fence();
                let before = &appended.coordination;
                primary
                    .coordination
                    .record_change(&change, before, fence, now);
                let (code, body) = encode_answer(&next.coordination.answer_to(&change));
                let answer = PendingAnswer::new(source, code, body);
                self.replicate(replicated, next, vec![answer], out);
            }
            Decision::Answer(answer) => {
                let state = &appended.coordination;
                primary
                    .coordination
                    .record_answer(request, &answer, state, now);
                // An answer that the committed state gives as well doesn't depend on changes in flight.
                let committed = &primary.replication.committed().coordination;
                let deadlines = &primary.coordination.deadlines;
                let is_settled =
                    committed.decide(request, deadlines, now) == Decision::Answer(answer.clone());
                if is_settled || !primary.replication.has_pending() {
                    return self.answer_coordination(source, &answer, out);
                }
                let (code, body) = encode_answer(&answer);
                let waiting = PendingAnswer::new(source, code, body);
                primary.replication.answer_after_last_change(waiting);
            }
        }
    }

    fn run_watch(
        &mut self,
        source: CommandSource,
        group: Arc<str>,
        after: u64,
        wait: Duration,
        out: &mut Vec<Output>,
    ) {
        let until = self.now + wait;
        let Some(primary) = self.role.primary_mut() else {
            return;
        };
        let committed = &primary.replication.committed().coordination;
        if let Some(answer) = committed.watch(&group, after) {
            return self.answer_coordination(source, &answer, out);
        }
        let watch = ParkedWatch {
            caller: source,
            group,
            after,
            until,
        };
        if primary.coordination.watches.park(watch).is_err() {
            self.answer(source, ResultCode::Crowded, vec![], out);
        }
    }

    /// Answers the watches that wait for the changes just committed.
    pub(super) fn answer_watches(&mut self, out: &mut Vec<Output>) {
        let Some(primary) = self.role.primary_mut() else {
            return;
        };
        let committed = &primary.replication.committed().coordination;
        let ready = primary.coordination.watches.take_ready(committed);
        for (source, answer) in ready {
            self.answer_coordination(source, &answer, out);
        }
    }

    /// Ends the watches whose time is over, trims the history of cells, and releases locks past their deadlines.
    pub(super) fn run_coordination_timers(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        if !self.is_acting_primary() {
            return;
        }
        let (Some(primary), Some(log)) = (self.role.primary_mut(), &self.log) else {
            return;
        };
        let committed = &primary.replication.committed().coordination;
        let expired = primary.coordination.watches.take_expired(committed, now);
        let trims = if primary.accepts_changes() {
            let service = &mut primary.coordination;
            // A lock whose change is still in flight already has its deadline.
            service.deadlines.retain_held(&log.appended().coordination);
            let mut trims = service.retention.due_trims(committed, now);
            let appended = &log.appended().coordination;
            trims.extend(service.deadlines.due_releases(appended, now));
            trims
        } else {
            Vec::new()
        };
        for (source, answer) in expired {
            self.answer_coordination(source, &answer, out);
        }
        for change in trims {
            self.replicate_trim(change, out);
        }
    }

    fn replicate_trim(&mut self, change: CoordinationChange, out: &mut Vec<Output>) {
        let change = Change::Coordinate { change };
        let next = self.log.as_ref().map(|log| log.appended().apply(&change));
        if let Some(Ok(next)) = next {
            self.replicate(change, next, Vec::new(), out);
        }
    }
}
