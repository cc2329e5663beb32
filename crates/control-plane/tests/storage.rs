//! The disk's thread on a real folder.

use control_plane::runtime::identity::{Identity, StartContext};
use control_plane::runtime::storage::{start, StateFile, StorageEvent, Write};
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, Sender};

fn birth(bootstrap: bool) -> StartContext {
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
    let writes = start(dir.into(), birth(bootstrap), move |t| drop(tell.send(t))).unwrap();
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
fn a_member_comes_back_as_itself_with_its_records() {
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
fn a_wiped_disk_is_somebody_else() {
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
fn a_member_that_lost_one_file(#[case] file: &str, #[case] same: bool) {
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

/// The ledger's file is made before the identity's: whoever has an identity on disk has a ledger that says so.
#[test]
fn an_identity_is_never_kept_without_its_ledger() {
    let dir = tempfile::tempdir().unwrap();
    // The ledger's first file can't be made.
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
