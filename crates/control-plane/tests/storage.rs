//! The storage thread on a real directory.

use control_plane::runtime::identity::{Identity, StartContext};
use control_plane::runtime::storage::{start, StateFile, StorageEvent, Write};
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, Sender};

fn start_context(bootstrap: bool) -> StartContext {
    let control = "10.1.0.1:8146".parse().unwrap();
    StartContext {
        control,
        seeds: vec![control],
        port: 7660,
        bootstrap,
        random: 9,
        clock_ms: 100,
    }
}

/// Starts the storage thread. Returns the sender of writes, the receiver of events, and what the files held.
fn open_storage(
    dir: &Path,
    bootstrap: bool,
) -> (
    Sender<Write>,
    Receiver<StorageEvent>,
    Identity,
    Vec<Vec<u8>>,
) {
    let (event_sender, events) = channel();
    let writes = start(dir.into(), start_context(bootstrap), move |event| {
        drop(event_sender.send(event));
    })
    .unwrap();
    match events.recv().unwrap() {
        StorageEvent::Open {
            identity,
            records,
            host_cache: None,
        } => (writes, events, identity, records),
        other => panic!("{other:?}"),
    }
}

fn write_log(writes: &Sender<Write>, ticket: u64, records: &[&str], rewrite: bool) {
    let records = records.iter().map(|r| r.as_bytes().to_vec()).collect();
    writes
        .send(Write {
            ticket,
            records,
            rewrite,
            file: StateFile::Log,
        })
        .unwrap();
}

#[test]
fn member_when_restarted_has_its_identity_and_records() {
    let dir = tempfile::tempdir().unwrap();
    let (writes, events, first, records) = open_storage(dir.path(), true);
    assert!(records.is_empty());
    write_log(&writes, 1, &["a", "b"], false);
    write_log(&writes, 2, &["c"], true);
    write_log(&writes, 3, &["d"], false);
    write_log(&writes, 4, &["e"], false);
    for expected_ticket in 1..=4 {
        assert!(
            matches!(events.recv().unwrap(), StorageEvent::Wrote { ticket, result: Ok(()) } if ticket == expected_ticket)
        );
    }
    drop(writes);
    assert!(
        events.recv().is_err(),
        "the thread ends when the sender of writes is dropped"
    );
    let (_, _, second, records) = open_storage(dir.path(), false);
    assert_eq!(
        (second.id, &second.initial_voters),
        (first.id, &first.initial_voters)
    );
    assert!(second.incarnation > first.incarnation);
    assert_eq!(records, [b"c", b"d", b"e"]);
}

#[test]
fn member_when_its_disk_was_wiped_has_another_id() {
    let dir = tempfile::tempdir().unwrap();
    let (_, _, first, _) = open_storage(dir.path(), true);
    for entry in std::fs::read_dir(dir.path()).unwrap() {
        std::fs::remove_file(entry.unwrap().path()).unwrap();
    }
    let (_, _, second, records) = open_storage(dir.path(), false);
    assert_ne!(second.id, first.id);
    assert!(second.initial_voters.is_empty() && records.is_empty());
}

/// A member that lost one of its files starts again: without the identity file it still knows its id from the log, and
/// without the log it needs a new id, as its promises are lost.
#[rstest::rstest]
#[case::identity("identity", true)]
#[case::log("ledger", false)]
fn member_when_one_file_was_lost_keeps_its_id_only_with_its_log(
    #[case] file: &str,
    #[case] keeps_identity: bool,
) {
    let dir = tempfile::tempdir().unwrap();
    let (writes, events, first, _) = open_storage(dir.path(), true);
    write_log(&writes, 1, &["a"], false);
    assert!(matches!(
        events.recv().unwrap(),
        StorageEvent::Wrote { result: Ok(()), .. }
    ));
    drop(writes);
    assert!(events.recv().is_err());
    std::fs::remove_file(dir.path().join(file)).unwrap();
    let (_, _, second, records) = open_storage(dir.path(), true);
    assert_eq!(
        (second.id == first.id, records.len()),
        (keeps_identity, usize::from(keeps_identity))
    );
    assert_eq!(second.initial_voters.is_empty(), !keeps_identity);
}

/// The log is created before the identity file, so that a stored identity always has a log that names it.
#[test]
fn identity_when_the_log_cannot_be_created_is_not_stored() {
    let dir = tempfile::tempdir().unwrap();
    // A directory with the name of the log's temporary file prevents its creation.
    std::fs::create_dir(dir.path().join("ledger.new")).unwrap();
    let (writes, events, _, _) = open_storage(dir.path(), true);
    write_log(&writes, 1, &["a"], false);
    assert!(matches!(
        events.recv().unwrap(),
        StorageEvent::Wrote {
            ticket: 1,
            result: Err(_)
        }
    ));
    assert!(!dir.path().join("identity").exists());
    // Once the log can be created, both files are stored and the same incarnation continues.
    std::fs::remove_dir(dir.path().join("ledger.new")).unwrap();
    write_log(&writes, 2, &["b"], false);
    assert!(matches!(
        events.recv().unwrap(),
        StorageEvent::Wrote {
            ticket: 2,
            result: Ok(())
        }
    ));
    drop(writes);
    assert!(events.recv().is_err());
    let (_, _, _, records) = open_storage(dir.path(), false);
    assert_eq!(records, [b"b"]);
}
