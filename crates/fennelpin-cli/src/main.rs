//! The system's one binary: its three programs are subcommands, and so are the operators' commands.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use bpaf::ParseFailure;
use fennelpin_cli::failure::Failure;
use fennelpin_cli::operator::Operator;
use fennelpin_cli::options::{self, Config, Options, Store, Verb};
use fennelpin_cli::{config, local, logs, roles, status, store};
use std::process::ExitCode;

/// What was given on the command line is wrong.
const USAGE: u8 = 2;

fn main() -> ExitCode {
    let options = match options::options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(ParseFailure::Stdout(text, whole)) => {
            println!("{}", text.monochrome(whole));
            return ExitCode::SUCCESS;
        }
        Err(ParseFailure::Completion(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(ParseFailure::Stderr(text)) => {
            eprintln!("fennelpin-cli: {}", text.monochrome(true));
            return ExitCode::from(USAGE);
        }
    };
    match run(options) {
        Ok(code) => code,
        Err(failure) => {
            // Who reads a terminal wants no time before it.
            eprintln!("fennelpin-cli: {}", failure.chain());
            ExitCode::from(failure.exit())
        }
    }
}

/// The exit code of a program, whose failure goes into its log.
fn logged(done: Result<(), Failure>) -> ExitCode {
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            log::error!("{}", failure.chain());
            ExitCode::from(failure.exit())
        }
    }
}

fn run(options: Options) -> Result<ExitCode, Failure> {
    let mut operator = Operator::read(options.operator.as_deref())?;
    operator.log_level = options.level.unwrap_or(operator.log_level);
    operator.log_format = options.format.unwrap_or(operator.log_format);
    logs::start(operator.log_level, operator.log_format);
    let done = |()| ExitCode::SUCCESS;
    match options.verb {
        Verb::ControlPlane(from) => Ok(logged(roles::control_plane(&from, &operator))),
        Verb::Agent(from) => Ok(logged(roles::agent(&from))),
        Verb::Proxy(from) => Ok(logged(roles::proxy(&from))),
        Verb::Version => {
            println!(
                "fennelpin-cli {} (messages: {})",
                env!("CARGO_PKG_VERSION"),
                protocol::FRAME_VERSION
            );
            Ok(ExitCode::SUCCESS)
        }
        Verb::Codes => {
            for code in configuration::ResultCode::ALL {
                println!("{:>3}  {}  {}", code.number(), code.status(), code.text());
            }
            Ok(ExitCode::SUCCESS)
        }
        Verb::Completion(shell) => {
            match options::completion(&shell) {
                Some(text) => print!("{text}"),
                None => return Err(Failure::NoCompletion { shell }),
            }
            Ok(ExitCode::SUCCESS)
        }
        Verb::Status(asked) => status::run(&asked).map(done),
        Verb::Config(Config::Check(check)) => config::check(&check).map(done),
        Verb::Config(Config::Show(show)) => config::show(&show).map(done),
        Verb::Config(Config::Diff(diff)) => config::diff(&diff).map(|same| {
            if same {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(config::DIFFERS)
            }
        }),
        Verb::Config(Config::Apply(apply)) => config::apply(&apply).map(done),
        Verb::Config(Config::History(members)) => config::history(&members).map(done),
        Verb::Config(Config::Rollback(rollback)) => config::rollback(&rollback).map(done),
        Verb::Store(Store::Inspect(dir)) => store::inspect(&dir).map(done),
        Verb::Store(Store::Verify(dir)) => store::verify(&dir).map(done),
        Verb::Store(Store::Recover {
            lost, others, dir, ..
        }) => store::recover(&dir, &lost, &others).map(done),
        Verb::Store(Store::Rewrite { dir, .. }) => store::rewrite(&dir).map(done),
        Verb::Local(plan) => local::run(&plan).map(done),
    }
}
