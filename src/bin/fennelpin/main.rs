//! The coordinator's command line.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};

#[derive(Parser)]
#[command(name = "fennelpin", version, about = "Query coordinator over many shards")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Prints the version.
    Version,
}

fn main() {
    match Cli::parse().command {
        Command::Version => println!("fennelpin {}", env!("CARGO_PKG_VERSION")),
    }
}
