//! The simulator's adapter: one router for each instance, batches of events in, replies out.

mod adapter;
mod error;
mod fields;
mod wire;

use adapter::Adapter;
use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match Adapter::default().run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fennelpin-adapter: {error}");
            ExitCode::from(2)
        }
    }
}
