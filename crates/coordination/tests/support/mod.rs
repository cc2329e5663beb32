//! Primary without other replicas: decides requests, applies changes immediately and tracks the locks' deadlines.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use coordination::{Answer, CoordinationState, Decision, LockDeadlines};
use protocol::{CoordinationChange, CoordinationRequest};
use std::time::Duration;

pub const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

pub fn acquire(holder: &str, hold_ms: u32, attempt: u64) -> CoordinationRequest {
    CoordinationRequest::AcquireLock {
        name: "l".into(),
        holder: holder.into(),
        hold_ms,
        attempt,
    }
}

pub fn renew(holder: &str, fence: u64, hold_ms: u32) -> CoordinationRequest {
    CoordinationRequest::RenewLock {
        name: "l".into(),
        holder: holder.into(),
        fence,
        hold_ms,
    }
}

pub fn release(holder: &str, fence: u64) -> CoordinationRequest {
    CoordinationRequest::ReleaseLock {
        name: "l".into(),
        holder: holder.into(),
        fence,
    }
}

pub fn put(cell: &str, value: &str, expected_revision: Option<u64>) -> CoordinationRequest {
    CoordinationRequest::PutCell {
        name: cell.into(),
        value: value.into(),
        expected_revision,
    }
}

pub struct Primary {
    pub state: CoordinationState,
    pub deadlines: LockDeadlines,
    /// Number of changes made so far.
    pub change_count: usize,
}

impl Primary {
    pub fn acting_since(now: Duration) -> Self {
        let mut deadlines = LockDeadlines::default();
        deadlines.start_acting(now);
        Self {
            state: CoordinationState::default(),
            deadlines,
            change_count: 0,
        }
    }

    /// Simulates that another primary with the same state starts to act.
    pub fn take_over(&mut self, now: Duration) {
        self.deadlines = LockDeadlines::default();
        self.deadlines.start_acting(now);
    }

    pub fn handle(&mut self, request: CoordinationRequest, now: Duration) -> Answer {
        let before = self.state.clone();
        let answer = match self.state.decide(&request, &self.deadlines, now) {
            Decision::Answer(answer) => answer,
            Decision::Change(change) => self.apply(&change),
        };
        self.record_extension(&request, &answer, &before, now);
        answer
    }

    fn apply(&mut self, change: &CoordinationChange) -> Answer {
        self.state.apply(change).unwrap();
        self.change_count += 1;
        self.state.answer_to(change)
    }

    fn record_extension(
        &mut self,
        request: &CoordinationRequest,
        answer: &Answer,
        before: &CoordinationState,
        now: Duration,
    ) {
        let (name, hold_ms) = match (request, answer) {
            (CoordinationRequest::AcquireLock { name, hold_ms, .. }, Answer::Acquired { .. })
            | (CoordinationRequest::RenewLock { name, hold_ms, .. }, Answer::Renewed) => {
                (name, *hold_ms)
            }
            _ => return,
        };
        let lock = self.state.lock(name).unwrap();
        let same_holder = before
            .lock(name)
            .filter(|previous| previous.holder == lock.holder);
        let fence = lock.fence;
        self.deadlines
            .extend(name, same_holder, fence, hold_ms, now);
    }
}
