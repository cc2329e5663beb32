//! `run`: drives a scenario's deployment, audits it and keeps the results.

use super::args::Deploy;
use super::exit;
use super::signals::stop_flag;
use load_test::run::{self, RunError};
use load_test::{results, trace};
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

/// Runs a scenario; results go to `out`, and the plan as a trace to `record`.
pub(crate) fn run_scenario(
    deploy: &Deploy,
    out: Option<PathBuf>,
    record: Option<PathBuf>,
) -> Result<ExitCode, Box<dyn Error>> {
    let s = deploy.load()?;
    let out = out.unwrap_or_else(|| PathBuf::from("out").join(&s.name));
    let options = deploy.options(out.join("deployment"), stop_flag()?);
    if let Some(path) = record {
        trace::export(&path, &run::plan(&s, &options.base)?, &s)?;
    }
    let outcome = match run::run(&s, &options) {
        Err(RunError::Stopped) => {
            eprintln!("stopped");
            return Ok(ExitCode::from(exit::VOID));
        }
        other => other?,
    };
    let summary = results::write(&outcome, &out)?;
    print!("{}", results::report(&outcome, &summary));
    println!("\nresults in {}", out.display());
    Ok(ExitCode::from(match () {
        () if !outcome.violations.is_empty() => exit::BROKEN,
        () if !outcome.crashed.is_empty() => exit::CRASHED,
        () if outcome.void.is_some() => exit::VOID,
        () => 0,
    }))
}
