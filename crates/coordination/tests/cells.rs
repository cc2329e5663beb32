//! Cells: revisions, conflicts, and the answers to repeated puts.

mod support;

use coordination::{Answer, HistoryRetention, MAX_STATE_BYTES};
use protocol::CoordinationChange;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use support::{ms, put, Primary};

const NOW: Duration = ms(0);

fn trim_history(primary: &mut Primary, floor: u64) {
    let group = "g.".into();
    let change = CoordinationChange::HistoryTrimmed { group, floor };
    primary.state.apply(&change).unwrap();
}

#[test]
fn cells_of_a_group_share_one_revision_counter() {
    let mut primary = Primary::acting_since(NOW);
    assert_eq!(
        primary.handle(put("g.a", "1", Some(0)), NOW),
        Answer::Put { revision: 1 }
    );
    assert_eq!(
        primary.handle(put("g.b", "2", Some(0)), NOW),
        Answer::Put { revision: 2 }
    );
    assert_eq!(
        primary.handle(put("h.a", "3", Some(0)), NOW),
        Answer::Put { revision: 1 }
    );
    assert_eq!(
        primary.handle(put("g.a", "4", Some(1)), NOW),
        Answer::Put { revision: 3 }
    );
    assert_eq!(
        primary.handle(put("g.b", "5", None), NOW),
        Answer::Put { revision: 4 }
    );
}

#[test]
fn repeated_put_returns_its_first_revision() {
    let mut primary = Primary::acting_since(NOW);
    primary.handle(put("g.a", "1", Some(0)), NOW);
    primary.handle(put("g.a", "2", Some(1)), NOW);
    primary.handle(put("g.a", "3", None), NOW);
    primary.handle(put("g.a", "4", Some(3)), NOW);
    assert_eq!(
        primary.handle(put("g.a", "1", Some(0)), NOW),
        Answer::Put { revision: 1 }
    );
    assert_eq!(
        primary.handle(put("g.a", "2", Some(1)), NOW),
        Answer::Put { revision: 2 }
    );
    assert_eq!(
        primary.handle(put("g.a", "3", None), NOW),
        Answer::Put { revision: 3 }
    );
    assert_eq!(primary.change_count, 4);
}

#[rstest]
#[case::another_value_was_put("other", Some(0), Answer::Conflict { revision: 2 })]
#[case::revision_of_another_cell("b", Some(3), Answer::Conflict { revision: 2 })]
#[case::revision_not_reached_yet("later", Some(9), Answer::Forgotten)]
fn put_with_another_expected_revision_is_rejected(
    #[case] value: &str,
    #[case] expected: Option<u64>,
    #[case] answer: Answer,
) {
    let mut primary = Primary::acting_since(NOW);
    primary.handle(put("g.a", "1", Some(0)), NOW);
    primary.handle(put("g.a", "2", Some(1)), NOW);
    primary.handle(put("g.b", "3", Some(0)), NOW);
    assert_eq!(primary.handle(put("g.a", value, expected), NOW), answer);
}

#[test]
fn conflict_on_a_missing_cell_reports_revision_0() {
    let mut primary = Primary::acting_since(NOW);
    primary.handle(put("g.a", "1", Some(0)), NOW);
    let conflict = primary.handle(put("g.b", "2", Some(1)), NOW);
    assert_eq!(conflict, Answer::Conflict { revision: 0 });
}

#[test]
fn repeated_put_before_the_history_is_not_answered_falsely() {
    let mut primary = Primary::acting_since(NOW);
    for n in 0..5 {
        primary.handle(put("g.a", &n.to_string(), Some(n)), NOW);
    }
    trim_history(&mut primary, 4);
    // The cell itself still shows its latest put. Nothing is known of earlier puts.
    assert_eq!(
        primary.handle(put("g.a", "4", Some(4)), NOW),
        Answer::Put { revision: 5 }
    );
    assert_eq!(
        primary.handle(put("g.a", "1", Some(1)), NOW),
        Answer::Forgotten
    );
}

#[test]
fn watch_returns_all_puts_after_a_revision_until_they_are_trimmed() {
    let mut primary = Primary::acting_since(NOW);
    let group: Arc<str> = "g.".into();
    for n in 0..5 {
        primary.handle(put(&format!("g.{n}"), &n.to_string(), Some(0)), NOW);
    }
    let Some(Answer::Events { events, revision }) = primary.state.watch(&group, 2) else {
        panic!("there are puts after revision 2");
    };
    let revisions: Vec<u64> = events.iter().map(|event| event.revision).collect();
    assert_eq!((revisions, revision), (vec![3, 4, 5], 5));
    assert_eq!(
        primary.state.watch(&group, 5),
        None,
        "the watch waits for a put"
    );
    let current_revision_only = Answer::Events {
        events: Vec::new(),
        revision: 5,
    };
    assert_eq!(primary.state.watch(&group, 0), Some(current_revision_only));
    trim_history(&mut primary, 3);
    assert_eq!(primary.state.watch(&group, 2), Some(Answer::HistoryGone));
    assert!(matches!(
        primary.state.watch(&group, 3),
        Some(Answer::Events { .. })
    ));
}

#[test]
fn watch_answers_are_bounded_and_the_next_one_continues() {
    let mut primary = Primary::acting_since(NOW);
    let value = "v".repeat(60_000);
    for n in 0..10 {
        primary.handle(put(&format!("g.{n}"), &format!("{value}{n}"), Some(0)), NOW);
    }
    let group: Arc<str> = "g.".into();
    let (mut after, mut reported, mut answers) = (1, 1, 0);
    while let Some(Answer::Events { events, revision }) = primary.state.watch(&group, after) {
        assert!(events.iter().map(|event| event.value.len()).sum::<usize>() <= 256 << 10);
        reported += events.len();
        answers += 1;
        after = revision;
    }
    assert_eq!(reported, 10);
    assert!(answers > 1);
}

#[test]
fn history_is_kept_for_about_the_retention_time() {
    let retention = Duration::from_secs(30);
    let mut primary = Primary::acting_since(NOW);
    let mut retention_policy = HistoryRetention::new(retention);
    let mut put_seconds = Vec::new();
    for second in 0..90 {
        let now = Duration::from_secs(second);
        for n in 0..10 {
            primary.handle(put("g.a", &format!("{second} {n}"), None), now);
            put_seconds.push(second);
        }
        for change in retention_policy.due_trims(&primary.state, now) {
            primary.state.apply(&change).unwrap();
        }
        let floor = primary.state.group("g.").unwrap().floor();
        if let Some(newest_dropped) = floor.checked_sub(1) {
            assert!(put_seconds[newest_dropped as usize] + 30 <= second);
        }
    }
    let floor = primary.state.group("g.").unwrap().floor();
    assert!(floor >= 10 * 50, "floor is {floor}");
}

#[test]
fn full_state_rejects_puts_until_its_history_is_trimmed() {
    let mut primary = Primary::acting_since(NOW);
    let value = "v".repeat(60_000);
    let mut was_full = false;
    for n in 0..100 {
        let answer = primary.handle(put("g.a", &format!("{value}{n}"), None), NOW);
        was_full |= answer == Answer::Full;
    }
    assert!(was_full);
    assert!(primary.state.bytes() <= MAX_STATE_BYTES);
    let revision = primary.state.group_revision("g.");
    trim_history(&mut primary, revision);
    assert!(matches!(
        primary.handle(put("g.a", "x", None), NOW),
        Answer::Put { .. }
    ));
}
