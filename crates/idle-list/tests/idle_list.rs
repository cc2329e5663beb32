//! Setting, consuming, expiring and removing the entries of the idle list.

use idle_list::{IdleList, DEFAULT_MAX_AGE};
use rstest::rstest;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn entry_when_taken_then_consumed_and_record_stays() {
    let mut list = IdleList::new(DEFAULT_MAX_AGE);
    list.set_entries(ms(0), 7, 1);
    assert!(list.take_entry(ms(1), 7));
    assert!(!list.take_entry(ms(1), 7));
    assert!(
        list.has_record(ms(1), 7),
        "the record of a server without entries stays"
    );
    assert_eq!(list.idle_servers(ms(1)).count(), 0);
}

#[test]
fn several_entries_when_taken_then_each_serves_one_request() {
    let mut list = IdleList::new(DEFAULT_MAX_AGE);
    list.set_entries(ms(0), 'a', 3);
    assert_eq!((0..5).filter(|_| list.take_entry(ms(1), 'a')).count(), 3);
}

#[rstest]
#[case(2000, true)]
#[case(2001, false)]
fn records_when_older_than_max_age_then_expired(#[case] age_ms: u64, #[case] valid: bool) {
    let mut list = IdleList::new(DEFAULT_MAX_AGE);
    list.set_entries(ms(0), 1, 1);
    assert_eq!(list.idle_servers(ms(age_ms)).count() == 1, valid);
    assert_eq!(list.has_record(ms(age_ms), 1), valid);
    assert_eq!(list.take_entry(ms(age_ms), 1), valid);
}

#[test]
fn entries_when_set_to_zero_then_record_stays() {
    let mut list = IdleList::new(DEFAULT_MAX_AGE);
    list.set_entries(ms(0), 1, 2);
    list.set_entries(ms(5), 1, 0);
    assert_eq!(list.entries(ms(6), 1), 0);
    assert!(list.has_record(ms(6), 1));
}

#[test]
fn server_when_removed_then_has_no_record() {
    let mut list = IdleList::new(DEFAULT_MAX_AGE);
    list.set_entries(ms(0), 1, 2);
    list.remove(1);
    assert!(!list.has_record(ms(0), 1));
}

#[test]
fn records_when_made_before_the_given_time_then_removed() {
    let mut list = IdleList::new(DEFAULT_MAX_AGE);
    list.set_entries(ms(0), 1, 1);
    list.set_entries(ms(900), 2, 1);
    list.remove_recorded_before(ms(900));
    assert_eq!(list.idle_servers(ms(900)).collect::<Vec<_>>(), [2]);
}
