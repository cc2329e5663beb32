//! Contents of the reports on a log file, and that reporting writes nothing.

mod simulated_disk;

use append_log::{format, inspect_on, verify_on, AppendLog, Error, FileCondition, FileSegment};
use rstest::rstest;
use simulated_disk::{Faults, SimulatedDisk};

/// Creates a file of three batches with one, two and one record. Returns the start offset of each record and the file's
/// contents.
fn file_of_three_batches() -> (Vec<u64>, Vec<u8>) {
    let disk = SimulatedDisk::new();
    let (mut log, _) = AppendLog::open_on(disk.clone(), "ledger").unwrap();
    log.append(&[b"one"]).unwrap();
    log.append(&[b"three", b""]).unwrap();
    log.append(&[b"seven!!"]).unwrap();
    let header_length = format::RECORD_HEADER_BYTES as u64;
    let first_record = format::FILE_HEADER_BYTES as u64;
    let starts = vec![
        first_record,
        first_record + header_length + 3,
        first_record + 2 * header_length + 8,
        first_record + 3 * header_length + 8,
    ];
    (starts, disk.bytes("ledger").unwrap())
}

/// A disk with this file that rejects all changes.
fn disk_with(bytes: &[u8]) -> SimulatedDisk {
    let disk = SimulatedDisk::new();
    disk.insert_synced_file("ledger", bytes);
    disk.set_faults(Faults {
        rejects_writes: true,
        fails_sync: true,
        fails_directory_sync: true,
        fails_rename: true,
        ..Faults::default()
    });
    disk
}

#[test]
fn verify_of_complete_file_lists_all_records() {
    let (starts, bytes) = file_of_three_batches();
    let disk = disk_with(&bytes);
    disk.insert_synced_file("ledger.new", b"remains");
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
        (FileCondition::Complete, true)
    );
    let expected = [
        FileSegment::Record {
            offset: starts[0],
            batch_offset: starts[0],
            bytes: 3,
        },
        FileSegment::Record {
            offset: starts[1],
            batch_offset: starts[1],
            bytes: 5,
        },
        FileSegment::Record {
            offset: starts[2],
            batch_offset: starts[1],
            bytes: 0,
        },
        FileSegment::Record {
            offset: starts[3],
            batch_offset: starts[3],
            bytes: 7,
        },
    ];
    assert_eq!(report.segments, expected);
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
fn verify_of_damaged_file_lists_all_segments() {
    let (starts, mut bytes) = file_of_three_batches();
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
            batch_offset: starts[0],
            bytes: 3,
        },
        FileSegment::Gap {
            offset: starts[1],
            bytes: starts[2] - starts[1],
        },
        FileSegment::Record {
            offset: starts[2],
            batch_offset: starts[1],
            bytes: 0,
        },
        FileSegment::Record {
            offset: starts[3],
            batch_offset: starts[3],
            bytes: 7,
        },
    ];
    assert_eq!(report.segments, expected);
    assert_eq!(
        report.summary.to_string(),
        "ledger: damaged: record 1 at byte 35; byte 72 begins a whole record of a later batch\n  \
         95 bytes, 3 in bodies\n  \
         1 whole records in 1 batches, the longest 3 bytes"
    );
}

/// For each length of the file, and for each byte of it inverted, the reported condition must match what opening does.
#[test]
fn inspected_condition_predicts_result_of_opening() {
    let (_, complete_file) = file_of_three_batches();
    let mut files: Vec<Vec<u8>> = (0..=complete_file.len())
        .map(|length| complete_file[..length].to_vec())
        .collect();
    for offset in 0..complete_file.len() {
        let mut changed = complete_file.clone();
        changed[offset] = !changed[offset];
        files.push(changed);
    }
    for bytes in files {
        let report = inspect_on(disk_with(&bytes), "ledger").unwrap();
        let disk = SimulatedDisk::new();
        disk.insert_synced_file("ledger", &bytes);
        let condition = match AppendLog::open_on(disk, "ledger") {
            Ok((log, records)) => {
                assert_eq!(report.records, records.len() as u64);
                log.truncated_tail()
                    .map_or(FileCondition::Complete, |tail| FileCondition::Torn {
                        offset: tail.offset,
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
            Err(Error::InvalidHeader { .. }) => FileCondition::InvalidHeader,
            Err(error) => panic!("{error}"),
        };
        assert_eq!(report.condition, condition);
    }
}

#[rstest]
#[case::newer(&format::file_header(7), FileCondition::NewerFormat { found: 7 })]
#[case::older(&format::file_header(0), FileCondition::InvalidHeader)]
#[case::empty(b"", FileCondition::InvalidHeader)]
fn verify_reports_unsupported_file(#[case] bytes: &[u8], #[case] condition: FileCondition) {
    let report = verify_on(disk_with(bytes), "ledger").unwrap();
    assert_eq!(
        (report.summary.condition, report.summary.opens()),
        (condition, false)
    );
    assert!(report.segments.is_empty());
}

#[test]
fn inspect_of_missing_file_fails() {
    let error = inspect_on(SimulatedDisk::new(), "ledger").unwrap_err();
    assert!(
        matches!(error, Error::Io { ref source, .. } if source.kind() == std::io::ErrorKind::NotFound)
    );
    assert_eq!(error.to_string(), "can't read 'ledger'");
}
