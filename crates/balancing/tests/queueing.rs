//! The policy in the queueing model, beside plain random and least-loaded. The figures are examples of ranges.
//! `cargo test -p balancing --test queueing -- --nocapture` prints the table of docs/measurements/policy.md.

mod model;
use model::engine::Figures;
use model::report::{Report, HEAD};
use model::router::Way;
use model::traffic::{Kind, Surge, RUN};
use model::world::{Setup, Trouble, World};
use model::SECOND;
use rstest::rstest;

/// Slots many, prompts read fast.
const QUICK: Figures = Figures {
    batch: 128,
    queue: 358,
    step_ms: 3.4,
    step_ms_per_slot: 0.097,
    context_ms_per_k: 0.0023,
    tokens_per_ms: 112.0,
    pairs_ms_per_m: 0.218,
    first_ms: 31.0,
    chunk: 1024,
    memory: 754_000,
    stride: 5,
    tells: true,
};
/// Prompts read at half that speed, and the load isn't told.
const DENSE: Figures = Figures {
    batch: 64,
    queue: 179,
    step_ms: 3.1,
    step_ms_per_slot: 0.0165,
    context_ms_per_k: 0.0068,
    tokens_per_ms: 62.0,
    pairs_ms_per_m: 0.367,
    first_ms: 3.7,
    chunk: 2048,
    memory: 536_000,
    stride: 6,
    tells: false,
};
const SMALL: Figures = Figures {
    batch: 16,
    queue: 32,
    memory: 705_000,
    stride: 7,
    ..QUICK
};

const LONG: Kind = Kind {
    name: "long",
    per_s: 21.4,
    aim_ms: 600.0,
    pause_ms: 300.0,
    deadline_ms: 8000.0,
    worth: 2.0,
    rank: 1,
    idempotent: true,
    shared: &[(13_300.0, 0.7, 39_900.0, 121)],
    own: (3_720.0, 1.1, 53_200.0),
    events: (24.0, 1.4, 96.0),
};
const MIDDLE: Kind = Kind {
    name: "middle",
    per_s: 16.7,
    aim_ms: 600.0,
    deadline_ms: 5000.0,
    worth: 3.0,
    rank: 0,
    idempotent: false,
    shared: &[(2_520.0, 0.4, 6_290.0, 4), (3_780.0, 0.7, 11_300.0, 63)],
    own: (2_890.0, 1.0, 39_600.0),
    events: (10.4, 1.4, 42.0),
    ..LONG
};
const SHORT: Kind = Kind {
    name: "short",
    per_s: 23.3,
    aim_ms: 400.0,
    deadline_ms: 10_000.0,
    worth: 1.0,
    rank: 2,
    idempotent: true,
    shared: &[(210.0, 0.4, 524.0, 40), (140.0, 0.7, 419.0, 132)],
    own: (1_110.0, 1.0, 3_790.0),
    events: (34.5, 0.9, 120.0),
    ..LONG
};
/// 61 a second in all; with what goes to hosts without a model a site has 77.
const KINDS: &[Kind] = &[LONG, MIDDLE, SHORT];
/// 77 a second, all of them to model hosts: more than these bear with ease.
const PRESSED: &[Kind] = &[
    Kind {
        per_s: 27.0,
        ..LONG
    },
    Kind {
        per_s: 21.0,
        ..MIDDLE
    },
    Kind {
        per_s: 29.0,
        ..SHORT
    },
];
/// 46 a second in all, for hosts that read more slowly.
const FEWER: &[Kind] = &[
    Kind {
        per_s: 12.8,
        pause_ms: 400.0,
        ..LONG
    },
    Kind {
        per_s: 9.9,
        pause_ms: 400.0,
        ..MIDDLE
    },
    Kind {
        per_s: 23.0,
        pause_ms: 400.0,
        ..SHORT
    },
];
/// 780 a second in all, over many more subjects.
const MANY: &[Kind] = &[
    Kind {
        per_s: 320.0,
        pause_ms: 200.0,
        shared: &[(13_300.0, 0.7, 39_900.0, 1809)],
        events: (17.0, 1.4, 68.0),
        ..LONG
    },
    Kind {
        per_s: 252.0,
        pause_ms: 200.0,
        aim_ms: 400.0,
        shared: &[(2_520.0, 0.4, 6_290.0, 4), (3_780.0, 0.7, 11_300.0, 952)],
        events: (7.4, 1.4, 30.0),
        ..MIDDLE
    },
    Kind {
        per_s: 204.0,
        pause_ms: 200.0,
        aim_ms: 300.0,
        shared: &[(210.0, 0.4, 524.0, 80), (140.0, 0.7, 419.0, 1155)],
        events: (24.6, 0.9, 86.0),
        ..SHORT
    },
];

