//! The timetable of what goes wrong: each fault of a scenario as single actions at their times; free of
//! I/O and clock.

use crate::scenario::{FaultKind, Scenario};
use fake_hosts::fleet::Command;
use fake_hosts::model::Micros;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// After SIGTERM a coordinator may go on for as long as a client waits, counted as 3 s where it is longer …
const MAX_RECORDED_US: Micros = 3_000_000;
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

/// All actions by time.
pub fn timetable(s: &Scenario) -> Vec<(Micros, Action)> {
    let mut rng = Pcg64Mcg::seed_from_u64(s.seed ^ 0x6661_756c);
    let mut all = Vec::new();
    let longest = s
        .classes
        .iter()
        .map(|c| (c.limit_ms * 1e3) as Micros)
        .max()
        .unwrap_or(0)
        .min(MAX_RECORDED_US);
    for f in &s.faults {
        let at = (f.at_s * 1e6) as Micros;
        let to = at + (f.for_s * 1e6) as Micros;
        let mut notice = || {
            let [least, most] = s.clients.notice_s;
            at + ((least + (most - least) * rng.random::<f64>()) * 1e6) as Micros
        };
        if f.kind == FaultKind::DiscoverySilent {
            all.push((at, Action::Fleet(Command::Discovery(true))));
            all.push((to, Action::Fleet(Command::Discovery(false))));
        }
        for &n in &f.which {
            let fleet = |at, command| (at, Action::Fleet(command));
            match f.kind {
                FaultKind::HostCrash => {
                    all.extend([fleet(at, Command::Crash(n)), fleet(to, Command::Start(n))]);
                }
                FaultKind::HostSilent => {
                    all.extend([fleet(at, Command::Vanish(n)), fleet(to, Command::Start(n))]);
                }
                FaultKind::HostRelease => all.extend([
                    fleet(at, Command::Drain(n)),
                    fleet(at + (to - at) / 2, Command::Crash(n)),
                    fleet(to, Command::Start(n)),
                ]),
                FaultKind::HostDrain => all.push(fleet(at, Command::Drain(n))),
                FaultKind::HostSlow => {
                    all.extend([
                        fleet(at, Command::Slow(n, f.times)),
                        fleet(to, Command::Slow(n, 1.0)),
                    ]);
                }
                FaultKind::DiscoverySilent => {}
                FaultKind::CoordinatorKill => {
                    all.extend([
                        (at, Action::Kill(n)),
                        (notice(), Action::Noticed(n)),
                        (to, Action::Start(n)),
                    ]);
                }
                FaultKind::CoordinatorRestart => {
                    let kill = at + longest + KILL_AFTER_US;
                    let start = to.max(kill + STARTS_US);
                    let noticed = (notice(), Action::Noticed(n));
                    all.extend([
                        (at, Action::Terminate(n)),
                        noticed,
                        (kill, Action::Kill(n)),
                        (start, Action::Start(n)),
                    ]);
                }
                FaultKind::CoordinatorStall => {
                    all.extend([(at, Action::Stall(n)), (to, Action::Resume(n))]);
                }
                FaultKind::CoordinatorReload => all.push((at, Action::HangUp(n))),
            }
        }
    }
    // Stable: what the scenario names first comes first.
    all.sort_by_key(|(at, _)| *at);
    all
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
