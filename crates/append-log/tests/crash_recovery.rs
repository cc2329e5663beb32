//! Recovery of a log from kills, power losses, full disks and failed syncs, at every step and written byte.

mod simulated_disk;

use append_log::{format, AppendLog, Error};
use rstest::rstest;
use simulated_disk::{Faults, SimulatedDisk};

type Records = Vec<Vec<u8>>;

/// A call on the log.
enum Call {
    Append(Vec<&'static str>),
    Rewrite(Vec<&'static str>),
}

use Call::{Append, Rewrite};

fn as_slices<'a>(records: &[&'a str]) -> Vec<&'a [u8]> {
    records.iter().map(|record| record.as_bytes()).collect()
}

fn to_records(records: &[&str]) -> Records {
    records
        .iter()
        .map(|record| record.as_bytes().to_vec())
        .collect()
}

fn open_log(disk: &SimulatedDisk) -> (AppendLog<SimulatedDisk>, Records) {
    AppendLog::open_on(disk.clone(), "ledger").unwrap()
}

/// Runs the calls until one fails. Returns the record lists that the file may hold then: the acknowledged records,
/// alone or with what the failed call may have stored.
fn run_calls(disk: &SimulatedDisk, calls: &[Call]) -> Vec<Records> {
    let mut acknowledged = Records::new();
    let Ok((mut log, _)) = AppendLog::open_on(disk.clone(), "ledger") else {
        return vec![acknowledged];
    };
    for call in calls {
        match call {
            Append(records) => {
                if log.append(&as_slices(records)).is_err() {
                    let more = to_records(records);
                    return (0..=more.len())
                        .map(|count| [&acknowledged[..], &more[..count]].concat())
                        .collect();
                }
                acknowledged.extend(to_records(records));
            }
            Rewrite(records) => {
                if log.rewrite(&as_slices(records)).is_err() {
                    return vec![acknowledged, to_records(records)];
                }
                acknowledged = to_records(records);
            }
        }
    }
    vec![acknowledged]
}

/// Opens the log after a kill or power loss, and checks that its records are among `allowed` and survive another power
/// loss, and that it accepts further records.
fn check_recovered(disk: &SimulatedDisk, allowed: &[Records], context: &str) {
    let (mut log, records) = match AppendLog::open_on(disk.clone(), "ledger") {
        Ok(opened) => opened,
        Err(error) => panic!("{context}: {error}"),
    };
    assert!(
        allowed.contains(&records),
        "{context}: {records:?} is none of {allowed:?}"
    );
    for disk_after_loss in disk.after_power_loss() {
        assert_eq!(
            open_log(&disk_after_loss).1,
            records,
            "{context}: after another power loss"
        );
    }
    log.append(&[b"more"]).unwrap();
    let more = [&records[..], &[b"more".to_vec()]].concat();
    for disk_after_loss in disk.after_power_loss() {
        assert_eq!(
            open_log(&disk_after_loss).1,
            more,
            "{context}: after an append and another power loss"
        );
    }
}

fn call_sequences() -> Vec<Vec<Call>> {
    vec![
        vec![
            Append(vec!["a"]),
            Append(vec!["bb", "", "cc"]),
            Append(vec!["d"]),
        ],
        vec![
            Append(vec!["a", "b"]),
            Rewrite(vec!["x", "yy"]),
            Append(vec!["z"]),
            Rewrite(vec!["q"]),
        ],
        vec![Rewrite(vec!["x"]), Rewrite(vec![]), Append(vec!["z", "zz"])],
    ]
}

#[rstest]
#[case::appends(0)]
#[case::rewrites(1)]
#[case::rewrites_first(2)]
fn log_recovers_from_kill_or_power_loss_at_every_byte(#[case] number: usize) {
    let calls = &call_sequences()[number];
    let uninterrupted = SimulatedDisk::new();
    run_calls(&uninterrupted, calls);
    for steps in 0..=uninterrupted.steps() {
        let disk = SimulatedDisk::new();
        disk.kill_after(steps);
        let allowed = run_calls(&disk, calls);
        check_recovered(
            &disk.after_kill(),
            &allowed,
            &format!("killed after {steps}"),
        );
        for (number, remaining) in disk.after_power_loss().iter().enumerate() {
            check_recovered(
                remaining,
                &allowed,
                &format!("power lost after {steps}, {number}"),
            );
        }
    }
}

