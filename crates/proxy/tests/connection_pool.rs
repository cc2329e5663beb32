//! Tests of the pool of idle connections and its limits on open ones.

use proxy::upstream::pool::{idle_timeout, ConnectionPermit, ConnectionPool};
use rstest::rstest;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[derive(Debug)]
struct NumberedConnection(
    u32,
    #[allow(dead_code, reason = "held until it is dropped")] ConnectionPermit,
);

fn host(id: &str) -> Arc<str> {
    id.into()
}

fn put_idle_connection(
    pool: &mut ConnectionPool<NumberedConnection>,
    host_id: &str,
    number: u32,
    expires_at_s: u64,
) {
    let permit = pool.try_open(&host(host_id), 9).unwrap();
    pool.put_idle(
        host_id,
        NumberedConnection(number, permit),
        seconds(expires_at_s),
    );
}

#[test]
fn most_recently_used_connection_is_taken_unless_expired() {
    let mut pool = ConnectionPool::new(9);
    put_idle_connection(&mut pool, "a", 1, 10);
    put_idle_connection(&mut pool, "a", 2, 3);
    put_idle_connection(&mut pool, "a", 3, 10);
    assert_eq!(pool.take_idle(seconds(1), "a").unwrap().0, 3);
    assert_eq!(
        pool.take_idle(seconds(5), "a").unwrap().0,
        1,
        "the second one has expired"
    );
    assert!(pool.take_idle(seconds(5), "a").is_none() && pool.take_idle(seconds(5), "b").is_none());
    assert_eq!(pool.open_count(), 0);
}

#[test]
fn connections_to_a_host_are_limited() {
    let mut pool: ConnectionPool<NumberedConnection> = ConnectionPool::new(9);
    let first = pool.try_open(&host("a"), 2).unwrap();
    let second = pool.try_open(&host("a"), 2).unwrap();
    assert!(pool.try_open(&host("a"), 2).is_none());
    assert!(pool.try_open(&host("b"), 2).is_some());
    drop(first);
    assert!(pool.try_open(&host("a"), 2).is_some());
    drop(second);
    assert_eq!(pool.open_count(), 0);
}

#[test]
fn idle_connection_is_closed_at_the_total_limit() {
    let mut pool = ConnectionPool::new(2);
    put_idle_connection(&mut pool, "a", 1, 10);
    let _in_use = pool.try_open(&host("b"), 9).unwrap();
    let _opened = pool
        .try_open(&host("b"), 9)
        .expect("the idle connection is closed to make room");
    assert!(pool.take_idle(seconds(1), "a").is_none());
    assert!(
        pool.try_open(&host("b"), 9).is_none(),
        "no idle connection is left to close"
    );
    assert_eq!(pool.open_count(), 2);
}

#[test]
fn connections_to_removed_hosts_are_closed() {
    let mut pool = ConnectionPool::new(9);
    put_idle_connection(&mut pool, "a", 1, 10);
    put_idle_connection(&mut pool, "b", 2, 10);
    let returned_late = NumberedConnection(3, pool.try_open(&host("a"), 9).unwrap());
    pool.retain_hosts(&HashSet::from(["b"]));
    assert_eq!(pool.open_count(), 2);
    pool.put_idle("a", returned_late, seconds(10));
    assert!(
        pool.take_idle(seconds(1), "a").is_none(),
        "a connection returned after the removal is closed as well"
    );
    pool.close_idle("b");
    assert!(pool.take_idle(seconds(1), "b").is_none());
    assert_eq!(pool.open_count(), 0);
}

#[test]
fn expired_connections_are_closed() {
    let mut pool = ConnectionPool::new(9);
    put_idle_connection(&mut pool, "a", 1, 2);
    put_idle_connection(&mut pool, "a", 2, 10);
    pool.close_expired(seconds(5));
    assert_eq!(pool.open_count(), 1);
}

#[rstest]
#[case(None, 10_000)]
#[case(Some("timeout=5"), 4_000)]
#[case(Some("max=7, Timeout = 5"), 4_000)]
#[case(Some("timeout=1"), 500)]
#[case(Some("timeout=0"), 0)]
#[case(Some("timeout=60"), 10_000)]
#[case(Some("timeout=99999999999"), 10_000)]
#[case(Some("timeout=soon"), 10_000)]
fn idle_timeout_is_shorter_than_the_host_says(#[case] keep_alive: Option<&str>, #[case] ms: u64) {
    assert_eq!(idle_timeout(keep_alive), Duration::from_millis(ms));
}
