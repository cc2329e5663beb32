//! Watches that wait for a put. Their number is bounded.

use crate::decision::Answer;
use crate::state::CoordinationState;
use std::sync::Arc;
use std::time::Duration;

/// The most watches that wait at once.
pub const MAX_WATCHES: usize = 4096;

/// A watch that waits. `C` tells who asked.
#[derive(Clone, Debug)]
pub struct ParkedWatch<C> {
    /// Who asked.
    pub caller: C,
    /// The group's name.
    pub group: Arc<str>,
    /// Puts above this revision are asked for.
    pub after: u64,
    /// Until when it waits.
    pub until: Duration,
}

/// The watches that wait at the primary.
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
    /// Lets a watch wait.
    ///
    /// # Errors
    /// Gives the watch back if too many wait.
    pub fn park(&mut self, watch: ParkedWatch<C>) -> Result<(), ParkedWatch<C>> {
        if self.parked.len() >= MAX_WATCHES {
            return Err(watch);
        }
        self.parked.push(watch);
        Ok(())
    }

    /// Whether a caller's watch waits.
    pub fn contains(&self, caller: &C) -> bool {
        self.parked.iter().any(|watch| watch.caller == *caller)
    }

    /// Takes out the watches that there is something to tell of, with their answers.
    pub fn take_ready(&mut self, committed: &CoordinationState) -> Vec<(C, Answer)> {
        let answer = |watch: &ParkedWatch<C>| committed.watch(&watch.group, watch.after);
        self.take(answer)
    }

    /// Takes out the watches that have waited for their time, with their answers.
    pub fn take_expired(
        &mut self,
        committed: &CoordinationState,
        now: Duration,
    ) -> Vec<(C, Answer)> {
        let answer = |watch: &ParkedWatch<C>| {
            (watch.until <= now).then(|| Answer::Events {
                events: Vec::new(),
                revision: committed.group_revision(&watch.group),
            })
        };
        self.take(answer)
    }

    fn take(&mut self, answer: impl Fn(&ParkedWatch<C>) -> Option<Answer>) -> Vec<(C, Answer)> {
        let mut taken = Vec::new();
        let parked = std::mem::take(&mut self.parked);
        for watch in parked {
            match answer(&watch) {
                Some(answer) => taken.push((watch.caller, answer)),
                None => self.parked.push(watch),
            }
        }
        taken
    }

    /// When the first watch has waited for its time.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.parked.iter().map(|watch| watch.until).min()
    }
}
