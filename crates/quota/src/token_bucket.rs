//! A token bucket that may go into debt.

use configuration::RateLimit;
use std::time::Duration;

/// Longest time for which one refill fills a bucket. A process that was stalled for longer doesn't know what other
/// homes granted meanwhile.
const MAX_REFILL_TIME: Duration = Duration::from_millis(300);
/// Retry time given for a bucket that isn't being refilled.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Decision on a request against its tenant's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is within the limit, if it is held for `wait`.
    Granted {
        /// Time for which the request has to be held.
        wait: Duration,
    },
    /// The request exceeds the limit.
    Refused {
        /// Time after which a request may be granted.
        retry_after: Duration,
    },
}

/// A token bucket that may go into debt. As even a full bucket couldn't cover a request larger than the burst, a
/// request of any size is granted whenever the bucket isn't in debt. Over any period the bucket grants at most the
/// burst, the rate multiplied by the period, and one more request.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limit: RateLimit,
    /// Fraction of the limit's rate at which this bucket is refilled.
    share: f64,
    /// Units available; below 0 in debt.
    level: f64,
    /// Units added by refills since the bucket was created, including those beyond its burst.
    refilled_units: f64,
    updated_at: Duration,
}

impl TokenBucket {
    /// Creates an empty bucket with a refill share of 0.
    pub fn empty(now: Duration, limit: RateLimit) -> Self {
        Self {
            limit,
            share: 0.0,
            level: 0.0,
            refilled_units: 0.0,
            updated_at: now,
        }
    }

    /// Returns the bucket's limit: rate in units a second and burst in units.
    pub fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Returns the units available; below 0 in debt.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Returns the fraction of the burst that is available, from 0 to 1.
    pub fn burst_left(&self) -> f64 {
        if self.limit.burst_size <= 0.0 {
            return 0.0;
        }
        (self.level / self.limit.burst_size).clamp(0.0, 1.0)
    }

    /// Changes the limit. Units beyond the new burst are discarded.
    pub fn set_limit(&mut self, now: Duration, limit: RateLimit) {
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(limit.burst_size);
    }

    /// Changes the fraction of the rate at which the bucket is refilled. At 0 the available units are discarded, as
    /// other homes may grant them.
    pub fn set_share(&mut self, now: Duration, share: f64) {
        self.refill(now);
        self.share = share;
        if share <= 0.0 {
            self.level = self.level.min(0.0);
        }
    }

    /// Refills the bucket for the time since the last refill, at most 300 ms.
    pub fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).min(MAX_REFILL_TIME);
        self.updated_at = self.updated_at.max(now);
        self.add_units(self.refill_rate_per_s() * elapsed.as_secs_f64());
    }

    /// Refills the bucket for a time `past`, in which no other home granted this share of the rate. The refills since
    /// the bucket was created are capped at the rate multiplied by `total_time`.
    pub fn backfill(&mut self, share: f64, past: Duration, total_time: Duration) {
        let max_units = self.limit.rate_per_s * total_time.as_secs_f64() - self.refilled_units;
        let units = self.limit.rate_per_s * share * past.as_secs_f64();
        self.add_units(units.min(max_units).max(0.0));
    }

    /// Takes the units of a request, unless the bucket is so far in debt that the request would have to be held for
    /// longer than `max_wait`.
    pub fn take(&mut self, now: Duration, cost: f64, max_wait: Duration) -> Decision {
        self.refill(now);
        let required_level = self.required_level(cost);
        let wait = self.time_until(required_level);
        if wait > max_wait {
            return Decision::Refused { retry_after: wait };
        }
        self.level -= cost;
        Decision::Granted { wait }
    }

    /// Takes units that have been used already, whatever the level.
    pub fn charge(&mut self, now: Duration, cost: f64) {
        self.refill(now);
        self.level -= cost;
    }

    /// Returns units to the bucket that were granted and not used, up to the burst.
    pub fn refund(&mut self, now: Duration, cost: f64) {
        self.refill(now);
        self.level = (self.level + cost).min(self.limit.burst_size);
    }

    /// Returns the level at which a request is granted. A bucket with the whole limit may go into debt by a whole
    /// request. Buckets that share the limit may each do so by their share of one request, so that the total debt is
    /// the same.
    fn required_level(&self, cost: f64) -> f64 {
        let others_share = (1.0 - self.share).max(0.0);
        (others_share * cost).min(self.limit.burst_size)
    }

    fn time_until(&self, level: f64) -> Duration {
        if self.level >= level {
            return Duration::ZERO;
        }
        let seconds = (level - self.level) / self.refill_rate_per_s();
        Duration::try_from_secs_f64(seconds).unwrap_or(UNKNOWN_RETRY_AFTER)
    }

    fn add_units(&mut self, units: f64) {
        self.refilled_units += units;
        self.level = (self.level + units).min(self.limit.burst_size);
    }

    fn refill_rate_per_s(&self) -> f64 {
        self.limit.rate_per_s * self.share
    }
}
