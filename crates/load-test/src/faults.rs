//! The timetable of what goes wrong: each fault of a scenario as single actions at their times; free of
//! I/O and clock.

use crate::scenario::{FaultKind, FaultTable, Scenario};
use fake_hosts::fleet::Command;
use fake_hosts::model::Micros;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Separates the random numbers drawn for faults from the others.
const FAULT_RNG_SALT: u64 = 0x6661_756c;
/// After SIGTERM a coordinator may go on for as long as a client waits, counted as 3 s where it is longer …
const MAX_QUERY_TIME_US: Micros = 3_000_000;
/// … and so much more, before SIGKILL.
const KILL_AFTER_US: Micros = 700_000;
/// From a kill to the next start at the least.
const STARTS_US: Micros = 100_000;

/// One action.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// To the fleet.
    Fleet(Command),
    /// SIGKILL.
    Kill(u16),
    /// SIGTERM.
    Terminate(u16),
    /// SIGHUP.
    HangUp(u16),
    /// SIGSTOP.
    Stall(u16),
    /// SIGCONT.
    Resume(u16),
    /// A start; the front layer is told once it is ready.
    Start(u16),
    /// The front layer notices that a coordinator is gone.
    Noticed(u16),
}

/// A fault as the reports show it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Mark {
    /// From when, in seconds.
    pub at_s: f64,
    /// Until when.
    pub to_s: f64,
    /// What.
    pub what: String,
}

/// All actions of a scenario by time, in microseconds from its start.
pub fn timetable(s: &Scenario) -> Vec<(Micros, Action)> {
    let mut rng = Pcg64Mcg::seed_from_u64(s.seed ^ FAULT_RNG_SALT);
    let limits = s.classes.iter().map(|c| (c.limit_ms * 1e3) as Micros);
    let longest = limits.max().unwrap_or(0).min(MAX_QUERY_TIME_US);
    let mut all = Vec::new();
    for fault in &s.faults {
        let at = (fault.at_s * 1e6) as Micros;
        let to = at + (fault.for_s * 1e6) as Micros;
        if fault.kind == FaultKind::DiscoverySilent {
            all.push((at, Action::Fleet(Command::Discovery(true))));
            all.push((to, Action::Fleet(Command::Discovery(false))));
        }
        for &n in &fault.which {
            if fault.kind.of_coordinator() {
                let mut noticed = || {
                    let [min, max] = s.clients.notice_s;
                    at + ((min + (max - min) * rng.random::<f64>()) * 1e6) as Micros
                };
                all.extend(coordinator_actions(
                    fault.kind,
                    n,
                    at,
                    to,
                    longest,
                    &mut noticed,
                ));
            } else {
                all.extend(host_actions(fault, n, at, to));
            }
        }
    }
    // Stable: what the scenario names first comes first.
    all.sort_by_key(|(at, _)| *at);
    all
}

/// The actions of a host's fault from one time to another.
fn host_actions(fault: &FaultTable, n: u16, at: Micros, to: Micros) -> Vec<(Micros, Action)> {
    let commands = match fault.kind {
        FaultKind::HostCrash => vec![(at, Command::Crash(n)), (to, Command::Start(n))],
        FaultKind::HostSilent => vec![(at, Command::Vanish(n)), (to, Command::Start(n))],
        FaultKind::HostRelease => vec![
            (at, Command::Drain(n)),
            (at + (to - at) / 2, Command::Crash(n)),
            (to, Command::Start(n)),
        ],
        FaultKind::HostDrain => vec![(at, Command::Drain(n))],
        FaultKind::HostSlow => vec![
            (at, Command::Slow(n, fault.times)),
            (to, Command::Slow(n, 1.0)),
        ],
        _ => vec![],
    };
    let actions = commands.into_iter();
    actions.map(|(at, c)| (at, Action::Fleet(c))).collect()
}

/// The actions of a coordinator's fault from one time to another. `longest` is the longest time of a query; `noticed`
/// draws when the front layer notices that the coordinator is down.
fn coordinator_actions(
    kind: FaultKind,
    n: u16,
    at: Micros,
    to: Micros,
    longest: Micros,
    noticed: &mut impl FnMut() -> Micros,
) -> Vec<(Micros, Action)> {
    match kind {
        FaultKind::CoordinatorKill => vec![
            (at, Action::Kill(n)),
            (noticed(), Action::Noticed(n)),
            (to, Action::Start(n)),
        ],
        FaultKind::CoordinatorRestart => {
            let kill = at + longest + KILL_AFTER_US;
            let start = to.max(kill + STARTS_US);
            vec![
                (at, Action::Terminate(n)),
                (noticed(), Action::Noticed(n)),
                (kill, Action::Kill(n)),
                (start, Action::Start(n)),
            ]
        }
        FaultKind::CoordinatorStall => vec![(at, Action::Stall(n)), (to, Action::Resume(n))],
        FaultKind::CoordinatorReload => vec![(at, Action::HangUp(n))],
        _ => vec![],
    }
}

/// The faults as marks for charts.
pub fn marks(s: &Scenario) -> Vec<Mark> {
    let word = |k: FaultKind| {
        serde_json::to_value(k)
            .ok()
            .and_then(|v| v.as_str().map(str::to_owned))
            .unwrap_or_default()
    };
    let mark = |f: &crate::scenario::FaultTable| {
        let which: Vec<String> = f.which.iter().map(u16::to_string).collect();
        Mark {
            at_s: f.at_s,
            to_s: f.at_s + f.for_s,
            what: format!("{} {}", word(f.kind), which.join(",")),
        }
    };
    s.faults.iter().map(mark).collect()
}
