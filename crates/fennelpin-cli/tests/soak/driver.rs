//! Plays the platform: sends the signals of a schedule, kills what doesn't end in time, and starts what has ended.

use super::harness::cluster::TestCluster;
use super::quota::Quota;
use super::recorder::{ProcessEvent, Recorder};
use super::schedule::{Action, Event, Target};
use super::settings::GRACE;
use super::stop_signal::StopSignal;
use fennelpin_cli::local::cluster::Program;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use std::collections::BTreeSet;
use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;
use std::time::{Duration, Instant};

/// Time between two looks at the processes.
const TICK: Duration = Duration::from_millis(2);
/// Longest time from the end of a process to its next start.
const MAX_RESTART_DELAY_MS: u64 = 500;

/// For how long a member that is back still counts as lost.
const CATCH_UP: Duration = Duration::from_secs(4);

/// What is lost at the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalLoss {
    None,
    /// All members are killed at once.
    Members,
    /// A member loses its disk, and all processes are killed at once.
    DiskAndProcesses,
}

/// What the platform knows of a process.
#[derive(Clone, Copy, Debug)]
enum ProcessState {
    Running {
        /// It got a signal that the kernel still acted on, as the process had no handlers yet.
        was_signalled_early: bool,
    },
    /// It got SIGTERM.
    Terminating {
        since: Instant,
        /// It had no handlers yet, so that the kernel may have ended it.
        was_early: bool,
        /// It stood still meanwhile by a fault.
        was_frozen: bool,
    },
    Killed,
    Down {
        restart_at: Instant,
    },
}

impl ProcessState {
    /// A process that has just been started.
    fn started() -> Self {
        ProcessState::Running {
            was_signalled_early: false,
        }
    }
}

/// The platform.
pub struct Driver<'a> {
    pub cluster: TestCluster,
    recorder: &'a Recorder,
    random: Pcg64Mcg,
    processes: Vec<(Target, ProcessState)>,
    quota: Quota,
    /// Processes that a fault has stopped.
    frozen: BTreeSet<String>,
    pause: StopSignal,
}

impl<'a> Driver<'a> {
    pub fn new(cluster: TestCluster, recorder: &'a Recorder, seed: u64, quota: Quota) -> Self {
        let plan = cluster.processes.plan();
        let members = (1..=plan.members).map(|number| (Program::ControlPlane, number));
        let edges = (1..=plan.proxies)
            .flat_map(|number| [(Program::Agent, number), (Program::Proxy, number)]);
        let processes = members
            .chain(edges)
            .map(|(program, number)| (Target { program, number }, ProcessState::started()))
            .collect();
        Self {
            cluster,
            recorder,
            random: Pcg64Mcg::new(u128::from(seed) << 8 | 7),
            processes,
            quota,
            frozen: BTreeSet::new(),
            pause: StopSignal::default(),
        }
    }

    /// Plays the schedule until `end`.
    pub fn play(&mut self, events: &[Event], end: Duration) {
        let start = Instant::now();
        let mut coming = events.iter().peekable();
        while start.elapsed() < end {
            while let Some(event) = coming.next_if(|event| event.at <= start.elapsed()) {
                self.apply(event);
            }
            self.tick();
        }
        // Faults end with the schedule.
        for event in coming {
            self.apply(event);
        }
    }

    /// Goes on until all processes run.
    fn settle(&mut self) {
        self.play_until(|| true);
    }

