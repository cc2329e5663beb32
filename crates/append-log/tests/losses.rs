//! Kills, losses of power, full disks and failed syncs, at every byte.

mod simulated;

use append_log::{format, AppendLog, Error};
use rstest::rstest;
use simulated::{Faults, Simulated};

type Records = Vec<Vec<u8>>;

/// A call of a story.
enum Call {
    Append(Vec<&'static str>),
    Rewrite(Vec<&'static str>),
}

use Call::{Append, Rewrite};

fn slices<'a>(records: &[&'a str]) -> Vec<&'a [u8]> {
    records.iter().map(|record| record.as_bytes()).collect()
}

fn owned(records: &[&str]) -> Records {
    records
        .iter()
        .map(|record| record.as_bytes().to_vec())
        .collect()
}

fn open(disk: &Simulated) -> (AppendLog<Simulated>, Records) {
    AppendLog::open_on(disk.clone(), "ledger").unwrap()
}

/// What the file may hold: what was acknowledged, or that with the first records of the call that was under way.
fn run_calls(disk: &Simulated, story: &[Call]) -> Vec<Records> {
    let mut now = Records::new();
    let Ok((mut ledger, _)) = AppendLog::open_on(disk.clone(), "ledger") else {
        return vec![now];
    };
    for call in story {
        match call {
            Append(records) => {
                if ledger.append(&slices(records)).is_err() {
                    let more = owned(records);
                    return (0..=more.len())
                        .map(|count| [&now[..], &more[..count]].concat())
                        .collect();
                }
                now.extend(owned(records));
            }
            Rewrite(records) => {
                if ledger.rewrite(&slices(records)).is_err() {
                    return vec![now, owned(records)];
                }
                now = owned(records);
            }
        }
    }
    vec![now]
}

/// Opens what a loss left; the records given are among `may_be`, outlast a further loss of power, and the file takes
/// more.
fn check_recovered(disk: &Simulated, may_be: &[Records], what: &str) {
    let (mut ledger, records) = match AppendLog::open_on(disk.clone(), "ledger") {
        Ok(opened) => opened,
        Err(error) => panic!("{what}: {error}"),
    };
    assert!(
        may_be.contains(&records),
        "{what}: {records:?} is none of {may_be:?}"
    );
    for later in disk.after_power_loss() {
        assert_eq!(open(&later).1, records, "{what}: once more");
    }
    ledger.append(&[b"more"]).unwrap();
    let more = [&records[..], &[b"more".to_vec()]].concat();
    for later in disk.after_power_loss() {
        assert_eq!(open(&later).1, more, "{what}: then more");
    }
}

