//! Stories drawn at random: calls, faults, kills and losses of power in any order.

mod simulated;

use append_log::AppendLog;
use proptest::prelude::*;
use simulated::{Faults, Simulated};

type Records = Vec<Vec<u8>>;

#[derive(Clone, Debug)]
enum Step {
    Append(Vec<usize>),
    Rewrite(Vec<usize>),
    Faults(Faults),
    Kill,
    /// The process dies after so many more steps of the disk.
    KillAfter(u64),
    PowerLoss,
}

fn faults() -> impl Strategy<Value = Faults> {
    prop_oneof![
        2 => Just(Faults::default()),
        1 => (0..2_000_usize).prop_map(|room| Faults { room: Some(room), ..Faults::default() }),
        1 => Just(Faults { refuses_writes: true, ..Faults::default() }),
        1 => any::<bool>().prop_map(|failed_sync_writes| Faults {
            fails_sync: true,
            failed_sync_writes,
            ..Faults::default()
        }),
        1 => Just(Faults { fails_sync_names: true, ..Faults::default() }),
        1 => Just(Faults { fails_rename: true, ..Faults::default() }),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let sizes = || prop::collection::vec(0..40_usize, 0..5);
    prop_oneof![
        6 => sizes().prop_map(Step::Append),
        2 => sizes().prop_map(Step::Rewrite),
        3 => faults().prop_map(Step::Faults),
        1 => Just(Step::Kill),
        1 => (0..300_u64).prop_map(Step::KillAfter),
        2 => Just(Step::PowerLoss),
    ]
}

/// What the file may hold. The names count records, so that each record of a story is another one.
struct Expected {
    /// What it holds for the process that runs: one of these.
    now: Vec<Records>,
    /// What it may hold besides for the next process.
    next: Vec<Records>,
    drawn: u32,
}

impl Expected {
    fn records(&mut self, sizes: &[usize]) -> Records {
        let record = |size: &usize| {
            self.drawn += 1;
            [
                &self.drawn.to_le_bytes()[..],
                &vec![self.drawn as u8; *size],
            ]
            .concat()
        };
        sizes.iter().map(record).collect()
    }

    fn append(&mut self, records: &Records, is_ok: bool) {
        let joined = |more: &[Vec<u8>]| {
            self.now
                .iter()
                .map(|now| [&now[..], more].concat())
                .collect::<Vec<_>>()
        };
        if is_ok {
            (self.now, self.next) = (joined(records), Vec::new());
        } else {
            let parts = (1..=records.len())
                .flat_map(|count| joined(&records[..count]))
                .collect::<Vec<_>>();
            self.next.extend(parts);
        }
    }

    fn rewrite(&mut self, records: Records, is_ok: bool) {
        if is_ok {
            (self.now, self.next) = (vec![records], Vec::new());
        } else {
            self.now.push(records);
        }
    }
}

fn slices(records: &Records) -> Vec<&[u8]> {
    records.iter().map(Vec::as_slice).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// What was acknowledged is there in order; besides it only first records of a batch that ended in an error since.
    #[test]
    fn what_was_acknowledged_is_there(
        steps in prop::collection::vec(step(), 1..40),
        mut choice in any::<u64>(),
    ) {
        // For what a loss of power leaves (splitmix64).
        let mut choose = |below: usize| {
            choice = choice.wrapping_add(0x9e37_79b9_7f4a_7c15);
            let mixed = (choice ^ choice >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            ((mixed ^ mixed >> 31) >> 16) as usize % below
        };
        let mut disk = Simulated::new();
        let mut ledger = Some(AppendLog::open_on(disk.clone(), "ledger").unwrap().0);
        let mut expected = Expected { now: vec![vec![]], next: vec![], drawn: 0 };
        let last = [Step::PowerLoss, Step::Append(vec![1]), Step::PowerLoss];
        for step in steps.iter().chain(&last) {
            match step {
                Step::Append(sizes) => {
                    let records = expected.records(sizes);
                    let is_ok = ledger.as_mut().is_some_and(|ledger| ledger.append(&slices(&records)).is_ok());
                    // An empty batch touches nothing, so it shows nothing either.
                    if !records.is_empty() {
                        expected.append(&records, is_ok);
                    }
                }
                Step::Rewrite(sizes) => {
                    let records = expected.records(sizes);
                    let is_ok = ledger.as_mut().is_some_and(|ledger| ledger.rewrite(&slices(&records)).is_ok());
                    expected.rewrite(records, is_ok);
                }
                Step::Faults(faults) => disk.set_faults(*faults),
                Step::KillAfter(steps) => disk.kill_after(*steps),
                Step::Kill | Step::PowerLoss => {
                    disk = match step {
                        Step::Kill => disk.after_kill(),
                        _ => disk.after_some_power_loss(&mut choose),
                    };
                    let (opened, records) = AppendLog::open_on(disk.clone(), "ledger").unwrap();
                    prop_assert!(
                        expected.now.contains(&records) || expected.next.contains(&records),
                        "{records:?} is none of {:?} and {:?}", expected.now, expected.next
                    );
                    prop_assert!(disk.names().len() <= 1);
                    prop_assert_eq!(opened.len(), disk.bytes("ledger").map_or(0, |bytes| bytes.len() as u64));
                    (expected.now, expected.next) = (vec![records], Vec::new());
                    ledger = Some(opened);
                }
            }
        }
    }
}
