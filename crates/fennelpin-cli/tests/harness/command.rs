//! Runs of the binary.

use std::process::Command;

/// What a command printed, and its exit code.
#[derive(Debug)]
pub struct CommandOutput {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

/// The binary, without any variables of the environment.
pub fn fennelpin_cli() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fennelpin-cli"));
    command.env_clear();
    command
}

/// Runs a command to its end.
pub fn finish(command: &mut Command) -> CommandOutput {
    let output = command.output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    CommandOutput {
        code: output.status.code().unwrap(),
        stdout: text(output.stdout),
        stderr: text(output.stderr),
    }
}

/// Runs the binary with these arguments to its end.
pub fn run(arguments: &[&str]) -> CommandOutput {
    finish(fennelpin_cli().args(arguments))
}
