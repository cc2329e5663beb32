//! Token bucket: refills, debt, waiting times, and changes of limit and share.

use configuration::RateLimit;
use quota::{Decision, TokenBucket};
use rstest::rstest;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limit(rate_per_s: f64, burst_size: f64) -> RateLimit {
    RateLimit {
        rate_per_s,
        burst_size,
    }
}

const GRANTED_WITHOUT_WAIT: Decision = Decision::Granted {
    wait: Duration::ZERO,
};

/// Returns a bucket with 100 units a second and a burst of 50 that has been refilled every 100 ms for `time_ms`.
fn bucket_filled_for(time_ms: u64) -> TokenBucket {
    let mut bucket = TokenBucket::empty(Duration::ZERO, limit(100.0, 50.0));
    bucket.set_share(Duration::ZERO, 1.0);
    for at in (0..=time_ms).step_by(100) {
        bucket.refill(ms(at));
    }
    bucket
}

#[rstest]
#[case::at_start(0, 0.0)]
#[case::partly_filled(200, 20.0)]
#[case::capped_at_the_burst(900, 50.0)]
fn bucket_fills_at_its_rate_up_to_the_burst(#[case] time_ms: u64, #[case] level: f64) {
    assert!((bucket_filled_for(time_ms).level() - level).abs() < 1e-9);
}

#[test]
fn request_larger_than_the_burst_leaves_a_debt_that_later_requests_wait_for() {
    let mut bucket = bucket_filled_for(900);
    assert_eq!(
        bucket.take(ms(900), 90.0, Duration::ZERO),
        GRANTED_WITHOUT_WAIT
    );
    let refused = Decision::Refused {
        retry_after: ms(400),
    };
    assert_eq!(bucket.take(ms(900), 1.0, ms(399)), refused);
    let granted = Decision::Granted { wait: ms(400) };
    assert_eq!(bucket.take(ms(900), 1.0, ms(400)), granted);
}

#[test]
fn refused_request_takes_nothing() {
    let mut bucket = bucket_filled_for(200);
    assert_eq!(
        bucket.take(ms(200), 30.0, Duration::ZERO),
        GRANTED_WITHOUT_WAIT
    );
    for _ in 0..5 {
        let refused = bucket.take(ms(200), 30.0, Duration::ZERO);
        assert!(matches!(refused, Decision::Refused { .. }));
    }
    assert!((bucket.level() + 10.0).abs() < 1e-9);
}

#[test]
fn bucket_without_a_share_discards_its_units_and_is_not_refilled() {
    let mut bucket = bucket_filled_for(900);
    bucket.set_share(ms(900), 0.0);
    bucket.refill(ms(1200));
    assert!(bucket.level().abs() < 1e-9);
}

#[test]
fn debt_persists_while_the_bucket_has_no_share() {
    let mut bucket = bucket_filled_for(0);
    bucket.charge(ms(0), 30.0);
    bucket.set_share(ms(0), 0.0);
    bucket.set_share(ms(10), 0.5);
    assert!((bucket.level() + 30.0).abs() < 1e-9);
}

#[test]
fn refill_after_a_stall_covers_at_most_300_ms() {
    let mut bucket = bucket_filled_for(0);
    bucket.refill(ms(60_000));
    assert!((bucket.level() - 30.0).abs() < 1e-9, "{}", bucket.level());
}

#[test]
fn clock_that_goes_backwards_changes_nothing() {
    let mut bucket = bucket_filled_for(300);
    bucket.refill(ms(100));
    bucket.refill(ms(300));
    assert!((bucket.level() - 30.0).abs() < 1e-9);
}

#[rstest]
#[case::lowered(limit(10.0, 5.0), 5.0)]
#[case::raised(limit(1000.0, 500.0), 50.0)]
fn changed_limit_keeps_the_level_within_the_new_burst(
    #[case] changed: RateLimit,
    #[case] level: f64,
) {
    let mut bucket = bucket_filled_for(900);
    bucket.set_limit(ms(900), changed);
    assert!((bucket.level() - level).abs() < 1e-9);
}

#[test]
fn refund_fills_no_further_than_the_burst() {
    let mut bucket = bucket_filled_for(900);
    bucket.refund(ms(900), 1000.0);
    assert!((bucket.level() - 50.0).abs() < 1e-9);
}

#[test]
fn limit_without_a_burst_grants_requests_at_its_rate() {
    let mut bucket = TokenBucket::empty(Duration::ZERO, limit(10.0, 0.0));
    bucket.set_share(Duration::ZERO, 1.0);
    let granted = (0..1000)
        .filter(|step| bucket.take(ms(step * 10), 1.0, Duration::ZERO) == GRANTED_WITHOUT_WAIT)
        .count();
    assert!((99..=102).contains(&granted), "{granted}");
}

#[test]
fn bucket_with_a_share_of_the_limit_goes_into_debt_by_its_share_of_a_request() {
    let mut bucket = bucket_filled_for(900);
    bucket.set_share(ms(900), 0.25);
    assert_eq!(
        bucket.take(ms(900), 60.0, Duration::ZERO),
        GRANTED_WITHOUT_WAIT
    );
    bucket.refill(ms(1100));
    assert!((bucket.level() + 5.0).abs() < 1e-9);
    let refused = Decision::Refused {
        retry_after: ms(500),
    };
    // At a share of 0.25, three quarters of the 10 units have to be available.
    assert_eq!(bucket.take(ms(1100), 10.0, Duration::ZERO), refused);
}
