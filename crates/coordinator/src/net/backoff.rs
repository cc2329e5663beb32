//! Backoff between failed calls to a service that all coordinators share. Does no I/O.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Exponential backoff with full jitter: each delay is drawn uniformly from 0 to a bound, which doubles with each
/// consecutive failure.
///
/// The bounds scale with the fleet: when `n` coordinators lose the service together, each waits `n` times as long, so
/// that the rate of their calls does not grow with `n`.
pub struct Backoff {
    rng: Pcg64Mcg,
    first_bound: Duration,
    max_bound: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates the backoff of one coordinator in a fleet of `fleet` (at least 1). The pair holds the first and the
    /// largest bound for fleets of up to `unscaled_fleet` coordinators; for larger fleets both grow in proportion, up
    /// to
    /// `longest`.
    pub fn new(
        seed: u64,
        fleet: u32,
        (first_bound, max_bound): (Duration, Duration),
        unscaled_fleet: u32,
        longest: Duration,
    ) -> Self {
        let scale = (f64::from(fleet.max(1)) / f64::from(unscaled_fleet.max(1))).max(1.0);
        let bound = |d: Duration| d.mul_f64(scale).min(longest.max(d));
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            first_bound: bound(first_bound),
            max_bound: bound(max_bound),
            failures: 0,
        }
    }

    /// Returns the bound of the next delay.
    pub fn bound(&self) -> Duration {
        self.first_bound
            .saturating_mul(1 << self.failures.min(16))
            .min(self.max_bound)
    }

    /// Returns a random delay before the very first call, of at most `spread` and the largest bound.
    pub fn initial_delay(&mut self, spread: Duration) -> Duration {
        let fraction = self.random_fraction();
        spread.min(self.max_bound).mul_f64(fraction)
    }

    fn random_fraction(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// Records a failed call and returns the delay before the next one.
    pub fn next_delay(&mut self) -> Duration {
        let fraction = self.random_fraction();
        let delay = self.bound().mul_f64(fraction);
        self.failures += 1;
        delay
    }

    /// Records a successful call: the next failure counts as the first.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
