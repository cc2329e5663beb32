//! The load balancer in the queueing model, compared with random and least-loaded choice. The figures are examples.
//! `cargo test -p balancing --test queueing -- --nocapture` prints the table of docs/measurements/policy.md.

mod model;
use model::engine::EngineProfile;
use model::report::{Report, HEAD};
use model::router::Strategy;
use model::simulation::{Fault, Scenario, Simulation};
use model::traffic::{Distribution, RequestClass, SharedPart, TrafficSurge, RUN};
use model::SECOND;
use rstest::rstest;

/// Many slots, fast prefill.
const QUICK: EngineProfile = EngineProfile {
    batch: 128,
    queue: 358,
    step_ms: 3.4,
    step_ms_per_slot: 0.097,
    context_ms_per_k: 0.0023,
    tokens_per_ms: 112.0,
    pairs_ms_per_m: 0.218,
    overhead_ms: 31.0,
    chunk: 1024,
    cache_capacity: 754_000,
    stride: 5,
    reports_load: true,
};
/// Half that prefill speed, no load reports.
const DENSE: EngineProfile = EngineProfile {
    batch: 64,
    queue: 179,
    step_ms: 3.1,
    step_ms_per_slot: 0.0165,
    context_ms_per_k: 0.0068,
    tokens_per_ms: 62.0,
    pairs_ms_per_m: 0.367,
    overhead_ms: 3.7,
    chunk: 2048,
    cache_capacity: 536_000,
    stride: 6,
    reports_load: false,
};
const SMALL: EngineProfile = EngineProfile {
    batch: 16,
    queue: 32,
    cache_capacity: 705_000,
    stride: 7,
    ..QUICK
};

