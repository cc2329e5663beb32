//! `simulator --from A --to B`: runs the plans of several seeds and reports those that violated an invariant.
#![forbid(unsafe_code)]

use bpaf::Parser;
use simulator::{plan_as_code, run, shrink, Mode, Plan, Report, SeededBug, Violation};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

fn number(name: &'static str, help: &'static str, value: u64) -> impl Parser<u64> {
    bpaf::long(name)
        .help(help)
        .argument::<u64>("N")
        .fallback(value)
}

fn quantile(all: &[f64], q: f64) -> f64 {
    all.get(((all.len() as f64 - 1.0) * q) as usize)
        .copied()
        .unwrap_or(0.0)
}

/// Modes in which seeded bugs are searched, quick ones first.
const SEARCHED_MODES: [Mode; 5] = [
    Mode::Double,
    Mode::Aimed,
    Mode::Rough,
    Mode::Drawn,
    Mode::Long,
];

/// Prints the first seed and mode that finds each seeded bug.
fn find_seeded_bugs(from: u64, to: u64, jobs: u64) {
    let next = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed) as usize;
                let Some(bug) = SeededBug::all().nth(number) else {
                    return;
                };
                match first_find(bug, from, to) {
                    Some((mode, seed, violation)) => {
                        println!("{}: {} {seed}: {violation}", bug.name(), mode.name());
                    }
                    None => println!("{}: not found in seeds {from} to {to}", bug.name()),
                }
            });
        }
    });
}

/// The first mode and seed that finds a bug, and what it violates.
fn first_find(bug: SeededBug, from: u64, to: u64) -> Option<(Mode, u64, Violation)> {
    let tried = (from..to).flat_map(|seed| SEARCHED_MODES.map(|mode| (mode, seed)));
    let mut found = tried.filter_map(|(mode, seed)| {
        let violation = violation_by(bug, &mode.plan(seed))?;
        Some((mode, seed, violation))
    });
    found.next()
}

/// What a plan violates with a bug; nothing if it violates something without the bug, too.
fn violation_by(bug: SeededBug, plan: &Plan) -> Option<Violation> {
    let with_bug = Plan {
        seeded_bug: bug,
        ..plan.clone()
    };
    let violation = run(&with_bug).violations.into_iter().next()?;
    run(plan).violations.is_empty().then_some(violation)
}

/// The command line.
#[derive(Clone, Debug)]
struct Options {
    from: u64,
    to: u64,
    jobs: u64,
    mode: Mode,
    trace: bool,
    shrunk: bool,
    planted: bool,
    bug: Option<SeededBug>,
}

fn options() -> bpaf::OptionParser<Options> {
    let from = number("from", "first seed", 0);
    let to = number("to", "one beyond the last seed", 1000);
    let jobs = number("jobs", "threads", 4);
    let mode = bpaf::long("mode")
        .help("how plans are drawn: drawn, rough, long, aimed, double, storm, promises, zones, halves")
        .argument::<String>("MODE")
        .parse(|name| Mode::from_name(&name).ok_or("no such mode"))
        .fallback(Mode::Drawn);
    let trace = bpaf::long("trace")
        .help("print what happens in the first schedule")
        .switch();
    let shrunk = bpaf::long("shrink")
        .help("print broken plans made small")
        .switch();
    let planted = bpaf::long("planted")
        .help("tell which seed finds each planted bug first, by mode")
        .switch();
    let bug = bpaf::long("bug")
        .help("plant this bug")
        .argument::<String>("BUG")
        .parse(|name| SeededBug::from_name(&name).ok_or("no such bug"))
        .optional();
    bpaf::construct!(Options {
        from,
        to,
        jobs,
        mode,
        trace,
        shrunk,
        planted,
        bug
    })
    .to_options()
    .descr("Plays the control plane's members on simulated machines")
}

impl Options {
    /// The plan of a seed.
    fn plan(&self, seed: u64) -> Plan {
        Plan {
            seeded_bug: self.bug.unwrap_or(SeededBug::Nothing),
            ..self.mode.plan(seed)
        }
    }

    /// Runs all plans; their reports by seed, in order.
    fn run_plans(&self) -> Vec<(u64, Report)> {
        let next = AtomicU64::new(self.from);
        let reports: Mutex<Vec<(u64, Report)>> = Mutex::default();
        std::thread::scope(|scope| {
            for _ in 0..self.jobs.max(1) {
                scope.spawn(|| loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= self.to {
                        return;
                    }
                    let report = run(&self.plan(seed));
                    let mut reports = reports.lock().unwrap_or_else(PoisonError::into_inner);
                    reports.push((seed, report));
                });
            }
        });
        let mut reports = reports.into_inner().unwrap_or_else(PoisonError::into_inner);
        reports.sort_by_key(|r| r.0);
        reports
    }

    /// Prints a plan that violated something, as code.
    fn print_violations(&self, seed: u64, report: &Report) {
        let (violations, faults) = (&report.violations, &report.injected_faults);
        println!("seed {seed}: {violations:?}\n  {faults:?}");
        let plan = self.plan(seed);
        let plan = if self.shrunk { shrink(&plan) } else { plan };
        println!("  {}", plan_as_code(&plan));
    }
}

fn print_trace(plan: Plan) {
    let report = run(&Plan {
        trace: true,
        ..plan
    });
    report.trace.iter().for_each(|line| println!("{line}"));
    println!("{:?}", report.violations);
}

fn print_summary(mode: Mode, reports: &[(u64, Report)], broken: usize, elapsed: Duration) {
    let gaps = reports.iter().flat_map(|r| &r.1.gaps);
    let mut gaps_ms: Vec<f64> = gaps.map(|g| g.as_secs_f64() * 1e3).collect();
    gaps_ms.sort_by(f64::total_cmp);
    println!(
        "{} schedules of mode {}, {} broken; {:.1} schedules a second; {} calls acknowledged in {} steps; without a primary p50 {:.0} ms, p99 {:.0} ms, {} times",
        reports.len(),
        mode.name(),
        broken,
        reports.len() as f64 / elapsed.as_secs_f64(),
        reports.iter().map(|r| r.1.acknowledged).sum::<u64>(),
        reports.iter().map(|r| r.1.steps).sum::<u64>(),
        quantile(&gaps_ms, 0.5),
        quantile(&gaps_ms, 0.99),
        gaps_ms.len(),
    );
}

fn main() -> ExitCode {
    let options = options().run();
    if options.planted {
        find_seeded_bugs(options.from, options.to, options.jobs);
        return ExitCode::SUCCESS;
    }
    if options.trace {
        print_trace(options.plan(options.from));
        return ExitCode::SUCCESS;
    }
    let started_at = Instant::now();
    let reports = options.run_plans();
    let mut broken = 0;
    for (seed, report) in reports.iter().filter(|r| !r.1.violations.is_empty()) {
        broken += 1;
        options.print_violations(*seed, report);
    }
    print_summary(options.mode, &reports, broken, started_at.elapsed());
    ExitCode::from(u8::from(broken > 0))
}
