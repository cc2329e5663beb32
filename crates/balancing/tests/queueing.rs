//! Comparison of the load balancer with random and least-loaded choice in the queueing model. The parameters of the
//! scenarios are examples. `cargo test -p balancing --test queueing -- --nocapture` prints the table of
//! docs/measurements/policy.md; its columns and the names of its rows are those of that page.

mod model;
use model::engine::EngineProfile;
use model::report::{Report, TABLE_HEADER};
use model::router::Strategy;
use model::simulation::{Fault, Scenario, Simulation};
use model::traffic::{Distribution, RequestClass, SharedPart, TrafficSurge, RUN_LENGTH};
use model::SECOND;
use rstest::rstest;

/// Hosts with many slots and fast prefill.
const FAST_PREFILL: EngineProfile = EngineProfile {
    slots: 128,
    max_queued: 358,
    step_ms: 3.4,
    step_ms_per_running: 0.097,
    step_ms_per_k_context: 0.0023,
    prefill_tokens_per_ms: 112.0,
    prefill_ms_per_m_pairs: 0.218,
    overhead_ms: 31.0,
    prefill_chunk_tokens: 1024,
    cache_capacity_tokens: 754_000,
    tokens_per_event: 5,
    reports_load: true,
};
/// Hosts with about half that prefill speed, without load reports.
const SLOW_PREFILL: EngineProfile = EngineProfile {
    slots: 64,
    max_queued: 179,
    step_ms: 3.1,
    step_ms_per_running: 0.0165,
    step_ms_per_k_context: 0.0068,
    prefill_tokens_per_ms: 62.0,
    prefill_ms_per_m_pairs: 0.367,
    overhead_ms: 3.7,
    prefill_chunk_tokens: 2048,
    cache_capacity_tokens: 536_000,
    tokens_per_event: 6,
    reports_load: false,
};
/// Hosts with few slots.
const FEW_SLOTS: EngineProfile = EngineProfile {
    slots: 16,
    max_queued: 32,
    cache_capacity_tokens: 705_000,
    tokens_per_event: 7,
    ..FAST_PREFILL
};

