//! The command line: its options, and their parsers.

mod config;
mod coordination;
mod local;
mod members;
mod program;
mod status;
mod store;

pub use config::{
    ApplyOptions, CheckOptions, ConfigCommand, DiffOptions, FileKind, RollbackOptions, ShowOptions,
};
pub use coordination::{CellsCommand, LocksCommand};
pub use local::LocalOptions;
pub use program::ProgramOptions;
pub use status::StatusOptions;
pub use store::StoreCommand;

use crate::operator_settings::{LogFormat, LogLevel};
use bpaf::{construct, long, positional, OptionParser, Parser};
use std::path::PathBuf;

/// The whole command line.
#[derive(Clone, Debug)]
pub struct Options {
    /// Lowest level of the lines that are logged; goes over the operator's file.
    pub level: Option<LogLevel>,
    /// Form of the log lines; goes over the operator's file.
    pub format: Option<LogFormat>,
    /// The operator's file.
    pub operator: Option<PathBuf>,
    /// What is to be done.
    pub command: Command,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Command {
    /// Run a member of the control plane.
    ControlPlane(ProgramOptions),
    /// Run a machine's agent.
    Agent(ProgramOptions),
    /// Run a proxy.
    Proxy(ProgramOptions),
    /// Report the system's state.
    Status(StatusOptions),
    /// Work with configurations.
    Config(ConfigCommand),
    /// Look at applications' locks.
    Locks(LocksCommand),
    /// Look at applications' cells.
    Cells(CellsCommand),
    /// Look at a member's files.
    Store(StoreCommand),
    /// Run the whole system on this machine.
    Local(LocalOptions),
    /// List the result codes.
    Codes,
    /// Print the completion script of this shell.
    Completion(String),
    /// Print the version.
    Version,
}

/// A subcommand with its help text.
fn subcommand<T: 'static>(
    name: &'static str,
    help: &'static str,
    options: impl Parser<T> + 'static,
) -> impl Parser<T> {
    options.to_options().descr(help).command(name).help(help)
}

/// A parser for the whole command line.
pub fn options() -> OptionParser<Options> {
    let level = long("log")
        .help("least level of the lines on standard error: off, error, warn, info, debug, trace")
        .argument::<LogLevel>("LEVEL")
        .optional();
    let format = long("log-format")
        .help("how lines are written: text, json")
        .argument::<LogFormat>("FORMAT")
        .optional();
    let operator = long("operator")
        .help("the operator's file (TOML)")
        .env("FENNELPIN_CLI_OPERATOR")
        .argument::<PathBuf>("FILE")
        .optional();
    let command = command();
    construct!(Options {
        level,
        format,
        operator,
        command
    })
    .to_options()
    .descr("Router fleet for a language model")
    .footer(
        "Exit codes: 0 done, 1 failed, 2 wrong input, 3 refused by the control plane, 4 differs",
    )
}

fn command() -> impl Parser<Command> {
    let status = status::parser().map(Command::Status);
    let config = config::parser().map(Command::Config);
    let locks = coordination::locks_parser().map(Command::Locks);
    let cells = coordination::cells_parser().map(Command::Cells);
    let store = store::parser().map(Command::Store);
    let local = local::parser().map(Command::Local);
    let codes = subcommand("codes", "list the result codes", bpaf::pure(Command::Codes));
    let completion = completion_command().map(Command::Completion);
    let version = subcommand("version", "print the version", bpaf::pure(Command::Version));
    let control_plane = subcommand(
        "control-plane",
        "run a member of the control plane",
        program::parser(),
    )
    .map(Command::ControlPlane);
    let agent = subcommand("agent", "run a machine's agent", program::parser()).map(Command::Agent);
    let proxy = subcommand("proxy", "run a proxy", program::parser()).map(Command::Proxy);
    construct!([
        status,
        config,
        locks,
        cells,
        store,
        local,
        codes,
        completion,
        version,
        control_plane,
        agent,
        proxy
    ])
}

fn completion_command() -> impl Parser<String> {
    let shell = positional::<String>("SHELL").help("bash, zsh, fish, elvish");
    subcommand(
        "completion",
        "print what makes a shell complete this command line",
        shell,
    )
}

/// The script that makes a shell complete this command line; `None` for an unknown shell.
pub fn completion(shell: &str) -> Option<String> {
    let style: &[&str] = match shell {
        "bash" => &["--bpaf-complete-style-bash"],
        "zsh" => &["--bpaf-complete-style-zsh"],
        "fish" => &["--bpaf-complete-style-fish"],
        "elvish" => &["--bpaf-complete-style-elvish"],
        _ => return None,
    };
    match options().run_inner(bpaf::Args::from(style).set_name("fennelpin-cli")) {
        Err(bpaf::ParseFailure::Completion(text)) => Some(text),
        _ => None,
    }
}
