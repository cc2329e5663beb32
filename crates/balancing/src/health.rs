//! Whether a host is well: errors put it out for a short time, a trial brings it back.

use std::time::Duration;

/// Errors closer together than this count as one: a crash breaks all that is out at once.
const SAME: Duration = Duration::from_millis(200);
/// How long a host is out at first, and at most: one that is well again isn't missed for long.
const OUT: Duration = Duration::from_millis(300);
const LONGEST: Duration = Duration::from_millis(2400);
/// The same for a host that has gone silent: finding that out once more costs more time.
const DARK_OUT: Duration = Duration::from_millis(600);
/// How much longer than for a request that may be repeated a trial by another one waits.
const UNSAFE_WAIT: Duration = Duration::from_millis(300);
/// Failures of its own in a row that put a host out.
const FAILURES: u32 = 2;
/// A host that was well for so long starts anew with short times.
const FORGIVEN: Duration = Duration::from_secs(5);

/// What went wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Its own failure, as an answer.
    Failure,
    /// No connection, or it broke.
    Connection,
    /// Nothing came.
    Silence,
}

/// The standing of one host.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    out_until: Option<Duration>,
    gap: Duration,
    erred: Option<Duration>,
    failures: u32,
    /// Whether a trial is under way.
    trial: bool,
    dark: bool,
}

impl Health {
    /// Notes an error; whether the host is out now.
    pub(crate) fn erred(&mut self, now: Duration, fault: Fault) -> bool {
        let trial = std::mem::take(&mut self.trial);
        let same = self.erred.is_some_and(|t| now.saturating_sub(t) < SAME);
        if fault == Fault::Failure && !trial {
            if same && self.failures > 0 {
                return self.out();
            }
            self.failures += 1;
            if self.failures < FAILURES {
                self.erred = Some(now);
                return self.out();
            }
        }
        let first = if fault == Fault::Silence {
            DARK_OUT
        } else {
            OUT
        };
        let calm = self.erred.is_none_or(|t| now.saturating_sub(t) > FORGIVEN);
        // Relapses are new errors after a trial or while it was in; what was sent before and ends while it is
        // out tells nothing new.
        if self.out_until.is_none() || trial {
            self.gap = if calm {
                first
            } else {
                (self.gap * 2).clamp(first, LONGEST)
            };
            self.out_until = Some(now + self.gap);
        }
        (self.erred, self.dark) = (Some(now), fault == Fault::Silence);
        true
    }

    /// A good answer came.
    pub(crate) fn good(&mut self) {
        (self.out_until, self.failures, self.trial, self.dark) = (None, 0, false, false);
    }

    /// An attempt ended that tells nothing.
    pub(crate) fn trial_ended(&mut self) {
        self.trial = false;
    }

    /// The roster hears of it again: try it at once.
    pub(crate) fn heard_elsewhere(&mut self, now: Duration) {
        if let Some(until) = &mut self.out_until {
            *until = (*until).min(now);
        }
    }

    pub(crate) fn out(&self) -> bool {
        self.out_until.is_some()
    }

    /// Whether it was put out by silence.
    pub(crate) fn dark(&self) -> bool {
        self.dark
    }

    /// Whether one request may try it: it has been out for its time. One whose heartbeats have stopped as well
    /// and that went dark is left for the longest time.
    pub(crate) fn trial_due(&self, now: Duration, heartbeat_expired: bool) -> bool {
        let wait = if heartbeat_expired && self.dark {
            LONGEST.saturating_sub(self.gap)
        } else {
            Duration::ZERO
        };
        !self.trial && self.out_until.is_some_and(|t| now >= t + wait)
    }

    pub(crate) fn begin_trial(&mut self) {
        self.trial = true;
    }

    /// When its trial is due, where it is out.
    pub(crate) fn back(&self) -> Option<Duration> {
        self.out_until
    }

    /// Whether it has been out for so long that even a request that can't be repeated tries it.
    pub(crate) fn overdue(&self, now: Duration) -> bool {
        let wait = if self.dark {
            LONGEST + UNSAFE_WAIT
        } else {
            self.gap + 2 * UNSAFE_WAIT
        };
        self.out_until.is_some_and(|t| now + self.gap >= t + wait)
    }

    /// How bad it looks among those that are out: less is better.
    pub(crate) fn badness(&self) -> (Duration, Option<Duration>) {
        (self.gap, self.erred)
    }
}
