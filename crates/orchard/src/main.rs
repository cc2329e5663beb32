//! The system's one binary: its three programs are subcommands, and so are the operators' commands.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod commands;
mod failure;
mod logs;
mod options;
mod roles;
mod settings;
mod world;

use options::Verb;
use std::process::ExitCode;

fn main() -> ExitCode {
    let options = options::options().run();
    logs::start(options.level);
    let done = match options.verb {
        Verb::Rootstock(from) => roles::rootstock(&from),
        Verb::Hedgerow(from) => roles::hedgerow(&from),
        Verb::Trellis(from) => roles::trellis(&from),
        Verb::Version => commands::version(),
        Verb::Status(status) => commands::status(status.control),
        Verb::Check(check) => commands::check(&check.file, check.settings),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            log::error!("{}", failure.chain());
            ExitCode::from(failure.exit())
        }
    }
}
