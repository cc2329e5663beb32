//! Files that an earlier release wrote. `fixtures/` holds them beside that release's report on each (`*.report.txt`)
//! and beside the file that one append of two records made of it (`*.appended.log`).

mod simulated;

use append_log::{inspect_on, verify_on, AppendLog, Error, FileCondition, TruncatedTail};
use rstest::rstest;
use simulated::Simulated;

macro_rules! fixture {
    ($name:literal) => {
        include_bytes!(concat!("fixtures/", $name))
    };
}

const FIRST_BATCH: [&[u8]; 1] = [b"first"];
const SECOND_BATCH: [&[u8]; 3] = [b"second", b"", b"third \x00\xff"];
const THIRD_BATCH: [&[u8]; 1] = [b"fourth"];

fn disk_with(name: &str, bytes: &[u8]) -> Simulated {
    let disk = Simulated::new();
    disk.put(name, bytes);
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
fn open_when_file_is_whole_or_torn_then_gives_records_and_takes_more(
    #[case] name: &str,
    #[case] stored: &[u8],
    #[case] appended: &[u8],
    #[case] expected_records: &[&[u8]],
    #[case] expected_cut: Option<TruncatedTail>,
) {
    let disk = disk_with(name, stored);
    let (mut log, records) = AppendLog::open_on(disk.clone(), name).unwrap();
    assert_eq!(records, expected_records);
    assert_eq!(log.truncated_tail(), expected_cut);
    let good_bytes = expected_cut.map_or(stored.len(), |cut| cut.offset as usize);
    assert_eq!(log.len(), good_bytes as u64);
    assert_eq!(disk.bytes(name).unwrap(), stored[..good_bytes]);

    log.append(&[b"appended", b"later"]).unwrap();
    assert_eq!(disk.bytes(name).unwrap(), appended);
}

#[test]
fn open_when_rewrite_was_interrupted_then_removes_its_remains() {
    let name = "torn_batch.log";
    let disk = disk_with(name, fixture!("torn_batch.log"));
    disk.put("torn_batch.log.new", fixture!("torn_batch.log.new"));
    AppendLog::open_on(disk.clone(), name).unwrap();
    assert_eq!(disk.names(), [name]);
}

fn open_error(name: &str, stored: &[u8]) -> Error {
    let disk = disk_with(name, stored);
    let Err(error) = AppendLog::open_on(disk.clone(), name) else {
        panic!("{name} opens");
    };
    assert_eq!(disk.bytes(name).unwrap(), stored, "{name} is left as it is");
    error
}

#[test]
fn open_when_a_synced_record_is_damaged_then_refuses() {
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
        "'damaged.log': record 1 at byte 37 is damaged; the next whole record begins at byte 99"
    );
}

#[test]
fn open_when_format_is_newer_then_refuses() {
    let error = open_error("newer.log", fixture!("newer.log"));
    assert!(
        matches!(
            error,
            Error::Newer {
                found: 2,
                known: 1,
                ..
            }
        ),
        "{error:?}"
    );
    assert_eq!(
        error.to_string(),
        "'newer.log' has format 2; known are formats up to 1"
    );
}

#[test]
fn open_when_header_is_missing_then_refuses() {
    let error = open_error("no_header.log", fixture!("no_header.log"));
    assert!(matches!(error, Error::Header { .. }), "{error:?}");
    assert_eq!(
        error.to_string(),
        "'no_header.log' has no whole header of this kind of file"
    );
}

#[rstest]
#[case::batches("batches.log", fixture!("batches.log"), fixture!("batches.report.txt"), FileCondition::Whole)]
#[case::rewritten("rewritten.log", fixture!("rewritten.log"), fixture!("rewritten.report.txt"), FileCondition::Whole)]
#[case::torn_in_last_record("torn_tail.log", fixture!("torn_tail.log"), fixture!("torn_tail.report.txt"),
    FileCondition::Torn { offset: 99 })]
#[case::torn_within_a_batch("torn_batch.log", fixture!("torn_batch.log"), fixture!("torn_batch.report.txt"),
    FileCondition::Torn { offset: 75 })]
#[case::damaged("damaged.log", fixture!("damaged.log"), fixture!("damaged.report.txt"),
    FileCondition::Damaged { record: 1, offset: 37, next_record_at: 99 })]
#[case::newer("newer.log", fixture!("newer.log"), fixture!("newer.report.txt"), FileCondition::Newer { found: 2 })]
#[case::no_header("no_header.log", fixture!("no_header.log"), fixture!("no_header.report.txt"), FileCondition::NoHeader)]
fn verify_and_inspect_then_report_as_the_earlier_release_did(
    #[case] name: &str,
    #[case] stored: &[u8],
    #[case] report: &[u8],
    #[case] condition: FileCondition,
) {
    let disk = disk_with(name, stored);
    if name == "torn_batch.log" {
        disk.put("torn_batch.log.new", fixture!("torn_batch.log.new"));
    }
    let verification = verify_on(disk.clone(), name).unwrap();
    assert_eq!(
        format!("{verification}\n").into_bytes(),
        report,
        "{verification}"
    );
    assert_eq!(verification.summary.condition, condition);
    let opens = matches!(condition, FileCondition::Whole | FileCondition::Torn { .. });
    assert_eq!(verification.summary.opens(), opens);
    assert_eq!(inspect_on(disk, name).unwrap(), verification.summary);
}

#[test]
fn append_in_batches_then_writes_the_bytes_of_the_earlier_release() {
    let disk = Simulated::new();
    let (mut log, _) = AppendLog::open_on(disk.clone(), "batches.log").unwrap();
    log.append(&FIRST_BATCH).unwrap();
    log.append(&SECOND_BATCH).unwrap();
    log.append(&THIRD_BATCH).unwrap();
    assert_eq!(disk.bytes("batches.log").unwrap(), fixture!("batches.log"));
}

#[test]
fn rewrite_then_writes_the_bytes_of_the_earlier_release() {
    let disk = Simulated::new();
    let (mut log, _) = AppendLog::open_on(disk.clone(), "rewritten.log").unwrap();
    log.append(&[b"old"]).unwrap();
    log.rewrite(&[b"live one", b"live two"]).unwrap();
    log.append(&[b"after"]).unwrap();
    assert_eq!(
        disk.bytes("rewritten.log").unwrap(),
        fixture!("rewritten.log")
    );
}
