//! The disk's thread on a real folder.

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

fn open(
    dir: &Path,
    bootstrap: bool,
) -> (
    Sender<Write>,
    Receiver<StorageEvent>,
    Identity,
    Vec<Vec<u8>>,
) {
    let (tell, told) = channel();
    let writes = start(dir.into(), start_context(bootstrap), move |t| {
        drop(tell.send(t));
    })
    .unwrap();
    match told.recv().unwrap() {
        StorageEvent::Open {
            identity,
            records,
            host_cache: None,
        } => (writes, told, identity, records),
        other => panic!("{other:?}"),
    }
}

fn write(writes: &Sender<Write>, ticket: u64, records: &[&str], rewrite: bool) {
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
    let (writes, told, first, records) = open(dir.path(), true);
    assert!(records.is_empty());
    write(&writes, 1, &["a", "b"], false);
    write(&writes, 2, &["c"], true);
    write(&writes, 3, &["d"], false);
    write(&writes, 4, &["e"], false);
    for wanted in 1..=4 {
        assert!(
            matches!(told.recv().unwrap(), StorageEvent::Wrote { ticket, result: Ok(()) } if ticket == wanted)
        );
    }
    drop(writes);
    assert!(told.recv().is_err(), "the thread ends with its sender");
    let (_, _, second, records) = open(dir.path(), false);
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
    let (_, _, first, _) = open(dir.path(), true);
    for entry in std::fs::read_dir(dir.path()).unwrap() {
        std::fs::remove_file(entry.unwrap().path()).unwrap();
    }
    let (_, _, second, records) = open(dir.path(), false);
    assert_ne!(second.id, first.id);
    assert!(second.initial_voters.is_empty() && records.is_empty());
}

/// What a start makes of a folder where one file was lost.
#[rstest::rstest]
#[case::identity("identity", true)]
#[case::ledger("ledger", false)]
fn member_when_one_file_was_lost_keeps_its_id_only_with_its_log(
    #[case] file: &str,
    #[case] same: bool,
) {
    let dir = tempfile::tempdir().unwrap();
    let (writes, told, first, _) = open(dir.path(), true);
    write(&writes, 1, &["a"], false);
    assert!(matches!(
        told.recv().unwrap(),
        StorageEvent::Wrote { result: Ok(()), .. }
    ));
    drop(writes);
    assert!(told.recv().is_err());
    std::fs::remove_file(dir.path().join(file)).unwrap();
    let (_, _, second, records) = open(dir.path(), true);
    assert_eq!(
        (second.id == first.id, records.len()),
        (same, usize::from(same))
    );
    assert_eq!(second.initial_voters.is_empty(), !same);
}

/// The log is made before the identity's file: an identity on disk has a log that names it.
#[test]
fn identity_when_the_log_cannot_be_made_is_not_stored() {
    let dir = tempfile::tempdir().unwrap();
    // The log can't be made.
    std::fs::create_dir(dir.path().join("ledger.new")).unwrap();
    let (writes, told, _, _) = open(dir.path(), true);
    write(&writes, 1, &["a"], false);
    assert!(matches!(
        told.recv().unwrap(),
        StorageEvent::Wrote {
            ticket: 1,
            result: Err(_)
        }
    ));
    assert!(!dir.path().join("identity").exists());
    // Once it can, both are kept and the same incarnation goes on.
    std::fs::remove_dir(dir.path().join("ledger.new")).unwrap();
    write(&writes, 2, &["b"], false);
    assert!(matches!(
        told.recv().unwrap(),
        StorageEvent::Wrote {
            ticket: 2,
            result: Ok(())
        }
    ));
    drop(writes);
    assert!(told.recv().is_err());
    let (_, _, _, records) = open(dir.path(), false);
    assert_eq!(records, [b"b"]);
}
