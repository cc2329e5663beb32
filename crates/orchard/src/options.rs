//! The command line.

use bpaf::{construct, long, positional, OptionParser, Parser};
use log::LevelFilter;
use std::net::SocketAddr;
use std::path::PathBuf;

/// All that the command line says.
#[derive(Clone, Debug)]
pub struct Options {
    /// Least level of the lines that are logged.
    pub level: LevelFilter,
    /// What is to be done.
    pub verb: Verb,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Verb {
    /// Be a member of the control plane.
    Rootstock(From),
    /// Be a machine's agent.
    Hedgerow(From),
    /// Be a proxy.
    Trellis(From),
    /// Print the version.
    Version,
    /// Ask a member how it is.
    Status(Status),
    /// Check a file.
    Check(Check),
}

/// Where a program's settings are.
#[derive(Clone, Debug)]
pub struct From {
    /// The settings file.
    pub settings: PathBuf,
}

/// Whom to ask.
#[derive(Clone, Debug)]
pub struct Status {
    /// A member's `control` address.
    pub control: SocketAddr,
}

/// What to check.
#[derive(Clone, Debug)]
pub struct Check {
    /// Whether it is a settings file; else it is a configuration.
    pub settings: bool,
    /// The file.
    pub file: PathBuf,
}

fn from() -> impl Parser<From> {
    let settings = long("settings")
        .help("the program's settings file")
        .env("FENNELPIN_NODE_FILE")
        .argument::<PathBuf>("FILE");
    construct!(From { settings })
}

/// The command line's parser.
pub fn options() -> OptionParser<Options> {
    let level = long("log")
        .help("least level of the lines on standard error: off, error, warn, info, debug, trace")
        .argument::<LevelFilter>("LEVEL")
        .fallback(LevelFilter::Info)
        .display_fallback();
    let role = |name, text| from().to_options().descr(text).command(name).help(text);
    let rootstock = role("rootstock", "run a member of the control plane").map(Verb::Rootstock);
    let hedgerow = role("hedgerow", "run a machine's agent").map(Verb::Hedgerow);
    let trellis = role("trellis", "run a proxy").map(Verb::Trellis);
    let version = bpaf::pure(Verb::Version)
        .to_options()
        .descr("print the version")
        .command("version")
        .help("print the version");
    let control = long("control").help("control address of a member").argument::<SocketAddr>("ADDR");
    let status = construct!(Status { control })
        .map(Verb::Status)
        .to_options()
        .descr("ask a member how it is")
        .command("status")
        .help("ask a member how it is");
    let settings = long("settings").help("it is a program's settings file, no configuration").switch();
    let file = positional::<PathBuf>("FILE").help("the file");
    let check = construct!(Check { settings, file })
        .map(Verb::Check)
        .to_options()
        .descr("check an operator's configuration")
        .command("check")
        .help("check an operator's configuration");
    let config = check
        .to_options()
        .descr("work with configurations")
        .command("config")
        .help("work with configurations");
    let verb = construct!([rootstock, hedgerow, trellis, status, config, version]);
    construct!(Options { level, verb }).to_options().descr("Router fleet for a language model")
}
