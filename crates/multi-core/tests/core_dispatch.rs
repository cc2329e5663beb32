//! Which core gets a connection or a query.
#![cfg(not(feature = "loom"))]

use multi_core::core_dispatch::{CoreDispatcher, OPEN_QUERIES_MARGIN, STALL_TIMEOUT_US};

#[test]
fn query_when_another_core_has_far_fewer_open_then_it_leaves_its_own() {
    let dispatcher = CoreDispatcher::new(2, 1000);
    assert_eq!(dispatcher.core_for_query(0, None, 0), Some(0));
    for _ in 0..OPEN_QUERIES_MARGIN {
        assert!(dispatcher.try_enqueue(0, 0));
    }
    assert_eq!(
        dispatcher.core_for_query(0, None, 0),
        Some(0),
        "within the margin"
    );
    assert!(dispatcher.try_enqueue(0, 0));
    assert_eq!(
        dispatcher.core_for_query(0, None, 0),
        Some(1),
        "all clients on one core's connections"
    );
    dispatcher.query_finished(0);
    assert_eq!(dispatcher.core_for_query(0, None, 0), Some(0));
}

#[test]
fn keyed_query_when_it_comes_in_anywhere_then_it_goes_to_the_keys_core_or_the_next_live_one() {
    let dispatcher = CoreDispatcher::new(4, 1000);
    assert!((0..4).all(|here| dispatcher.core_for_query(here, Some(7), 0) == Some(3)));
    dispatcher.mark_dead(3);
    assert!((0..4).all(|here| dispatcher.core_for_query(here, Some(7), 0) == Some(0)));
}

#[test]
fn core_when_dead_or_stalled_then_it_gets_nothing_new() {
    let dispatcher = CoreDispatcher::new(2, 1000);
    assert!(dispatcher.try_enqueue(0, 1000));
    assert!(!dispatcher.is_stalled(0, 1000 + STALL_TIMEOUT_US));
    assert!(
        dispatcher.is_stalled(0, 1001 + STALL_TIMEOUT_US),
        "mail unread for too long"
    );
    assert_eq!(
        (
            dispatcher.core_for_query(0, None, 2 * STALL_TIMEOUT_US),
            dispatcher.core_for_connection(2 * STALL_TIMEOUT_US)
        ),
        (Some(1), Some(1))
    );
    dispatcher.query_dequeued(0, 2 * STALL_TIMEOUT_US);
    assert!(
        !dispatcher.is_stalled(0, 9 * STALL_TIMEOUT_US),
        "idle with nothing to read is no stall"
    );
    dispatcher.mark_dead(1);
    assert_eq!(
        (
            dispatcher.core_for_query(1, None, 9 * STALL_TIMEOUT_US),
            dispatcher.core_for_connection(9 * STALL_TIMEOUT_US)
        ),
        (Some(0), Some(0))
    );
    dispatcher.mark_dead(0);
    assert_eq!(
        (
            dispatcher.core_for_query(1, None, 0),
            dispatcher.core_for_query(1, Some(1), 0),
            dispatcher.core_for_connection(0)
        ),
        (None, None, None)
    );
}

#[test]
fn connection_when_accepted_then_it_goes_to_the_core_with_the_fewest() {
    let dispatcher = CoreDispatcher::new(3, 10);
    for _ in 0..9 {
        let c = dispatcher.core_for_connection(0).unwrap();
        dispatcher.connection_opened(c);
    }
    assert_eq!([0, 1, 2].map(|c| dispatcher.connections(c)), [3, 3, 3]);
    dispatcher.connection_closed(1);
    assert_eq!(dispatcher.core_for_connection(0), Some(1));
}

#[test]
fn mailbox_when_full_then_a_query_is_refused() {
    let dispatcher = CoreDispatcher::new(1, 2);
    assert!(
        dispatcher.try_enqueue(0, 0)
            && dispatcher.try_enqueue(0, 0)
            && !dispatcher.try_enqueue(0, 0)
    );
    dispatcher.query_finished(0);
    assert!(dispatcher.try_enqueue(0, 0));
}
