//! Options of `config`.

use super::{members, subcommand};
use crate::control_client::ControlClient;
use bpaf::{construct, long, positional, Parser};
use std::path::PathBuf;

/// What to do with configurations.
#[derive(Clone, Debug)]
pub enum ConfigCommand {
    /// Check a file.
    Check(CheckOptions),
    /// Print a configuration.
    Show(ShowOptions),
    /// Compare a file with a configuration.
    Diff(DiffOptions),
    /// Apply a configuration.
    Apply(ApplyOptions),
    /// List the versions that were applied.
    History(ControlClient),
    /// Apply an older configuration again.
    Rollback(RollbackOptions),
}

/// What to check.
#[derive(Clone, Debug)]
pub struct CheckOptions {
    /// What kind of file it is.
    pub kind: FileKind,
    /// The file.
    pub file: PathBuf,
}

/// What kind of file is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// A configuration of routes and services.
    Configuration,
    /// The settings file of a process.
    ProcessSettings,
    /// The operator's file.
    OperatorSettings,
}

/// What to print.
#[derive(Clone, Debug)]
pub struct ShowOptions {
    /// The version; `None` for the one in force.
    pub version: Option<u64>,
    /// The members to ask.
    pub members: ControlClient,
}

/// What to compare.
#[derive(Clone, Debug)]
pub struct DiffOptions {
    /// The version to compare with; `None` for the one in force.
    pub version: Option<u64>,
    /// The members to ask.
    pub members: ControlClient,
    /// The file that is compared.
    pub file: PathBuf,
}

/// What to apply.
#[derive(Clone, Debug)]
pub struct ApplyOptions {
    /// Whether the file holds an amendment, not a whole configuration.
    pub amend: bool,
    /// The version that it builds on; `None` for the one in force.
    pub base: Option<u64>,
    /// The members to ask.
    pub members: ControlClient,
    /// The file.
    pub file: PathBuf,
}

/// What to apply again.
#[derive(Clone, Debug)]
pub struct RollbackOptions {
    /// The new version; `None` for the one after that in force.
    pub version: Option<u64>,
    /// The file of the older configuration, where no member keeps it any more.
    pub file: Option<PathBuf>,
    /// The members to ask.
    pub members: ControlClient,
    /// The older version.
    pub to: u64,
}

pub(super) fn parser() -> impl Parser<ConfigCommand> {
    let check = check().map(ConfigCommand::Check);
    let show = show().map(ConfigCommand::Show);
    let diff = diff().map(ConfigCommand::Diff);
    let apply = apply().map(ConfigCommand::Apply);
    let history = subcommand("history", "list the versions taken", members::parser())
        .map(ConfigCommand::History);
    let rollback = rollback().map(ConfigCommand::Rollback);
    subcommand(
        "config",
        "work with configurations",
        construct!([check, show, diff, apply, history, rollback]),
    )
}

fn file(help: &'static str) -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help(help)
}

/// The option that names an older version.
fn version() -> impl Parser<Option<u64>> {
    long("version")
        .help("a version; else the one in force")
        .argument::<u64>("VERSION")
        .optional()
}

fn check() -> impl Parser<CheckOptions> {
    let settings = long("settings")
        .help("it is a program's settings file")
        .req_flag(FileKind::ProcessSettings);
    let operator = long("operator-file")
        .help("it is an operator's file")
        .req_flag(FileKind::OperatorSettings);
    let kind = construct!([settings, operator]).fallback(FileKind::Configuration);
    let file = file("the file");
    subcommand(
        "check",
        "check a file",
        construct!(CheckOptions { kind, file }),
    )
}

fn show() -> impl Parser<ShowOptions> {
    let (version, members) = (version(), members::parser());
    subcommand(
        "show",
        "print a configuration",
        construct!(ShowOptions { version, members }),
    )
}

fn diff() -> impl Parser<DiffOptions> {
    let (version, members, file) = (version(), members::parser(), file("the configuration"));
    subcommand(
        "diff",
        "compare a file with what is in force",
        construct!(DiffOptions {
            version,
            members,
            file
        }),
    )
}

fn apply() -> impl Parser<ApplyOptions> {
    let amend = long("amend")
        .help("the file holds an amendment, not a whole configuration")
        .switch();
    let base = long("base")
        .help("the version it builds on; else the one in force")
        .argument::<u64>("VERSION")
        .optional();
    let (members, file) = (members::parser(), file("the configuration"));
    subcommand(
        "apply",
        "have a configuration taken",
        construct!(ApplyOptions {
            amend,
            base,
            members,
            file
        }),
    )
}

fn rollback() -> impl Parser<RollbackOptions> {
    let version = long("version")
        .help("the new version; else one above that in force")
        .argument::<u64>("VERSION")
        .optional();
    let file = long("file")
        .help("the older configuration, where no member keeps it any more")
        .argument::<PathBuf>("FILE")
        .optional();
    let members = members::parser();
    let to = positional::<u64>("OLDER").help("the older version");
    subcommand(
        "rollback",
        "have an older configuration taken again under a new version",
        construct!(RollbackOptions {
            version,
            file,
            members,
            to
        }),
    )
}
