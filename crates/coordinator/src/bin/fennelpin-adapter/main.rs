//! Adapter that lets the simulator drive routers: it reads batches of events for any number of router
//! instances from standard input, and writes their replies to standard output.

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
