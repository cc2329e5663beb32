//! The subcommands, one module each.

pub(crate) mod args;
mod compare;
pub(crate) mod exit;
mod load;
mod run;
mod signals;
mod target;
mod trace;
mod up;

use args::Command;
use std::error::Error;
use std::process::ExitCode;

/// Carries out a command.
pub(crate) fn run_command(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Up(deploy) => up::up(&deploy),
        Command::Run {
            deploy,
            out,
            record,
        } => run::run_scenario(&deploy, out, record),
        Command::Load {
            scenario,
            target,
            front,
            rate,
            length,
            threads,
        } => {
            let overrides = load::LoadOverrides {
                front,
                rate,
                length,
                threads,
            };
            load::load(&scenario, target, overrides)
        }
        Command::Compare {
            a,
            b,
            scenario: Some(path),
            pairs,
        } => compare::compare_builds(&a, &b, &path, pairs),
        Command::Compare {
            a,
            b,
            scenario: None,
            ..
        } => compare::compare_results(&a, &b),
        Command::Calibrate {
            seconds,
            rates,
            threads,
        } => target::calibrate_generator(seconds, &rates, threads),
        Command::Trace(command) => trace::trace_command(command),
        Command::Target {
            listen,
            threads,
            fixed_ms,
        } => target::serve_target(listen, threads, fixed_ms),
    }
}
