//! Byte format of locks, counters and cells in messages, records and snapshots. `fixtures/coordination.txt` holds the
//! bytes written by the first release that had them; each line is `<sample> <hex>`.

mod samples;

use protocol::{
    decode_record, encode_record, CellGroupRecord, CellRecord, Change, Command, CoordinationChange,
    CoordinationRequest, CoordinationSnapshot, LockRecord, Message, NumberRecord, Snapshot,
};

const FIXTURE: &str = include_str!("fixtures/coordination.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn cell_record(revision: u64, is_conditional: bool) -> CellRecord {
    CellRecord {
        name: "g1.a".into(),
        value: format!("v{revision}"),
        revision,
        replaced_revision: revision - 1,
        is_conditional,
    }
}

fn requests() -> Vec<CoordinationRequest> {
    let (name, holder) = (|| "l1".to_owned(), || "a3.7".to_owned());
    vec![
        CoordinationRequest::AcquireLock {
            name: name(),
            holder: holder(),
            hold_ms: 3000,
            attempt: 0x0102_0304_0506_0708,
        },
        CoordinationRequest::RenewLock {
            name: name(),
            holder: holder(),
            fence: 41,
            hold_ms: 3001,
        },
        CoordinationRequest::ReleaseLock {
            name: name(),
            holder: holder(),
            fence: 42,
        },
        CoordinationRequest::NextNumber { name: "n2".into() },
        CoordinationRequest::PutCell {
            name: "g1.2d".into(),
            value: "5c0e".into(),
            expected_revision: Some(907),
        },
        CoordinationRequest::PutCell {
            name: "g1.2d".into(),
            value: "5c0f".into(),
            expected_revision: None,
        },
        CoordinationRequest::ReadCell {
            name: "g1.2d".into(),
        },
        CoordinationRequest::Watch {
            group: "g1.".into(),
            after: 930,
            wait_ms: 2000,
        },
        CoordinationRequest::ListLocks { reserved: 0 },
        CoordinationRequest::ListCells {
            group: "g1.".into(),
        },
        CoordinationRequest::FreeLock { name: name() },
    ]
}

fn changes() -> Vec<CoordinationChange> {
    vec![
        CoordinationChange::LockAcquired {
            name: "l1".into(),
            holder: "a3.7".into(),
            hold_ms: 3000,
            attempt: 7,
        },
        CoordinationChange::LockExtended {
            name: "l1".into(),
            hold_ms: 4000,
        },
        CoordinationChange::LockReleased { name: "l1".into() },
        CoordinationChange::NumberTaken { name: "n2".into() },
        CoordinationChange::CellPut {
            name: "g1.2d".into(),
            value: "5c0e".into(),
            expected_revision: Some(907),
        },
        CoordinationChange::HistoryTrimmed {
            group: "g1.".into(),
            floor: 800,
        },
    ]
}

fn snapshot() -> Snapshot {
    Snapshot {
        coordination: Some(CoordinationSnapshot {
            fleet_index: 39,
            last_fence: 41,
            locks: vec![LockRecord {
                name: "l1".into(),
                holder: "a3.7".into(),
                fence: 41,
                hold_ms: 3000,
                attempt: 7,
            }],
            numbers: vec![NumberRecord {
                name: "n2".into(),
                value: 5120,
            }],
            groups: vec![CellGroupRecord {
                name: "g1.".into(),
                floor: 6,
                cells: vec![cell_record(8, true)],
                history: vec![cell_record(7, false), cell_record(8, true)],
            }],
        }),
        ..samples::snapshot()
    }
}

fn renewal() -> Message {
    Message::RenewLeaseWithFleetIndex {
        epoch: 45,
        requested_at_ms: 46,
        commit_index: 47,
        echoed_clock_ms: 48,
        fleet_index: 39,
    }
}

fn encoded_samples() -> Vec<(String, Vec<u8>)> {
    let mut samples: Vec<(String, Vec<u8>)> = Vec::new();
    for (number, request) in requests().into_iter().enumerate() {
        let bytes = encode_record(&Command::Coordinate { request });
        samples.push((format!("Command.Coordinate.{number}"), bytes));
    }
    for (number, change) in changes().into_iter().enumerate() {
        let bytes = encode_record(&Change::Coordinate { change });
        samples.push((format!("Change.Coordinate.{number}"), bytes));
    }
    samples.push(("Snapshot".into(), encode_record(&snapshot())));
    samples.push(("RenewLease".into(), encode_record(&renewal())));
    samples
}

#[test]
fn bytes_of_coordination_match_fixture() {
    let lines: Vec<String> = encoded_samples()
        .iter()
        .map(|(name, bytes)| format!("{name} {}", hex(bytes)))
        .collect();
    assert_eq!(FIXTURE.lines().collect::<Vec<_>>(), lines);
}

#[test]
fn encoded_values_decode_to_equal_values() {
    for request in requests() {
        let command = Command::Coordinate { request };
        assert_eq!(
            decode_record::<Command>(&encode_record(&command)).unwrap(),
            command
        );
    }
    for change in changes() {
        let change = Change::Coordinate { change };
        assert_eq!(
            decode_record::<Change>(&encode_record(&change)).unwrap(),
            change
        );
    }
    let snapshot = snapshot();
    assert_eq!(
        decode_record::<Snapshot>(&encode_record(&snapshot)).unwrap(),
        snapshot
    );
    assert_eq!(
        decode_record::<Message>(&encode_record(&renewal())).unwrap(),
        renewal()
    );
}

#[test]
fn snapshot_without_coordination_encodes_as_in_earlier_releases() {
    let with_coordination = encode_record(&snapshot());
    let without_coordination = encode_record(&samples::snapshot());
    assert_eq!(
        with_coordination[..without_coordination.len()],
        without_coordination[..]
    );
    let truncated = decode_record::<Snapshot>(&with_coordination[..with_coordination.len() - 1]);
    assert!(
        truncated.is_err(),
        "an incomplete coordination state is rejected"
    );
}