    /// Goes on until `done`, and until all processes run.
    pub fn play_until(&mut self, done: impl Fn() -> bool) {
        while !self.all_run() || !done() {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.look_after_processes();
        self.quota.enforce(&self.cluster, &self.frozen);
        self.pause.wait(TICK);
    }

    /// Ends the quota. How often it has stopped a process.
    pub fn end_quota(&mut self) -> u64 {
        self.quota.release(&self.cluster);
        self.quota.stops
    }

    /// Brings about a loss, and starts what it ended. Before it, all have run for as long as a machine that is back still
    /// counts as lost.
    pub fn lose(&mut self, loss: FinalLoss) {
        let quiet_until = Instant::now() + CATCH_UP;
        while Instant::now() < quiet_until {
            self.tick();
        }
        let plan = self.cluster.processes.plan();
        let wiped = self.random.random_range(1..=plan.members);
        let disk = plan.disk(wiped);
        for target in self.targets() {
            let is_hit = match loss {
                FinalLoss::None => false,
                FinalLoss::Members => target.program == Program::ControlPlane,
                FinalLoss::DiskAndProcesses => true,
            };
            if is_hit {
                self.signal(target, Signal::KILL);
            }
        }
        if loss == FinalLoss::DiskAndProcesses {
            self.cluster.kill(wiped);
            std::fs::remove_dir_all(disk).unwrap();
            let target = Target {
                program: Program::ControlPlane,
                number: wiped,
            };
            *self.state(target) = ProcessState::Down {
                restart_at: Instant::now(),
            };
        }
        self.settle();
    }

    fn targets(&self) -> Vec<Target> {
        self.processes.iter().map(|process| process.0).collect()
    }

    fn all_run(&self) -> bool {
        let mut states = self.processes.iter().map(|process| process.1);
        states.all(|state| matches!(state, ProcessState::Running { .. }))
    }

    fn apply(&mut self, event: &Event) {
        match event.action {
            Action::Signal(signal) => self.signal(event.target, signal),
            Action::RewriteSettings => self.rewrite_settings(event.target),
        }
    }

    fn signal(&mut self, target: Target, signal: Signal) {
        let name = target.process_name();
        let Some(pid) = self.cluster.processes.pid(&name) else {
            return;
        };
        let is_early = !handles(pid, signal);
        self.recorder
            .record_process(&name, ProcessEvent::Signalled(signal));
        self.cluster.signal_program(&name, signal);
        let is_frozen = if signal == Signal::STOP {
            self.frozen.insert(name)
        } else if signal == Signal::CONT {
            self.frozen.remove(&name)
        } else {
            self.frozen.contains(&name)
        };
        let state = self.state(target);
        match (signal, *state) {
            (
                Signal::TERM,
                ProcessState::Running {
                    was_signalled_early,
                },
            ) => {
                *state = ProcessState::Terminating {
                    since: Instant::now(),
                    was_early: is_early || was_signalled_early,
                    was_frozen: is_frozen,
                };
            }
            (Signal::HUP, ProcessState::Running { .. }) if is_early => {
                *state = ProcessState::Running {
                    was_signalled_early: true,
                };
            }
            (Signal::KILL, _) => *state = ProcessState::Killed,
            (
                Signal::STOP,
                ProcessState::Terminating {
                    since, was_early, ..
                },
            ) => {
                *state = ProcessState::Terminating {
                    since,
                    was_early,
                    was_frozen: true,
                };
            }
            _ => {}
        }
    }

    fn state(&mut self, target: Target) -> &mut ProcessState {
        let process = self
            .processes
            .iter_mut()
            .find(|process| process.0 == target);
        &mut process.expect("a process of the plan").1
    }

    fn look_after_processes(&mut self) {
        for index in 0..self.processes.len() {
            let (target, state) = self.processes[index];
            self.processes[index].1 = self.next_state(target, state);
        }
    }

    fn next_state(&mut self, target: Target, state: ProcessState) -> ProcessState {
        if let ProcessState::Down { restart_at } = state {
            return self.restart_when_due(target, restart_at);
        }
        let name = target.process_name();
        if let Some(status) = self.cluster.processes.take_exit_status(&name) {
            self.check_end(&name, state, status);
            self.frozen.remove(&name);
            let delay = Duration::from_millis(self.random.random_range(0..MAX_RESTART_DELAY_MS));
            return ProcessState::Down {
                restart_at: Instant::now() + delay,
            };
        }
        match state {
            ProcessState::Terminating {
                since, was_frozen, ..
            } if since.elapsed() > GRACE => {
                if !was_frozen {
                    self.recorder
                        .record_failure(format!("{name} outlasted its grace"));
                }
                self.cluster.signal_program(&name, Signal::KILL);
                ProcessState::Killed
            }
            state => state,
        }
    }

    fn restart_when_due(&mut self, target: Target, restart_at: Instant) -> ProcessState {
        if Instant::now() < restart_at {
            return ProcessState::Down { restart_at };
        }
        self.recorder
            .record_process(&target.process_name(), ProcessEvent::Started);
        let processes = &mut self.cluster.processes;
        processes
            .start(target.program, target.number, false)
            .unwrap();
        ProcessState::started()
    }

    fn check_end(&self, name: &str, state: ProcessState, status: ExitStatus) {
        let expected = match state {
            ProcessState::Terminating { was_early, .. } => {
                status.success() || (was_early && status.signal().is_some())
            }
            ProcessState::Running {
                was_signalled_early: true,
            } => status.signal() == Some(Signal::HUP.as_raw()),
            ProcessState::Killed => true,
            ProcessState::Running { .. } | ProcessState::Down { .. } => false,
        };
        if !expected {
            self.recorder
                .record_failure(format!("{name} ended with {status} while {state:?}"));
        }
    }

    /// Writes a program's settings anew, with its seeds in another order.
    fn rewrite_settings(&mut self, target: Target) {
        let plan = self.cluster.processes.plan();
        let file = plan.settings_file(target.program, &target.machine());
        let text = std::fs::read_to_string(&file).unwrap();
        let mut settings: serde_json::Value = serde_json::from_str(&text).unwrap();
        if let Some(seeds) = settings["seed_nodes"].as_array_mut() {
            seeds.rotate_left(1);
        }
        std::fs::write(&file, settings.to_string()).unwrap();
    }
}

/// Whether a process has a handler for a signal. In the first moments of a start, before its own code runs, it has none.
fn handles(pid: u32, signal: Signal) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let caught = status
        .lines()
        .find_map(|line| line.strip_prefix("SigCgt:"))
        .and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
    let bit = 1_u64 << (signal.as_raw() - 1);
    caught.is_some_and(|mask| mask & bit != 0)
}
