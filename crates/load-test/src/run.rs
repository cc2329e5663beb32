//! A whole run: fake hosts, coordinators, generator, faults by their timetable, then the audit.

use crate::audit::{audit, Evidence, Violation};
use crate::deploy::{program, Coordinators, DeployError, Usage};
use crate::engine::{self, Shared};
use crate::faults::{marks, timetable, Action, Mark};
use crate::plan::Plan;
use crate::record::{ProcessEvent, ProcessHistory, QueryRecord};
use crate::scenario::Scenario;
use crate::stats::{self, Figures, Histograms};
use crate::trace::{self, TraceError};
use fake_hosts::event_log::{Epoch, Event};
use fake_hosts::fleet::Fleet;
use fake_hosts::host::HostState;
use fake_hosts::model::Micros;
use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often the control loop looks round.
const LOOK: Duration = Duration::from_millis(10);
/// How often hosts are sampled, in microseconds.
const SAMPLE_US: Micros = 250_000;
/// The plan's time 0 lies so long after the generator's start.
const LEAD: Duration = Duration::from_millis(100);

/// Why there was no run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The coordinators.
    #[error("{0}")]
    Deploy(#[from] DeployError),
    /// The trace.
    #[error("{0}")]
    Trace(#[from] TraceError),
    /// A socket, file or thread.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// Stopped by the user.
    #[error("stopped")]
    Stopped,
}

/// How a run is to be made.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The coordinator's program; else that beside this one.
    pub bin: Option<PathBuf>,
    /// The coordinators' log level.
    pub log: String,
    /// Where files go that the run needs.
    pub work: PathBuf,
    /// Where the scenario's trace lies.
    pub base: PathBuf,
    /// Set from outside to end the run early.
    pub stop: Arc<AtomicBool>,
}

/// Hosts at one moment.
#[derive(Clone, Debug)]
pub struct Sample {
    /// When, in seconds of the plan.
    pub at_s: f64,
    /// The hosts, by number.
    pub hosts: Vec<HostState>,
}

/// All that a run left.
pub struct Outcome {
    /// The scenario.
    pub scenario: Scenario,
    /// The plan.
    pub plan: Plan,
    /// What clients saw.
    pub queries: Vec<QueryRecord>,
    /// What hosts saw.
    pub events: Vec<Event>,
    /// What happened to the coordinators.
    pub processes: ProcessHistory,
    /// The epoch's time of the plan's 0.
    pub start: Micros,
    /// Figures.
    pub figures: Figures,
    /// Histograms.
    pub histograms: Histograms,
    /// Broken rules.
    pub violations: Vec<Violation>,
    /// Why the run says nothing, if so.
    pub void: Option<String>,
    /// Each coordinator's use of the machine.
    pub usage: Vec<Usage>,
    /// Coordinators that ended on their own account, with their codes.
    pub crashed: Vec<(u16, Option<i32>)>,
    /// The hosts over time.
    pub samples: Vec<Sample>,
    /// Faults, for charts.
    pub marks: Vec<Mark>,
    /// Time that the audit took, in seconds.
    pub audit_s: f64,
}

impl Outcome {
    /// What the auditor looked at.
    pub fn evidence(&self) -> Evidence<'_> {
        let Self {
            scenario,
            plan,
            queries,
            events,
            processes,
            ..
        } = self;
        Evidence {
            scenario,
            plan,
            queries,
            events,
            processes,
        }
    }
}

/// The plan of a scenario: drawn, or from its trace.
///
/// # Errors
/// If the trace can't be used.
pub fn plan(s: &Scenario, base: &Path) -> Result<Plan, TraceError> {
    match &s.traffic.trace {
        None => Ok(Plan::draw(s)),
        Some(t) => Ok(trace::fit(
            &trace::import(&base.join(&t.file), s)?,
            t,
            s.length_us(),
            s.seed,
        )),
    }
}

/// Names of a run's tries: different from those of any run before.
pub fn run_name() -> String {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    format!(
        "{:x}-",
        now.as_millis() as u64 ^ u64::from(std::process::id()) << 44
    )
}

/// A running deployment: fake hosts and coordinators, all ready.
pub struct Deployment {
    /// The fake hosts and discovery.
    pub fleet: Fleet,
    /// The coordinators.
    pub coordinators: Coordinators,
    /// The clock.
    pub epoch: Epoch,
}

/// Starts a scenario's deployment and waits until all is ready.
///
/// # Errors
/// If anything of it can't be had.
pub fn deploy(s: &Scenario, o: &Options) -> Result<Deployment, RunError> {
    let program = program(o.bin.as_deref())?;
    std::fs::create_dir_all(&o.work)?;
    let epoch = Epoch(Instant::now());
    let fleet = Fleet::start(&s.fleet_spec(), epoch)?;
    let mut coordinators = Coordinators::prepare(s, &fleet, program, &o.work, &o.log, epoch)?;
    for c in 0..coordinators.len() {
        coordinators.start(c)?;
    }
    for c in 0..coordinators.len() {
        coordinators.ready(c)?;
    }
    Ok(Deployment {
        fleet,
        coordinators,
        epoch,
    })
}

