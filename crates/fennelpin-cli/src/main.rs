//! The system's one binary. Its three programs are subcommands, and so are the operators' commands.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use bpaf::ParseFailure;
use fennelpin_cli::command_line::{self, Command, ConfigCommand, Options, StoreCommand};
use fennelpin_cli::error::{CliError, EXIT_WRONG_INPUT};
use fennelpin_cli::local::cluster::Program;
use fennelpin_cli::operator_settings::OperatorSettings;
use fennelpin_cli::program_runtime::ProgramRuntime;
use fennelpin_cli::{
    config_commands, coordination_commands, local, logging, programs, status_report, store_commands,
};
use std::process::ExitCode;

fn main() -> ExitCode {
    let program_runtime = runs_a_program().then(ProgramRuntime::start);
    let options = match command_line::options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => return print_parse_failure(failure),
    };
    match run(options, program_runtime) {
        Ok(code) => code,
        Err(error) => {
            // A terminal gets the error without the time that a log line has.
            eprintln!("fennelpin-cli: {}", error.chain());
            ExitCode::from(error.exit_code())
        }
    }
}

/// Whether the command line names one of the programs that the platform starts. It is parsed only after their signals are
/// handled.
fn runs_a_program() -> bool {
    std::env::args_os().any(|argument| {
        let programs = [Program::ControlPlane, Program::Agent, Program::Proxy];
        programs.iter().any(|program| argument == program.name())
    })
}

/// Prints what the parser gives in place of options: help, completions or an error.
fn print_parse_failure(failure: ParseFailure) -> ExitCode {
    match failure {
        ParseFailure::Stdout(text, full) => {
            println!("{}", text.monochrome(full));
            ExitCode::SUCCESS
        }
        ParseFailure::Completion(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        ParseFailure::Stderr(text) => {
            eprintln!("fennelpin-cli: {}", text.monochrome(true));
            ExitCode::from(EXIT_WRONG_INPUT)
        }
    }
}

fn run(
    options: Options,
    program_runtime: Option<Result<ProgramRuntime, CliError>>,
) -> Result<ExitCode, CliError> {
    let mut settings = OperatorSettings::read(options.operator.as_deref())?;
    settings.log_level = options.level.unwrap_or(settings.log_level);
    settings.log_format = options.format.unwrap_or(settings.log_format);
    logging::start(settings.log_level, settings.log_format);
    let runtime = || program_runtime.unwrap_or_else(ProgramRuntime::start);
    match options.command {
        Command::ControlPlane(program) => {
            let run = |runtime| programs::control_plane(runtime, &program, &settings);
            return Ok(log_result(runtime().and_then(run)));
        }
        Command::Agent(program) => {
            let run = |runtime| programs::agent(runtime, &program);
            return Ok(log_result(runtime().and_then(run)));
        }
        Command::Proxy(program) => {
            let run = |runtime| programs::proxy(runtime, &program);
            return Ok(log_result(runtime().and_then(run)));
        }
        Command::Config(command) => return run_config(command),
        Command::Locks(command) => coordination_commands::run_locks(&command)?,
        Command::Cells(command) => coordination_commands::run_cells(&command)?,
        Command::Store(command) => run_store(command)?,
        Command::Status(options) => status_report::run(&options)?,
        Command::Local(options) => local::run(&options)?,
        Command::Codes => print_result_codes(),
        Command::Completion(shell) => print_completion(&shell)?,
        Command::Version => print_version(),
    }
    Ok(ExitCode::SUCCESS)
}

/// The exit code of a program. Its error goes into its log.
fn log_result(result: Result<(), CliError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{}", error.chain());
            ExitCode::from(error.exit_code())
        }
    }
}

fn run_config(command: ConfigCommand) -> Result<ExitCode, CliError> {
    match command {
        ConfigCommand::Check(options) => config_commands::check(&options)?,
        ConfigCommand::Show(options) => config_commands::show(&options)?,
        ConfigCommand::Diff(options) => {
            let are_equal = config_commands::diff(&options)?;
            if !are_equal {
                return Ok(ExitCode::from(config_commands::EXIT_DIFFERENT));
            }
        }
        ConfigCommand::Apply(options) => config_commands::apply(&options)?,
        ConfigCommand::History(members) => config_commands::history(&members)?,
        ConfigCommand::Rollback(options) => config_commands::rollback(&options)?,
    }
    Ok(ExitCode::SUCCESS)
}

fn run_store(command: StoreCommand) -> Result<(), CliError> {
    match command {
        StoreCommand::Inspect(dir) => store_commands::inspect(&dir),
        StoreCommand::Verify(dir) => store_commands::verify(&dir),
        StoreCommand::Recover {
            lost, others, dir, ..
        } => store_commands::recover(&dir, &lost, &others),
        StoreCommand::Rewrite { dir, .. } => store_commands::rewrite(&dir),
    }
}

fn print_result_codes() {
    for code in configuration::ResultCode::ALL {
        println!("{:>3}  {}  {}", code.number(), code.status(), code.text());
    }
}

fn print_completion(shell: &str) -> Result<(), CliError> {
    let Some(text) = command_line::completion(shell) else {
        return Err(CliError::UnknownShell {
            shell: shell.to_owned(),
        });
    };
    print!("{text}");
    Ok(())
}

fn print_version() {
    println!(
        "fennelpin-cli {} (messages: {})",
        env!("CARGO_PKG_VERSION"),
        protocol::FRAME_VERSION
    );
}
