//! The budget over every sliding window, over all proxies.

mod common;
use balancing::{LoadBalancer, LoadBalancerSettings};
use common::*;
use rstest::rstest;

const RATIO: f64 = 0.2;
const SLACK: f64 = 50.0;
const WINDOW: u64 = 10_000;

fn proxy(told: usize) -> LoadBalancer {
    let mut p = LoadBalancer::new(LoadBalancerSettings {
        retry_ratio: RATIO,
        retry_slack: SLACK,
        ..settings()
    });
    p.set_proxy_count(ms(0), told);
    p
}

/// Most that a window holds beyond what the rule allows it (below 0: room left).
fn worst(arrivals: &[u64], repeats: &[u64]) -> f64 {
    let within = |times: &[u64], from: u64, to: u64| {
        times.iter().filter(|t| **t >= from && **t < to).count() as f64
    };
    let ends = repeats.iter().map(|t| t + 1);
    ends.map(|end| {
        let from = end.saturating_sub(WINDOW);
        within(repeats, from, end) - RATIO * within(arrivals, from, end) - SLACK
    })
    .fold(f64::MIN, f64::max)
}

/// Plays proxies that take every repeat they get; returns the arrivals and repeats of all.
fn play(
    proxies: &mut [LoadBalancer],
    length: u64,
    every: impl Fn(u64) -> u64,
    mut restart: impl FnMut(u64, &mut [LoadBalancer]),
) -> (Vec<u64>, Vec<u64>) {
    let (mut arrivals, mut repeats) = (Vec::new(), Vec::new());
    for t in 0..length {
        restart(t, proxies);
        for (n, p) in proxies.iter_mut().enumerate() {
            if (t + n as u64 * 7).is_multiple_of(every(t)) {
                p.on_request(ms(t), "plain");
                arrivals.push(t);
            }
            if t.is_multiple_of(5) && p.withdraw_retry(ms(t), "plain") {
                repeats.push(t);
            }
        }
    }
    (arrivals, repeats)
}

#[rstest]
#[case(6, 6)]
#[case(6, 5)]
#[case(6, 4)]
#[case(1, 1)]
#[case(3, 1)]
#[case(8, 9)]
fn every_window_keeps_the_budget(#[case] proxies: usize, #[case] told: usize) {
    let mut all: Vec<LoadBalancer> = (0..proxies).map(|_| proxy(told)).collect();
    // A quiet start, a rush, and quiet again.
    let every = |t| {
        if (12_000..17_000).contains(&t) {
            20
        } else {
            150
        }
    };
    let (arrivals, repeats) = play(&mut all, 40_000, every, |_, _| {});
    assert!(
        worst(&arrivals, &repeats) <= 0.0,
        "{}",
        worst(&arrivals, &repeats)
    );
    assert!(!repeats.is_empty());
}

#[test]
fn a_good_part_of_the_budget_can_be_used() {
    let mut all: Vec<LoadBalancer> = (0..7).map(|_| proxy(7)).collect();
    let (arrivals, repeats) = play(&mut all, 40_000, |_| 100, |_, _| {});
    let last = repeats.iter().filter(|t| **t >= 30_000).count() as f64;
    let allowed = RATIO * arrivals.iter().filter(|t| **t >= 30_000).count() as f64 + SLACK;
    assert!(last >= 0.6 * allowed, "{last} of {allowed}");
}

#[rstest]
#[case(1.0)]
#[case(0.5)]
fn proxies_that_restart_together_keep_the_budget(#[case] share: f64) {
    let mut all: Vec<LoadBalancer> = (0..7).map(|_| proxy(7)).collect();
    let (arrivals, repeats) = play(
        &mut all,
        40_000,
        |_| 120,
        |t, all| {
            if t == 20_000 {
                let n = (all.len() as f64 * share) as usize;
                for (p, fresh) in all.iter_mut().zip((0..n).map(|_| proxy(7))) {
                    *p = fresh;
                }
            }
        },
    );
    assert!(
        worst(&arrivals, &repeats) <= 0.0,
        "{}",
        worst(&arrivals, &repeats)
    );
}

#[test]
fn a_proxy_that_does_not_know_the_others_takes_little() {
    let mut p = LoadBalancer::new(settings());
    let taken = (0..100)
        .filter(|_| p.withdraw_retry(ms(1), "plain"))
        .count();
    assert!(taken <= 3, "{taken}");
}

#[test]
fn services_have_budgets_of_their_own() {
    let mut p = proxy(1);
    for t in 0..100 {
        p.on_request(ms(t), "model");
    }
    let plain = (0..100)
        .filter(|_| p.withdraw_retry(ms(100), "plain"))
        .count();
    let model = (0..100)
        .filter(|_| p.withdraw_retry(ms(100), "model"))
        .count();
    assert!(model > plain + 10, "{model} {plain}");
}
