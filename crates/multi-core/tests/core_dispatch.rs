//! Assignment of connections and queries to cores.
#![cfg(not(feature = "loom"))]

use multi_core::core_dispatch::{CoreDispatcher, OPEN_QUERIES_MARGIN, STALL_TIMEOUT_US};

#[test]
fn query_when_another_core_has_far_fewer_open_then_it_moves_there() {
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
fn keyed_query_from_any_core_goes_to_the_keys_core_or_the_next_live_one() {
    let dispatcher = CoreDispatcher::new(4, 1000);
    assert!((0..4).all(|local| dispatcher.core_for_query(local, Some(7), 0) == Some(3)));
    dispatcher.mark_dead(3);
    assert!((0..4).all(|local| dispatcher.core_for_query(local, Some(7), 0) == Some(0)));
}

#[test]
fn core_when_dead_or_stalled_then_no_connection_or_query_is_assigned() {
    let dispatcher = CoreDispatcher::new(2, 1000);
    assert!(dispatcher.try_enqueue(0, 1000));
    assert!(!dispatcher.is_stalled(0, 1000 + STALL_TIMEOUT_US));
    assert!(
        dispatcher.is_stalled(0, 1001 + STALL_TIMEOUT_US),
        "a queued query was not taken in time"
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
        "a core with an empty mailbox is not stalled"
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
fn connection_when_accepted_then_it_goes_to_the_core_with_the_fewest_connections() {
    let dispatcher = CoreDispatcher::new(3, 10);
    for _ in 0..9 {
        let core = dispatcher.core_for_connection(0).unwrap();
        dispatcher.connection_opened(core);
    }
    assert_eq!(
        [0, 1, 2].map(|core| dispatcher.connections(core)),
        [3, 3, 3]
    );
    dispatcher.connection_closed(1);
    assert_eq!(dispatcher.core_for_connection(0), Some(1));
}

#[test]
fn core_when_at_its_limit_of_open_queries_then_a_query_is_refused() {
    let dispatcher = CoreDispatcher::new(1, 2);
    assert!(
        dispatcher.try_enqueue(0, 0)
            && dispatcher.try_enqueue(0, 0)
            && !dispatcher.try_enqueue(0, 0)
    );
    dispatcher.query_finished(0);
    assert!(dispatcher.try_enqueue(0, 0));
}
