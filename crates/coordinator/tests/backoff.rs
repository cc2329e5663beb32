//! The waits of many coordinators that call one service again.

use coordinator::net::backoff::Backoff;
use std::time::Duration;

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
        .map(|b| Some(b.next_delay().as_millis() as u64))
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
                done += 1;
            } else {
                calls[who] = Some(now + 1 + fleet[who].next_delay().as_millis() as u64);
            }
        }
    }
    done
}

#[test]
fn fleet_when_a_hundred_call_a_narrow_service_then_they_get_through() {
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
fn fleet_when_a_hundred_start_then_their_first_calls_are_spread() {
    let mut first: Vec<Duration> = fleet(100, BOUNDS)
        .iter_mut()
        .map(Backoff::next_delay)
        .collect();
    first.sort();
    let burst = first.windows(25).map(|w| w[24] - w[0]).min().unwrap();
    assert!(burst > Duration::from_millis(200), "25 within {burst:?}");
}

#[test]
fn fleet_when_small_then_its_bounds_are_unchanged_and_the_longest_wait_binds() {
    for n in [0, 1, 5] {
        let mut b = Backoff::new(3, n, BOUNDS, 5, Duration::from_secs(10));
        assert_eq!(b.bound(), BOUNDS.0);
        (0..40).for_each(|_| assert!(b.next_delay() <= BOUNDS.1));
        assert_eq!(b.bound(), BOUNDS.1);
        b.reset();
        assert_eq!(b.bound(), BOUNDS.0);
    }
    let b = Backoff::new(3, u32::MAX, BOUNDS, 5, Duration::from_secs(10));
    assert_eq!(b.bound(), Duration::from_secs(10));
}