#[test]
fn log_recovers_from_kill_or_power_loss_while_torn_file_is_opened() {
    let disk = SimulatedDisk::new();
    run_calls(&disk, &[Append(vec!["a"]), Append(vec!["bb", "cc"])]);
    let complete_file = disk.bytes("ledger").unwrap();
    let batch_offset = complete_file.len() - 2 * (format::RECORD_HEADER_BYTES + 2);
    for length in batch_offset..complete_file.len() {
        for steps in 0..20 {
            let disk = SimulatedDisk::new();
            disk.insert_synced_file("ledger", &complete_file[..length]);
            disk.insert_synced_file("ledger.new", b"remains");
            disk.kill_after(steps);
            let _ = AppendLog::open_on(disk.clone(), "ledger");
            let has_second_record = length >= batch_offset + format::RECORD_HEADER_BYTES + 2;
            let allowed = [if has_second_record {
                to_records(&["a", "bb"])
            } else {
                to_records(&["a"])
            }];
            check_recovered(
                &disk.after_kill(),
                &allowed,
                &format!("killed at {length}, {steps}"),
            );
            for remaining in disk.after_power_loss() {
                check_recovered(
                    &remaining,
                    &allowed,
                    &format!("power lost at {length}, {steps}"),
                );
            }
        }
    }
}

/// The first append also creates the file, so that only the second one is counted.
#[test]
fn append_of_a_batch_writes_once_and_syncs_once() {
    let disk = SimulatedDisk::new();
    let (mut log, _) = open_log(&disk);
    log.append(&[b"first"]).unwrap();
    let (writes, syncs) = disk.writes_and_syncs();
    log.append(&[b"a", b"b", b"c"]).unwrap();
    assert_eq!(disk.writes_and_syncs(), (writes + 1, syncs + 1));
}

/// Flips each bit of a file of four batches, the last one of three records. Damage before the last batch must be
/// reported with its offset; in the last batch it must truncate the file to the records before it.
#[test]
fn open_with_any_flipped_bit_reports_damage_or_torn_tail() {
    let disk = SimulatedDisk::new();
    let (mut log, _) = open_log(&disk);
    log.rewrite(&[b"zero", b"one"]).unwrap();
    log.append(&[b"two"]).unwrap();
    let last_batch_offset = log.len();
    log.append(&[b"three", b"", b"five"]).unwrap();
    let records = open_log(&disk).1;
    let ends: Vec<u64> = records
        .iter()
        .scan(format::FILE_HEADER_BYTES, |end, record| {
            *end += format::RECORD_HEADER_BYTES + record.len();
            Some(*end as u64)
        })
        .collect();
    let bytes = disk.bytes("ledger").unwrap();
    for bit in 0..bytes.len() * 8 {
        let mut flipped = bytes.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        let disk = SimulatedDisk::new();
        disk.insert_synced_file("ledger", &flipped);
        let byte = (bit / 8) as u64;
        let hit = ends.iter().position(|end| byte < *end).unwrap();
        match AppendLog::open_on(disk.clone(), "ledger") {
            Err(Error::InvalidHeader { .. }) => assert!(byte < format::FILE_HEADER_BYTES as u64),
            Err(Error::Damaged {
                record,
                offset,
                next_record_at,
                ..
            }) => {
                assert!(byte < last_batch_offset, "{bit}");
                let start = if hit == 0 {
                    format::FILE_HEADER_BYTES as u64
                } else {
                    ends[hit - 1]
                };
                assert_eq!(
                    (record, offset, next_record_at),
                    (hit as u64, start, ends[hit]),
                    "{bit}"
                );
            }
            Err(error) => panic!("{bit}: {error}"),
            Ok((log, recovered)) => {
                assert!(byte >= last_batch_offset, "{bit}");
                assert_eq!(recovered, records[..hit], "{bit}");
                assert_eq!(
                    log.truncated_tail().map(|tail| tail.offset),
                    Some(ends[hit - 1])
                );
            }
        }
        if byte < last_batch_offset {
            assert_eq!(disk.bytes("ledger").unwrap(), flipped, "file changed");
        }
    }
}

