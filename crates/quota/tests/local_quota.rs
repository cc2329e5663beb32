//! Local quota decisions of a proxy that reaches no member.

use configuration::RateLimit;
use quota::{Decision, LocalQuota};
use rstest::rstest;
use std::time::Duration;

const PROXIES: usize = 10;
/// Limit of the tenant over all proxies; 100 units a second for each of them.
const LIMIT: RateLimit = RateLimit {
    rate_per_s: 1000.0,
    burst_size: 1000.0,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn is_granted(quota: &mut LocalQuota, at_ms: u64, cost: f64, random: f64) -> bool {
    let decision = quota.take(ms(at_ms), "t", LIMIT, PROXIES, cost, random);
    matches!(decision, Decision::Granted { .. })
}

#[test]
fn share_starts_empty_and_is_refilled_at_an_even_part_of_the_rate() {
    let mut quota = LocalQuota::default();
    assert!(!is_granted(&mut quota, 0, 50.0, 0.5));
    assert!(!is_granted(&mut quota, 249, 50.0, 0.5));
    assert!(
        is_granted(&mut quota, 250, 50.0, 0.5),
        "half of the cost is available"
    );
    assert!(!is_granted(&mut quota, 251, 50.0, 0.5));
}

#[rstest]
#[case::full(1.0, 500, true)]
#[case::half(0.5, 500, false)]
#[case::reply_too_old(1.0, 2001, false)]
fn share_starts_with_an_even_part_of_the_remaining_burst(
    #[case] burst_left: f64,
    #[case] at_ms: u64,
    #[case] granted: bool,
) {
    let mut quota = LocalQuota::default();
    quota.on_home_reply(ms(0), "t", burst_left);
    assert_eq!(is_granted(&mut quota, at_ms, 100.0, 0.9), granted);
}

#[test]
fn share_is_reset_by_a_reply_of_a_home() {
    let mut quota = LocalQuota::default();
    quota.on_home_reply(ms(0), "t", 1.0);
    assert!(is_granted(&mut quota, 10, 100.0, 0.9));
    quota.on_home_reply(ms(20), "t", 0.0);
    assert!(!is_granted(&mut quota, 30, 100.0, 0.9));
}

#[test]
fn all_proxies_together_grant_about_the_rate() {
    let mut granted = 0.0;
    for proxy in 0..100 {
        let mut quota = LocalQuota::default();
        let random = |step: u64| ((proxy * 37 + step * 61) % 100) as f64 / 100.0;
        // Each proxy requests far more than its share, with a cost larger than its share of one second.
        for step in 0..200 {
            let decision = quota.take(ms(step * 10), "t", LIMIT, 100, 80.0, random(step));
            if matches!(decision, Decision::Granted { .. }) {
                granted += 80.0;
            }
        }
    }
    let expected = LIMIT.rate_per_s * 2.0;
    assert!(
        (granted - expected).abs() < 0.3 * expected,
        "granted {granted}, expected about {expected}"
    );
}
