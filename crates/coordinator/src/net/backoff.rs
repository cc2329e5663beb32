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
    pub fn start(&mut self, spread: Duration) -> Duration {
        let share = self.share();
        spread.min(self.most).mul_f64(share)
    }

    fn share(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// How long to wait after one more call that failed.
    pub fn failed(&mut self) -> Duration {
        let share = self.share();
        let wait = self.bound().mul_f64(share);
        self.failures += 1;
        wait
    }

    /// A call went through: the next failure counts as the first.
    pub fn reached(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BOUNDS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(500));

    fn fleet(n: u32, bounds: (Duration, Duration)) -> Vec<Backoff> {
        (0..n)
            .map(|i| {
                Backoff::new(
                    u64::from(i) * 7919 + 1,
                    n,
                    bounds,
                    5,
                    Duration::from_secs(10),
                )
            })
            .collect()
    }

    /// Coordinators that lost a service at one moment call it until each got through; the service takes
    /// `rate` calls a second in turn, and a call that waited for 2 s has failed and was work all the same.
    /// Gives how many got through within `within`, in milliseconds.
    fn through(mut fleet: Vec<Backoff>, rate: u64, within: u64) -> usize {
        let mut calls: Vec<Option<u64>> = fleet
            .iter_mut()
            .map(|b| Some(b.failed().as_millis() as u64))
            .collect();
        let (mut queue, mut next, mut done) = (std::collections::VecDeque::new(), 0, 0);
        for now in 0..within {
            for (who, call) in calls.iter_mut().enumerate().filter(|c| *c.1 == Some(now)) {
                queue.push_back((now, who));
                *call = None;
            }
            if next <= now {
                let Some((since, who)) = queue.pop_front() else {
                    continue;
                };
                next = now + 1000 / rate;
                if now - since < 2000 {
                    done += 1
                } else {
                    calls[who] = Some(now + 1 + fleet[who].failed().as_millis() as u64)
                }
            }
        }
        done
    }

    #[test]
    fn a_hundred_get_through_a_narrow_service() {
        let n = through(fleet(100, BOUNDS), 15, 15_000);
        assert!(n >= 95, "{n} of 100 got through");
        // The mend is the fleet's share in the bounds: each by itself as quick as one of three, most wait in vain.
        let alone: Vec<Backoff> = (0..100)
            .map(|i| Backoff::new(i, 1, BOUNDS, 5, Duration::from_secs(10)))
            .collect();
        let n = through(alone, 15, 15_000);
        assert!(n < 70, "{n} of 100 got through without it");
    }

    #[test]
    fn first_calls_of_a_hundred_are_spread() {
        let mut first: Vec<Duration> = fleet(100, BOUNDS).iter_mut().map(Backoff::failed).collect();
        first.sort();
        let burst = first.windows(25).map(|w| w[24] - w[0]).min().unwrap();
        assert!(burst > Duration::from_millis(200), "25 within {burst:?}");
    }

    #[test]
    fn a_few_keep_their_pace_and_the_longest_wait_binds() {
        for n in [0, 1, 5] {
            let mut b = Backoff::new(3, n, BOUNDS, 5, Duration::from_secs(10));
            assert_eq!(b.bound(), BOUNDS.0);
            (0..40).for_each(|_| assert!(b.failed() <= BOUNDS.1));
            assert_eq!(b.bound(), BOUNDS.1);
            b.reached();
            assert_eq!(b.bound(), BOUNDS.0);
        }
        let b = Backoff::new(3, u32::MAX, BOUNDS, 5, Duration::from_secs(10));
        assert_eq!(b.bound(), Duration::from_secs(10));
    }
}