/// Requests with long prompts.
const LONG: RequestClass = RequestClass {
    name: "long",
    per_s: 21.4,
    latency_target_ms: 600.0,
    max_pause_ms: 300.0,
    deadline_ms: 8000.0,
    value: 2.0,
    rank: 1,
    idempotent: true,
    shared: &[SharedPart::new(13_300.0, 0.7, 39_900.0, 121)],
    own_tokens: Distribution::new(3_720.0, 1.1, 53_200.0),
    events: Distribution::new(24.0, 1.4, 96.0),
};
/// Requests with prompts of medium length, which aren't idempotent.
const MIDDLE: RequestClass = RequestClass {
    name: "middle",
    per_s: 16.7,
    latency_target_ms: 600.0,
    deadline_ms: 5000.0,
    value: 3.0,
    rank: 0,
    idempotent: false,
    shared: &[
        SharedPart::new(2_520.0, 0.4, 6_290.0, 4),
        SharedPart::new(3_780.0, 0.7, 11_300.0, 63),
    ],
    own_tokens: Distribution::new(2_890.0, 1.0, 39_600.0),
    events: Distribution::new(10.4, 1.4, 42.0),
    ..LONG
};
/// Requests with short prompts.
const SHORT: RequestClass = RequestClass {
    name: "short",
    per_s: 23.3,
    latency_target_ms: 400.0,
    deadline_ms: 10_000.0,
    value: 1.0,
    rank: 2,
    idempotent: true,
    shared: &[
        SharedPart::new(210.0, 0.4, 524.0, 40),
        SharedPart::new(140.0, 0.7, 419.0, 132),
    ],
    own_tokens: Distribution::new(1_110.0, 1.0, 3_790.0),
    events: Distribution::new(34.5, 0.9, 120.0),
    ..LONG
};
/// 61 requests per second in total; a site has 77, including those to hosts without a model.
const CLASSES: &[RequestClass] = &[LONG, MIDDLE, SHORT];
/// 77 requests per second, all of them to model hosts, which is a high load for them.
const HIGH_LOAD_CLASSES: &[RequestClass] = &[
    RequestClass {
        per_s: 27.0,
        ..LONG
    },
    RequestClass {
        per_s: 21.0,
        ..MIDDLE
    },
    RequestClass {
        per_s: 29.0,
        ..SHORT
    },
];
/// 46 requests per second in total, for hosts with slower prefill.
const SLOW_PREFILL_CLASSES: &[RequestClass] = &[
    RequestClass {
        per_s: 12.8,
        max_pause_ms: 400.0,
        ..LONG
    },
    RequestClass {
        per_s: 9.9,
        max_pause_ms: 400.0,
        ..MIDDLE
    },
    RequestClass {
        per_s: 23.0,
        max_pause_ms: 400.0,
        ..SHORT
    },
];
/// About 780 requests per second in total, with many more subjects.
const LARGE_CLASSES: &[RequestClass] = &[
    RequestClass {
        per_s: 320.0,
        max_pause_ms: 200.0,
        shared: &[SharedPart::new(13_300.0, 0.7, 39_900.0, 1809)],
        events: Distribution::new(17.0, 1.4, 68.0),
        ..LONG
    },
    RequestClass {
        per_s: 252.0,
        max_pause_ms: 200.0,
        latency_target_ms: 400.0,
        shared: &[
            SharedPart::new(2_520.0, 0.4, 6_290.0, 4),
            SharedPart::new(3_780.0, 0.7, 11_300.0, 952),
        ],
        events: Distribution::new(7.4, 1.4, 30.0),
        ..MIDDLE
    },
    RequestClass {
        per_s: 204.0,
        max_pause_ms: 200.0,
        latency_target_ms: 300.0,
        shared: &[
            SharedPart::new(210.0, 0.4, 524.0, 80),
            SharedPart::new(140.0, 0.7, 419.0, 1155),
        ],
        events: Distribution::new(24.6, 0.9, 86.0),
        ..SHORT
    },
];

/// A site without faults and surges.
const CALM: Scenario = Scenario {
    hosts: 9,
    proxies: 7,
    profile: FAST_PREFILL,
    classes: CLASSES,
    surge: TrafficSurge::None,
    fault: Fault::None,
    length: RUN_LENGTH,
    seed: 7,
};
/// Time at which faults and surges begin.
const FAULT_AT: u64 = 12 * SECOND;
/// Duration of faults and surges.
const FAULT_DURATION: u64 = 5 * SECOND;
const BURST: TrafficSurge = TrafficSurge::Burst(1.5, FAULT_AT, FAULT_AT + FAULT_DURATION);
const HOT_KEY: TrafficSurge = TrafficSurge::HotKey(0.28, FAULT_AT, FAULT_AT + FAULT_DURATION);
const CRASH: Fault = Fault::Crash {
    hosts: 2,
    at: FAULT_AT,
    duration: FAULT_DURATION,
};
const UNRESPONSIVE: Fault = Fault::Unresponsive {
    hosts: 2,
    at: FAULT_AT,
    duration: FAULT_DURATION,
};
const RELEASE: Fault = Fault::Release {
    hosts: 5,
    at: FAULT_AT,
    interval: SECOND,
};
const PROXY_RESTART: Fault = Fault::Restart {
    proxy: 3,
    at: FAULT_AT,
};
const SLOW_PREFILL_CALM: Scenario = Scenario {
    profile: SLOW_PREFILL,
    classes: SLOW_PREFILL_CLASSES,
    ..CALM
};
/// Time at which faults and surges of the large site begin.
const LARGE_FAULT_AT: u64 = 6 * SECOND;
const LARGE_BURST: TrafficSurge =
    TrafficSurge::Burst(1.5, LARGE_FAULT_AT, LARGE_FAULT_AT + FAULT_DURATION);
