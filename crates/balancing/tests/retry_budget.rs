//! The retry budget holds in every sliding window, over all proxies.

mod common;
use balancing::{LoadBalancer, LoadBalancerSettings};
use common::*;
use rstest::rstest;

const RATIO: f64 = 0.2;
const SLACK: f64 = 50.0;
const WINDOW: u64 = 10_000;

fn proxy_balancer(known_proxies: usize) -> LoadBalancer {
    let mut balancer = LoadBalancer::new(LoadBalancerSettings {
        retry_ratio: RATIO,
        retry_slack: SLACK,
        ..settings()
    });
    balancer.set_proxy_count(ms(0), known_proxies);
    balancer
}

/// The largest excess of any window over the budget; below 0 where all are within it.
fn max_excess(requests: &[u64], retries: &[u64]) -> f64 {
    let within = |times: &[u64], from: u64, to: u64| {
        times.iter().filter(|t| **t >= from && **t < to).count() as f64
    };
    let ends = retries.iter().map(|t| t + 1);
    ends.map(|end| {
        let from = end.saturating_sub(WINDOW);
        within(retries, from, end) - RATIO * within(requests, from, end) - SLACK
    })
    .fold(f64::MIN, f64::max)
}

/// Simulates proxies that take every retry they get. Returns the times of all requests and retries.
fn simulate(
    proxies: &mut [LoadBalancer],
    length: u64,
    every: impl Fn(u64) -> u64,
    mut restart: impl FnMut(u64, &mut [LoadBalancer]),
) -> (Vec<u64>, Vec<u64>) {
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for t in 0..length {
        restart(t, proxies);
        for (n, balancer) in proxies.iter_mut().enumerate() {
            if (t + n as u64 * 7).is_multiple_of(every(t)) {
                balancer.on_request(ms(t), "plain");
                requests.push(t);
            }
            if t.is_multiple_of(5) && balancer.withdraw_retry(ms(t), "plain") {
                retries.push(t);
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
fn retries_when_proxies_use_all_they_get_then_every_window_is_within_the_budget(
    #[case] proxies: usize,
    #[case] known_proxies: usize,
) {
    let mut all: Vec<LoadBalancer> = (0..proxies)
        .map(|_| proxy_balancer(known_proxies))
        .collect();
    // Few requests, many, and few again.
    let every = |t| {
        if (12_000..17_000).contains(&t) {
            20
        } else {
            150
        }
    };
    let (requests, retries) = simulate(&mut all, 40_000, every, |_, _| {});
    assert!(
        max_excess(&requests, &retries) <= 0.0,
        "{}",
        max_excess(&requests, &retries)
    );
    assert!(!retries.is_empty());
}

#[test]
fn retries_when_wanted_then_most_of_the_budget_is_given() {
    let mut all: Vec<LoadBalancer> = (0..7).map(|_| proxy_balancer(7)).collect();
    let (requests, retries) = simulate(&mut all, 40_000, |_| 100, |_, _| {});
    let last = retries.iter().filter(|t| **t >= 30_000).count() as f64;
    let allowed = RATIO * requests.iter().filter(|t| **t >= 30_000).count() as f64 + SLACK;
    assert!(last >= 0.6 * allowed, "{last} of {allowed}");
}

#[rstest]
#[case(1.0)]
#[case(0.5)]
fn retries_when_proxies_restart_together_then_within_the_budget(#[case] share: f64) {
    let mut all: Vec<LoadBalancer> = (0..7).map(|_| proxy_balancer(7)).collect();
    let (requests, retries) = simulate(
        &mut all,
        40_000,
        |_| 120,
        |t, all| {
            if t == 20_000 {
                let n = (all.len() as f64 * share) as usize;
                for (p, fresh) in all.iter_mut().zip((0..n).map(|_| proxy_balancer(7))) {
                    *p = fresh;
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
    let taken = (0..100)
        .filter(|_| balancer.withdraw_retry(ms(1), "plain"))
        .count();
    assert!(taken <= 3, "{taken}");
}

#[test]
fn budget_when_another_service_has_requests_then_unchanged() {
    let mut balancer = proxy_balancer(1);
    for t in 0..100 {
        balancer.on_request(ms(t), "model");
    }
    let plain = (0..100)
        .filter(|_| balancer.withdraw_retry(ms(100), "plain"))
        .count();
    let model = (0..100)
        .filter(|_| balancer.withdraw_retry(ms(100), "model"))
        .count();
    assert!(model > plain + 10, "{model} {plain}");
}
