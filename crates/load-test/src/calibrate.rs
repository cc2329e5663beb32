//! The generator against references: answers whose times are known ahead, and a target that answers at
//! once. The references are worked out here from the plan, free of I/O and clock.

use crate::clients::AttemptOutcome;
use crate::plan::{Mixer, Plan};
use crate::run::{self, Loaded, RunError};
use crate::scenario::{Arrivals, ClassTable, RepeatName, Scenario};
use crate::stats::{histogram, Spread};
use crate::target::{Service, Target, TargetSpec};
use std::fmt::Write;
use std::path::Path;
use std::time::{Duration, Instant};

/// Time between a target's start and the plan's 0, which it must know for its stall.
const AHEAD: Duration = Duration::from_millis(100);

/// A scenario of one class with a part a query, one try each, at a steady rate.
pub fn scenario(
    rate: f64,
    length_s: f64,
    arrivals: Arrivals,
    keys: u32,
    threads: usize,
) -> Scenario {
    let text = format!(
        "name = 'calibrate'\nseed = 5\nlength_s = {length_s}\n[fleet]\ncoordinators = 1\n\
         [clients]\nretries = [0, 0]\npatience = [1.0, 1.0]\nthreads = {threads}\nconnections = 4000\n\
         [traffic]\nkeys = {keys}\nzipf = 0\n[[traffic.shape]]\nkind = 'steady'\nrate = {rate}\n"
    );
    let class = ClassTable {
        name: "q".into(),
        share: 1.0,
        parts: [1, 1],
        work_ms: 0.0,
        work_cv: 0.0,
        goal_ms: 30_000.0,
        limit_ms: 30_000.0,
        worth: 1.0,
        late_worth: 0.0,
        repeat: RepeatName::Safe,
        window_ms: 0.0,
        floor: 1.0,
        partial_worth: 1.0,
    };
    // The text above is as good as the figures put into it, which callers choose.
    let mut s =
        Scenario::parse(&text, Path::new("calibrate")).unwrap_or_else(|e| unreachable!("{e}"));
    s.classes = vec![class];
    s.traffic.arrivals = arrivals;
    s
}

/// The latency of each query where every answer takes `service`, and all that would come within the stall
/// comes at its end; microseconds.
pub fn fixed(plan: &Plan, service: u64, stall: Option<(u64, u64)>) -> Vec<u64> {
    let held = |at: u64| match stall {
        Some((from, length)) if (from..from + length).contains(&at) => from + length,
        _ => at,
    };
    plan.0
        .iter()
        .map(|q| held(q.at_us + service) - q.at_us)
        .collect()
}

/// The latency of each query at queues of one server each, chosen by key: Lindley's recursion.
pub fn queues(plan: &Plan, count: u32, service: u64) -> Vec<u64> {
    let mut free = vec![0; count as usize];
    let mut one = |q: &crate::plan::Planned| {
        let free = &mut free[(q.key % count) as usize];
        *free = q.at_us.max(*free) + service;
        *free - q.at_us
    };
    plan.0.iter().map(&mut one).collect()
}

/// The mean time in an M/D/1 queue (Pollaczek and Khinchine) for a rate in queries a microsecond.
pub fn md1_mean(rate: f64, service: f64) -> f64 {
    let load = rate * service;
    service * (1.0 + load / (2.0 * (1.0 - load)))
}

/// Spread of exact latencies in microseconds.
pub fn spread(all: &[u64]) -> Spread {
    let mut h = histogram();
    all.iter().for_each(|us| h.saturating_record((*us).max(1)));
    Spread::of(&h)
}

/// Runs a plan against a target of this behaviour; a stall counts from the plan's 0.
///
/// # Errors
/// If a socket or thread can't be had.
pub fn against(
    s: &Scenario,
    service: Service,
    stall: Option<(Duration, Duration)>,
    threads: usize,
) -> Result<Loaded, RunError> {
    let plan = Plan::draw(s);
    // The generator counts from its own start, so the target's clock is set by the same instant.
    let start = Instant::now() + AHEAD;
    let stall = stall.map(|(from, length)| (start + from, length));
    let target = Target::start(
        TargetSpec {
            threads,
            service,
            stall,
        },
        None,
    )?;
    run::load_plan_at(s, plan, vec![target.addr], start)
}