/// What driving a deployment gave.
struct Driven {
    queries: Vec<QueryRecord>,
    crashed: Vec<(u16, Option<i32>)>,
    samples: Vec<Sample>,
}

/// Sends the plan's queries and carries out the scenario's faults, until both are done.
fn drive(
    s: &Scenario,
    o: &Options,
    plan: &Arc<Plan>,
    deployment: &mut Deployment,
    start: Instant,
) -> Result<Driven, RunError> {
    let addrs = deployment.coordinators.addrs();
    let shared = Arc::new(Shared::new(s.clone(), addrs, deployment.epoch, run_name()));
    let load = {
        let (shared, plan) = (shared.clone(), plan.clone());
        std::thread::Builder::new()
            .name("load".into())
            .spawn(move || engine::run(&shared, &plan, start))?
    };
    let mut control = Control {
        o,
        fleet: &deployment.fleet,
        coordinators: &mut deployment.coordinators,
        shared: &shared,
        start,
        rising: Vec::new(),
        crashed: Vec::new(),
        samples: Vec::new(),
    };
    control.until_done(timetable(s), || load.is_finished(), plan.0.len())?;
    let (crashed, samples) = (control.crashed, control.samples);
    let queries = load
        .join()
        .map_err(|_| std::io::Error::other("the generator panicked"))??;
    Ok(Driven {
        queries,
        crashed,
        samples,
    })
}

/// Runs a scenario from start to audit.
///
/// # Errors
/// If the deployment can't be had or the user stops it.
pub fn run(s: &Scenario, o: &Options) -> Result<Outcome, RunError> {
    let plan = Arc::new(plan(s, &o.base)?);
    let mut deployment = deploy(s, o)?;
    let before = usages(&mut deployment.coordinators);
    let start = Instant::now() + LEAD;
    let driven = drive(s, o, &plan, &mut deployment, start)?;
    let Deployment {
        fleet,
        mut coordinators,
        epoch,
    } = deployment;
    let mut usage = usages(&mut coordinators);
    for (usage, before) in usage.iter_mut().zip(&before) {
        usage.cpu_s -= before.cpu_s;
    }
    let mut crashed = driven.crashed;
    crashed.extend(coordinators.end());
    let processes = coordinators.processes().clone();
    let events = fleet.event_log.take();
    drop(fleet);
    let start = epoch.at(start);
    let queries = driven.queries;
    let (figures, histograms) = stats::figures(s, &plan, &queries, start);
    let audit_started = Instant::now();
    let violations = audit(&Evidence {
        scenario: s,
        plan: &plan,
        queries: &queries,
        events: &events,
        processes: &processes,
    });
    let audit_s = audit_started.elapsed().as_secs_f64();
    let void = void(s, &figures);
    let plan = Arc::try_unwrap(plan).unwrap_or_else(|p| (*p).clone());
    Ok(Outcome {
        scenario: s.clone(),
        plan,
        queries,
        events,
        processes,
        start,
        figures,
        histograms,
        violations,
        void,
        usage,
        crashed,
        samples: driven.samples,
        marks: marks(s),
        audit_s,
    })
}

/// CPU and memory of each coordinator so far.
fn usages(coordinators: &mut Coordinators) -> Vec<Usage> {
    (0..coordinators.len())
        .map(|c| coordinators.usage(c))
        .collect()
}

/// Why a run says nothing of the coordinators: the generator itself was too slow or short of something.
pub fn void(s: &Scenario, f: &Figures) -> Option<String> {
    let most = s.audit.void_lag_ms;
    if f.lag.p99 > most {
        return Some(format!(
            "the generator lagged {:.3} ms at p99, {most} ms at most",
            f.lag.p99
        ));
    }
    let lacked = f.tries.get("no_descriptor").copied().unwrap_or(0);
    (lacked > 0).then(|| format!("the generator had no descriptor left for {lacked} tries"))
}

struct Control<'a> {
    o: &'a Options,
    fleet: &'a Fleet,
    coordinators: &'a mut Coordinators,
    shared: &'a Shared,
    start: Instant,
    /// Coordinators that were started and are not ready yet.
    rising: Vec<u16>,
    crashed: Vec<(u16, Option<i32>)>,
    samples: Vec<Sample>,
}