const LONG: RequestClass = RequestClass {
    name: "long",
    per_s: 21.4,
    latency_target_ms: 600.0,
    pause_ms: 300.0,
    deadline_ms: 8000.0,
    value: 2.0,
    rank: 1,
    idempotent: true,
    shared: &[SharedPart::new(13_300.0, 0.7, 39_900.0, 121)],
    own: Distribution::new(3_720.0, 1.1, 53_200.0),
    events: Distribution::new(24.0, 1.4, 96.0),
};
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
    own: Distribution::new(2_890.0, 1.0, 39_600.0),
    events: Distribution::new(10.4, 1.4, 42.0),
    ..LONG
};
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
    own: Distribution::new(1_110.0, 1.0, 3_790.0),
    events: Distribution::new(34.5, 0.9, 120.0),
    ..LONG
};
/// 61 a second in all; with the requests to hosts without a model a site has 77.
const CLASSES: &[RequestClass] = &[LONG, MIDDLE, SHORT];
/// 77 a second, all of them to model hosts: more than they serve with ease.
const PRESSED: &[RequestClass] = &[
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
/// 46 a second in all, for hosts with slower prefill.
const FEWER: &[RequestClass] = &[
    RequestClass {
        per_s: 12.8,
        pause_ms: 400.0,
        ..LONG
    },
    RequestClass {
        per_s: 9.9,
        pause_ms: 400.0,
        ..MIDDLE
    },
    RequestClass {
        per_s: 23.0,
        pause_ms: 400.0,
        ..SHORT
    },
];
/// 780 a second in all, over many more subjects.
const MANY: &[RequestClass] = &[
    RequestClass {
        per_s: 320.0,
        pause_ms: 200.0,
        shared: &[SharedPart::new(13_300.0, 0.7, 39_900.0, 1809)],
        events: Distribution::new(17.0, 1.4, 68.0),
        ..LONG
    },
    RequestClass {
        per_s: 252.0,
        pause_ms: 200.0,
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
        pause_ms: 200.0,
        latency_target_ms: 300.0,
        shared: &[
            SharedPart::new(210.0, 0.4, 524.0, 80),
            SharedPart::new(140.0, 0.7, 419.0, 1155),
        ],
        events: Distribution::new(24.6, 0.9, 86.0),
        ..SHORT
    },
];

const CALM: Scenario = Scenario {
    hosts: 9,
    proxies: 7,
    profile: QUICK,
    classes: CLASSES,
    surge: TrafficSurge::None,
    fault: Fault::None,
    length: RUN,
    seed: 7,
};
const AT: u64 = 12 * SECOND;
const LASTS: u64 = 5 * SECOND;
const BURST: TrafficSurge = TrafficSurge::Burst(1.5, AT, AT + LASTS);
const HOT: TrafficSurge = TrafficSurge::HotKey(0.28, AT, AT + LASTS);
const CRASH: Fault = Fault::Crash {
    hosts: 2,
    at: AT,
    lasts: LASTS,
};
const DARK: Fault = Fault::Unresponsive {
    hosts: 2,
    at: AT,
    lasts: LASTS,
};
const RELEASE: Fault = Fault::Release {
    hosts: 5,
    at: AT,
    gap: SECOND,
};
const RESTART: Fault = Fault::Restart { proxy: 3, at: AT };
const DENSE_CALM: Scenario = Scenario {
    profile: DENSE,
    classes: FEWER,
    ..CALM
};
const LARGE_AT: u64 = 6 * SECOND;
const LARGE_BURST: TrafficSurge = TrafficSurge::Burst(1.5, LARGE_AT, LARGE_AT + LASTS);
const LARGE_HOT: TrafficSurge = TrafficSurge::HotKey(0.28, LARGE_AT, LARGE_AT + LASTS);
const LARGE_DARK: Fault = Fault::Unresponsive {
    hosts: 24,
    at: LARGE_AT,
    lasts: LASTS,
};
/// Shorter, as it is large.
const LARGE: Scenario = Scenario {
    hosts: 140,
    proxies: 74,
    profile: SMALL,
    classes: MANY,
    length: 12 * SECOND,
    ..CALM
};

/// Runs all three strategies and prints their reports.
fn play(name: &str, scenario: Scenario) -> [Report; 3] {
    let ways = [Strategy::Policy, Strategy::LeastLoaded, Strategy::Random];
    let reports = ways.map(|strategy| Simulation::run(scenario, strategy));
    println!("{HEAD}");
    for (strategy, report) in ways.iter().zip(&reports) {
        println!("| {name} | {strategy:?} | {report}");
    }
    reports
}

#[rstest]
#[case("calm", CALM)]
#[case("pressed", Scenario { classes: PRESSED, ..CALM })]
#[case("burst", Scenario { surge: BURST, ..CALM })]
#[case("hot key", Scenario { surge: HOT, ..CALM })]
#[case("crash", Scenario { fault: CRASH, ..CALM })]
#[case("dark", Scenario { fault: DARK, ..CALM })]
#[case("release", Scenario { fault: RELEASE, ..CALM })]
#[case("restart", Scenario { fault: RESTART, ..CALM })]
#[case("dense calm", DENSE_CALM)]
#[case("dense burst", Scenario { surge: BURST, ..DENSE_CALM })]
#[case("dense hot key", Scenario { surge: HOT, ..DENSE_CALM })]
#[case("dense crash", Scenario { fault: CRASH, ..DENSE_CALM })]
#[case("dense dark", Scenario { fault: DARK, ..DENSE_CALM })]
#[case("dense release", Scenario { fault: RELEASE, ..DENSE_CALM })]
#[case("large calm", LARGE)]
#[case("large burst", Scenario { surge: LARGE_BURST, ..LARGE })]
#[case("large hot key", Scenario { surge: LARGE_HOT, ..LARGE })]
#[case("large dark", Scenario { fault: LARGE_DARK, ..LARGE })]
fn load_balancer_when_compared_then_beats_the_baselines(
    #[case] name: &str,
    #[case] scenario: Scenario,
) {
    let [balancer_with, least, random] = play(name, scenario);
    assert!(
        balancer_with.value(|_| true) >= least.value(|_| true),
        "{balancer_with}"
    );
    assert!(
        balancer_with.value(|_| true) >= random.value(|_| true),
        "{balancer_with}"
    );
    assert!(
        balancer_with.prefilled_again <= least.prefilled_again,
        "{balancer_with}"
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
