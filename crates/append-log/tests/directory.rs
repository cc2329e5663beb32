//! On a folder of the file system.

use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use append_log::{format, AppendLog, Error};

/// A folder of its own for each test, gone at the end.
struct Scratch(PathBuf);

impl Scratch {
    fn new() -> Scratch {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("append-log-{}-{number}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Scratch(path)
    }

    fn open(&self) -> (AppendLog, Vec<Vec<u8>>) {
        AppendLog::open(&self.0, "ledger").unwrap()
    }

    fn names(&self) -> Vec<String> {
        let entries = fs::read_dir(&self.0).unwrap();
        let mut names: Vec<_> = entries
            .map(|entry| entry.unwrap().file_name().into_string().unwrap())
            .collect();
        names.sort();
        names
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn open_then_returns_records_in_order() {
    let scratch = Scratch::new();
    let (mut ledger, records) = scratch.open();
    assert!(records.is_empty() && ledger.is_empty());
    assert!(
        scratch.names().is_empty(),
        "nothing is made before the first append"
    );
    ledger.append(&[b"one", b"", b"three"]).unwrap();
    ledger.append(&[]).unwrap();
    ledger.append(&[&[7; 200_000]]).unwrap();
    let length = ledger.len();
    drop(ledger);
    let (mut ledger, records) = scratch.open();
    assert_eq!(
        records,
        [b"one".to_vec(), vec![], b"three".to_vec(), vec![7; 200_000]]
    );
    assert_eq!((ledger.len(), ledger.truncated_tail()), (length, None));
    assert_eq!(
        fs::metadata(scratch.0.join("ledger")).unwrap().len(),
        length
    );
    ledger.append(&[b"four"]).unwrap();
    drop(ledger);
    assert_eq!(scratch.open().1[4], b"four");
}

#[test]
fn rewrite_then_file_holds_only_the_new_records() {
    let scratch = Scratch::new();
    let (mut ledger, _) = scratch.open();
    for number in 0..1_000_u32 {
        ledger.append(&[&number.to_le_bytes().repeat(25)]).unwrap();
    }
    let live = ledger.len() / 4;
    assert_eq!(ledger.len(), 4 * live);
    assert!(
        ledger.wants_rewrite(live - 1)
            && !ledger.wants_rewrite(live)
            && !ledger.wants_rewrite(u64::MAX)
    );
    ledger.rewrite(&[&[1; 300_000], b"two"]).unwrap();
    ledger.append(&[b"three"]).unwrap();
    let (mut short, _) = AppendLog::open(&scratch.0, "short").unwrap();
    short
        .rewrite(&[&[1; (64 << 10) - format::FILE_HEADER_BYTES - format::RECORD_HEADER_BYTES]])
        .unwrap();
    assert!(!short.wants_rewrite(0));
    short.append(&[b""]).unwrap();
    assert!(short.wants_rewrite(0));
    drop((ledger, short));
    fs::write(scratch.0.join("ledger.new"), b"half of a rewrite").unwrap();
    let (ledger, records) = scratch.open();
    assert_eq!(
        records,
        [vec![1; 300_000], b"two".to_vec(), b"three".to_vec()]
    );
    assert_eq!(scratch.names(), ["ledger", "short"]);
    assert!(ledger.wants_rewrite(70_000) && !ledger.wants_rewrite(300_000));
}

#[test]
fn append_when_record_is_too_large_then_changes_nothing() {
    let scratch = Scratch::new();
    let (mut ledger, _) = scratch.open();
    let large = vec![0; format::MAX_RECORD_BYTES + 1];
    assert!(matches!(
        ledger.append(&[b"small", &large]),
        Err(Error::TooLarge { .. })
    ));
    assert!(matches!(
        ledger.rewrite(&[&large]),
        Err(Error::TooLarge { .. })
    ));
    let largest = &large[..format::MAX_RECORD_BYTES];
    assert!(matches!(
        ledger.append(&[largest; 5]),
        Err(Error::TooLarge { .. })
    ));
    assert_eq!(ledger.len(), 0);
    ledger.append(&[largest]).unwrap();
    drop(ledger);
    assert_eq!(scratch.open().1, [largest]);
}

#[test]
fn open_when_tail_is_torn_then_truncates_it() {
    let scratch = Scratch::new();
    let (mut ledger, _) = scratch.open();
    ledger.append(&[b"one"]).unwrap();
    let good = ledger.len();
    ledger.append(&[b"two"]).unwrap();
    let file = fs::OpenOptions::new()
        .write(true)
        .open(scratch.0.join("ledger"))
        .unwrap();
    file.set_len(ledger.len() - 1).unwrap();
    drop(ledger);
    let (mut ledger, records) = scratch.open();
    assert_eq!(records, [b"one"]);
    assert_eq!(ledger.truncated_tail().unwrap().offset, good);
    ledger.append(&[b"three"]).unwrap();
    drop(ledger);
    assert_eq!(scratch.open().1, [b"one".to_vec(), b"three".to_vec()]);
}

#[test]
fn open_when_damage_precedes_complete_records_then_fails_with_its_offset() {
    let scratch = Scratch::new();
    let (mut ledger, _) = scratch.open();
    ledger.append(&[b"one"]).unwrap();
    let offset = ledger.len();
    ledger.append(&[b"two"]).unwrap();
    let next = ledger.len();
    ledger.append(&[b"three"]).unwrap();
    drop(ledger);
    let path = scratch.0.join("ledger");
    let mut bytes = fs::read(&path).unwrap();
    bytes[offset as usize + format::RECORD_HEADER_BYTES] ^= 1;
    fs::write(&path, &bytes).unwrap();
    let Err(Error::Damaged {
        record: 1,
        offset: at,
        next_record_at,
        ..
    }) = AppendLog::open(&scratch.0, "ledger")
    else {
        panic!("damage not told");
    };
    assert_eq!((at, next_record_at), (offset, next));
    assert_eq!(fs::read(&path).unwrap(), bytes, "left as it is");
}
