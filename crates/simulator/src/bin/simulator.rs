//! `simulator --from A --to B`: plays drawn schedules on all cores and reports those that broke something.
#![forbid(unsafe_code)]

use bpaf::Parser;
use simulator::{run, Mode, Report};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

fn number(name: &'static str, help: &'static str, value: u64) -> impl Parser<u64> {
    bpaf::long(name).help(help).argument::<u64>("N").fallback(value)
}

fn quantile(all: &[f64], q: f64) -> f64 {
    all.get(((all.len() as f64 - 1.0) * q) as usize).copied().unwrap_or(0.0)
}

fn main() -> ExitCode {
    let from = number("from", "first seed", 0);
    let to = number("to", "one beyond the last seed", 1000);
    let jobs = number("jobs", "threads", 4);
    let mode = bpaf::long("mode")
        .help("how plans are drawn: drawn, rough, long, aimed, double, storm")
        .argument::<String>("MODE")
        .parse(|name| Mode::of(&name).ok_or("no such mode"))
        .fallback(Mode::Drawn);
    let trace = bpaf::long("trace").help("print what happens in the first schedule").switch();
    let options = bpaf::construct!(from, to, jobs, mode, trace).to_options();
    let (from, to, jobs, mode, trace) =
        options.descr("Plays the control plane's members on simulated machines").run();
    let plan = |seed| mode.plan(seed);
    if trace {
        let report = run(&simulator::Plan { trace: true, ..plan(from) });
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
    let Ok(mut reports) = reports.into_inner() else { return ExitCode::from(2) };
    reports.sort_by_key(|r| r.0);
    let broken: Vec<_> = reports.iter().filter(|r| !r.1.breaches.is_empty()).collect();
    for (seed, report) in &broken {
        println!("seed {seed}: {:?}\n  {:?}\n  {:?}", report.breaches, plan(*seed), report.struck);
    }
    let mut gaps: Vec<f64> = reports.iter().flat_map(|r| &r.1.gaps).map(|g| g.as_secs_f64() * 1e3).collect();
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