const CALM: Setup = Setup {
    hosts: 9,
    proxies: 7,
    figures: QUICK,
    kinds: KINDS,
    surge: Surge::None,
    trouble: Trouble::None,
    length: RUN,
    seed: 7,
};
const AT: u64 = 12 * SECOND;
const LASTS: u64 = 5 * SECOND;
const BURST: Surge = Surge::Burst(1.5, AT, AT + LASTS);
const HOT: Surge = Surge::HotKey(0.28, AT, AT + LASTS);
const CRASH: Trouble = Trouble::Crash {
    hosts: 2,
    at: AT,
    lasts: LASTS,
};
const DARK: Trouble = Trouble::Dark {
    hosts: 2,
    at: AT,
    lasts: LASTS,
};
const RELEASE: Trouble = Trouble::Release {
    hosts: 5,
    at: AT,
    gap: SECOND,
};
const RESTART: Trouble = Trouble::Restart { proxy: 3, at: AT };
const DENSE_CALM: Setup = Setup {
    figures: DENSE,
    kinds: FEWER,
    ..CALM
};
const LARGE_AT: u64 = 6 * SECOND;
const LARGE_BURST: Surge = Surge::Burst(1.5, LARGE_AT, LARGE_AT + LASTS);
const LARGE_HOT: Surge = Surge::HotKey(0.28, LARGE_AT, LARGE_AT + LASTS);
const LARGE_DARK: Trouble = Trouble::Dark {
    hosts: 24,
    at: LARGE_AT,
    lasts: LASTS,
};
/// Shorter, as it is large.
const LARGE: Setup = Setup {
    hosts: 140,
    proxies: 74,
    figures: SMALL,
    kinds: MANY,
    length: 12 * SECOND,
    ..CALM
};

/// Runs all three ways and prints their figures.
fn play(name: &str, setup: Setup) -> [Report; 3] {
    let ways = [Way::Policy, Way::LeastLoaded, Way::Random];
    let reports = ways.map(|way| World::run(setup, way));
    println!("{HEAD}");
    for (way, report) in ways.iter().zip(&reports) {
        println!("| {name} | {way:?} | {report}");
    }
    reports
}

#[rstest]
#[case("calm", CALM)]
#[case("pressed", Setup { kinds: PRESSED, ..CALM })]
#[case("burst", Setup { surge: BURST, ..CALM })]
#[case("hot key", Setup { surge: HOT, ..CALM })]
#[case("crash", Setup { trouble: CRASH, ..CALM })]
#[case("dark", Setup { trouble: DARK, ..CALM })]
#[case("release", Setup { trouble: RELEASE, ..CALM })]
#[case("restart", Setup { trouble: RESTART, ..CALM })]
#[case("dense calm", DENSE_CALM)]
#[case("dense burst", Setup { surge: BURST, ..DENSE_CALM })]
#[case("dense hot key", Setup { surge: HOT, ..DENSE_CALM })]
#[case("dense crash", Setup { trouble: CRASH, ..DENSE_CALM })]
#[case("dense dark", Setup { trouble: DARK, ..DENSE_CALM })]
#[case("dense release", Setup { trouble: RELEASE, ..DENSE_CALM })]
#[case("large calm", LARGE)]
#[case("large burst", Setup { surge: LARGE_BURST, ..LARGE })]
#[case("large hot key", Setup { surge: LARGE_HOT, ..LARGE })]
#[case("large dark", Setup { trouble: LARGE_DARK, ..LARGE })]
fn policy_beats_the_baselines(#[case] name: &str, #[case] setup: Setup) {
    let [policy, least, random] = play(name, setup);
    assert!(policy.worth(|_| true) >= least.worth(|_| true), "{policy}");
    assert!(policy.worth(|_| true) >= random.worth(|_| true), "{policy}");
    assert!(policy.read_again <= least.read_again, "{policy}");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let short = Setup {
        length: 3 * SECOND,
        ..CALM
    };
    let [one, other] = [0, 1].map(|_| World::run(short, Way::Policy).to_string());
    assert_eq!(one, other);
    assert_ne!(
        one,
        World::run(Setup { seed: 8, ..short }, Way::Policy).to_string()
    );
}
