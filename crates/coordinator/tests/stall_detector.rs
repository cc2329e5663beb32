//! When a connection to a host counts as stalled or lost, by times alone.

use coordinator::net::stall_detector::StallDetector;
use std::time::{Duration, Instant};

const CONNECT: Duration = Duration::from_millis(200);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn seasoned(start: Instant, took: u64) -> StallDetector {
    let detector = StallDetector::default();
    (0..50).for_each(|n| detector.record_answer(start + ms(10 * n), start + ms(10 * n + took)));
    detector
}

#[test]
fn host_when_it_has_not_answered_yet_then_nothing_is_stalled_or_lost() {
    let (detector, now) = (StallDetector::default(), Instant::now());
    assert!(
        !detector.is_stalled(Some(now), now + ms(10_000), CONNECT)
            && !detector.is_lost(Some(now), CONNECT)
    );
}

#[test]
fn stall_timeout_when_answers_come_then_it_follows_them_and_has_a_floor() {
    let start = Instant::now();
    assert_eq!(seasoned(start, 1).stall_timeout(CONNECT), Some(ms(50)));
    let slow = seasoned(start, 400).stall_timeout(CONNECT).expect("known");
    assert!((ms(400)..ms(500)).contains(&slow), "{slow:?}");
}

#[test]
fn stall_timeout_when_there_are_many_coordinators_then_its_floor_is_higher() {
    let start = Instant::now();
    for (coordinators, min_timeout) in [(3, 50), (8, 50), (80, 500)] {
        let detector = StallDetector::among(coordinators);
        (0..50).for_each(|n| detector.record_answer(start + ms(10 * n), start + ms(10 * n + 1)));
        assert_eq!(
            detector.stall_timeout(CONNECT),
            Some(ms(min_timeout)),
            "{coordinators}"
        );
    }
}

#[test]
fn calls_when_the_host_ends_connections_after_answers_then_they_spread_over_more() {
    let start = Instant::now();
    let detector = seasoned(start, 5);
    assert_eq!(detector.spread(6), 1);
    detector.record_end(start, start + ms(51), CONNECT);
    assert_eq!(detector.spread(6), 1, "let go unused");
    detector.record_end(start, start + ms(1), CONNECT);
    assert_eq!(detector.spread(6), 6);
    (0..40).for_each(|_| detector.record_answer(start, start + ms(5)));
    assert_eq!(detector.spread(6), 6, "one end in forty answers");
    (0..10).for_each(|_| detector.record_answer(start, start + ms(5)));
    assert_eq!(detector.spread(6), 1, "forgotten");
}

#[test]
fn calls_when_there_are_many_coordinators_then_they_spread_over_fewer_connections() {
    let start = Instant::now();
    for (coordinators, most) in [(3, 6), (8, 6), (24, 2), (100, 1)] {
        let detector = StallDetector::among(coordinators);
        detector.record_end(start, start, CONNECT);
        assert_eq!(detector.spread(6), most, "{coordinators}");
    }
}

#[test]
fn connection_when_silent_then_it_is_stalled_and_not_lost() {
    let start = Instant::now();
    let (detector, since) = (seasoned(start, 5), start + ms(1000));
    assert!(!detector.is_stalled(Some(since), since + ms(49), CONNECT));
    assert!(detector.is_stalled(Some(since), since + ms(51), CONNECT));
    // A host that stands still: nothing was answered that was sent later.
    assert!(!detector.is_lost(Some(since), CONNECT));
    detector.record_answer(since + ms(40), since + ms(400));
    assert!(!detector.is_lost(Some(since), CONNECT), "sent soon after");
}

#[test]
fn connection_when_a_much_later_part_was_answered_elsewhere_then_it_is_lost() {
    let start = Instant::now();
    let (detector, since) = (seasoned(start, 5), start + ms(1000));
    detector.record_answer(since + ms(60), since + ms(65));
    assert!(detector.is_lost(Some(since), CONNECT));
    assert!(!detector.is_lost(None, CONNECT), "nothing waits");
}
