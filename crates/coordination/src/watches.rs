//! Watches that wait for a put, bounded in number.

use crate::decision::Answer;
use crate::state::CoordinationState;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of waiting watches.
pub const MAX_WATCHES: usize = 4096;

/// Waiting watch. `C` identifies the caller.
#[derive(Clone, Debug)]
pub struct ParkedWatch<C> {
    /// Caller that gets the answer.
    pub caller: C,
    /// Name of the watched group.
    pub group: Arc<str>,
    /// Revision after which puts are requested.
    pub after: u64,
    /// Time at which the wait ends.
    pub until: Duration,
}

/// Watches that wait at the primary.
#[derive(Clone, Debug)]
pub struct Watches<C> {
    parked: Vec<ParkedWatch<C>>,
}

impl<C> Default for Watches<C> {
    fn default() -> Self {
        Self { parked: Vec::new() }
    }
}

impl<C: PartialEq> Watches<C> {
    /// Adds a watch that waits.
    ///
    /// # Errors
    /// Returns the watch if [`MAX_WATCHES`] are waiting already.
    pub fn park(&mut self, watch: ParkedWatch<C>) -> Result<(), ParkedWatch<C>> {
        if self.parked.len() >= MAX_WATCHES {
            return Err(watch);
        }
        self.parked.push(watch);
        Ok(())
    }

    /// Whether a watch of this caller is waiting.
    pub fn contains(&self, caller: &C) -> bool {
        self.parked.iter().any(|watch| watch.caller == *caller)
    }

    /// Removes the watches for which there are puts to report, and returns their callers and answers.
    pub fn take_ready(&mut self, committed: &CoordinationState) -> Vec<(C, Answer)> {
        let answer_to = |watch: &ParkedWatch<C>| committed.watch(&watch.group, watch.after);
        self.take_answered(answer_to)
    }

    /// Removes the watches whose wait is over, and returns their callers and answers.
    pub fn take_expired(
        &mut self,
        committed: &CoordinationState,
        now: Duration,
    ) -> Vec<(C, Answer)> {
        let answer_to = |watch: &ParkedWatch<C>| {
            (watch.until <= now).then(|| Answer::Events {
                events: Vec::new(),
                revision: committed.group_revision(&watch.group),
            })
        };
        self.take_answered(answer_to)
    }

    fn take_answered(
        &mut self,
        answer_to: impl Fn(&ParkedWatch<C>) -> Option<Answer>,
    ) -> Vec<(C, Answer)> {
        let mut answered = Vec::new();
        let parked = std::mem::take(&mut self.parked);
        for watch in parked {
            match answer_to(&watch) {
                Some(answer) => answered.push((watch.caller, answer)),
                None => self.parked.push(watch),
            }
        }
        answered
    }

    /// Returns the earliest time at which a watch's wait ends.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.parked.iter().map(|watch| watch.until).min()
    }
}
