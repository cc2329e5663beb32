//! When a connection to a host is taken for silent. Decides from times alone; does no I/O and has no clock.
//!
//! A connection may die without a word while its host serves on over others. A host that stands still looks
//! the same on one connection; it differs in that nothing else comes from it either. So two verdicts:
//! *stalled*, by time alone, which only sends new calls elsewhere, and *lost*, by what the host answered
//! elsewhere meanwhile, which ends the connection so that its parts can be sent again.
//!
//! Also here, as it rests on the same answers: how often a host ends a connection right after an answer.
//! What else is out on that connection is lost with it, so it is *brittle* and carries few parts at once.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Weights of one answer in the usual time and in its spread, and how many times the spread is borne:
/// those of RFC 6298, which judges silence on a path from the same two figures.
const GAINS: (f64, f64) = (0.125, 0.25);
const SPREADS: f64 = 4.0;
/// Least patience, as a share of the time in which a new connection has to be up: below that a new one
/// would hardly answer sooner.
const FLOOR_SHARE: f64 = 0.25;
/// So many coordinators' connections are borne by a host.
const FEW: f64 = 8.0;
/// What one answer takes from the share of answers that a connection's end followed.
const ENDS_GAIN: f64 = 1.0 / 64.0;
/// What is left of the ends from which connections are brittle: one end makes them so for the next 44 answers.
/// More often than that a part is lost sooner than the hundredth of its work that a new connection costs a host
/// has been spent as often.
const BRITTLE: f64 = 0.5;

/// How fast one host answers, over all connections to it.
#[derive(Default)]
pub struct StallDetector {
    /// How much longer the least patience is among many coordinators.
    crowd: f64,
    seen: Mutex<Seen>,
}

#[derive(Clone, Copy, Default)]
struct Seen {
    /// Usual time to an answer and its spread, in seconds; `None` before any answer.
    usual: Option<(f64, f64)>,
    /// The latest send that has been answered.
    latest: Option<Instant>,
    /// Ends of connections right after an answer, each fading with the answers since.
    ends: f64,
}

impl StallDetector {
    /// The pace of a host that so many coordinators ask. Each that takes a pause for silence opens a connection,
    /// and all of them do so at once: beyond eight the least patience grows with their number.
    pub fn among(coordinators: u32) -> Self {
        Self {
            crowd: f64::from(coordinators) / FEW,
            ..Self::default()
        }
    }

    fn seen(&self) -> Seen {
        *self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an answer to a part sent at `sent`.
    pub fn answered(&self, sent: Instant, now: Instant) {
        let took = now.saturating_duration_since(sent).as_secs_f64();
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.usual = Some(match seen.usual {
            None => (took, took / 2.0),
            Some((usual, spread)) => (
                usual + GAINS.0 * (took - usual),
                spread + GAINS.1 * ((took - usual).abs() - spread),
            ),
        });
        seen.latest = seen.latest.max(Some(sent));
        seen.ends -= ENDS_GAIN * seen.ends;
    }

    /// Takes the end of a connection by the host, last heard on it at `heard`. One that comes long after an
    /// answer is an unused connection let go.
    pub fn ended(&self, heard: Instant, now: Instant, connect: Duration) {
        if now.saturating_duration_since(heard) < connect.mul_f64(FLOOR_SHARE) {
            self.seen
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .ends += 1.0;
        }
    }

    /// Connections that a call is to be spread over before it joins others on one: one while connections
    /// last, `most` while they are brittle, and never more of one coordinator's than a crowd of them may open.
    pub fn spread(&self, most: usize) -> usize {
        let crowd = most as f64 / self.crowd.max(1.0);
        if self.seen().ends < BRITTLE {
            1
        } else {
            (crowd as usize).max(1)
        }
    }

    /// Time after which silence is out of the usual; `None` while nothing is known of the host. `connect` is
    /// the time in which a connection has to be up.
    pub fn patience(&self, connect: Duration) -> Option<Duration> {
        let (usual, spread) = self.seen().usual?;
        let bound = usual + SPREADS * spread;
        Some(
            Duration::from_secs_f64(bound.min(3600.0))
                .max(connect.mul_f64(FLOOR_SHARE * self.crowd.max(1.0))),
        )
    }

    /// Whether a connection that has kept a part waiting since `since` is silent for longer than usual.
    pub fn stalled(&self, since: Option<Instant>, now: Instant, connect: Duration) -> bool {
        let wait = since.map(|t| now.saturating_duration_since(t));
        wait.zip(self.patience(connect))
            .is_some_and(|(wait, patience)| wait > patience)
    }

    /// Whether the host has meanwhile answered, on another connection, what was sent so much later that the
    /// part waiting since `since` should have been answered long before.
    pub fn lost(&self, since: Option<Instant>, connect: Duration) -> bool {
        let later = since
            .zip(self.patience(connect))
            .map(|(t, patience)| t + patience);
        later
            .zip(self.seen().latest)
            .is_some_and(|(later, latest)| latest > later)
    }
}
