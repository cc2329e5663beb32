//! Each kind of violation is found in a history that has it.

use crate::checker::{Given, History, Hold, Put, PutOutcome, Read, Watched};

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

fn history() -> History {
    let events = vec![("g.a".into(), "x".into(), 1), ("g.a".into(), "y".into(), 2)];
    History {
        puts: vec![
            put("x", 10, PutOutcome::Done(1)),
            put("y", 20, PutOutcome::Done(2)),
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
fn sound_history_has_no_violation() {
    assert_eq!(history().violations(), Vec::<String>::new());
}

#[test]
fn two_holders_are_found() {
    let holds = vec![hold("a", 1, 10, 30), hold("b", 2, 29, 50)];
    assert_finds(&History { holds, ..history() }, "two holders");
}

#[test]
fn fence_that_was_not_raised_is_found() {
    let holds = vec![hold("a", 2, 10, 20), hold("b", 2, 30, 50)];
    assert_finds(&History { holds, ..history() }, "fence not above");
}

#[test]
fn repeated_number_is_found() {
    let given = |sent| Given {
        name: "n".into(),
        value: 4,
        sent,
        answered: sent + 1,
    };
    let numbers = vec![given(1), given(5)];
    assert_finds(
        &History {
            numbers,
            ..history()
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
            ..history()
        },
        "stale read",
    );
    let unknown = vec![read(2, "z")];
    assert_finds(
        &History {
            reads: unknown,
            ..history()
        },
        "nobody put",
    );
}

#[test]
fn new_revision_of_a_put_that_arrives_again_is_found() {
    let mut broken = history();
    broken.puts.push(put("x", 30, PutOutcome::Done(3)));
    assert_finds(&broken, "acknowledged put lost");
}

#[test]
fn conflict_of_a_put_that_took_effect_is_found() {
    let mut broken = history();
    broken.puts[1].outcome = PutOutcome::Rejected(Some(1));
    assert_finds(&broken, "rejected put shown");
}

#[test]
fn skipped_event_is_found() {
    let mut broken = history();
    let answer = Watched {
        after: 0,
        revision: 2,
        events: vec![("g.a".into(), "y".into(), 2)],
    };
    broken.watches.insert("g.".into(), vec![answer]);
    assert_finds(&broken, "watch of g.");
}
