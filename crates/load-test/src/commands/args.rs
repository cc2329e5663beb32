//! The command line.

use clap::{Parser, Subcommand};
use coordinator::logger;
use load_test::run::Options;
use load_test::scenario::{FrontName, Scenario, ScenarioError};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

#[derive(Parser)]
#[command(
    name = "load-test",
    version,
    about = "A whole fennelpin deployment on loopback, driven open-loop and audited"
)]
pub(crate) struct Cli {
    /// How much is logged: error, warn, info, debug or trace.
    #[arg(long, global = true, default_value = "warn")]
    pub(crate) log: log::LevelFilter,
    /// How a line of the log is written.
    #[arg(long, global = true, value_enum, default_value_t)]
    pub(crate) log_format: logger::Format,
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Starts a scenario's deployment, prints where it answers, and serves until Ctrl-C.
    Up(Deploy),
    /// Drives a scenario's deployment, audits it and keeps the results. Exits 3 on a broken rule, 4 if the
    /// run is void, 5 if a coordinator crashed.
    Run {
        #[command(flatten)]
        deploy: Deploy,
        /// Where results go; else out/NAME.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Writes the plan as a trace as well (.csv or .jsonl).
        #[arg(long)]
        record: Option<PathBuf>,
    },
    /// The generator alone, against anything that speaks one of the fronts.
    Load {
        /// The scenario whose traffic is sent.
        scenario: PathBuf,
        /// Where it goes; may be given several times.
        #[arg(long, required = true)]
        target: Vec<SocketAddr>,
        /// The front to speak, in place of the scenario's.
        #[arg(long, value_enum)]
        front: Option<FrontName>,
        /// A steady rate in place of the scenario's shapes.
        #[arg(long)]
        rate: Option<f64>,
        /// A length in place of the scenario's, in seconds.
        #[arg(long)]
        length: Option<f64>,
        /// Threads in place of the scenario's.
        #[arg(long)]
        threads: Option<usize>,
    },
    /// Two result folders side by side, or two builds in interleaved pairs of runs.
    Compare {
        /// A result folder; with --scenario, a build's program.
        a: PathBuf,
        /// The other one.
        b: PathBuf,
        /// Runs both builds with this.
        #[arg(long)]
        scenario: Option<PathBuf>,
        /// Pairs of runs.
        #[arg(long, default_value_t = 5)]
        pairs: usize,
    },
    /// Measures the generator against references of known times and against a null target.
    Calibrate {
        /// Seconds for each reference.
        #[arg(long, default_value_t = 20.0)]
        seconds: f64,
        /// Rates for the null target, queries a second.
        #[arg(
            long,
            value_delimiter = ',',
            default_value = "2000,10000,20000,35000,50000"
        )]
        rates: Vec<f64>,
        /// Threads of the generator.
        #[arg(long, default_value_t = 4)]
        threads: usize,
    },
    /// Traces and plans.
    #[command(subcommand)]
    Trace(TraceCommand),
    /// A target of known behaviour in place of a coordinator, until Ctrl-C.
    Target {
        /// Where it listens.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Threads.
        #[arg(long, default_value_t = 2)]
        threads: usize,
        /// How long each answer takes, in milliseconds; at once where left out.
        #[arg(long)]
        fixed_ms: Option<f64>,
    },
}

#[derive(clap::Args)]
pub(crate) struct Deploy {
    /// The scenario.
    pub(crate) scenario: PathBuf,
    /// The coordinator's program; else the one beside this program.
    #[arg(long)]
    pub(crate) bin: Option<PathBuf>,
    /// The coordinators' log level.
    #[arg(long, default_value = "info")]
    pub(crate) coordinator_log: log::LevelFilter,
    /// A seed in place of the scenario's.
    #[arg(long)]
    pub(crate) seed: Option<u64>,
}

#[derive(Subcommand)]
pub(crate) enum TraceCommand {
    /// Checks a trace against a scenario and writes it out whole, all that it left open drawn.
    Import {
        /// The trace (.csv or .jsonl).
        trace: PathBuf,
        /// The scenario that names classes, tenants and fronts.
        #[arg(long)]
        scenario: PathBuf,
        /// Where it goes (.csv or .jsonl).
        #[arg(long)]
        out: PathBuf,
    },
    /// Writes a scenario's plan as a trace.
    Export {
        /// The scenario.
        scenario: PathBuf,
        /// Where it goes (.csv or .jsonl).
        #[arg(long)]
        out: PathBuf,
    },
    /// Says what a scenario's plan, or a trace under it, comes to.
    Show {
        /// The scenario.
        scenario: PathBuf,
        /// A trace in place of the scenario's plan.
        #[arg(long)]
        trace: Option<PathBuf>,
    },
}

/// The folder of a scenario, from which its other files are looked up.
pub(crate) fn base(scenario: &Path) -> PathBuf {
    scenario.parent().map_or_else(PathBuf::new, Path::to_owned)
}

impl Deploy {
    pub(crate) fn load(&self) -> Result<Scenario, ScenarioError> {
        let mut s = Scenario::load(&self.scenario)?;
        s.seed = self.seed.unwrap_or(s.seed);
        Ok(s)
    }

    pub(crate) fn options(&self, work: PathBuf, stop: Arc<AtomicBool>) -> Options {
        let log = self.coordinator_log.as_str().to_lowercase();
        Options {
            bin: self.bin.clone(),
            log,
            work,
            base: base(&self.scenario),
            stop,
        }
    }
}
