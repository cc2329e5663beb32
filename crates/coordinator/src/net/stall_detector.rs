//! Distinguishes a dead connection to a host from one whose host is slow. Works on times alone, with no I/O and no
//! clock of its own.
//!
//! A connection may die silently while its host keeps serving over others. On a single connection, a stalled host looks
//! the same; the difference is that it does not answer on its other connections either. There are therefore two
//! verdicts. A connection is *stalled* after a time without an answer; new calls then use other connections. It is
//! *lost* if the host meanwhile answered later parts on other connections; it is then closed, so that its parts can be
//! sent again.
//!
//! The detector also tracks how often a host ends a connection right after an answer. Everything else in flight on that
//! connection is lost with it, so such connections are *brittle* and carry few parts at once.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Weight of one answer in the smoothed answer time (alpha of RFC 6298).
const TIME_GAIN: f64 = 0.125;
/// Weight of one answer in the variation of the answer time (beta of RFC 6298).
const VARIATION_GAIN: f64 = 0.25;
/// Multiple of the variation that is added to the smoothed answer time (K of RFC 6298).
const VARIATION_FACTOR: f64 = 4.0;
/// Shortest stall timeout, as a share of the connect timeout: with a shorter one, a new connection would hardly answer
/// sooner.
const MIN_TIMEOUT_SHARE: f64 = 0.25;
/// Number of coordinators whose connections a host can carry.
const COORDINATORS_PER_HOST: f64 = 8.0;
/// Share by which one answer reduces the count of recent connection ends.
const END_DECAY_PER_ANSWER: f64 = 1.0 / 64.0;
/// Count of recent ends from which connections are brittle: one end makes them so for the next 44 answers. If ends are
/// more frequent than that, the parts lost with them cost more than further connections, each of which costs a host a
/// hundredth of the work of a part.
const BRITTLE_END_COUNT: f64 = 0.5;
/// Longest stall timeout, in seconds.
const MAX_TIMEOUT_S: f64 = 3600.0;

/// The answer times of one host, over all connections to it.
#[derive(Default)]
pub struct StallDetector {
    /// Number of coordinators, as a multiple of [`COORDINATORS_PER_HOST`].
    host_crowding: f64,
    observed: Mutex<Observed>,
}

/// Smoothed time to an answer and its variation, in seconds.
#[derive(Clone, Copy)]
struct AnswerTime {
    smoothed: f64,
    variation: f64,
}

impl AnswerTime {
    fn first(elapsed_s: f64) -> Self {
        Self {
            smoothed: elapsed_s,
            variation: elapsed_s / 2.0,
        }
    }

    fn next(self, elapsed_s: f64) -> Self {
        Self {
            smoothed: self.smoothed + TIME_GAIN * (elapsed_s - self.smoothed),
            variation: self.variation
                + VARIATION_GAIN * ((elapsed_s - self.smoothed).abs() - self.variation),
        }
    }
}

#[derive(Clone, Copy, Default)]
struct Observed {
    /// Time to an answer; `None` before the first one.
    answer_time: Option<AnswerTime>,
    /// Send time of the latest part that was answered.
    latest_answered_send: Option<Instant>,
    /// Number of connections that ended right after an answer, decaying with each answer since.
    recent_ends: f64,
}

impl StallDetector {
    /// Creates the detector for a host that `coordinators` coordinators use. When a host pauses, each of them that sees
    /// a stall opens a connection, and all do so at once. Beyond eight coordinators the shortest timeout
    /// therefore grows with their number.
    pub fn among(coordinators: u32) -> Self {
        Self {
            host_crowding: f64::from(coordinators) / COORDINATORS_PER_HOST,
            ..Self::default()
        }
    }

    fn lock(&self) -> MutexGuard<'_, Observed> {
        self.observed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an answer to a part sent at `sent_at`.
    pub fn record_answer(&self, sent_at: Instant, now: Instant) {
        let elapsed_s = now.saturating_duration_since(sent_at).as_secs_f64();
        let mut observed = self.lock();
        observed.answer_time = Some(match observed.answer_time {
            None => AnswerTime::first(elapsed_s),
            Some(time) => time.next(elapsed_s),
        });
        observed.latest_answered_send = observed.latest_answered_send.max(Some(sent_at));
        observed.recent_ends -= END_DECAY_PER_ANSWER * observed.recent_ends;
    }

    /// Records that the host ended a connection that last received bytes at `last_heard`. An end long after an answer
    /// is that of an idle connection and does not count. `connect_timeout` is the time within which a connection must
    /// be established.
    pub fn record_end(&self, last_heard: Instant, now: Instant, connect_timeout: Duration) {
        let idle = now.saturating_duration_since(last_heard);
        if idle < connect_timeout.mul_f64(MIN_TIMEOUT_SHARE) {
            self.lock().recent_ends += 1.0;
        }
    }

    /// Returns the number of connections over which calls are spread before they share one: 1 normally, `max` while
    /// connections are brittle, reduced to this coordinator's share if many coordinators use the host.
    pub fn spread(&self, max: usize) -> usize {
        let share = max as f64 / self.host_crowding.max(1.0);
        if self.lock().recent_ends < BRITTLE_END_COUNT {
            1
        } else {
            (share as usize).max(1)
        }
    }

    /// Returns the time without an answer after which a connection is stalled; `None` before the host's first answer.
    pub fn stall_timeout(&self, connect_timeout: Duration) -> Option<Duration> {
        let time = self.lock().answer_time?;
        let bound = time.smoothed + VARIATION_FACTOR * time.variation;
        let min_timeout = connect_timeout.mul_f64(MIN_TIMEOUT_SHARE * self.host_crowding.max(1.0));
        Some(Duration::from_secs_f64(bound.min(MAX_TIMEOUT_S)).max(min_timeout))
    }

    /// Returns whether a connection on which a part has been waiting since `waiting_since` is stalled.
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

    /// Returns whether a connection on which a part has been waiting since `waiting_since` is lost: on another
    /// connection, the host answered a part that was sent after this one was due.
    pub fn is_lost(&self, waiting_since: Option<Instant>, connect_timeout: Duration) -> bool {
        let due = waiting_since
            .zip(self.stall_timeout(connect_timeout))
            .map(|(since, timeout)| since + timeout);
        due.zip(self.lock().latest_answered_send)
            .is_some_and(|(due, latest)| latest > due)
    }
}
