//! When to call again a service that all coordinators share, after a call that failed. No I/O.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Full jitter over an exponentially growing bound: each wait is drawn evenly from 0 to the bound, which
/// doubles with each failure in a row.
///
/// The bounds belong to the whole fleet: `n` coordinators that lost the service at one moment come back at
/// a pace that does not grow with `n`, as each waits `n` times as long.
pub struct Backoff {
    rng: Pcg64Mcg,
    least: Duration,
    most: Duration,
    failures: u32,
}

impl Backoff {
    /// For one of so many coordinators (at least one). `least` and `most` are the first and the last bound
    /// of a coordinator among `even`; beyond that many they grow with the fleet, up to `longest`.
    pub fn new(
        seed: u64,
        fleet: u32,
        (least, most): (Duration, Duration),
        even: u32,
        longest: Duration,
    ) -> Self {
        let times = (f64::from(fleet.max(1)) / f64::from(even.max(1))).max(1.0);
        let bound = |d: Duration| d.mul_f64(times).min(longest.max(d));
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            least: bound(least),
            most: bound(most),
            failures: 0,
        }
    }

    /// The bound of the next wait.
    pub fn bound(&self) -> Duration {
        self.least
            .saturating_mul(1 << self.failures.min(16))
            .min(self.most)
    }

    /// How long to wait before the very first call, up to `spread` and the last bound.
    pub fn initial_delay(&mut self, spread: Duration) -> Duration {
        let share = self.share();
        spread.min(self.most).mul_f64(share)
    }

    fn share(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// How long to wait after one more call that failed.
    pub fn next_delay(&mut self) -> Duration {
        let share = self.share();
        let wait = self.bound().mul_f64(share);
        self.failures += 1;
        wait
    }

    /// A call went through: the next failure counts as the first.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
