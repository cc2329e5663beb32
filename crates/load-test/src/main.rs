//! The command line of `load-test`.
#![forbid(unsafe_code)]

mod commands;

use clap::Parser;
use commands::args::Cli;
use commands::{exit, run_command};
use coordinator::logger;
use std::process::ExitCode;

fn main() -> ExitCode {
    let cli = Cli::parse();
    logger::start(cli.log, cli.log_format);
    run_command(cli.command).unwrap_or_else(|e| {
        eprintln!("load-test: {e}");
        ExitCode::from(exit::FAILED)
    })
}
