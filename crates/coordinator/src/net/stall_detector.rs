//! Tells a connection to a host that has died from one whose host is slow. Decides from times alone; does no I/O and
//! has no clock.
//!
//! A connection may die without a sign while its host serves on over others. A host that stands still looks the same
//! on one connection; the difference is that no answer comes on the others either. So there are two verdicts:
//! *stalled*, by time alone, sends new calls elsewhere; *lost*, by what the host answered elsewhere meanwhile, ends
//! the connection, so that its parts can be sent again.
//!
//! The same answers show how often a host ends a connection right after an answer. What else is in flight on that
//! connection is lost with it, so such connections are *brittle* and carry few parts at once.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Weight of one answer in the smoothed time to an answer (RFC 6298's alpha).
const TIME_GAIN: f64 = 0.125;
/// Weight of one answer in the variation of that time (RFC 6298's beta).
const VARIATION_GAIN: f64 = 0.25;
/// How many times the variation is waited beyond the smoothed time (RFC 6298's K).
const VARIATION_FACTOR: f64 = 4.0;
/// The shortest stall time-out, as a share of the time in which a new connection has to be up: below that a new one
/// would hardly answer sooner.
const MIN_TIMEOUT_SHARE: f64 = 0.25;
/// A host bears the connections of so many coordinators.
const COORDINATORS_PER_HOST: f64 = 8.0;
/// What one answer takes from the share of answers that a connection's end followed.
const ENDS_GAIN: f64 = 1.0 / 64.0;
/// Connections are brittle while more than this is left of their ends: one end makes them so for the next 44
/// answers. If ends are more frequent, a part is lost sooner than the hundredth of its work that a new connection
/// costs a host has been spent as often.
const BRITTLE_ENDS: f64 = 0.5;
/// Longest stall time-out, in seconds.
const MAX_TIMEOUT_S: f64 = 3600.0;

/// How fast one host answers, over all connections to it.
#[derive(Default)]
pub struct StallDetector {
    /// The number of coordinators, as a multiple of those whose connections a host bears.
    crowding: f64,
    observed: Mutex<Observed>,
}

/// The time to an answer, in seconds.
#[derive(Clone, Copy)]
struct AnswerTime {
    smoothed: f64,
    variation: f64,
}

impl AnswerTime {
    fn first(took: f64) -> Self {
        Self {
            smoothed: took,
            variation: took / 2.0,
        }
    }

    fn next(self, took: f64) -> Self {
        Self {
            smoothed: self.smoothed + TIME_GAIN * (took - self.smoothed),
            variation: self.variation
                + VARIATION_GAIN * ((took - self.smoothed).abs() - self.variation),
        }
    }
}

#[derive(Clone, Copy, Default)]
struct Observed {
    /// `None` before any answer.
    answer_time: Option<AnswerTime>,
    /// The latest send that was answered.
    latest_answered_send: Option<Instant>,
    /// Ends of connections right after an answer, each fading with the answers since.
    recent_ends: f64,
}

impl StallDetector {
    /// The detector for a host that so many coordinators use. Each that takes a pause for a stall opens a connection,
    /// and all of them do so at once: beyond eight coordinators the shortest time-out grows with their number.
    pub fn among(coordinators: u32) -> Self {
        Self {
            crowding: f64::from(coordinators) / COORDINATORS_PER_HOST,
            ..Self::default()
        }
    }

    fn lock(&self) -> MutexGuard<'_, Observed> {
        self.observed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an answer to a part sent at `sent_at`.
    pub fn record_answer(&self, sent_at: Instant, now: Instant) {
        let took = now.saturating_duration_since(sent_at).as_secs_f64();
        let mut observed = self.lock();
        observed.answer_time = Some(match observed.answer_time {
            None => AnswerTime::first(took),
            Some(time) => time.next(took),
        });
        observed.latest_answered_send = observed.latest_answered_send.max(Some(sent_at));
        observed.recent_ends -= ENDS_GAIN * observed.recent_ends;
    }

    /// Records that the host ended a connection on which the last bytes came at `last_heard`. An end long after an
    /// answer is that of an unused connection and does not count. `connect_timeout` is the time in which a connection
    /// has to be up.
    pub fn record_end(&self, last_heard: Instant, now: Instant, connect_timeout: Duration) {
        let idle = now.saturating_duration_since(last_heard);
        if idle < connect_timeout.mul_f64(MIN_TIMEOUT_SHARE) {
            self.lock().recent_ends += 1.0;
        }
    }

    /// The number of connections that calls are to be spread over before they share one: one while connections last,
    /// `max` while they are brittle, and never more than this coordinator's share among many.
    pub fn spread(&self, max: usize) -> usize {
        let share = max as f64 / self.crowding.max(1.0);
        if self.lock().recent_ends < BRITTLE_ENDS {
            1
        } else {
            (share as usize).max(1)
        }
    }

    /// The time without an answer after which a connection is stalled; `None` while nothing is known of the host.
    pub fn stall_timeout(&self, connect_timeout: Duration) -> Option<Duration> {
        let time = self.lock().answer_time?;
        let bound = time.smoothed + VARIATION_FACTOR * time.variation;
        let min_timeout = connect_timeout.mul_f64(MIN_TIMEOUT_SHARE * self.crowding.max(1.0));
        Some(Duration::from_secs_f64(bound.min(MAX_TIMEOUT_S)).max(min_timeout))
    }

    /// Whether a connection that has kept a part waiting since `waiting_since` is stalled.
    pub fn is_stalled(
        &self,
        waiting_since: Option<Instant>,
        now: Instant,
        connect_timeout: Duration,
    ) -> bool {
        let wait = waiting_since.map(|since| now.saturating_duration_since(since));
        wait.zip(self.stall_timeout(connect_timeout))
            .is_some_and(|(wait, timeout)| wait > timeout)
    }

    /// Whether a connection that has kept a part waiting since `waiting_since` is lost: the host answered, on another
    /// connection, what was sent so much later that the part should have been answered long before.
    pub fn is_lost(&self, waiting_since: Option<Instant>, connect_timeout: Duration) -> bool {
        let due = waiting_since
            .zip(self.stall_timeout(connect_timeout))
            .map(|(since, timeout)| since + timeout);
        due.zip(self.lock().latest_answered_send)
            .is_some_and(|(due, latest)| latest > due)
    }
}
