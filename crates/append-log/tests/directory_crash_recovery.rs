//! Recovery of several logs in one directory from a kill or power loss at each step. Each unsynced change of a
//! directory entry is kept or lost independently.

mod simulated_disk;

use append_log::AppendLog;
use rstest::rstest;
use simulated_disk::SimulatedDisk;

type Records = Vec<Vec<u8>>;

/// What each log may hold after the calls so far: the acknowledged records, and those including the latest call, which
/// may have been interrupted.
#[derive(Debug, Default)]
struct ExpectedRecords {
    ledger: (Records, Records),
    identity: (Records, Records),
}

/// Calls of a member on its expected_records directory: file, whether it is rewritten rather than appended to, and the
/// records.
const CALLS: [(&str, bool, &[&[u8]]); 9] = [
    ("ledger", true, &[b"owner"]),
    ("identity", false, &[b"life 1"]),
    ("ledger", false, &[b"promise 1"]),
    ("roster", true, &[b"hosts"]),
    ("ledger", false, &[b"change 1", b"change 2"]),
    ("ledger", true, &[b"owner", b"snapshot 2"]),
    ("roster", true, &[b"hosts again"]),
    ("identity", true, &[b"life 2"]),
    ("ledger", false, &[b"change 3"]),
];

fn run_calls(disk: &SimulatedDisk) -> ExpectedRecords {
    let mut expected = ExpectedRecords::default();
    let open = |name: &str| AppendLog::open_on(disk.clone(), name);
    let (Ok((mut identity, _)), Ok((mut ledger, _)), Ok((mut roster, _))) =
        (open("identity"), open("ledger"), open("roster"))
    else {
        return expected;
    };
    for (name, is_rewrite, records) in CALLS {
        let mut unchecked = Default::default();
        let (file, expected_records) = match name {
            "ledger" => (&mut ledger, &mut expected.ledger),
            "identity" => (&mut identity, &mut expected.identity),
            _ => (&mut roster, &mut unchecked),
        };
        let new_records: Records = records.iter().map(|record| record.to_vec()).collect();
        let records_after = if is_rewrite {
            new_records
        } else {
            [expected_records.0.clone(), new_records].concat()
        };
        expected_records.1.clone_from(&records_after);
        let result = if is_rewrite {
            file.rewrite(records)
        } else {
            file.append(records)
        };
        if result.is_err() {
            return expected;
        }
        expected_records.0 = records_after;
    }
    expected
}

/// Whether the records are the acknowledged ones, those including the latest call, or a prefix of an append in between.
fn is_allowed(records: &Records, expected_records: &(Records, Records)) -> bool {
    let (acknowledged, in_flight) = expected_records;
    let is_partial_append = in_flight.starts_with(acknowledged)
        && in_flight.starts_with(records)
        && records.starts_with(acknowledged);
    records == acknowledged || records == in_flight || is_partial_append
}

fn check_recovered(disk: &SimulatedDisk, expected: &ExpectedRecords, context: &str) {
    let open = |name: &str| {
        AppendLog::open_on(disk.clone(), name)
            .unwrap_or_else(|error| panic!("{context}: {error}"))
            .1
    };
    let (identity, ledger) = (open("identity"), open("ledger"));
    open("roster");
    assert!(
        is_allowed(&ledger, &expected.ledger),
        "{context}: {ledger:?} for {:?}",
        expected.ledger
    );
    assert!(
        is_allowed(&identity, &expected.identity),
        "{context}: {identity:?} for {:?}",
        expected.identity
    );
    // An identity must never exist without the owner record in the ledger.
    let has_owner = ledger.first().is_some_and(|record| record == b"owner");
    assert!(
        identity.is_empty() || has_owner,
        "{context}: identity without its owner record in the ledger"
    );
    assert!(
        ledger.len() < 2 || !identity.is_empty(),
        "{context}: promises in the ledger without an identity"
    );
}

#[rstest]
fn logs_recover_from_kill_or_power_loss_with_unsynced_names() {
    let uninterrupted = SimulatedDisk::new();
    run_calls(&uninterrupted);
    let mut power_losses = 0;
    for steps in 0..=uninterrupted.steps() {
        let disk = SimulatedDisk::new();
        disk.kill_after(steps);
        let expected = run_calls(&disk);
        check_recovered(
            &disk.after_kill(),
            &expected,
            &format!("killed after {steps}"),
        );
        for (number, disk_after_loss) in disk.after_power_loss().iter().enumerate() {
            check_recovered(
                disk_after_loss,
                &expected,
                &format!("power lost after {steps}, {number}"),
            );
            power_losses += 1;
        }
    }
    assert!(power_losses > 1_000, "only {power_losses} power losses");
}
