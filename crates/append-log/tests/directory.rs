//! Logs in a directory of the file system.

use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use append_log::{format, AppendLog, Error};

/// A directory of its own for each test, removed when dropped.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new() -> TempDirectory {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("append-log-{}-{number}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        TempDirectory(path)
    }

    fn open(&self) -> (AppendLog, Vec<Vec<u8>>) {
        AppendLog::open(&self.0, "ledger").unwrap()
    }

    fn file_names(&self) -> Vec<String> {
        let entries = fs::read_dir(&self.0).unwrap();
        let mut file_names: Vec<_> = entries
            .map(|entry| entry.unwrap().file_name().into_string().unwrap())
            .collect();
        file_names.sort();
        file_names
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn open_returns_records_in_order() {
    let directory = TempDirectory::new();
    let (mut log, records) = directory.open();
    assert!(records.is_empty() && log.is_empty());
    assert!(
        directory.file_names().is_empty(),
        "no file is created before the first append"
    );
    log.append(&[b"one", b"", b"three"]).unwrap();
    log.append(&[]).unwrap();
    log.append(&[&[7; 200_000]]).unwrap();
    let length = log.len();
    drop(log);
    let (mut log, records) = directory.open();
    assert_eq!(
        records,
        [b"one".to_vec(), vec![], b"three".to_vec(), vec![7; 200_000]]
    );
    assert_eq!((log.len(), log.truncated_tail()), (length, None));
    assert_eq!(
        fs::metadata(directory.0.join("ledger")).unwrap().len(),
        length
    );
    log.append(&[b"four"]).unwrap();
    drop(log);
    assert_eq!(directory.open().1[4], b"four");
}

#[test]
fn rewrite_leaves_only_the_new_records() {
    let directory = TempDirectory::new();
    let (mut log, _) = directory.open();
    for number in 0..1_000_u32 {
        log.append(&[&number.to_le_bytes().repeat(25)]).unwrap();
    }
    let live_bytes = log.len() / 4;
    assert_eq!(log.len(), 4 * live_bytes);
    assert!(
        log.wants_rewrite(live_bytes - 1)
            && !log.wants_rewrite(live_bytes)
            && !log.wants_rewrite(u64::MAX)
    );
    log.rewrite(&[&[1; 300_000], b"two"]).unwrap();
    log.append(&[b"three"]).unwrap();
    let (mut short_log, _) = AppendLog::open(&directory.0, "short").unwrap();
    short_log
        .rewrite(&[&[1; (64 << 10) - format::FILE_HEADER_BYTES - format::RECORD_HEADER_BYTES]])
        .unwrap();
    assert!(!short_log.wants_rewrite(0));
    short_log.append(&[b""]).unwrap();
    assert!(short_log.wants_rewrite(0));
    drop((log, short_log));
    fs::write(directory.0.join("ledger.new"), b"half of a rewrite").unwrap();
    let (log, records) = directory.open();
    assert_eq!(
        records,
        [vec![1; 300_000], b"two".to_vec(), b"three".to_vec()]
    );
    assert_eq!(directory.file_names(), ["ledger", "short"]);
    assert!(log.wants_rewrite(70_000) && !log.wants_rewrite(300_000));
}

#[test]
fn append_of_too_large_record_or_batch_changes_nothing() {
    let directory = TempDirectory::new();
    let (mut log, _) = directory.open();
    let oversized_record = vec![0; format::MAX_RECORD_BYTES + 1];
    assert!(matches!(
        log.append(&[b"small", &oversized_record]),
        Err(Error::TooLarge { .. })
    ));
    assert!(matches!(
        log.rewrite(&[&oversized_record]),
        Err(Error::TooLarge { .. })
    ));
    let largest_record = &oversized_record[..format::MAX_RECORD_BYTES];
    assert!(matches!(
        log.append(&[largest_record; 5]),
        Err(Error::TooLarge { .. })
    ));
    assert_eq!(log.len(), 0);
    log.append(&[largest_record]).unwrap();
    drop(log);
    assert_eq!(directory.open().1, [largest_record]);
}

#[test]
fn open_truncates_torn_tail() {
    let directory = TempDirectory::new();
    let (mut log, _) = directory.open();
    log.append(&[b"one"]).unwrap();
    let valid_length = log.len();
    log.append(&[b"two"]).unwrap();
    let file = fs::OpenOptions::new()
        .write(true)
        .open(directory.0.join("ledger"))
        .unwrap();
    file.set_len(log.len() - 1).unwrap();
    drop(log);
    let (mut log, records) = directory.open();
    assert_eq!(records, [b"one"]);
    assert_eq!(log.truncated_tail().unwrap().offset, valid_length);
    log.append(&[b"three"]).unwrap();
    drop(log);
    assert_eq!(directory.open().1, [b"one".to_vec(), b"three".to_vec()]);
}

#[test]
fn open_fails_with_offset_of_damage_before_complete_records() {
    let directory = TempDirectory::new();
    let (mut log, _) = directory.open();
    log.append(&[b"one"]).unwrap();
    let offset = log.len();
    log.append(&[b"two"]).unwrap();
    let next_offset = log.len();
    log.append(&[b"three"]).unwrap();
    drop(log);
    let path = directory.0.join("ledger");
    let mut bytes = fs::read(&path).unwrap();
    bytes[offset as usize + format::RECORD_HEADER_BYTES] ^= 1;
    fs::write(&path, &bytes).unwrap();
    let Err(Error::Damaged {
        record: 1,
        offset: damaged_offset,
        next_record_at,
        ..
    }) = AppendLog::open(&directory.0, "ledger")
    else {
        panic!("the damage was not reported");
    };
    assert_eq!((damaged_offset, next_record_at), (offset, next_offset));
    assert_eq!(fs::read(&path).unwrap(), bytes, "the file must not change");
}
