//! Several files in one folder, and a loss of power at each step: every change of a name that no sync covered is kept
//! or lost by itself.

mod simulated;

use append_log::AppendLog;
use rstest::rstest;
use simulated::Simulated;

type Records = Vec<Vec<u8>>;

/// What a member does with its folder: the ledger's file is made, then the identity's; then both and the roster's go
/// on, each rewritten now and then, as the disk's thread does it. Counts what was acknowledged.
#[derive(Debug, Default)]
struct Progress {
    /// Records that each file acknowledged, and those of the call under way.
    ledger: (Records, Records),
    identity: (Records, Records),
}

const STEPS: [(&str, bool, &[&[u8]]); 9] = [
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

fn run_calls(disk: &Simulated) -> Progress {
    let mut progress = Progress::default();
    let open = |name: &str| AppendLog::open_on(disk.clone(), name);
    let (Ok((mut identity, _)), Ok((mut ledger, _)), Ok((mut roster, _))) =
        (open("identity"), open("ledger"), open("roster"))
    else {
        return progress;
    };
    for (name, rewrite, records) in STEPS {
        let mut none = Default::default();
        let (file, state) = match name {
            "ledger" => (&mut ledger, &mut progress.ledger),
            "identity" => (&mut identity, &mut progress.identity),
            _ => (&mut roster, &mut none),
        };
        let more: Records = records.iter().map(|r| r.to_vec()).collect();
        let next = if rewrite {
            more
        } else {
            [state.0.clone(), more].concat()
        };
        state.1.clone_from(&next);
        let done = if rewrite {
            file.rewrite(records)
        } else {
            file.append(records)
        };
        if done.is_err() {
            return progress;
        }
        state.0 = next;
    }
    progress
}

/// Whether the records are what was acknowledged, or that with some of what was under way.
fn fits(records: &Records, state: &(Records, Records)) -> bool {
    let (before, under_way) = state;
    let grown = under_way.starts_with(before)
        && under_way.starts_with(records)
        && records.starts_with(before);
    records == before || records == under_way || grown
}

fn check_recovered(disk: &Simulated, progress: &Progress, what: &str) {
    let open = |name: &str| {
        AppendLog::open_on(disk.clone(), name)
            .unwrap_or_else(|e| panic!("{what}: {e}"))
            .1
    };
    let (identity, ledger) = (open("identity"), open("ledger"));
    open("roster");
    assert!(
        fits(&ledger, &progress.ledger),
        "{what}: {ledger:?} for {:?}",
        progress.ledger
    );
    assert!(
        fits(&identity, &progress.identity),
        "{what}: {identity:?} for {:?}",
        progress.identity
    );
    // An identity is never there without the ledger that names it.
    let owned = ledger.first().is_some_and(|r| r == b"owner");
    assert!(identity.is_empty() || owned, "{what}: an identity alone");
    assert!(
        ledger.len() < 2 || !identity.is_empty(),
        "{what}: promises of nobody"
    );
}

#[rstest]
fn power_loss_when_names_last_or_not_then_log_recovers() {
    let whole = Simulated::new();
    run_calls(&whole);
    let mut losses = 0;
    for steps in 0..=whole.steps() {
        let disk = Simulated::new();
        disk.kill_after(steps);
        let progress = run_calls(&disk);
        check_recovered(
            &disk.after_kill(),
            &progress,
            &format!("killed after {steps}"),
        );
        for (number, left) in disk.after_power_loss().iter().enumerate() {
            check_recovered(
                left,
                &progress,
                &format!("power lost after {steps}, {number}"),
            );
            losses += 1;
        }
    }
    assert!(losses > 1_000, "{losses} losses");
}
