//! What clients and the front layer before the coordinators decide; free of I/O and clock.

use crate::plan::Planned;
use crate::scenario::{Backoff, ClassTable, RepeatName};

/// How a try ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served; whether it is marked whole.
    Served(bool),
    /// Turned away (429 or 503).
    Refused,
    /// Any other status.
    Failed(u16),
    /// No connection came up.
    NoConnection,
    /// The connection ended before an answer began.
    Closed,
    /// The connection ended within an answer.
    Cut,
    /// An answer that can't be read, or that its front would not give.
    Unreadable,
    /// No answer within the client's time and the slack.
    GaveUp,
    /// The generator itself had no descriptor left.
    NoDescriptor,
}

impl AttemptOutcome {
    /// A word for tables.
    pub fn word(self) -> &'static str {
        match self {
            Self::Served(true) => "served",
            Self::Served(false) => "partial",
            Self::Refused => "refused",
            Self::Failed(_) => "failed",
            Self::NoConnection => "no_connection",
            Self::Closed => "closed",
            Self::Cut => "cut",
            Self::Unreadable => "unreadable",
            Self::GaveUp => "gave_up",
            Self::NoDescriptor => "no_descriptor",
        }
    }

    /// Whether the client has what it wanted.
    pub fn served(self) -> bool {
        matches!(self, Self::Served(_))
    }
}

/// What a client knows when a try has ended; times in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// Tries made so far.
    pub tries: u8,
    /// How the last one ended.
    pub end: AttemptOutcome,
    /// `Retry-After` of its answer.
    pub retry_after_us: Option<u64>,
    /// Time since the query was due.
    pub elapsed_us: u64,
}

/// When the client tries again, as a wait from now; `None` if it doesn't.
pub fn next_attempt_delay(
    q: &Planned,
    class: &ClassTable,
    backoff: Backoff,
    tried: AttemptResult,
) -> Option<u64> {
    let AttemptResult {
        tries,
        end,
        retry_after_us,
        elapsed_us,
    } = tried;
    if end.served() || tries > q.retries {
        return None;
    }
    let never_ran = matches!(
        end,
        AttemptOutcome::Refused | AttemptOutcome::NoConnection | AttemptOutcome::NoDescriptor
    );
    let wait = match backoff {
        Backoff::None => 0,
        Backoff::Fixed => q.backoff_us,
        Backoff::Exp => q.backoff_us << u32::from(tries - 1).min(10),
    };
    let wait = retry_after_us
        .filter(|_| q.honours)
        .map_or(wait, |r| wait.max(r));
    let again = elapsed_us + wait;
    let allowed = match class.repeat {
        RepeatName::Safe => true,
        // Past the window hosts would run it again.
        RepeatName::Keyed => never_ran || again < (class.window_ms * 1e3) as u64,
        RepeatName::Unsafe => never_ran,
    };
    (allowed && again < (class.limit_ms * 1e3) as u64).then_some(wait)
}

/// The coordinator that the front layer hands a client to: one of its zone that is believed to run, else
/// any that is, else any of the zone.
pub fn coordinator(zone: usize, zones: usize, believed_up: &[bool], draw: u64) -> usize {
    let n = believed_up.len();
    let near = |c: &usize| *c % zones == zone;
    let up = |c: &usize| believed_up[*c];
    let of = |all: Vec<usize>| (!all.is_empty()).then(|| all[(draw % all.len() as u64) as usize]);
    of((0..n).filter(|c| near(c) && up(c)).collect())
        .or_else(|| of((0..n).filter(up).collect()))
        .or_else(|| of((0..n).filter(near).collect()))
        .unwrap_or((draw % n.max(1) as u64) as usize)
}
