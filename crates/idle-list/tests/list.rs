//! The idle list by itself.

use idle_list::{IdleList, ENTRY_AGE};
use rstest::rstest;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn an_entry_is_struck_off_once() {
    let mut list = IdleList::new(ENTRY_AGE);
    list.list(ms(0), 7, 1);
    assert!(list.strike(ms(1), 7));
    assert!(!list.strike(ms(1), 7));
    assert!(list.on_record(ms(1), 7), "struck off, not forgotten");
    assert_eq!(list.idle(ms(1)).count(), 0);
}

#[test]
fn several_entries_last_for_as_many_requests() {
    let mut list = IdleList::new(ENTRY_AGE);
    list.list(ms(0), 'a', 3);
    assert_eq!((0..5).filter(|_| list.strike(ms(1), 'a')).count(), 3);
}

#[rstest]
#[case(2000, true)]
#[case(2001, false)]
fn entries_expire(#[case] at: u64, #[case] listed: bool) {
    let mut list = IdleList::new(ENTRY_AGE);
    list.list(ms(0), 1, 1);
    assert_eq!(list.idle(ms(at)).count() == 1, listed);
    assert_eq!(list.on_record(ms(at), 1), listed);
    assert_eq!(list.strike(ms(at), 1), listed);
}

#[test]
fn a_busy_report_removes_the_entry_and_stays_on_record() {
    let mut list = IdleList::new(ENTRY_AGE);
    list.list(ms(0), 1, 2);
    list.list(ms(5), 1, 0);
    assert_eq!(list.entries(ms(6), 1), 0);
    assert!(list.on_record(ms(6), 1));
}

#[test]
fn a_removed_server_is_off_record() {
    let mut list = IdleList::new(ENTRY_AGE);
    list.list(ms(0), 1, 2);
    list.remove(1);
    assert!(!list.on_record(ms(0), 1));
}

#[test]
fn what_is_older_than_a_stall_is_dropped() {
    let mut list = IdleList::new(ENTRY_AGE);
    list.list(ms(0), 1, 1);
    list.list(ms(900), 2, 1);
    list.drop_before(ms(900));
    assert_eq!(list.idle(ms(900)).collect::<Vec<_>>(), [2]);
}