/// A table of a measured spread beside its reference, with the largest difference as a share.
fn beside(out: &mut String, name: &str, got: &Spread, want: &Spread) -> f64 {
    let mut worst = 0.0f64;
    for (what, g, w) in [
        ("count", got.count as f64, want.count as f64),
        ("mean", got.mean, want.mean),
        ("p50", got.p50, want.p50),
        ("p99", got.p99, want.p99),
        ("p99.9", got.p999, want.p999),
    ] {
        let off = g / w - 1.0;
        worst = worst.max(off.abs());
        let _ = writeln!(
            out,
            "| {name} | {what} | {w:.3} | {g:.3} | {:+.2}% |",
            off * 100.0
        );
    }
    worst
}

/// What a calibration found.
pub struct Calibration {
    /// Tables in Markdown.
    pub text: String,
    /// Largest difference from a reference, as a share.
    pub worst: f64,
}

/// All references; `seconds` for each, and the rates that the null target is driven at.
///
/// # Errors
/// If a socket or thread can't be had.
pub fn calibrate(seconds: f64, rates: &[f64], threads: usize) -> Result<Calibration, RunError> {
    let mut text = String::from(
        "| reference | figure | wanted | measured | off |\n| --- | --- | --- | --- | --- |\n",
    );
    let s = scenario(1000.0, seconds, Arrivals::Poisson, 80, threads);
    let plan = Plan::draw(&s);
    let ms = |n: u64| Duration::from_millis(n);
    let (service, from, length) = (
        ms(100),
        Duration::from_secs_f64(seconds * 0.4),
        Duration::from_secs_f64(seconds * 0.2),
    );
    let us = |d: Duration| d.as_micros() as u64;
    let got = against(&s, Service::Fixed(service), Some((from, length)), 2)?;
    let want = spread(&fixed(&plan, us(service), Some((us(from), us(length)))));
    let name = format!("100 ms each, a stall of {:.1} s", length.as_secs_f64());
    let mut worst = beside(&mut text, &name, &got.figures.latency, &want);
    let s = scenario(2000.0, seconds, Arrivals::Poisson, 400, threads);
    let plan = Plan::draw(&s);
    let got = against(&s, Service::Queues(400, service), None, 2)?;
    let exact = queues(&plan, 400, us(service));
    let name = "400 queues M/D/1, 100 ms, load 0.5";
    worst = worst.max(beside(
        &mut text,
        name,
        &got.figures.latency,
        &spread(&exact),
    ));
    let mean = md1_mean(5e-6, 100_000.0) / 1e3;
    let off = got.figures.latency.mean / mean - 1.0;
    let _ = writeln!(
        text,
        "| {name}, closed form | mean | {mean:.3} | {:.3} | {:+.2}% |",
        got.figures.latency.mean,
        off * 100.0
    );
    null_targets(&mut text, seconds, rates, threads)?;
    Ok(Calibration { text, worst })
}

/// Drives a target that answers at once at each of these rates.
fn null_targets(
    text: &mut String,
    seconds: f64,
    rates: &[f64],
    threads: usize,
) -> Result<(), RunError> {
    text.push_str("\n| null target, queries a second | begun a second | served | lag p50 ms | p99 | p99.9 | latency p50 ms | p99 |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for rate in rates {
        let mut s = scenario(*rate, seconds.min(10.0), Arrivals::Poisson, 1000, threads);
        // More of them would only wait in the target's queue in place of the generator's.
        s.clients.connections = 256;
        let got = against(&s, Service::Instant, None, threads)?;
        let f = &got.figures;
        let served = f
            .outcomes
            .get(AttemptOutcome::Served(true).word())
            .copied()
            .unwrap_or(0);
        // Over the time in which the last one ended: what was begun late is not made up for.
        let took = s.length_s + f.lag.max / 1e3;
        let _ = writeln!(
            text,
            "| {rate:.0} | {:.0} | {:.4} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} |",
            got.plan.0.len() as f64 / took,
            served as f64 / got.plan.0.len().max(1) as f64,
            f.lag.p50,
            f.lag.p99,
            f.lag.p999,
            f.latency.p50,
            f.latency.p99
        );
    }
    Ok(())
}

/// A query of a calibrating scenario, for tests that write their plan by hand.
pub fn query_at(s: &Scenario, at_us: u64, key: u32) -> crate::plan::Planned {
    Mixer::new(s).query(at_us, Some(0), Some(0), Some(key))
}