impl Control<'_> {
    fn until_done(
        &mut self,
        timetable: Vec<(Micros, Action)>,
        done: impl Fn() -> bool,
        planned: usize,
    ) -> Result<(), RunError> {
        let mut actions = timetable.into_iter().peekable();
        let (mut next_sample, mut next_line) = (0, 0);
        let terminal = std::io::stderr().is_terminal();
        // What lies in the timetable is carried out even if all queries have ended.
        while !done() || actions.peek().is_some() {
            if self.o.stop.load(Ordering::Relaxed) {
                return Err(RunError::Stopped);
            }
            let now = Instant::now()
                .saturating_duration_since(self.start)
                .as_micros() as Micros;
            while let Some((_, action)) = actions.next_if(|(at, _)| *at <= now) {
                self.act(action)?;
            }
            self.crashed.extend(self.coordinators.reap());
            let rising = std::mem::take(&mut self.rising);
            for c in rising {
                if self.coordinators.healthy(c) {
                    self.shared.believed_up[usize::from(c)].store(true, Ordering::Relaxed);
                } else {
                    self.rising.push(c);
                }
            }
            if now >= next_sample {
                self.samples.push(Sample {
                    at_s: now as f64 / 1e6,
                    hosts: self.fleet.states(),
                });
                next_sample = now + SAMPLE_US;
                for c in 0..self.coordinators.len() {
                    self.coordinators.usage(c);
                }
            }
            if terminal && now >= next_line {
                let [begun, ended, served] =
                    [0, 1, 2].map(|n| self.shared.progress[n].load(Ordering::Relaxed));
                eprint!(
                    "\r{:>6.1} s  {begun}/{planned} begun  {ended} ended  {served} served   ",
                    now as f64 / 1e6
                );
                let _ = std::io::stderr().flush();
                next_line = now + 500_000;
            }
            std::thread::sleep(LOOK);
        }
        if terminal {
            eprintln!();
        }
        Ok(())
    }

    fn act(&mut self, action: Action) -> Result<(), RunError> {
        log::info!(action:? = action; "fault");
        match action {
            Action::Fleet(command) => self.fleet.command(command),
            Action::Kill(c) => self.coordinators.kill(c),
            Action::Terminate(c) => self.coordinators.terminate(c),
            Action::HangUp(c) => self.coordinators.hang_up(c),
            Action::Stall(c) => self.coordinators.stall(c),
            Action::Resume(c) => self.coordinators.resume(c),
            Action::Noticed(c) => {
                // One that is back already is not taken for dead.
                let up = self
                    .coordinators
                    .processes()
                    .0
                    .iter()
                    .rev()
                    .find(|e| e.coordinator == c);
                let up = up.is_some_and(|e| {
                    matches!(e.event, ProcessEvent::Ready | ProcessEvent::Continued)
                });
                self.shared.believed_up[usize::from(c)].store(up, Ordering::Relaxed);
            }
            Action::Start(c) if !self.coordinators.runs(c) => {
                self.coordinators.start(c)?;
                self.rising.push(c);
            }
            Action::Start(_) => {}
        }
        Ok(())
    }
}

/// What the generator alone found, against targets that somebody else runs.
pub struct Loaded {
    /// The plan.
    pub plan: Plan,
    /// What clients saw.
    pub queries: Vec<QueryRecord>,
    /// Figures.
    pub figures: Figures,
    /// Histograms.
    pub histograms: Histograms,
    /// Why the run says nothing, if so.
    pub void: Option<String>,
}

/// Drives targets with a scenario's traffic.
///
/// # Errors
/// If the trace can't be used or a thread can't be had.
pub fn load(s: &Scenario, base: &Path, targets: Vec<SocketAddr>) -> Result<Loaded, RunError> {
    load_plan(s, plan(s, base)?, targets)
}

/// Drives targets with a plan.
///
/// # Errors
/// If a thread can't be had.
pub fn load_plan(s: &Scenario, plan: Plan, targets: Vec<SocketAddr>) -> Result<Loaded, RunError> {
    load_plan_at(s, plan, targets, Instant::now() + LEAD)
}

/// Drives targets with a plan whose time 0 is this instant.
///
/// # Errors
/// If a thread can't be had.
pub fn load_plan_at(
    s: &Scenario,
    plan: Plan,
    targets: Vec<SocketAddr>,
    start: Instant,
) -> Result<Loaded, RunError> {
    let plan = Arc::new(plan);
    let epoch = Epoch(Instant::now());
    let shared = Arc::new(Shared::new(s.clone(), targets, epoch, run_name()));
    let queries = engine::run(&shared, &plan, start)?;
    let (figures, histograms) = stats::figures(s, &plan, &queries, epoch.at(start));
    let void = void(s, &figures);
    let plan = Arc::try_unwrap(plan).unwrap_or_else(|p| (*p).clone());
    Ok(Loaded {
        plan,
        queries,
        figures,
        histograms,
        void,
    })
}
