//! Random sequences of calls, faults, kills and power losses.

mod simulated_disk;

use append_log::AppendLog;
use proptest::prelude::*;
use simulated_disk::{Faults, SimulatedDisk};

type Records = Vec<Vec<u8>>;

#[derive(Clone, Debug)]
enum Operation {
    Append(Vec<usize>),
    Rewrite(Vec<usize>),
    Faults(Faults),
    Kill,
    /// Kills the process after this number of further steps of the disk.
    KillAfter(u64),
    PowerLoss,
}

fn faults() -> impl Strategy<Value = Faults> {
    prop_oneof![
        2 => Just(Faults::default()),
        1 => (0..2_000_usize).prop_map(|capacity| Faults { capacity_bytes: Some(capacity), ..Faults::default() }),
        1 => Just(Faults { rejects_writes: true, ..Faults::default() }),
        1 => any::<bool>().prop_map(|failed_sync_persists| Faults {
            fails_sync: true,
            failed_sync_persists,
            ..Faults::default()
        }),
        1 => Just(Faults { fails_directory_sync: true, ..Faults::default() }),
        1 => Just(Faults { fails_rename: true, ..Faults::default() }),
    ]
}

fn operation() -> impl Strategy<Value = Operation> {
    let sizes = || prop::collection::vec(0..40_usize, 0..5);
    prop_oneof![
        6 => sizes().prop_map(Operation::Append),
        2 => sizes().prop_map(Operation::Rewrite),
        3 => faults().prop_map(Operation::Faults),
        1 => Just(Operation::Kill),
        1 => (0..300_u64).prop_map(Operation::KillAfter),
        2 => Just(Operation::PowerLoss),
    ]
}

/// The record lists that the file may hold. Each record contains its number, so that all records of a run differ.
struct Expected {
    /// Possible record lists in the running process.
    current: Vec<Records>,
    /// Further record lists that the next process may find.
    after_restart: Vec<Records>,
    record_count: u32,
}

impl Expected {
    fn records(&mut self, sizes: &[usize]) -> Records {
        let record = |size: &usize| {
            self.record_count += 1;
            [
                &self.record_count.to_le_bytes()[..],
                &vec![self.record_count as u8; *size],
            ]
            .concat()
        };
        sizes.iter().map(record).collect()
    }

    fn append(&mut self, records: &Records, is_ok: bool) {
        let appended = |more: &[Vec<u8>]| {
            self.current
                .iter()
                .map(|current| [&current[..], more].concat())
                .collect::<Vec<_>>()
        };
        if is_ok {
            (self.current, self.after_restart) = (appended(records), Vec::new());
        } else {
            let partial_appends = (1..=records.len())
                .flat_map(|count| appended(&records[..count]))
                .collect::<Vec<_>>();
            self.after_restart.extend(partial_appends);
        }
    }

    fn rewrite(&mut self, records: Records, is_ok: bool) {
        if is_ok {
            (self.current, self.after_restart) = (vec![records], Vec::new());
        } else {
            self.current.push(records);
        }
    }
}

fn as_slices(records: &Records) -> Vec<&[u8]> {
    records.iter().map(Vec::as_slice).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// The log holds the acknowledged records in order, and besides them at most the first records of a batch whose
    /// append has failed since.
    #[test]
    fn log_holds_acknowledged_records_in_order(
        operations in prop::collection::vec(operation(), 1..40),
        mut random_state in any::<u64>(),
    ) {
        // Chooses the results of power losses (splitmix64).
        let mut choose = |bound: usize| {
            random_state = random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
            let mixed = (random_state ^ random_state >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            ((mixed ^ mixed >> 31) >> 16) as usize % bound
        };
        let mut disk = SimulatedDisk::new();
        let mut log = Some(AppendLog::open_on(disk.clone(), "ledger").unwrap().0);
        let mut expected = Expected { current: vec![vec![]], after_restart: vec![], record_count: 0 };
        let final_operations = [Operation::PowerLoss, Operation::Append(vec![1]), Operation::PowerLoss];
        for operation in operations.iter().chain(&final_operations) {
            match operation {
                Operation::Append(sizes) => {
                    let records = expected.records(sizes);
                    let is_ok = log.as_mut().is_some_and(|log| log.append(&as_slices(&records)).is_ok());
                    // An empty batch doesn't access the disk, so that its result says nothing about the disk.
                    if !records.is_empty() {
                        expected.append(&records, is_ok);
                    }
                }
                Operation::Rewrite(sizes) => {
                    let records = expected.records(sizes);
                    let is_ok = log.as_mut().is_some_and(|log| log.rewrite(&as_slices(&records)).is_ok());
                    expected.rewrite(records, is_ok);
                }
                Operation::Faults(faults) => disk.set_faults(*faults),
                Operation::KillAfter(steps) => disk.kill_after(*steps),
                Operation::Kill | Operation::PowerLoss => {
                    disk = match operation {
                        Operation::Kill => disk.after_kill(),
                        _ => disk.after_random_power_loss(&mut choose),
                    };
                    let (opened, records) = AppendLog::open_on(disk.clone(), "ledger").unwrap();
                    prop_assert!(
                        expected.current.contains(&records) || expected.after_restart.contains(&records),
                        "{records:?} is none of {:?} and {:?}", expected.current, expected.after_restart
                    );
                    prop_assert!(disk.names().len() <= 1);
                    prop_assert_eq!(opened.len(), disk.bytes("ledger").map_or(0, |bytes| bytes.len() as u64));
                    (expected.current, expected.after_restart) = (vec![records], Vec::new());
                    log = Some(opened);
                }
            }
        }
    }
}
