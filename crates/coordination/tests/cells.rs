//! Cells: revisions, conflicts, and what a put that arrives again is told.

mod support;

use coordination::{Answer, HistoryRetention, MAX_STATE_BYTES};
use protocol::CoordinationChange;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use support::{ms, put, Primary};

const NOW: Duration = ms(0);

fn trim(primary: &mut Primary, floor: u64) {
    let group = "g.".into();
    let change = CoordinationChange::HistoryTrimmed { group, floor };
    primary.state.apply(&change).unwrap();
}

#[test]
fn group_shares_one_count_of_revisions() {
    let mut primary = Primary::acting_since(NOW);
    assert_eq!(
        primary.run(put("g.a", "1", Some(0)), NOW),
        Answer::Put { revision: 1 }
    );
    assert_eq!(
        primary.run(put("g.b", "2", Some(0)), NOW),
        Answer::Put { revision: 2 }
    );
    assert_eq!(
        primary.run(put("h.a", "3", Some(0)), NOW),
        Answer::Put { revision: 1 }
    );
    assert_eq!(
        primary.run(put("g.a", "4", Some(1)), NOW),
        Answer::Put { revision: 3 }
    );
    assert_eq!(
        primary.run(put("g.b", "5", None), NOW),
        Answer::Put { revision: 4 }
    );
}

#[test]
fn put_when_it_arrives_again_gets_its_first_revision() {
    let mut primary = Primary::acting_since(NOW);
    primary.run(put("g.a", "1", Some(0)), NOW);
    primary.run(put("g.a", "2", Some(1)), NOW);
    primary.run(put("g.a", "3", None), NOW);
    primary.run(put("g.a", "4", Some(3)), NOW);
    assert_eq!(
        primary.run(put("g.a", "1", Some(0)), NOW),
        Answer::Put { revision: 1 }
    );
    assert_eq!(
        primary.run(put("g.a", "2", Some(1)), NOW),
        Answer::Put { revision: 2 }
    );
    assert_eq!(
        primary.run(put("g.a", "3", None), NOW),
        Answer::Put { revision: 3 }
    );
    assert_eq!(primary.changes, 4);
}

#[rstest]
#[case::another_value_was_put("other", Some(0), Answer::Conflict { revision: 2 })]
#[case::of_another_cell("b", Some(3), Answer::Conflict { revision: 2 })]
#[case::revision_that_may_come("later", Some(9), Answer::Forgotten)]
fn put_when_the_cell_has_another_revision_is_told_so(
    #[case] value: &str,
    #[case] expected: Option<u64>,
    #[case] answer: Answer,
) {
    let mut primary = Primary::acting_since(NOW);
    primary.run(put("g.a", "1", Some(0)), NOW);
    primary.run(put("g.a", "2", Some(1)), NOW);
    primary.run(put("g.b", "3", Some(0)), NOW);
    assert_eq!(primary.run(put("g.a", value, expected), NOW), answer);
}

#[test]
fn conflict_of_a_cell_that_does_not_exist_names_revision_0() {
    let mut primary = Primary::acting_since(NOW);
    primary.run(put("g.a", "1", Some(0)), NOW);
    let conflict = primary.run(put("g.b", "2", Some(1)), NOW);
    assert_eq!(conflict, Answer::Conflict { revision: 0 });
}

#[test]
fn old_put_when_its_time_is_not_kept_gets_no_false_answer() {
    let mut primary = Primary::acting_since(NOW);
    for n in 0..5 {
        primary.run(put("g.a", &n.to_string(), Some(n)), NOW);
    }
    trim(&mut primary, 4);
    // The cell itself tells of its latest put; of those before nothing is known any more.
    assert_eq!(
        primary.run(put("g.a", "4", Some(4)), NOW),
        Answer::Put { revision: 5 }
    );
    assert_eq!(
        primary.run(put("g.a", "1", Some(1)), NOW),
        Answer::Forgotten
    );
}

#[test]
fn watch_tells_all_puts_above_a_revision_until_they_are_not_kept() {
    let mut primary = Primary::acting_since(NOW);
    let group: Arc<str> = "g.".into();
    for n in 0..5 {
        primary.run(put(&format!("g.{n}"), &n.to_string(), Some(0)), NOW);
    }
    let Some(Answer::Events { events, revision }) = primary.state.watch(&group, 2) else {
        panic!("there are puts above 2");
    };
    let revisions: Vec<u64> = events.iter().map(|event| event.revision).collect();
    assert_eq!((revisions, revision), (vec![3, 4, 5], 5));
    assert_eq!(primary.state.watch(&group, 5), None, "it waits");
    let present = Answer::Events {
        events: Vec::new(),
        revision: 5,
    };
    assert_eq!(primary.state.watch(&group, 0), Some(present));
    trim(&mut primary, 3);
    assert_eq!(primary.state.watch(&group, 2), Some(Answer::HistoryGone));
    assert!(matches!(
        primary.state.watch(&group, 3),
        Some(Answer::Events { .. })
    ));
}

#[test]
fn answer_to_a_watch_is_bounded_and_the_next_one_goes_on() {
    let mut primary = Primary::acting_since(NOW);
    let value = "v".repeat(60_000);
    for n in 0..10 {
        primary.run(put(&format!("g.{n}"), &format!("{value}{n}"), Some(0)), NOW);
    }
    let group: Arc<str> = "g.".into();
    let (mut after, mut told, mut answers) = (1, 1, 0);
    while let Some(Answer::Events { events, revision }) = primary.state.watch(&group, after) {
        assert!(events.iter().map(|e| e.value.len()).sum::<usize>() <= 256 << 10);
        told += events.len();
        answers += 1;
        after = revision;
    }
    assert_eq!(told, 10);
    assert!(answers > 1);
}

#[test]
fn history_is_kept_for_the_retention_time_and_not_much_longer() {
    let retention = Duration::from_secs(30);
    let mut primary = Primary::acting_since(NOW);
    let mut trims = HistoryRetention::new(retention);
    let mut put_at = Vec::new();
    for second in 0..90 {
        let now = Duration::from_secs(second);
        for n in 0..10 {
            primary.run(put("g.a", &format!("{second} {n}"), None), now);
            put_at.push(second);
        }
        for change in trims.due_trims(&primary.state, now) {
            primary.state.apply(&change).unwrap();
        }
        let floor = primary.state.group("g.").unwrap().floor();
        if let Some(newest_dropped) = floor.checked_sub(1) {
            assert!(put_at[newest_dropped as usize] + 30 <= second);
        }
    }
    let floor = primary.state.group("g.").unwrap().floor();
    assert!(floor >= 10 * 50, "{floor}");
}

#[test]
fn state_when_full_takes_no_more_and_old_puts_make_room() {
    let mut primary = Primary::acting_since(NOW);
    let value = "v".repeat(60_000);
    let mut full = false;
    for n in 0..100 {
        let answer = primary.run(put("g.a", &format!("{value}{n}"), None), NOW);
        full |= answer == Answer::Full;
    }
    assert!(full);
    assert!(primary.state.bytes() <= MAX_STATE_BYTES);
    let revision = primary.state.group_revision("g.");
    trim(&mut primary, revision);
    assert!(matches!(
        primary.run(put("g.a", "x", None), NOW),
        Answer::Put { .. }
    ));
}
