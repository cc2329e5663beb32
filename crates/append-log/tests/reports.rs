//! What operators are told of a file, and that telling it writes nothing.

mod simulated;

use append_log::{format, inspect_on, verify_on, AppendLog, Error, FileCondition, FileSegment};
use rstest::rstest;
use simulated::{Faults, Simulated};

/// A file of three batches: one record, two, one. Where each record begins, and its bytes.
fn three_batches() -> (Vec<u64>, Vec<u8>) {
    let disk = Simulated::new();
    let (mut ledger, _) = AppendLog::open_on(disk.clone(), "ledger").unwrap();
    ledger.append(&[b"one"]).unwrap();
    ledger.append(&[b"three", b""]).unwrap();
    ledger.append(&[b"seven!!"]).unwrap();
    let head = format::RECORD_HEADER_BYTES as u64;
    let first = format::FILE_HEADER_BYTES as u64;
    let starts = vec![
        first,
        first + head + 3,
        first + 2 * head + 8,
        first + 3 * head + 8,
    ];
    (starts, disk.bytes("ledger").unwrap())
}

/// A disk that would refuse all writes.
fn disk_with(bytes: &[u8]) -> Simulated {
    let disk = Simulated::new();
    disk.put("ledger", bytes);
    disk.set_faults(Faults {
        refuses_writes: true,
        fails_sync: true,
        fails_sync_names: true,
        fails_rename: true,
        ..Faults::default()
    });
    disk
}

#[test]
fn verify_when_file_is_complete_then_lists_all_records() {
    let (starts, bytes) = three_batches();
    let disk = disk_with(&bytes);
    disk.put("ledger.new", b"remains");
    let report = verify_on(disk.clone(), "ledger").unwrap();
    let summary = &report.summary;
    assert_eq!(
        (
            summary.records,
            summary.batches,
            summary.body_bytes,
            summary.longest_body
        ),
        (4, 3, 15, 7)
    );
    assert_eq!(
        (summary.length, summary.interrupted_rewrite_bytes),
        (bytes.len() as u64, Some(7))
    );
    assert_eq!(
        (summary.condition, summary.opens()),
        (FileCondition::Whole, true)
    );
    let expected = [
        FileSegment::Record {
            offset: starts[0],
            batch: starts[0],
            bytes: 3,
        },
        FileSegment::Record {
            offset: starts[1],
            batch: starts[1],
            bytes: 5,
        },
        FileSegment::Record {
            offset: starts[2],
            batch: starts[1],
            bytes: 0,
        },
        FileSegment::Record {
            offset: starts[3],
            batch: starts[3],
            bytes: 7,
        },
    ];
    assert_eq!(report.parts, expected);
    assert_eq!(inspect_on(disk.clone(), "ledger").unwrap(), *summary);
    assert_eq!(disk.names(), ["ledger", "ledger.new"]);
    assert_eq!(disk.bytes("ledger").unwrap(), bytes);
    assert_eq!(disk.writes_and_syncs(), (0, 0));
    assert_eq!(
        report.to_string(),
        "ledger: whole\n  \
         95 bytes, 15 in bodies\n  \
         4 whole records in 3 batches, the longest 7 bytes\n  \
         an interrupted rewrite left 7 bytes; the next start removes them\n  \
         byte 16: a whole record of 3 bytes, of the batch at byte 16\n  \
         byte 35: a whole record of 5 bytes, of the batch at byte 35\n  \
         byte 56: a whole record of 0 bytes, of the batch at byte 35\n  \
         byte 72: a whole record of 7 bytes, of the batch at byte 72"
    );
}

#[test]
fn verify_when_file_is_damaged_then_lists_all_to_its_end() {
    let (starts, mut bytes) = three_batches();
    bytes[starts[1] as usize] ^= 4;
    let report = verify_on(disk_with(&bytes), "ledger").unwrap();
    let condition = FileCondition::Damaged {
        record: 1,
        offset: starts[1],
        next_record_at: starts[3],
    };
    assert_eq!(
        (
            report.summary.condition,
            report.summary.opens(),
            report.summary.records
        ),
        (condition, false, 1)
    );
    let expected = [
        FileSegment::Record {
            offset: starts[0],
            batch: starts[0],
            bytes: 3,
        },
        FileSegment::Gap {
            offset: starts[1],
            bytes: starts[2] - starts[1],
        },
        FileSegment::Record {
            offset: starts[2],
            batch: starts[1],
            bytes: 0,
        },
        FileSegment::Record {
            offset: starts[3],
            batch: starts[3],
            bytes: 7,
        },
    ];
    assert_eq!(report.parts, expected);
    assert_eq!(
        report.summary.to_string(),
        "ledger: damaged: record 1 at byte 35; byte 72 begins a whole record of a later batch\n  \
         95 bytes, 3 in bodies\n  \
         1 whole records in 1 batches, the longest 3 bytes"
    );
}

/// What is told is what an opening does: for each length of the file, and each byte of it changed.
#[test]
fn inspect_then_condition_predicts_what_opening_does() {
    let (_, whole) = three_batches();
    let mut files: Vec<Vec<u8>> = (0..=whole.len())
        .map(|length| whole[..length].to_vec())
        .collect();
    for at in 0..whole.len() {
        let mut changed = whole.clone();
        changed[at] = !changed[at];
        files.push(changed);
    }
    for bytes in files {
        let report = inspect_on(disk_with(&bytes), "ledger").unwrap();
        let disk = Simulated::new();
        disk.put("ledger", &bytes);
        let condition =
            match AppendLog::open_on(disk, "ledger") {
                Ok((ledger, records)) => {
                    assert_eq!(report.records, records.len() as u64);
                    ledger.truncated_tail().map_or(FileCondition::Whole, |cut| {
                        FileCondition::Torn { offset: cut.offset }
                    })
                }
                Err(Error::Damaged {
                    record,
                    offset,
                    next_record_at,
                    ..
                }) => FileCondition::Damaged {
                    record,
                    offset,
                    next_record_at,
                },
                Err(Error::Header { .. }) => FileCondition::NoHeader,
                Err(error) => panic!("{error}"),
            };
        assert_eq!(report.condition, condition);
    }
}

#[rstest]
#[case::newer(&format::header(7), FileCondition::Newer { found: 7 })]
#[case::older(&format::header(0), FileCondition::NoHeader)]
#[case::empty(b"", FileCondition::NoHeader)]
fn inspect_when_file_is_of_another_kind_then_tells_so(
    #[case] bytes: &[u8],
    #[case] condition: FileCondition,
) {
    let report = verify_on(disk_with(bytes), "ledger").unwrap();
    assert_eq!(
        (report.summary.condition, report.summary.opens()),
        (condition, false)
    );
    assert!(report.parts.is_empty());
}

#[test]
fn inspect_when_file_does_not_exist_then_fails() {
    let error = inspect_on(Simulated::new(), "ledger").unwrap_err();
    assert!(
        matches!(error, Error::Io { ref source, .. } if source.kind() == std::io::ErrorKind::NotFound)
    );
    assert_eq!(error.to_string(), "can't read 'ledger'");
}
