//! `load`: the generator alone, against anything that speaks one of the fronts.

use super::args::base;
use super::exit;
use load_test::results;
use load_test::run;
use load_test::scenario::{FrontName, Scenario};
use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Instant;

/// Values of the command line that replace those of the scenario.
pub(crate) struct LoadOverrides {
    pub(crate) front: Option<FrontName>,
    pub(crate) rate: Option<f64>,
    pub(crate) length: Option<f64>,
    pub(crate) threads: Option<usize>,
}

/// Sends a scenario's traffic to targets and prints the figures.
pub(crate) fn load(
    path: &Path,
    targets: Vec<SocketAddr>,
    overrides: LoadOverrides,
) -> Result<ExitCode, Box<dyn Error>> {
    let mut s = Scenario::load(path)?;
    if let Some(front) = overrides.front {
        s.traffic.fronts = vec![front];
    }
    if let Some(rate) = overrides.rate {
        s.traffic.shapes = vec![load_test::curve::Shape::Steady { rate }];
        s.traffic.trace = None;
    }
    s.length_s = overrides.length.unwrap_or(s.length_s);
    s.clients.threads = overrides.threads.unwrap_or(s.clients.threads).clamp(1, 64);
    // Checked again with what has been put in.
    let s = Scenario::parse(&toml::to_string(&s)?, path)?;
    let began = Instant::now();
    let loaded = run::load(&s, &base(path), targets)?;
    println!(
        "plan {} of {} queries, {:.1} s",
        loaded.plan.digest(),
        loaded.plan.0.len(),
        began.elapsed().as_secs_f64()
    );
    print!("{}", results::tables(&loaded.figures));
    if let Some(why) = &loaded.void {
        println!("VOID: {why}");
        return Ok(ExitCode::from(exit::VOID));
    }
    Ok(ExitCode::SUCCESS)
}
