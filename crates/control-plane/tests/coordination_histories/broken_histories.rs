//! Tests of the checker: each kind of violation is found in a history that contains it.

use crate::checker::{History, Hold, IssuedNumber, Put, PutOutcome, Read, WatchAnswer};

fn hold(holder: &str, fence: u64, from: u64, until: u64) -> Hold {
    Hold {
        lock: "l".into(),
        holder: holder.into(),
        fence,
        sent: from - 1,
        from,
        until,
    }
}

fn put(value: &str, sent: u64, outcome: PutOutcome) -> Put {
    Put {
        cell: "g.a".into(),
        value: value.into(),
        sent,
        answered: sent + 1,
        outcome,
    }
}

fn valid_history() -> History {
    let events = vec![("g.a".into(), "x".into(), 1), ("g.a".into(), "y".into(), 2)];
    History {
        puts: vec![
            put("x", 10, PutOutcome::Acknowledged(1)),
            put("y", 20, PutOutcome::Acknowledged(2)),
        ],
        events: [("g.".to_owned(), events)].into(),
        ..History::default()
    }
}

fn assert_finds(history: &History, violation: &str) {
    let found = history.violations();
    assert!(found.iter().any(|v| v.contains(violation)), "{found:?}");
}

#[test]
fn valid_history_has_no_violation() {
    assert_eq!(valid_history().violations(), Vec::<String>::new());
}

#[test]
fn two_holders_are_found() {
    let holds = vec![hold("a", 1, 10, 30), hold("b", 2, 29, 50)];
    assert_finds(
        &History {
            holds,
            ..valid_history()
        },
        "two holders",
    );
}

#[test]
fn fence_that_does_not_rise_is_found() {
    let holds = vec![hold("a", 2, 10, 20), hold("b", 2, 30, 50)];
    assert_finds(
        &History {
            holds,
            ..valid_history()
        },
        "fence not above",
    );
}

#[test]
fn repeated_number_is_found() {
    let issued = |sent| IssuedNumber {
        name: "n".into(),
        value: 4,
        sent,
        answered: sent + 1,
    };
    let numbers = vec![issued(1), issued(5)];
    assert_finds(
        &History {
            numbers,
            ..valid_history()
        },
        "number given twice",
    );
}

#[test]
fn stale_read_is_found() {
    let read = |revision, value: &str| Read {
        cell: "g.a".into(),
        value: value.into(),
        revision,
        sent: 22,
    };
    let stale = vec![read(1, "x")];
    assert_finds(
        &History {
            reads: stale,
            ..valid_history()
        },
        "stale read",
    );
    let never_put = vec![read(2, "z")];
    assert_finds(
        &History {
            reads: never_put,
            ..valid_history()
        },
        "nobody put",
    );
}

#[test]
fn second_revision_of_a_repeated_put_is_found() {
    let mut broken = valid_history();
    broken.puts.push(put("x", 30, PutOutcome::Acknowledged(3)));
    assert_finds(&broken, "acknowledged put lost");
}

#[test]
fn rejected_put_that_took_effect_is_found() {
    let mut broken = valid_history();
    broken.puts[1].outcome = PutOutcome::Rejected(Some(1));
    assert_finds(&broken, "rejected put shown");
}

#[test]
fn skipped_event_is_found() {
    let mut broken = valid_history();
    let answer = WatchAnswer {
        after: 0,
        revision: 2,
        events: vec![("g.a".into(), "y".into(), 2)],
    };
    broken.watches.insert("g.".into(), vec![answer]);
    assert_finds(&broken, "watch of g.");
}
