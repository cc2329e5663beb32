//! The coordinator's command line.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use coordinator::config::{Config, Source};
use coordinator::{logger, serve};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "fennelpin",
    version,
    about = "Query coordinator over many shards"
)]
struct Cli {
    /// How much is logged: error, warn, info, debug or trace.
    #[arg(long, global = true, default_value = "info")]
    log: log::LevelFilter,
    /// How a line of the log is written.
    #[arg(long, global = true, value_enum, default_value_t)]
    log_format: logger::Format,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serves until SIGTERM, then answers all it has taken and exits.
    Serve(Files),
    /// Reads the configuration, says what it comes to, and exits 2 if it is bad.
    CheckConfig(Files),
    /// Prints the version.
    Version,
}

#[derive(clap::Args)]
struct Files {
    /// The platform's configuration; else PROXY_CONFIG names it.
    #[arg(long)]
    config: Option<PathBuf>,
    /// An operator's file for what the platform does not configure.
    #[arg(long)]
    operator: Option<PathBuf>,
}

impl From<Files> for Source {
    fn from(files: Files) -> Self {
        Self {
            file: files.config,
            operator: files.operator,
        }
    }
}

fn load(source: &Source) -> Result<Config, ExitCode> {
    source.load().map_err(|e| {
        log::error!("configuration: {e}");
        ExitCode::from(2)
    })
}

fn run(command: Command) -> Result<(), ExitCode> {
    match command {
        Command::Version => println!("fennelpin {}", env!("CARGO_PKG_VERSION")),
        Command::CheckConfig(files) => println!("{}", load(&files.into())?.summary()),
        Command::Serve(files) => {
            let source = files.into();
            let config = load(&source)?;
            serve::run(config, source).map_err(|e| {
                log::error!("{e}");
                ExitCode::FAILURE
            })?;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    logger::start(cli.log, cli.log_format);
    match run(cli.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(code) => code,
    }
}