/// The later batch is damaged too, in its first record. Its second record must suffice to recognize a later batch.
#[test]
fn open_with_two_damaged_batches_reports_damage() {
    let disk = SimulatedDisk::new();
    let (mut log, _) = open_log(&disk);
    log.append(&[b"one"]).unwrap();
    let second_batch_offset = log.len() as usize;
    log.append(&[b"two", b"three"]).unwrap();
    let mut bytes = disk.bytes("ledger").unwrap();
    bytes[second_batch_offset - 1] ^= 1;
    bytes[second_batch_offset] ^= 1;
    let disk = SimulatedDisk::new();
    disk.insert_synced_file("ledger", &bytes);
    assert!(matches!(
        AppendLog::open_on(disk, "ledger"),
        Err(Error::Damaged { record: 0, .. })
    ));
}

/// The body of a torn record contains a log file. Its records must not be recovered, as checksums cover the offset.
#[test]
fn open_ignores_records_within_a_torn_body() {
    let disk = SimulatedDisk::new();
    let (mut log, _) = open_log(&disk);
    log.append(&[b"inner", b"inner too"]).unwrap();
    log.append(&[b"second"]).unwrap();
    let inner_file = disk.bytes("ledger").unwrap();
    let mut outer = format::file_header(format::FORMAT_VERSION).to_vec();
    format::encode_record_into(&mut outer, 0, None, b"one");
    let valid_length = outer.len() as u64;
    format::encode_record_into(&mut outer, 0, None, &inner_file);
    for length in valid_length as usize..outer.len() {
        // With a damaged header the length is unknown, so that the scan tries every offset in the body.
        for damage in [0, 1] {
            let mut torn = outer[..length].to_vec();
            torn.get_mut(valid_length as usize)
                .into_iter()
                .for_each(|byte| *byte ^= damage);
            let disk = SimulatedDisk::new();
            disk.insert_synced_file("ledger", &torn);
            let (log, records) = open_log(&disk);
            assert_eq!(
                (log.len(), records),
                (valid_length, to_records(&["one"])),
                "{length}"
            );
        }
    }
}

#[rstest]
#[case::empty(b"")]
#[case::incomplete_header(b"furrow\r\n\x01\0\0\0")]
#[case::json(b"{\"version\": 3, \"routes\": []}")]
fn open_of_another_kind_of_file_fails_and_leaves_it_unchanged(#[case] bytes: &[u8]) {
    let disk = SimulatedDisk::new();
    disk.insert_synced_file("ledger", bytes);
    assert!(matches!(
        AppendLog::open_on(disk.clone(), "ledger"),
        Err(Error::InvalidHeader { .. })
    ));
    assert_eq!(disk.bytes("ledger").unwrap(), bytes);
}

#[test]
fn open_of_unsupported_format_version_fails() {
    let disk = SimulatedDisk::new();
    let mut bytes = format::file_header(format::FORMAT_VERSION + 3).to_vec();
    bytes.extend_from_slice(b"whatever comes then");
    disk.insert_synced_file("ledger", &bytes);
    let result = AppendLog::open_on(disk.clone(), "ledger");
    assert!(
        matches!(result, Err(Error::NewerFormat { found, newest_supported, .. }) if (found, newest_supported) == (4, 1))
    );
    assert_eq!(disk.bytes("ledger").unwrap(), bytes);
    let disk = SimulatedDisk::new();
    disk.insert_synced_file("ledger", &format::file_header(0));
    assert!(matches!(
        AppendLog::open_on(disk, "ledger"),
        Err(Error::InvalidHeader { .. })
    ));
}

