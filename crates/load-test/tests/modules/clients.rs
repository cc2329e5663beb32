use load_test::clients::{coordinator, next_attempt_delay, AttemptOutcome, AttemptResult};
use load_test::plan::Planned;
use load_test::scenario::Scenario;
use load_test::scenario::{Backoff, ClassTable, RepeatName};
use std::path::Path;

fn parts() -> (Scenario, Planned) {
    let text =
        "name = 'x'\nlength_s = 5\n[traffic]\n[[traffic.shape]]\nkind = 'steady'\nrate = 100\n";
    let s = Scenario::parse(text, Path::new("x.toml")).unwrap();
    let q = load_test::plan::Mixer::new(&s).query(0, Some(0), None, None);
    (
        s,
        Planned {
            retries: 2,
            backoff_us: 100_000,
            honours: true,
            ..q
        },
    )
}

fn tried(
    tries: u8,
    end: AttemptOutcome,
    retry_after_us: Option<u64>,
    elapsed_us: u64,
) -> AttemptResult {
    AttemptResult {
        tries,
        end,
        retry_after_us,
        elapsed_us,
    }
}

#[test]
fn retry_delay_follows_backoff_and_retry_after_when_an_attempt_fails() {
    let (s, q) = parts();
    let safe = &s.classes[0];
    let go = |backoff, t| next_attempt_delay(&q, safe, backoff, t);
    assert_eq!(
        go(Backoff::None, tried(1, AttemptOutcome::Refused, None, 0)),
        Some(0)
    );
    assert_eq!(
        go(Backoff::Fixed, tried(2, AttemptOutcome::GaveUp, None, 0)),
        Some(100_000)
    );
    assert_eq!(
        go(Backoff::Exp, tried(2, AttemptOutcome::Failed(504), None, 0)),
        Some(200_000)
    );
    assert_eq!(
        go(Backoff::None, tried(3, AttemptOutcome::Refused, None, 0)),
        None,
        "two further tries"
    );
    assert_eq!(
        go(
            Backoff::Fixed,
            tried(1, AttemptOutcome::Refused, Some(700_000), 0)
        ),
        Some(700_000)
    );
    assert_eq!(
        go(
            Backoff::Fixed,
            tried(1, AttemptOutcome::Served(false), None, 0)
        ),
        None
    );
    let late = tried(1, AttemptOutcome::Refused, None, 4_950_000);
    assert_eq!(
        go(Backoff::Fixed, late),
        None,
        "its whole time would be over"
    );
    let rude = Planned {
        honours: false,
        ..q.clone()
    };
    let told = tried(1, AttemptOutcome::Refused, Some(700_000), 0);
    assert_eq!(
        next_attempt_delay(&rude, safe, Backoff::Fixed, told),
        Some(100_000)
    );
}

#[test]
fn retry_is_allowed_when_the_class_permits_it() {
    let (s, q) = parts();
    let keyed = &s.classes[2];
    let go = |class, end, elapsed| {
        next_attempt_delay(&q, class, Backoff::None, tried(1, end, None, elapsed))
    };
    assert_eq!(go(keyed, AttemptOutcome::Failed(504), 1_900_000), Some(0));
    assert_eq!(go(keyed, AttemptOutcome::Failed(504), 2_100_000), None);
    assert_eq!(go(keyed, AttemptOutcome::Refused, 2_100_000), Some(0));
    let risky = ClassTable {
        repeat: RepeatName::Unsafe,
        ..keyed.clone()
    };
    assert_eq!(go(&risky, AttemptOutcome::Cut, 0), None);
    assert_eq!(go(&risky, AttemptOutcome::NoConnection, 0), Some(0));
}

#[test]
fn other_zone_is_chosen_when_all_coordinators_of_the_zone_are_down() {
    let up = [true, false, true, false];
    for draw in 0..4 {
        assert_eq!(coordinator(0, 2, &up, draw) % 2, 0);
        assert!(
            [0, 2].contains(&coordinator(1, 2, &up, draw)),
            "the other zone's"
        );
        assert_eq!(
            coordinator(1, 2, &[false; 4], draw) % 2,
            1,
            "all dead: still its own"
        );
    }
}
