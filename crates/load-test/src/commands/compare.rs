//! `compare`: two result folders side by side, or two builds in interleaved pairs of runs.

use super::args::base;
use super::signals::stop_flag;
use load_test::compare;
use load_test::results::Summary;
use load_test::run::{self, Options, RunError};
use load_test::scenario::Scenario;
use std::error::Error;
use std::path::Path;
use std::process::ExitCode;

/// Prints two result folders side by side.
pub(crate) fn compare_results(a: &Path, b: &Path) -> Result<ExitCode, Box<dyn Error>> {
    print!("{}", compare::two(&Summary::load(a)?, &Summary::load(b)?));
    Ok(ExitCode::SUCCESS)
}

/// Runs two builds in pairs and prints how they compare.
pub(crate) fn compare_builds(
    a: &Path,
    b: &Path,
    path: &Path,
    pairs: usize,
) -> Result<ExitCode, Box<dyn Error>> {
    let s = Scenario::load(path)?;
    let stop = stop_flag()?;
    let work = std::env::temp_dir().join(format!("load-test-{}", std::process::id()));
    let mut all = Vec::new();
    let run_build = |bin: &Path| -> Result<Summary, RunError> {
        let bin = Some(bin.to_owned());
        let options = Options {
            bin,
            log: "warn".into(),
            work: work.clone(),
            base: base(path),
            stop: stop.clone(),
        };
        Ok(Summary::of(&run::run(&s, &options)?))
    };
    for n in 0..pairs {
        // The order alternates, so that neither build always runs on a warmer machine.
        let pair = if n % 2 == 0 {
            let a = run_build(a)?;
            (a, run_build(b)?)
        } else {
            let b = run_build(b)?;
            (run_build(a)?, b)
        };
        eprintln!("pair {} of {pairs}", n + 1);
        all.push(pair);
    }
    let _ = std::fs::remove_dir_all(&work);
    print!("{}", compare::pairs(&all));
    Ok(ExitCode::SUCCESS)
}