/// The disk has space for only some bytes of a batch of three records. The error must say that the disk is full,
/// nothing of the batch may remain, and appends must succeed once there is space, without reopening.
#[test]
fn append_succeeds_once_a_full_disk_has_space_again() {
    let disk = SimulatedDisk::new();
    run_calls(&disk, &[Append(vec!["a"])]);
    let used_bytes = disk.bytes("ledger").unwrap().len();
    for free_bytes in 0..3 * (format::RECORD_HEADER_BYTES + 2) {
        let disk = disk.after_kill();
        let (mut log, _) = open_log(&disk);
        disk.set_faults(Faults {
            capacity_bytes: Some(used_bytes + free_bytes),
            ..Faults::default()
        });
        for _ in 0..3 {
            assert!(
                log.append(&as_slices(&["bb", "cc", "dd"]))
                    .unwrap_err()
                    .is_full(),
                "{free_bytes}"
            );
            assert_eq!(log.len(), used_bytes as u64);
            assert_eq!(
                disk.bytes("ledger").unwrap().len(),
                used_bytes,
                "the partial batch must be truncated"
            );
            assert!(log.rewrite(&as_slices(&["x"; 9])).unwrap_err().is_full());
        }
        assert_eq!(disk.names(), ["ledger"]);
        for remaining in disk.after_power_loss() {
            assert_eq!(open_log(&remaining).1, to_records(&["a"]));
        }
        disk.set_faults(Faults::default());
        log.append(&as_slices(&["e", "f"])).unwrap();
        for remaining in disk.after_power_loss() {
            assert_eq!(open_log(&remaining).1, to_records(&["a", "e", "f"]));
        }
    }
}

/// The disk rejects writes and truncations after any number of bytes of a batch.
#[rstest]
fn append_succeeds_once_the_disk_accepts_writes_again(#[values(false, true)] restarts: bool) {
    let disk = SimulatedDisk::new();
    run_calls(&disk, &[Append(vec!["a"])]);
    let complete_file = disk.bytes("ledger").unwrap();
    let mut torn = complete_file.clone();
    format::encode_record_into(&mut torn, 0, None, b"torn");
    for length in complete_file.len()..torn.len() {
        let disk = SimulatedDisk::new();
        disk.insert_synced_file("ledger", &torn[..length]);
        disk.set_faults(Faults {
            rejects_writes: true,
            ..Faults::default()
        });
        let (mut log, records) = open_log(&disk);
        assert_eq!(records, to_records(&["a"]), "opening works on a full disk");
        assert!(log.append(&as_slices(&["b"])).unwrap_err().is_full());
        assert!(log.rewrite(&as_slices(&["b"])).unwrap_err().is_full());
        disk.set_faults(Faults::default());
        if restarts {
            log = open_log(&disk).0;
        }
        log.append(&as_slices(&["c"])).unwrap();
        for remaining in disk.after_power_loss() {
            assert_eq!(open_log(&remaining).1, to_records(&["a", "c"]), "{length}");
        }
    }
}

/// A torn batch could not be truncated because the disk was full. Its second record is complete and begins where the
/// next append's record ends: it must not be recovered after that append.
#[test]
fn append_after_rejected_truncation_truncates_first() {
    let disk = SimulatedDisk::new();
    run_calls(&disk, &[Append(vec!["a"]), Append(vec!["bb", "cc"])]);
    let mut torn = disk.bytes("ledger").unwrap();
    let batch_offset = torn.len() - 2 * (format::RECORD_HEADER_BYTES + 2);
    torn[batch_offset] ^= 1;
    let disk = SimulatedDisk::new();
    disk.insert_synced_file("ledger", &torn);
    disk.set_faults(Faults {
        rejects_writes: true,
        ..Faults::default()
    });
    let (mut log, records) = open_log(&disk);
    assert_eq!(records, to_records(&["a"]));
    disk.set_faults(Faults::default());
    log.append(&as_slices(&["dd"])).unwrap();
    for remaining in disk.after_power_loss() {
        assert_eq!(open_log(&remaining).1, to_records(&["a", "dd"]));
    }
}

