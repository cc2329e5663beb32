//! State of the connection to one member, as tracked by the puller.

use crate::timing::INITIAL_BACKOFF;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// Not connected; connects again at this time.
    Down(Duration),
    /// Connecting; fails at this time.
    Connecting(Duration),
    /// A pull is outstanding; fails without an answer at this time.
    Polling(Duration),
    /// Connected; pulls again at this time.
    Idle(Duration),
}

impl Phase {
    /// Returns the time at which the phase ends unless an event on the connection ends it earlier.
    pub(super) fn deadline(self) -> Duration {
        match self {
            Self::Down(at) | Self::Connecting(at) | Self::Polling(at) | Self::Idle(at) => at,
        }
    }

    /// Whether the connection attempt or the answer has taken too long.
    pub(super) fn is_timed_out(self, now: Duration) -> bool {
        matches!(self, Self::Connecting(at) | Self::Polling(at) if now >= at)
    }
}

/// Connection to one member.
#[derive(Debug)]
pub(super) struct Link {
    /// Number of the connection; 0 before the first.
    pub(super) number: u64,
    pub(super) phase: Phase,
    /// Delay after the next failure.
    pub(super) backoff: Duration,
    /// Whether the member has answered since the connection was established.
    pub(super) answered: bool,
    /// Whether the connection failed and the member hasn't answered since.
    pub(super) failed: bool,
    /// Whether the member had no contact with a primary at its latest answer.
    pub(super) stale: bool,
    /// Member id; 0 for an agent.
    pub(super) member_id: u64,
    /// Time at which the latest pull was sent.
    pub(super) pulled_at: Duration,
}

impl Link {
    /// Creates a link that connects at once.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            number: 0,
            phase: Phase::Down(now),
            backoff: INITIAL_BACKOFF,
            answered: false,
            failed: false,
            stale: false,
            member_id: 0,
            pulled_at: now,
        }
    }

    pub(super) fn is_connected(&self) -> bool {
        matches!(self.phase, Phase::Polling(_) | Phase::Idle(_))
    }

    /// Whether the member answers.
    pub(super) fn answers(&self) -> bool {
        self.answered && !self.failed
    }

    /// Whether the member is connected, answers, and is in contact with a primary.
    pub(super) fn can_be_preferred(&self) -> bool {
        self.answers() && !self.stale && self.is_connected()
    }
}
