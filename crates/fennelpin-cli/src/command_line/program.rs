//! Options of the three programs.

use bpaf::{construct, long, Parser};
use std::path::PathBuf;

/// Where a program's settings are, and when it ends.
#[derive(Clone, Debug)]
pub struct ProgramOptions {
    /// The settings file.
    pub settings: PathBuf,
    /// Whether the program ends, as at SIGTERM, when its standard input does. So it doesn't outlive the process that
    /// started it.
    pub until_input_ends: bool,
}

pub(super) fn parser() -> impl Parser<ProgramOptions> {
    let settings = long("settings")
        .help("the program's settings file")
        .env("FENNELPIN_NODE_FILE")
        .argument::<PathBuf>("FILE");
    let until_input_ends = long("until-input-ends")
        .help("end when standard input ends")
        .switch();
    construct!(ProgramOptions {
        settings,
        until_input_ends
    })
}