#[test]
fn open_of_new_log_on_full_disk_succeeds() {
    let disk = SimulatedDisk::new();
    disk.set_faults(Faults {
        rejects_writes: true,
        ..Faults::default()
    });
    let (mut log, records) = open_log(&disk);
    assert!(records.is_empty() && log.is_empty());
    assert!(log.append(&as_slices(&["a"])).unwrap_err().is_full());
    assert!(disk.names().is_empty());
    disk.set_faults(Faults::default());
    log.append(&as_slices(&["b"])).unwrap();
    assert_eq!(open_log(&disk).1, to_records(&["b"]));
}

/// A sync fails. The bytes that it should have covered reach the disk or don't, and later syncs don't cover them.
#[rstest]
fn append_after_a_failed_sync_copies_the_file(#[values(false, true)] failed_sync_persists: bool) {
    for with_power_loss in [false, true] {
        let disk = SimulatedDisk::new();
        let (mut log, _) = open_log(&disk);
        log.append(&as_slices(&["a", "b"])).unwrap();
        disk.set_faults(Faults {
            fails_sync: true,
            failed_sync_persists,
            ..Faults::default()
        });
        for record in ["c", "d"] {
            let error = log.append(&as_slices(&[record])).unwrap_err();
            assert!(matches!(error, Error::Io { .. }) && !error.is_full());
        }
        let allowed = [to_records(&["a", "b"]), to_records(&["a", "b", "c"])];
        for remaining in disk.after_power_loss() {
            check_recovered(&remaining, &allowed, "power lost after a failed sync");
        }
        check_recovered(
            &disk.after_kill(),
            &allowed[..1],
            "killed after a failed sync",
        );
        disk.set_faults(Faults::default());
        if with_power_loss {
            // The repair copies the file; a power loss during the copy must leave the synced records.
            for steps in 0..200 {
                let mut disk = disk.after_kill();
                let mut log = log_after_failed_sync(&mut disk, failed_sync_persists);
                disk.kill_after(steps);
                let _ = log.append(&as_slices(&["e"]));
                let allowed = [
                    to_records(&["a", "b"]),
                    to_records(&["a", "b", "c"]),
                    to_records(&["a", "b", "e"]),
                ];
                for remaining in disk.after_power_loss() {
                    check_recovered(&remaining, &allowed, "power lost during the repair");
                }
            }
        }
        log.append(&as_slices(&["e"])).unwrap();
        for remaining in disk.after_power_loss() {
            assert_eq!(open_log(&remaining).1, to_records(&["a", "b", "e"]));
        }
    }
}

/// A log with the records "a" and "b" on a new disk, after a failed sync of "c".
fn log_after_failed_sync(
    disk: &mut SimulatedDisk,
    failed_sync_persists: bool,
) -> AppendLog<SimulatedDisk> {
    *disk = SimulatedDisk::new();
    let (mut log, _) = open_log(disk);
    log.append(&as_slices(&["a", "b"])).unwrap();
    disk.set_faults(Faults {
        fails_sync: true,
        failed_sync_persists,
        ..Faults::default()
    });
    log.append(&as_slices(&["c"])).unwrap_err();
    disk.set_faults(Faults::default());
    log
}

/// Whichever step of a rewrite fails, the file must be the old or the new one, and later appends must be durable.
#[rstest]
#[case::sync(Faults { fails_sync: true, ..Faults::default() }, false)]
#[case::rename(Faults { fails_rename: true, ..Faults::default() }, false)]
#[case::directory_sync(Faults { fails_directory_sync: true, ..Faults::default() }, true)]
#[case::writes(Faults { rejects_writes: true, ..Faults::default() }, false)]
fn failed_rewrite_leaves_the_old_or_the_new_file(
    #[case] faults: Faults,
    #[case] has_new_file: bool,
) {
    let disk = SimulatedDisk::new();
    let (mut log, _) = open_log(&disk);
    log.append(&as_slices(&["a", "b"])).unwrap();
    disk.set_faults(faults);
    log.rewrite(&as_slices(&["ab"])).unwrap_err();
    for remaining in disk.after_power_loss() {
        check_recovered(
            &remaining,
            &[to_records(&["a", "b"]), to_records(&["ab"])],
            "power lost after a failed rewrite",
        );
    }
    disk.set_faults(Faults::default());
    log.append(&as_slices(&["c"])).unwrap();
    let expected = if has_new_file {
        to_records(&["ab", "c"])
    } else {
        to_records(&["a", "b", "c"])
    };
    for remaining in disk.after_power_loss() {
        assert_eq!(open_log(&remaining).1, expected);
    }
}

