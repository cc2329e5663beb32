//! Compatibility with files of an earlier release. For each file, `fixtures/` also holds that release's report
//! (`*.report.txt`) and the file after an append of two records (`*.appended.log`).

mod simulated_disk;

use append_log::{inspect_on, verify_on, AppendLog, Error, FileCondition, TruncatedTail};
use rstest::rstest;
use simulated_disk::SimulatedDisk;

macro_rules! fixture {
    ($name:literal) => {
        include_bytes!(concat!("fixtures/", $name))
    };
}

const FIRST_BATCH: [&[u8]; 1] = [b"first"];
const SECOND_BATCH: [&[u8]; 3] = [b"second", b"", b"third \x00\xff"];
const THIRD_BATCH: [&[u8]; 1] = [b"fourth"];

fn disk_with(name: &str, bytes: &[u8]) -> SimulatedDisk {
    let disk = SimulatedDisk::new();
    disk.insert_synced_file(name, bytes);
    disk
}

#[rstest]
#[case::batches("batches.log", fixture!("batches.log"), fixture!("batches.appended.log"),
    &[&b"first"[..], b"second", b"", b"third \x00\xff", b"fourth"], None)]
#[case::rewritten("rewritten.log", fixture!("rewritten.log"), fixture!("rewritten.appended.log"),
    &[&b"live one"[..], b"live two", b"after"], None)]
#[case::torn_in_last_record("torn_tail.log", fixture!("torn_tail.log"), fixture!("torn_tail.appended.log"),
    &[&b"first"[..], b"second", b"", b"third \x00\xff"], Some(TruncatedTail { offset: 99, bytes: 18 }))]
#[case::torn_within_a_batch("torn_batch.log", fixture!("torn_batch.log"), fixture!("torn_batch.appended.log"),
    &[&b"first"[..], b"second", b""], Some(TruncatedTail { offset: 75, bytes: 3 }))]
fn open_of_complete_or_torn_file_returns_records_and_allows_append(
    #[case] name: &str,
    #[case] stored: &[u8],
    #[case] appended: &[u8],
    #[case] expected_records: &[&[u8]],
    #[case] expected_tail: Option<TruncatedTail>,
) {
    let disk = disk_with(name, stored);
    let (mut log, records) = AppendLog::open_on(disk.clone(), name).unwrap();
    assert_eq!(records, expected_records);
    assert_eq!(log.truncated_tail(), expected_tail);
    let valid_length = expected_tail.map_or(stored.len(), |tail| tail.offset as usize);
    assert_eq!(log.len(), valid_length as u64);
    assert_eq!(disk.bytes(name).unwrap(), stored[..valid_length]);

    log.append(&[b"appended", b"later"]).unwrap();
    assert_eq!(disk.bytes(name).unwrap(), appended);
}

#[test]
fn open_removes_temporary_file_of_interrupted_rewrite() {
    let name = "torn_batch.log";
    let disk = disk_with(name, fixture!("torn_batch.log"));
    disk.insert_synced_file("torn_batch.log.new", fixture!("torn_batch.log.new"));
    AppendLog::open_on(disk.clone(), name).unwrap();
    assert_eq!(disk.names(), [name]);
}

fn open_error(name: &str, stored: &[u8]) -> Error {
    let disk = disk_with(name, stored);
    let Err(error) = AppendLog::open_on(disk.clone(), name) else {
        panic!("{name} was opened");
    };
    assert_eq!(disk.bytes(name).unwrap(), stored, "{name} must not change");
    error
}

#[test]
fn open_fails_if_a_synced_record_is_damaged() {
    let error = open_error("damaged.log", fixture!("damaged.log"));
    assert!(
        matches!(
            error,
            Error::Damaged {
                record: 1,
                offset: 37,
                next_record_at: 99,
                ..
            }
        ),
        "{error:?}"
    );
    assert_eq!(
        error.to_string(),
        "'damaged.log': record 1 at byte 37 is damaged; the next complete record begins at byte 99"
    );
}

#[test]
fn open_fails_if_format_version_is_newer() {
    let error = open_error("newer.log", fixture!("newer.log"));
    assert!(
        matches!(
            error,
            Error::NewerFormat {
                found: 2,
                newest_supported: 1,
                ..
            }
        ),
        "{error:?}"
    );
    assert_eq!(
        error.to_string(),
        "'newer.log' has format version 2; the newest supported version is 1"
    );
}

#[test]
fn open_fails_if_header_is_missing() {
    let error = open_error("no_header.log", fixture!("no_header.log"));
    assert!(matches!(error, Error::InvalidHeader { .. }), "{error:?}");
    assert_eq!(error.to_string(), "'no_header.log' has no valid log header");
}

#[rstest]
#[case::batches("batches.log", fixture!("batches.log"), fixture!("batches.report.txt"), FileCondition::Complete)]
#[case::rewritten("rewritten.log", fixture!("rewritten.log"), fixture!("rewritten.report.txt"), FileCondition::Complete)]
#[case::torn_in_last_record("torn_tail.log", fixture!("torn_tail.log"), fixture!("torn_tail.report.txt"),
    FileCondition::Torn { offset: 99 })]
#[case::torn_within_a_batch("torn_batch.log", fixture!("torn_batch.log"), fixture!("torn_batch.report.txt"),
    FileCondition::Torn { offset: 75 })]
#[case::damaged("damaged.log", fixture!("damaged.log"), fixture!("damaged.report.txt"),
    FileCondition::Damaged { record: 1, offset: 37, next_record_at: 99 })]
#[case::newer("newer.log", fixture!("newer.log"), fixture!("newer.report.txt"), FileCondition::NewerFormat { found: 2 })]
#[case::no_header("no_header.log", fixture!("no_header.log"), fixture!("no_header.report.txt"), FileCondition::InvalidHeader)]
fn verify_and_inspect_report_like_the_earlier_release(
    #[case] name: &str,
    #[case] stored: &[u8],
    #[case] report: &[u8],
    #[case] condition: FileCondition,
) {
    let disk = disk_with(name, stored);
    if name == "torn_batch.log" {
        disk.insert_synced_file("torn_batch.log.new", fixture!("torn_batch.log.new"));
    }
    let verification = verify_on(disk.clone(), name).unwrap();
    assert_eq!(
        format!("{verification}\n").into_bytes(),
        report,
        "{verification}"
    );
    assert_eq!(verification.summary.condition, condition);
    let opens = matches!(
        condition,
        FileCondition::Complete | FileCondition::Torn { .. }
    );
    assert_eq!(verification.summary.opens(), opens);
    assert_eq!(inspect_on(disk, name).unwrap(), verification.summary);
}

#[test]
fn append_writes_the_same_bytes_as_the_earlier_release() {
    let disk = SimulatedDisk::new();
    let (mut log, _) = AppendLog::open_on(disk.clone(), "batches.log").unwrap();
    log.append(&FIRST_BATCH).unwrap();
    log.append(&SECOND_BATCH).unwrap();
    log.append(&THIRD_BATCH).unwrap();
    assert_eq!(disk.bytes("batches.log").unwrap(), fixture!("batches.log"));
}

#[test]
fn rewrite_writes_the_same_bytes_as_the_earlier_release() {
    let disk = SimulatedDisk::new();
    let (mut log, _) = AppendLog::open_on(disk.clone(), "rewritten.log").unwrap();
    log.append(&[b"old"]).unwrap();
    log.rewrite(&[b"live one", b"live two"]).unwrap();
    log.append(&[b"after"]).unwrap();
    assert_eq!(
        disk.bytes("rewritten.log").unwrap(),
        fixture!("rewritten.log")
    );
}
