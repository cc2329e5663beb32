//! `simulator --from A --to B`: plays drawn schedules on all cores and reports those that broke something.
#![forbid(unsafe_code)]

use bpaf::Parser;
use simulator::{code, run, shrink, Mode, Plan, Planted, Report};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

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

/// Modes in which planted bugs are searched, quick ones first.
const SEARCHED: [Mode; 5] = [
    Mode::Double,
    Mode::Aimed,
    Mode::Rough,
    Mode::Drawn,
    Mode::Long,
];

/// Prints the first seed and mode that finds each planted bug.
fn find_planted(from: u64, to: u64, jobs: u64) {
    let next = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed) as usize;
                let Some(planted) = Planted::ALL.get(number).copied() else {
                    return;
                };
                // What breaks without the bug shows nothing of it.
                let breaks = |plan: Plan| {
                    let report = run(&Plan {
                        planted,
                        ..plan.clone()
                    });
                    let found = report.breaches.into_iter().next();
                    found.filter(|_| run(&plan).breaches.is_empty())
                };
                let tried = (from..to).flat_map(|seed| SEARCHED.map(|mode| (mode, seed)));
                let found = tried.map(|(mode, seed)| (mode, seed, breaks(mode.plan(seed))));
                match found.into_iter().find(|f| f.2.is_some()) {
                    Some((mode, seed, breach)) => {
                        println!(
                            "{planted:?}: {} {seed}: {}",
                            mode.name(),
                            breach.unwrap_or_default()
                        );
                    }
                    None => println!("{planted:?}: not found in seeds {from} to {to}"),
                }
            });
        }
    });
}

fn main() -> ExitCode {
    let from = number("from", "first seed", 0);
    let to = number("to", "one beyond the last seed", 1000);
    let jobs = number("jobs", "threads", 4);
    let mode = bpaf::long("mode")
        .help("how plans are drawn: drawn, rough, long, aimed, double, storm, promises")
        .argument::<String>("MODE")
        .parse(|name| Mode::of(&name).ok_or("no such mode"))
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
        .parse(|name| {
            Planted::ALL
                .into_iter()
                .find(|p| format!("{p:?}") == name)
                .ok_or("no such bug")
        })
        .optional();
    let options = bpaf::construct!(from, to, jobs, mode, trace, shrunk, planted, bug).to_options();
    let (from, to, jobs, mode, trace, shrunk, planted, bug) = options
        .descr("Plays the control plane's members on simulated machines")
        .run();
    let bug = bug.unwrap_or(Planted::Nothing);
    let plan = |seed| Plan {
        planted: bug,
        ..mode.plan(seed)
    };
    if planted {
        find_planted(from, to, jobs);
        return ExitCode::SUCCESS;
    }
    if trace {
        let report = run(&simulator::Plan {
            trace: true,
            ..plan(from)
        });
        report.trace.iter().for_each(|line| println!("{line}"));
        println!("{:?}", report.breaches);
        return ExitCode::SUCCESS;
    }
    let begun = std::time::Instant::now();
    let next = AtomicU64::new(from);
    let reports: Mutex<Vec<(u64, Report)>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= to {
                    return;
                }
                let report = run(&plan(seed));
                if let Ok(mut reports) = reports.lock() {
                    reports.push((seed, report));
                }
            });
        }
    });
    let Ok(mut reports) = reports.into_inner() else {
        return ExitCode::from(2);
    };
    reports.sort_by_key(|r| r.0);
    let broken: Vec<_> = reports
        .iter()
        .filter(|r| !r.1.breaches.is_empty())
        .collect();
    for (seed, report) in &broken {
        println!("seed {seed}: {:?}\n  {:?}", report.breaches, report.struck);
        println!(
            "  {}",
            code(&if shrunk {
                shrink(&plan(*seed))
            } else {
                plan(*seed)
            })
        );
    }
    let mut gaps: Vec<f64> = reports
        .iter()
        .flat_map(|r| &r.1.gaps)
        .map(|g| g.as_secs_f64() * 1e3)
        .collect();
    gaps.sort_by(f64::total_cmp);
    println!(
        "{} schedules of mode {}, {} broken; {:.1} schedules a second; {} calls acknowledged in {} steps; without a primary p50 {:.0} ms, p99 {:.0} ms, {} times",
        reports.len(),
        mode.name(),
        broken.len(),
        reports.len() as f64 / begun.elapsed().as_secs_f64(),
        reports.iter().map(|r| r.1.acknowledged).sum::<u64>(),
        reports.iter().map(|r| r.1.steps).sum::<u64>(),
        quantile(&gaps, 0.5),
        quantile(&gaps, 0.99),
        gaps.len(),
    );
    ExitCode::from(u8::from(!broken.is_empty()))
}