/// The directory sync fails when the first append creates the file. The retried records must not be stored twice.
#[test]
fn failed_first_append_leaves_no_records() {
    let disk = SimulatedDisk::new();
    let (mut log, _) = open_log(&disk);
    disk.set_faults(Faults {
        fails_directory_sync: true,
        ..Faults::default()
    });
    log.append(&as_slices(&["a"])).unwrap_err();
    disk.set_faults(Faults::default());
    log.append(&as_slices(&["a"])).unwrap();
    assert_eq!(open_log(&disk).1, to_records(&["a"]));
}

#[test]
fn open_returns_hundred_thousand_records() {
    let disk = SimulatedDisk::new();
    let (mut log, _) = open_log(&disk);
    let records: Records = (0..100_000_u32)
        .map(|number| number.to_le_bytes().repeat(number as usize % 50))
        .collect();
    for batch in records.chunks(1_000) {
        let batch: Vec<&[u8]> = batch.iter().map(Vec::as_slice).collect();
        log.append(&batch).unwrap();
    }
    assert!(open_log(&disk).1 == records);
    let all: Vec<&[u8]> = records.iter().map(Vec::as_slice).collect();
    log.rewrite(&all).unwrap();
    log.append(&[b"last"]).unwrap();
    let (_, mut found) = open_log(&disk);
    assert_eq!(found.pop().unwrap(), b"last");
    assert!(found == records);
}

/// A process is killed at any step after a failed sync. The next one finds bytes that a further sync reports as synced,
/// though they may never have reached the disk.
#[rstest]
fn log_recovers_from_kill_after_failed_sync(#[values(false, true)] failed_sync_persists: bool) {
    for steps in 0..200 {
        let disk = SimulatedDisk::new();
        let (mut log, _) = open_log(&disk);
        log.append(&as_slices(&["a", "b"])).unwrap();
        disk.set_faults(Faults {
            fails_sync: true,
            failed_sync_persists,
            ..Faults::default()
        });
        disk.kill_after(steps);
        log.append(&as_slices(&["c", "d"])).unwrap_err();
        let _ = log.append(&as_slices(&["e"]));
        let allowed = [
            to_records(&["a", "b"]),
            to_records(&["a", "b", "c"]),
            to_records(&["a", "b", "c", "d"]),
        ];
        check_recovered(
            &disk.after_kill(),
            &allowed,
            &format!("killed after {steps}"),
        );
        for remaining in disk.after_power_loss() {
            check_recovered(&remaining, &allowed, &format!("power lost after {steps}"));
        }
    }
}

/// A rewrite fails for lack of space, and then the directory sync fails in a second rewrite and in an append. Whichever
/// directory entries a power loss leaves, the file under the log's name must be complete.
#[test]
fn log_recovers_from_several_failed_rewrites() {
    let disk = SimulatedDisk::new();
    let (mut log, _) = open_log(&disk);
    log.append(&as_slices(&["a", "b"])).unwrap();
    disk.set_faults(Faults {
        capacity_bytes: Some(0),
        ..Faults::default()
    });
    log.rewrite(&as_slices(&["ab"])).unwrap_err();
    disk.set_faults(Faults {
        fails_directory_sync: true,
        ..Faults::default()
    });
    log.rewrite(&as_slices(&["ab"])).unwrap_err();
    log.append(&as_slices(&["c"])).unwrap_err();
    let allowed = [to_records(&["a", "b"]), to_records(&["ab"])];
    for remaining in disk.after_power_loss() {
        check_recovered(&remaining, &allowed, "power lost");
    }
}
