//! Locks: who may take one when, with which fencing token, and what a late or repeated call does.

mod support;

use coordination::{Answer, CoordinationState, Decision, LockDeadlines};
use protocol::{CoordinationChange, CoordinationRequest};
use std::time::Duration;
use support::{acquire, ms, release, renew, Primary};

#[test]
fn lock_when_held_is_given_to_nobody_else_until_its_time_is_over() {
    let mut primary = Primary::acting_since(ms(0));
    assert_eq!(
        primary.run(acquire("a", 1000, 1), ms(10)),
        Answer::Acquired { fence: 1 }
    );
    assert_eq!(
        primary.run(acquire("b", 1000, 2), ms(1010)),
        Answer::LockHeld
    );
    // The primary counts a hundredth more than the holder.
    assert_eq!(
        primary.run(acquire("b", 1000, 3), ms(1019)),
        Answer::LockHeld
    );
    assert_eq!(
        primary.run(acquire("b", 1000, 4), ms(1020)),
        Answer::Acquired { fence: 2 }
    );
}

#[test]
fn renewal_when_in_time_moves_the_end_and_changes_nothing_on_disk() {
    let mut primary = Primary::acting_since(ms(0));
    primary.run(acquire("a", 1000, 1), ms(0));
    let changes = primary.changes;
    assert_eq!(primary.run(renew("a", 1, 1000), ms(900)), Answer::Renewed);
    assert_eq!(primary.changes, changes);
    assert_eq!(
        primary.run(acquire("b", 1000, 2), ms(1800)),
        Answer::LockHeld
    );
    assert_eq!(
        primary.run(acquire("b", 1000, 3), ms(1910)),
        Answer::Acquired { fence: 2 }
    );
    assert_eq!(primary.run(renew("a", 1, 1000), ms(1911)), Answer::LockLost);
}

#[test]
fn renewal_for_a_shorter_time_does_not_shorten_the_hold() {
    let mut primary = Primary::acting_since(ms(0));
    primary.run(acquire("a", 10_000, 1), ms(0));
    primary.run(renew("a", 1, 100), ms(50));
    assert_eq!(
        primary.run(acquire("b", 100, 2), ms(9_000)),
        Answer::LockHeld
    );
}

#[test]
fn lock_when_taken_again_by_its_holder_for_a_shorter_time_keeps_the_longer_one() {
    let mut primary = Primary::acting_since(ms(0));
    primary.run(acquire("a", 10_000, 1), ms(0));
    // The answer may be lost: the holder counts on its first call.
    assert_eq!(
        primary.run(acquire("a", 100, 2), ms(50)),
        Answer::Acquired { fence: 2 }
    );
    assert_eq!(
        primary.run(acquire("b", 100, 3), ms(9_000)),
        Answer::LockHeld
    );
    primary.take_over(ms(9_000));
    assert_eq!(
        primary.run(acquire("b", 100, 4), ms(18_000)),
        Answer::LockHeld
    );
}

#[test]
fn copy_of_a_call_gets_the_same_fence_and_another_call_a_higher_one() {
    let mut primary = Primary::acting_since(ms(0));
    assert_eq!(
        primary.run(acquire("a", 1000, 7), ms(0)),
        Answer::Acquired { fence: 1 }
    );
    assert_eq!(
        primary.run(acquire("a", 1000, 7), ms(5)),
        Answer::Acquired { fence: 1 }
    );
    assert_eq!(
        primary.run(acquire("a", 1000, 8), ms(9)),
        Answer::Acquired { fence: 2 }
    );
}

#[test]
fn delayed_release_of_an_earlier_hold_ends_no_later_one() {
    let mut primary = Primary::acting_since(ms(0));
    primary.run(acquire("a", 1000, 1), ms(0));
    primary.run(acquire("a", 1000, 2), ms(10));
    assert_eq!(primary.run(release("a", 1), ms(20)), Answer::Released);
    assert_eq!(primary.run(acquire("b", 1000, 3), ms(30)), Answer::LockHeld);
    assert_eq!(primary.run(release("a", 2), ms(40)), Answer::Released);
    assert_eq!(
        primary.run(acquire("b", 1000, 4), ms(50)),
        Answer::Acquired { fence: 3 }
    );
}

#[test]
fn next_primary_counts_the_whole_time_anew() {
    let mut primary = Primary::acting_since(ms(0));
    primary.run(acquire("a", 1000, 1), ms(0));
    // Renewed in the memory of the primary that is lost: the holder counts until 1900.
    primary.run(renew("a", 1, 1000), ms(900));
    primary.take_over(ms(950));
    assert_eq!(
        primary.run(acquire("b", 1000, 2), ms(1900)),
        Answer::LockHeld
    );
    assert_eq!(
        primary.run(acquire("b", 1000, 3), ms(1960)),
        Answer::Acquired { fence: 2 }
    );
}

#[test]
fn primary_that_does_not_act_yet_gives_no_held_lock_away() {
    let mut state = CoordinationState::default();
    let change = CoordinationChange::LockAcquired {
        name: "l".into(),
        holder: "a".into(),
        hold_ms: 1,
        attempt: 1,
    };
    state.apply(&change).unwrap();
    let decision = state.decide(
        &acquire("b", 1, 2),
        &LockDeadlines::default(),
        ms(1_000_000),
    );
    assert_eq!(decision, Decision::Answer(Answer::LockHeld));
}

#[test]
fn deadline_of_a_lock_is_kept_while_its_change_is_in_flight() {
    // The state that has the lock isn't committed yet when the primary cleans up.
    let mut primary = Primary::acting_since(ms(0));
    primary.run(acquire("a", 1000, 1), ms(5_000));
    let appended = primary.state.clone();
    primary.deadlines.retain_held(&appended);
    assert_eq!(
        primary.run(acquire("b", 1000, 2), ms(5_500)),
        Answer::LockHeld
    );
}

#[test]
fn freed_lock_goes_to_the_next_one_with_a_higher_fence() {
    let mut primary = Primary::acting_since(ms(0));
    primary.run(acquire("a", 60_000, 1), ms(0));
    let free = CoordinationRequest::FreeLock { name: "l".into() };
    assert_eq!(primary.run(free.clone(), ms(10)), Answer::Released);
    assert_eq!(primary.run(free, ms(11)), Answer::Released);
    assert_eq!(primary.run(renew("a", 1, 1000), ms(12)), Answer::LockLost);
    assert_eq!(
        primary.run(acquire("b", 1000, 2), ms(13)),
        Answer::Acquired { fence: 2 }
    );
}

#[test]
fn locks_that_ended_long_ago_make_room() {
    let mut primary = Primary::acting_since(ms(0));
    let holder = "h".repeat(256);
    let mut last = Answer::Released;
    for n in 0..100_000 {
        let name = format!("{n:0>250}");
        let request = CoordinationRequest::AcquireLock {
            name,
            holder: holder.clone(),
            hold_ms: 10,
            attempt: n,
        };
        last = primary.run(request, ms(0));
        if last == Answer::Full {
            break;
        }
    }
    assert_eq!(last, Answer::Full, "the state is bounded");
    let now = Duration::from_secs(120);
    let released = primary.deadlines.due_releases(&primary.state, now);
    assert!(!released.is_empty());
    for change in &released {
        primary.state.apply(change).unwrap();
    }
    assert!(matches!(
        primary.run(acquire("b", 10, 1), now),
        Answer::Acquired { .. }
    ));
}
