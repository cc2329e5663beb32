//! `trace`: imports, exports and summaries of traces and plans.

use super::args::{base, TraceCommand};
use load_test::plan::Plan;
use load_test::scenario::Scenario;
use load_test::stats::Spread;
use load_test::{run, trace};
use std::error::Error;
use std::process::ExitCode;

/// Carries out one of the trace commands.
pub(crate) fn trace_command(command: TraceCommand) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        TraceCommand::Import {
            trace: file,
            scenario,
            out,
        } => {
            let s = Scenario::load(&scenario)?;
            let plan = trace::import(&file, &s)?;
            trace::export(&out, &plan, &s)?;
            print_plan(&plan, &s);
        }
        TraceCommand::Export { scenario, out } => {
            let s = Scenario::load(&scenario)?;
            let plan = run::plan(&s, &base(&scenario))?;
            trace::export(&out, &plan, &s)?;
            print_plan(&plan, &s);
        }
        TraceCommand::Show {
            scenario,
            trace: file,
        } => {
            let s = Scenario::load(&scenario)?;
            let plan = match file {
                Some(file) => trace::import(&file, &s)?,
                None => run::plan(&s, &base(&scenario))?,
            };
            print_plan(&plan, &s);
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints what a plan comes to.
fn print_plan(plan: &Plan, s: &Scenario) {
    let length = s.length_s;
    println!(
        "plan {}: {} queries in {length} s, {:.1} a second",
        plan.digest(),
        plan.0.len(),
        plan.0.len() as f64 / length
    );
    let parts: usize = plan.0.iter().map(|q| q.parts.len()).sum();
    let work: f64 = plan
        .0
        .iter()
        .flat_map(|q| &q.parts)
        .map(|p| f64::from(p.work_us))
        .sum();
    let capacity = f64::from(s.fleet.hosts)
        * f64::from(s.fleet.host.cores)
        * s.fleet.host.speed
        * length
        * 1e6;
    println!(
        "{parts} parts; their work alone is {:.3} of what the hosts can do",
        work / capacity
    );
    for (n, c) in s.classes.iter().enumerate() {
        let of = plan.0.iter().filter(|q| usize::from(q.class) == n).count();
        println!("class {}: {of}", c.name);
    }
    for (n, t) in s.tenants.iter().enumerate() {
        let of = plan.0.iter().filter(|q| usize::from(q.tenant) == n).count();
        println!("tenant {}: {of}", t.name);
    }
    let mut gaps = load_test::stats::histogram();
    plan.0
        .windows(2)
        .for_each(|p| gaps.saturating_record((p[1].at_us - p[0].at_us).max(1)));
    let Spread {
        mean,
        p50,
        p99,
        max,
        ..
    } = Spread::of(&gaps);
    println!("gaps: mean {mean:.3} ms, p50 {p50:.3}, p99 {p99:.3}, max {max:.3}");
}