const LARGE_HOT_KEY: TrafficSurge =
    TrafficSurge::HotKey(0.28, LARGE_FAULT_AT, LARGE_FAULT_AT + FAULT_DURATION);
const LARGE_UNRESPONSIVE: Fault = Fault::Unresponsive {
    hosts: 24,
    at: LARGE_FAULT_AT,
    duration: FAULT_DURATION,
};
/// A large site. The run is shorter because it has many more events.
const LARGE_CALM: Scenario = Scenario {
    hosts: 140,
    proxies: 74,
    profile: FEW_SLOTS,
    classes: LARGE_CLASSES,
    length: 12 * SECOND,
    ..CALM
};

/// Runs a scenario with all three strategies and prints their reports. Returns them in the order load balancer, least
/// loaded, random.
fn run_all_strategies(name: &str, scenario: Scenario) -> [Report; 3] {
    let strategies = [Strategy::Policy, Strategy::LeastLoaded, Strategy::Random];
    let reports = strategies.map(|strategy| Simulation::run(scenario, strategy));
    println!("{TABLE_HEADER}");
    for (strategy, report) in strategies.iter().zip(&reports) {
        println!("| {name} | {strategy:?} | {report}");
    }
    reports
}

#[rstest]
#[case("calm", CALM)]
#[case("pressed", Scenario { classes: HIGH_LOAD_CLASSES, ..CALM })]
#[case("burst", Scenario { surge: BURST, ..CALM })]
#[case("hot key", Scenario { surge: HOT_KEY, ..CALM })]
#[case("crash", Scenario { fault: CRASH, ..CALM })]
#[case("dark", Scenario { fault: UNRESPONSIVE, ..CALM })]
#[case("release", Scenario { fault: RELEASE, ..CALM })]
#[case("restart", Scenario { fault: PROXY_RESTART, ..CALM })]
#[case("dense calm", SLOW_PREFILL_CALM)]
#[case("dense burst", Scenario { surge: BURST, ..SLOW_PREFILL_CALM })]
#[case("dense hot key", Scenario { surge: HOT_KEY, ..SLOW_PREFILL_CALM })]
#[case("dense crash", Scenario { fault: CRASH, ..SLOW_PREFILL_CALM })]
#[case("dense dark", Scenario { fault: UNRESPONSIVE, ..SLOW_PREFILL_CALM })]
#[case("dense release", Scenario { fault: RELEASE, ..SLOW_PREFILL_CALM })]
#[case("large calm", LARGE_CALM)]
#[case("large burst", Scenario { surge: LARGE_BURST, ..LARGE_CALM })]
#[case("large hot key", Scenario { surge: LARGE_HOT_KEY, ..LARGE_CALM })]
#[case("large dark", Scenario { fault: LARGE_UNRESPONSIVE, ..LARGE_CALM })]
fn load_balancer_when_compared_then_beats_the_baselines(
    #[case] name: &str,
    #[case] scenario: Scenario,
) {
    let [balancer, least_loaded, random] = run_all_strategies(name, scenario);
    assert!(
        balancer.earned_value_share(|_| true) >= least_loaded.earned_value_share(|_| true),
        "{balancer}"
    );
    assert!(
        balancer.earned_value_share(|_| true) >= random.earned_value_share(|_| true),
        "{balancer}"
    );
    assert!(
        balancer.prefilled_again <= least_loaded.prefilled_again,
        "{balancer}"
    );
}

#[test]
fn run_when_seed_is_equal_then_equal() {
    let short = Scenario {
        length: 3 * SECOND,
        ..CALM
    };
    let [one, other] = [0, 1].map(|_| Simulation::run(short, Strategy::Policy).to_string());
    assert_eq!(one, other);
    assert_ne!(
        one,
        Simulation::run(Scenario { seed: 8, ..short }, Strategy::Policy).to_string()
    );
}