fn stories() -> Vec<Vec<Call>> {
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
fn kill_or_power_loss_at_every_byte_then_log_recovers(#[case] number: usize) {
    let story = &stories()[number];
    let whole = Simulated::new();
    run_calls(&whole, story);
    for steps in 0..=whole.steps() {
        let disk = Simulated::new();
        disk.kill_after(steps);
        let may_be = run_calls(&disk, story);
        check_recovered(
            &disk.after_kill(),
            &may_be,
            &format!("killed after {steps}"),
        );
        for (number, left) in disk.after_power_loss().iter().enumerate() {
            check_recovered(
                left,
                &may_be,
                &format!("power lost after {steps}, {number}"),
            );
        }
    }
}

#[test]
fn kill_or_power_loss_while_a_torn_file_is_opened_then_log_recovers() {
    let disk = Simulated::new();
    run_calls(&disk, &[Append(vec!["a"]), Append(vec!["bb", "cc"])]);
    let whole = disk.bytes("ledger").unwrap();
    let batch = whole.len() - 2 * (format::RECORD_HEADER_BYTES + 2);
    for length in batch..whole.len() {
        for steps in 0..20 {
            let disk = Simulated::new();
            disk.put("ledger", &whole[..length]);
            disk.put("ledger.new", b"remains");
            disk.kill_after(steps);
            let _ = AppendLog::open_on(disk.clone(), "ledger");
            let second = length >= batch + format::RECORD_HEADER_BYTES + 2;
            let may_be = [if second {
                owned(&["a", "bb"])
            } else {
                owned(&["a"])
            }];
            check_recovered(
                &disk.after_kill(),
                &may_be,
                &format!("killed at {length}, {steps}"),
            );
            for left in disk.after_power_loss() {
                check_recovered(&left, &may_be, &format!("power lost at {length}, {steps}"));
            }
        }
    }
}

/// A batch is one write and one sync; the first one makes the file besides.
#[test]
fn append_of_a_batch_then_writes_once_and_syncs_once() {
    let disk = Simulated::new();
    let (mut ledger, _) = open(&disk);
    ledger.append(&[b"first"]).unwrap();
    let (writes, syncs) = disk.writes_and_syncs();
    ledger.append(&[b"a", b"b", b"c"]).unwrap();
    assert_eq!(disk.writes_and_syncs(), (writes + 1, syncs + 1));
}

/// Every bit of a file of four batches, one of them of three records, turned over: the file is refused with the place,
/// or the records are those before the damage in the last batch.
#[test]
fn open_when_any_bit_is_flipped_then_reports_damage_or_a_torn_tail() {
    let disk = Simulated::new();
    let (mut ledger, _) = open(&disk);
    ledger.rewrite(&[b"zero", b"one"]).unwrap();
    ledger.append(&[b"two"]).unwrap();
    let last = ledger.len();
    ledger.append(&[b"three", b"", b"five"]).unwrap();
    let records = open(&disk).1;
    let ends: Vec<u64> = records
        .iter()
        .scan(format::FILE_HEADER_BYTES, |end, record| {
            *end += format::RECORD_HEADER_BYTES + record.len();
            Some(*end as u64)
        })
        .collect();
    let bytes = disk.bytes("ledger").unwrap();
    for bit in 0..bytes.len() * 8 {
        let mut turned = bytes.clone();
        turned[bit / 8] ^= 1 << (bit % 8);
        let disk = Simulated::new();
        disk.put("ledger", &turned);
        let at = (bit / 8) as u64;
        let hit = ends.iter().position(|end| at < *end).unwrap();
        match AppendLog::open_on(disk.clone(), "ledger") {
            Err(Error::Header { .. }) => assert!(at < format::FILE_HEADER_BYTES as u64),
            Err(Error::Damaged {
                record,
                offset,
                next_record_at,
                ..
            }) => {
                assert!(at < last, "{bit}");
                let begin = if hit == 0 {
                    format::FILE_HEADER_BYTES as u64
                } else {
                    ends[hit - 1]
                };
                assert_eq!(
                    (record, offset, next_record_at),
                    (hit as u64, begin, ends[hit]),
                    "{bit}"
                );
            }
            Err(error) => panic!("{bit}: {error}"),
            Ok((ledger, left)) => {
                assert!(at >= last, "{bit}");
                assert_eq!(left, records[..hit], "{bit}");
                assert_eq!(
                    ledger.truncated_tail().map(|cut| cut.offset),
                    Some(ends[hit - 1])
                );
            }
        }
        if at < last {
            assert_eq!(disk.bytes("ledger").unwrap(), turned, "left as it is");
        }
    }
}

/// Two damages: a later batch is known by any of its records.
#[test]
fn open_when_two_batches_are_damaged_then_reports_damage() {
    let disk = Simulated::new();
    let (mut ledger, _) = open(&disk);
    ledger.append(&[b"one"]).unwrap();
    let next = ledger.len() as usize;
    ledger.append(&[b"two", b"three"]).unwrap();
    let mut bytes = disk.bytes("ledger").unwrap();
    bytes[next - 1] ^= 1;
    bytes[next] ^= 1;
    let disk = Simulated::new();
    disk.put("ledger", &bytes);
    assert!(matches!(
        AppendLog::open_on(disk, "ledger"),
        Err(Error::Damaged { record: 0, .. })
    ));
}

/// Records are bound to their place: a file inside a record isn't taken for records.
#[test]
fn open_when_a_torn_body_holds_records_then_ignores_them() {
    let disk = Simulated::new();
    let (mut ledger, _) = open(&disk);
    ledger.append(&[b"inner", b"inner too"]).unwrap();
    ledger.append(&[b"second"]).unwrap();
    let inside = disk.bytes("ledger").unwrap();
    let mut outer = format::header(format::FORMAT_VERSION).to_vec();
    format::encode_record_into(&mut outer, 0, None, b"one");
    let good = outer.len() as u64;
    format::encode_record_into(&mut outer, 0, None, &inside);
    for length in good as usize..outer.len() {
        // With its head damaged too, its length isn't known and every byte of it is tried.
        for damage in [0, 1] {
            let mut torn = outer[..length].to_vec();
            torn.get_mut(good as usize)
                .into_iter()
                .for_each(|byte| *byte ^= damage);
            let disk = Simulated::new();
            disk.put("ledger", &torn);
            let (ledger, records) = open(&disk);
            assert_eq!((ledger.len(), records), (good, owned(&["one"])), "{length}");
        }
    }
}

#[rstest]
#[case::nothing(b"")]
#[case::half_a_header(b"furrow\r\n\x01\0\0\0")]
#[case::something_else(b"{\"version\": 3, \"routes\": []}")]
fn open_when_file_is_of_another_kind_then_fails_and_leaves_it(#[case] bytes: &[u8]) {
    let disk = Simulated::new();
    disk.put("ledger", bytes);
    assert!(matches!(
        AppendLog::open_on(disk.clone(), "ledger"),
        Err(Error::Header { .. })
    ));
    assert_eq!(disk.bytes("ledger").unwrap(), bytes);
}

#[test]
fn open_when_format_is_later_then_fails_with_its_number() {
    let disk = Simulated::new();
    let mut bytes = format::header(format::FORMAT_VERSION + 3).to_vec();
    bytes.extend_from_slice(b"whatever comes then");
    disk.put("ledger", &bytes);
    let refused = AppendLog::open_on(disk.clone(), "ledger");
    assert!(matches!(refused, Err(Error::Newer { found, known, .. }) if (found, known) == (4, 1)));
    assert_eq!(disk.bytes("ledger").unwrap(), bytes);
    let disk = Simulated::new();
    disk.put("ledger", &format::header(0));
    assert!(matches!(
        AppendLog::open_on(disk, "ledger"),
        Err(Error::Header { .. })
    ));
}

/// Room for any number of the bytes of a batch of three: the error says that the disk is full, nothing of the batch
/// stays, and the file takes records once there is room, without a new start.
#[test]
fn append_when_a_full_disk_has_space_again_then_succeeds() {
    let disk = Simulated::new();
    run_calls(&disk, &[Append(vec!["a"])]);
    let used = disk.bytes("ledger").unwrap().len();
    for room in 0..3 * (format::RECORD_HEADER_BYTES + 2) {
        let disk = disk.after_kill();
        let (mut ledger, _) = open(&disk);
        disk.set_faults(Faults {
            room: Some(used + room),
            ..Faults::default()
        });
        for _ in 0..3 {
            assert!(
                ledger
                    .append(&slices(&["bb", "cc", "dd"]))
                    .unwrap_err()
                    .is_full(),
                "{room}"
            );
            assert_eq!(ledger.len(), used as u64);
            assert_eq!(disk.bytes("ledger").unwrap().len(), used, "cut back");
            assert!(ledger.rewrite(&slices(&["x"; 9])).unwrap_err().is_full());
        }
        assert_eq!(disk.names(), ["ledger"]);
        for left in disk.after_power_loss() {
            assert_eq!(open(&left).1, owned(&["a"]));
        }
        disk.set_faults(Faults::default());
        ledger.append(&slices(&["e", "f"])).unwrap();
        for left in disk.after_power_loss() {
            assert_eq!(open(&left).1, owned(&["a", "e", "f"]));
        }
    }
}

/// A disk that refuses every write, cuts too, from any byte of a batch on.
#[rstest]
fn append_when_disk_accepts_writes_again_then_succeeds(#[values(false, true)] restarts: bool) {
    let disk = Simulated::new();
    run_calls(&disk, &[Append(vec!["a"])]);
    let whole = disk.bytes("ledger").unwrap();
    let mut torn = whole.clone();
    format::encode_record_into(&mut torn, 0, None, b"torn");
    for length in whole.len()..torn.len() {
        let disk = Simulated::new();
        disk.put("ledger", &torn[..length]);
        disk.set_faults(Faults {
            refuses_writes: true,
            ..Faults::default()
        });
        let (mut ledger, records) = open(&disk);
        assert_eq!(records, owned(&["a"]), "a full disk opens");
        assert!(ledger.append(&slices(&["b"])).unwrap_err().is_full());
        assert!(ledger.rewrite(&slices(&["b"])).unwrap_err().is_full());
        disk.set_faults(Faults::default());
        if restarts {
            ledger = open(&disk).0;
        }
        ledger.append(&slices(&["c"])).unwrap();
        for left in disk.after_power_loss() {
            assert_eq!(open(&left).1, owned(&["a", "c"]), "{length}");
        }
    }
}

/// A torn batch that could not be cut off, as the disk was full, has a whole record just where the next append's first
/// one ends: it doesn't come back with it.
#[test]
fn append_when_truncation_was_refused_then_truncates_first() {
    let disk = Simulated::new();
    run_calls(&disk, &[Append(vec!["a"]), Append(vec!["bb", "cc"])]);
    let mut torn = disk.bytes("ledger").unwrap();
    let batch = torn.len() - 2 * (format::RECORD_HEADER_BYTES + 2);
    torn[batch] ^= 1;
    let disk = Simulated::new();
    disk.put("ledger", &torn);
    disk.set_faults(Faults {
        refuses_writes: true,
        ..Faults::default()
    });
    let (mut ledger, records) = open(&disk);
    assert_eq!(records, owned(&["a"]));
    disk.set_faults(Faults::default());
    ledger.append(&slices(&["dd"])).unwrap();
    for left in disk.after_power_loss() {
        assert_eq!(open(&left).1, owned(&["a", "dd"]));
    }
}

#[test]
fn open_when_disk_is_full_and_empty_then_succeeds() {
    let disk = Simulated::new();
    disk.set_faults(Faults {
        refuses_writes: true,
        ..Faults::default()
    });
    let (mut ledger, records) = open(&disk);
    assert!(records.is_empty() && ledger.is_empty());
    assert!(ledger.append(&slices(&["a"])).unwrap_err().is_full());
    assert!(disk.names().is_empty());
    disk.set_faults(Faults::default());
    ledger.append(&slices(&["b"])).unwrap();
    assert_eq!(open(&disk).1, owned(&["b"]));
}

/// A sync fails and what it should have covered never reaches the disk, or does, though later syncs don't tell.
#[rstest]
fn append_after_a_failed_sync_then_copies_the_file(
    #[values(false, true)] failed_sync_writes: bool,
) {
    for then_power in [false, true] {
        let disk = Simulated::new();
        let (mut ledger, _) = open(&disk);
        ledger.append(&slices(&["a", "b"])).unwrap();
        disk.set_faults(Faults {
            fails_sync: true,
            failed_sync_writes,
            ..Faults::default()
        });
        for record in ["c", "d"] {
            let error = ledger.append(&slices(&[record])).unwrap_err();
            assert!(matches!(error, Error::Io { .. }) && !error.is_full());
        }
        let may_be = [owned(&["a", "b"]), owned(&["a", "b", "c"])];
        for left in disk.after_power_loss() {
            check_recovered(&left, &may_be, "power lost after a failed sync");
        }
        check_recovered(
            &disk.after_kill(),
            &may_be[..1],
            "killed after a failed sync",
        );
        disk.set_faults(Faults::default());
        if then_power {
            // The mending copies; losses of power in the midst leave what was synced.
            for steps in 0..200 {
                let mut disk = disk.after_kill();
                let mut ledger = broken(&mut disk, failed_sync_writes);
                disk.kill_after(steps);
                let _ = ledger.append(&slices(&["e"]));
                let may_be = [
                    owned(&["a", "b"]),
                    owned(&["a", "b", "c"]),
                    owned(&["a", "b", "e"]),
                ];
                for left in disk.after_power_loss() {
                    check_recovered(&left, &may_be, "power lost while mending");
                }
            }
        }
        ledger.append(&slices(&["e"])).unwrap();
        for left in disk.after_power_loss() {
            assert_eq!(open(&left).1, owned(&["a", "b", "e"]));
        }
    }
}

/// A file with the records "a" and "b" on a new disk, after a failed sync of "c".
fn broken(disk: &mut Simulated, failed_sync_writes: bool) -> AppendLog<Simulated> {
    *disk = Simulated::new();
    let (mut ledger, _) = open(disk);
    ledger.append(&slices(&["a", "b"])).unwrap();
    disk.set_faults(Faults {
        fails_sync: true,
        failed_sync_writes,
        ..Faults::default()
    });
    ledger.append(&slices(&["c"])).unwrap_err();
    disk.set_faults(Faults::default());
    ledger
}

/// Whatever step of a rewrite fails, the file is old or new, and what is appended then lasts.
#[rstest]
#[case::sync(Faults { fails_sync: true, ..Faults::default() }, false)]
#[case::rename(Faults { fails_rename: true, ..Faults::default() }, false)]
#[case::names(Faults { fails_sync_names: true, ..Faults::default() }, true)]
#[case::writes(Faults { refuses_writes: true, ..Faults::default() }, false)]
fn rewrite_when_it_fails_then_leaves_the_old_or_the_new_file(
    #[case] faults: Faults,
    #[case] is_new: bool,
) {
    let disk = Simulated::new();
    let (mut ledger, _) = open(&disk);
    ledger.append(&slices(&["a", "b"])).unwrap();
    disk.set_faults(faults);
    ledger.rewrite(&slices(&["ab"])).unwrap_err();
    for left in disk.after_power_loss() {
        check_recovered(
            &left,
            &[owned(&["a", "b"]), owned(&["ab"])],
            "power lost after a failed rewrite",
        );
    }
    disk.set_faults(Faults::default());
    ledger.append(&slices(&["c"])).unwrap();
    let now = if is_new {
        owned(&["ab", "c"])
    } else {
        owned(&["a", "b", "c"])
    };
    for left in disk.after_power_loss() {
        assert_eq!(open(&left).1, now);
    }
}

/// The folder's sync fails when the first append makes the file: its records are not in it twice.
#[test]
fn append_when_the_first_fails_then_leaves_no_records() {
    let disk = Simulated::new();
    let (mut ledger, _) = open(&disk);
    disk.set_faults(Faults {
        fails_sync_names: true,
        ..Faults::default()
    });
    ledger.append(&slices(&["a"])).unwrap_err();
    disk.set_faults(Faults::default());
    ledger.append(&slices(&["a"])).unwrap();
    assert_eq!(open(&disk).1, owned(&["a"]));
}

#[test]
fn open_with_hundred_thousand_records_then_returns_all() {
    let disk = Simulated::new();
    let (mut ledger, _) = open(&disk);
    let records: Records = (0..100_000_u32)
        .map(|number| number.to_le_bytes().repeat(number as usize % 50))
        .collect();
    for batch in records.chunks(1_000) {
        let batch: Vec<&[u8]> = batch.iter().map(Vec::as_slice).collect();
        ledger.append(&batch).unwrap();
    }
    assert!(open(&disk).1 == records);
    let all: Vec<&[u8]> = records.iter().map(Vec::as_slice).collect();
    ledger.rewrite(&all).unwrap();
    ledger.append(&[b"last"]).unwrap();
    let (_, mut found) = open(&disk);
    assert_eq!(found.pop().unwrap(), b"last");
    assert!(found == records);
}

/// The process that saw a sync fail is killed at any step: the next one finds bytes that a sync calls synced though
/// they may never have reached the disk.
#[rstest]
fn kill_after_a_failed_sync_then_log_recovers(#[values(false, true)] failed_sync_writes: bool) {
    for steps in 0..200 {
        let disk = Simulated::new();
        let (mut ledger, _) = open(&disk);
        ledger.append(&slices(&["a", "b"])).unwrap();
        disk.set_faults(Faults {
            fails_sync: true,
            failed_sync_writes,
            ..Faults::default()
        });
        disk.kill_after(steps);
        ledger.append(&slices(&["c", "d"])).unwrap_err();
        let _ = ledger.append(&slices(&["e"]));
        let may_be = [
            owned(&["a", "b"]),
            owned(&["a", "b", "c"]),
            owned(&["a", "b", "c", "d"]),
        ];
        check_recovered(
            &disk.after_kill(),
            &may_be,
            &format!("killed after {steps}"),
        );
        for left in disk.after_power_loss() {
            check_recovered(&left, &may_be, &format!("power lost after {steps}"));
        }
    }
}

/// A rewrite that found no room, then ones whose names may not last: whatever a loss of power leaves of the names,
/// the file under the name is a whole one.
#[test]
fn rewrite_when_several_fail_in_a_row_then_log_recovers() {
    let disk = Simulated::new();
    let (mut ledger, _) = open(&disk);
    ledger.append(&slices(&["a", "b"])).unwrap();
    disk.set_faults(Faults {
        room: Some(0),
        ..Faults::default()
    });
    ledger.rewrite(&slices(&["ab"])).unwrap_err();
    disk.set_faults(Faults {
        fails_sync_names: true,
        ..Faults::default()
    });
    ledger.rewrite(&slices(&["ab"])).unwrap_err();
    ledger.append(&slices(&["c"])).unwrap_err();
    let may_be = [owned(&["a", "b"]), owned(&["ab"])];
    for left in disk.after_power_loss() {
        check_recovered(&left, &may_be, "power lost");
    }
}
