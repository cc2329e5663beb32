//! All proxies together stay within the retry budget in every sliding window.

mod common;
use balancing::{LoadBalancer, LoadBalancerSettings};
use common::*;
use rstest::rstest;

const RATIO: f64 = 0.2;
const SLACK: f64 = 50.0;
/// Length of the sliding window.
const WINDOW_MS: u64 = 10_000;

/// Creates the load balancer of a proxy that knows this number of proxies.
fn proxy_balancer(known_proxies: usize) -> LoadBalancer {
    let mut balancer = LoadBalancer::new(LoadBalancerSettings {
        retry_ratio: RATIO,
        retry_slack: SLACK,
        ..settings()
    });
    balancer.set_proxy_count(ms(0), known_proxies);
    balancer
}

/// Returns the largest excess of retries over the budget in any window that ends at a retry; negative if all are within
/// the budget. The times are in ms.
fn max_excess(requests: &[u64], retries: &[u64]) -> f64 {
    let count_between = |times: &[u64], from: u64, to: u64| {
        times
            .iter()
            .filter(|time| **time >= from && **time < to)
            .count() as f64
    };
    let window_ends = retries.iter().map(|time| time + 1);
    window_ends
        .map(|end| {
            let start = end.saturating_sub(WINDOW_MS);
            count_between(retries, start, end) - RATIO * count_between(requests, start, end) - SLACK
        })
        .fold(f64::MIN, f64::max)
}

/// Simulates proxies that use every retry they are allowed. Each gets a request every `request_interval_ms(now)` ms.
/// Returns the times in ms of all requests and retries.
fn simulate(
    proxies: &mut [LoadBalancer],
    length_ms: u64,
    request_interval_ms: impl Fn(u64) -> u64,
    mut restart: impl FnMut(u64, &mut [LoadBalancer]),
) -> (Vec<u64>, Vec<u64>) {
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for now_ms in 0..length_ms {
        restart(now_ms, proxies);
        for (n, balancer) in proxies.iter_mut().enumerate() {
            if (now_ms + n as u64 * 7).is_multiple_of(request_interval_ms(now_ms)) {
                balancer.on_request(ms(now_ms), "plain");
                requests.push(now_ms);
            }
            if now_ms.is_multiple_of(5) && balancer.withdraw_retry(ms(now_ms), "plain") {
                retries.push(now_ms);
            }
        }
    }
    (requests, retries)
}

#[rstest]
#[case(6, 6)]
#[case(6, 5)]
#[case(6, 4)]
#[case(1, 1)]
#[case(3, 1)]
#[case(8, 9)]
fn retries_when_proxies_use_all_that_are_allowed_then_every_window_is_within_the_budget(
    #[case] proxies: usize,
    #[case] known_proxies: usize,
) {
    let mut balancers: Vec<LoadBalancer> = (0..proxies)
        .map(|_| proxy_balancer(known_proxies))
        .collect();
    // A low request rate, a high one, and a low one again.
    let request_interval_ms = |now_ms| {
        if (12_000..17_000).contains(&now_ms) {
            20
        } else {
            150
        }
    };
    let (requests, retries) = simulate(&mut balancers, 40_000, request_interval_ms, |_, _| {});
    assert!(
        max_excess(&requests, &retries) <= 0.0,
        "{}",
        max_excess(&requests, &retries)
    );
    assert!(!retries.is_empty());
}

#[test]
fn retries_when_needed_then_most_of_the_budget_is_available() {
    let mut balancers: Vec<LoadBalancer> = (0..7).map(|_| proxy_balancer(7)).collect();
    let (requests, retries) = simulate(&mut balancers, 40_000, |_| 100, |_, _| {});
    let sent = retries.iter().filter(|time| **time >= 30_000).count() as f64;
    let allowed = RATIO * requests.iter().filter(|time| **time >= 30_000).count() as f64 + SLACK;
    assert!(sent >= 0.6 * allowed, "{sent} of {allowed}");
}

#[rstest]
#[case(1.0)]
#[case(0.5)]
fn retries_when_proxies_restart_together_then_within_the_budget(#[case] restarted_share: f64) {
    let mut balancers: Vec<LoadBalancer> = (0..7).map(|_| proxy_balancer(7)).collect();
    let (requests, retries) = simulate(
        &mut balancers,
        40_000,
        |_| 120,
        |now_ms, balancers| {
            if now_ms == 20_000 {
                let restarted = (balancers.len() as f64 * restarted_share) as usize;
                for (balancer, new) in balancers
                    .iter_mut()
                    .zip((0..restarted).map(|_| proxy_balancer(7)))
                {
                    *balancer = new;
                }
            }
        },
    );
    assert!(
        max_excess(&requests, &retries) <= 0.0,
        "{}",
        max_excess(&requests, &retries)
    );
}

#[test]
fn retries_when_proxy_count_is_unknown_then_few() {
    let mut balancer = LoadBalancer::new(settings());
    let withdrawn = (0..100)
        .filter(|_| balancer.withdraw_retry(ms(1), "plain"))
        .count();
    assert!(withdrawn <= 3, "{withdrawn}");
}

#[test]
fn budget_when_another_service_has_requests_then_unchanged() {
    let mut balancer = proxy_balancer(1);
    for now_ms in 0..100 {
        balancer.on_request(ms(now_ms), "model");
    }
    let plain = (0..100)
        .filter(|_| balancer.withdraw_retry(ms(100), "plain"))
        .count();
    let model = (0..100)
        .filter(|_| balancer.withdraw_retry(ms(100), "model"))
        .count();
    assert!(model > plain + 10, "{model} {plain}");
}
