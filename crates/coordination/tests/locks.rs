//! Locks: who may acquire one and when, its fencing tokens, and the effect of late or repeated calls.

mod support;

use coordination::{Answer, CoordinationState, Decision, LockDeadlines};
use protocol::{CoordinationChange, CoordinationRequest};
use std::time::Duration;
use support::{acquire, ms, release, renew, Primary};

#[test]
fn held_lock_is_denied_to_others_until_it_expires() {
    let mut primary = Primary::acting_since(ms(0));
    assert_eq!(
        primary.handle(acquire("a", 1000, 1), ms(10)),
        Answer::Acquired { fence: 1 }
    );
    assert_eq!(
        primary.handle(acquire("b", 1000, 2), ms(1010)),
        Answer::LockHeld
    );
    // The primary's deadline is later than the holder's by 1 % of the hold time.
    assert_eq!(
        primary.handle(acquire("b", 1000, 3), ms(1019)),
        Answer::LockHeld
    );
    assert_eq!(
        primary.handle(acquire("b", 1000, 4), ms(1020)),
        Answer::Acquired { fence: 2 }
    );
}

#[test]
fn renewal_before_expiry_extends_the_lock_without_a_change() {
    let mut primary = Primary::acting_since(ms(0));
    primary.handle(acquire("a", 1000, 1), ms(0));
    let change_count = primary.change_count;
    assert_eq!(
        primary.handle(renew("a", 1, 1000), ms(900)),
        Answer::Renewed
    );
    assert_eq!(primary.change_count, change_count);
    assert_eq!(
        primary.handle(acquire("b", 1000, 2), ms(1800)),
        Answer::LockHeld
    );
    assert_eq!(
        primary.handle(acquire("b", 1000, 3), ms(1910)),
        Answer::Acquired { fence: 2 }
    );
    assert_eq!(
        primary.handle(renew("a", 1, 1000), ms(1911)),
        Answer::LockLost
    );
}

#[test]
fn renewal_for_a_shorter_time_keeps_the_longer_one() {
    let mut primary = Primary::acting_since(ms(0));
    primary.handle(acquire("a", 10_000, 1), ms(0));
    primary.handle(renew("a", 1, 100), ms(50));
    assert_eq!(
        primary.handle(acquire("b", 100, 2), ms(9_000)),
        Answer::LockHeld
    );
}

#[test]
fn reacquisition_for_a_shorter_time_keeps_the_longer_one() {
    let mut primary = Primary::acting_since(ms(0));
    primary.handle(acquire("a", 10_000, 1), ms(0));
    // The answer to the second call may be lost, so the holder may still count on the first one.
    assert_eq!(
        primary.handle(acquire("a", 100, 2), ms(50)),
        Answer::Acquired { fence: 2 }
    );
    assert_eq!(
        primary.handle(acquire("b", 100, 3), ms(9_000)),
        Answer::LockHeld
    );
    primary.take_over(ms(9_000));
    assert_eq!(
        primary.handle(acquire("b", 100, 4), ms(18_000)),
        Answer::LockHeld
    );
}

#[test]
fn repeated_call_gets_the_same_fence_and_a_new_call_a_higher_one() {
    let mut primary = Primary::acting_since(ms(0));
    assert_eq!(
        primary.handle(acquire("a", 1000, 7), ms(0)),
        Answer::Acquired { fence: 1 }
    );
    assert_eq!(
        primary.handle(acquire("a", 1000, 7), ms(5)),
        Answer::Acquired { fence: 1 }
    );
    assert_eq!(
        primary.handle(acquire("a", 1000, 8), ms(9)),
        Answer::Acquired { fence: 2 }
    );
}

#[test]
fn delayed_release_of_an_earlier_hold_does_not_end_a_later_one() {
    let mut primary = Primary::acting_since(ms(0));
    primary.handle(acquire("a", 1000, 1), ms(0));
    primary.handle(acquire("a", 1000, 2), ms(10));
    assert_eq!(primary.handle(release("a", 1), ms(20)), Answer::Released);
    assert_eq!(
        primary.handle(acquire("b", 1000, 3), ms(30)),
        Answer::LockHeld
    );
    assert_eq!(primary.handle(release("a", 2), ms(40)), Answer::Released);
    assert_eq!(
        primary.handle(acquire("b", 1000, 4), ms(50)),
        Answer::Acquired { fence: 3 }
    );
}

#[test]
fn new_primary_counts_the_full_hold_time_from_its_start() {
    let mut primary = Primary::acting_since(ms(0));
    primary.handle(acquire("a", 1000, 1), ms(0));
    // The renewal is known only to the lost primary. The holder counts on the lock until 1900 ms.
    primary.handle(renew("a", 1, 1000), ms(900));
    primary.take_over(ms(950));
    assert_eq!(
        primary.handle(acquire("b", 1000, 2), ms(1900)),
        Answer::LockHeld
    );
    assert_eq!(
        primary.handle(acquire("b", 1000, 3), ms(1960)),
        Answer::Acquired { fence: 2 }
    );
}

#[test]
fn primary_that_is_not_acting_yet_treats_no_lock_as_expired() {
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
fn deadline_is_kept_while_the_change_of_its_lock_is_uncommitted() {
    // The primary may clean up before the state that holds the lock is committed.
    let mut primary = Primary::acting_since(ms(0));
    primary.handle(acquire("a", 1000, 1), ms(5_000));
    let appended_state = primary.state.clone();
    primary.deadlines.retain_held(&appended_state);
    assert_eq!(
        primary.handle(acquire("b", 1000, 2), ms(5_500)),
        Answer::LockHeld
    );
}

#[test]
fn freed_lock_goes_to_the_next_holder_with_a_higher_fence() {
    let mut primary = Primary::acting_since(ms(0));
    primary.handle(acquire("a", 60_000, 1), ms(0));
    let free = CoordinationRequest::FreeLock { name: "l".into() };
    assert_eq!(primary.handle(free.clone(), ms(10)), Answer::Released);
    assert_eq!(primary.handle(free, ms(11)), Answer::Released);
    assert_eq!(
        primary.handle(renew("a", 1, 1000), ms(12)),
        Answer::LockLost
    );
    assert_eq!(
        primary.handle(acquire("b", 1000, 2), ms(13)),
        Answer::Acquired { fence: 2 }
    );
}

#[test]
fn locks_that_expired_long_ago_are_released_when_memory_is_short() {
    let mut primary = Primary::acting_since(ms(0));
    let holder = "h".repeat(256);
    let mut last_answer = Answer::Released;
    for n in 0..100_000 {
        let name = format!("{n:0>250}");
        let request = CoordinationRequest::AcquireLock {
            name,
            holder: holder.clone(),
            hold_ms: 10,
            attempt: n,
        };
        last_answer = primary.handle(request, ms(0));
        if last_answer == Answer::Full {
            break;
        }
    }
    assert_eq!(
        last_answer,
        Answer::Full,
        "the size of the state is bounded"
    );
    let now = Duration::from_secs(120);
    let released = primary.deadlines.due_releases(&primary.state, now);
    assert!(!released.is_empty());
    for change in &released {
        primary.state.apply(change).unwrap();
    }
    assert!(matches!(
        primary.handle(acquire("b", 10, 1), now),
        Answer::Acquired { .. }
    ));
}
