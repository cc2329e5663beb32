//! The scale run's command line; see the library.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use bpaf::{construct, long, OptionParser, Parser};
use configuration::ProcessSettings;
use scale_test::{measure_balancing, run, BalancingCostOptions, PhaseReport, RunError, RunPlan};
use snafu::{ResultExt, Snafu};
use std::future::Future;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::LocalSet;

#[derive(Clone, Debug)]
enum Command {
    Scale(Box<ScaleOptions>),
    Member(PathBuf),
    Agent(PathBuf),
    Policy(BalancingCostOptions),
}

/// Options of the scale run; see [`RunPlan`].
#[derive(Clone, Debug)]
struct ScaleOptions {
    members: usize,
    agents: usize,
    coordinators: usize,
    hosts: usize,
    routes: usize,
    zones: usize,
    heartbeat_ms: u64,
    change_ms: u64,
    churn_ms: u64,
    ramp_s: f64,
    phase_s: f64,
    freeze_s: f64,
    pull_from_all: bool,
    dir: PathBuf,
    csv: Option<PathBuf>,
}

/// Why a command fails.
#[derive(Debug, Snafu)]
enum CommandError {
    #[snafu(display("{}: {source}", path.display()))]
    ReadSettings {
        path: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("{}: {source}", path.display()))]
    InvalidSettings {
        path: PathBuf,
        source: serde_json::Error,
    },
    #[snafu(transparent)]
    Io { source: std::io::Error },
    #[snafu(transparent)]
    Member {
        source: control_plane::runtime::RuntimeError,
    },
    #[snafu(transparent)]
    Agent { source: agent::Error },
    #[snafu(transparent)]
    Run { source: RunError },
}

fn main() -> ExitCode {
    let command = options().run();
    let logger = logforth::core::builder()
        .dispatch(|d| d.append(logforth::append::Stderr::default()))
        .build();
    if log::set_boxed_logger(Box::new(logforth::bridge::log::LogBridge::new(logger))).is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("no runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match LocalSet::new().block_on(&runtime, execute(command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn execute(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Member(path) => run_member(&path).await,
        Command::Agent(path) => run_agent(&path).await,
        Command::Policy(options) => {
            print_report(&measure_balancing(&options));
            Ok(())
        }
        Command::Scale(options) => run_scale(*options).await,
    }
}

async fn run_member(path: &Path) -> Result<(), CommandError> {
    let settings = read_settings(path)?;
    // The seeds never change. The sender lives as long as the member.
    let (_sender, seeds) = watch::channel(settings.seed_nodes.clone());
    let runtime_settings = control_plane::runtime::RuntimeSettings::default();
    control_plane::runtime::run(settings, runtime_settings, seeds, terminated()?).await?;
    Ok(())
}

async fn run_agent(path: &Path) -> Result<(), CommandError> {
    let settings = read_settings(path)?;
    let (_sender, seeds) = watch::channel(settings.seed_nodes.clone());
    agent::run(settings, seeds, terminated()?).await?;
    Ok(())
}

async fn run_scale(options: ScaleOptions) -> Result<(), CommandError> {
    let csv = options.csv.clone();
    let plan = run_plan(options, std::env::current_exe()?);
    let reports = run(plan, print_report).await?;
    if let (Some(csv), Some(first)) = (csv, reports.first()) {
        let mut lines = vec![first.csv_header()];
        lines.extend(reports.iter().map(PhaseReport::csv_line));
        std::fs::write(csv, lines.join("\n") + "\n")?;
    }
    Ok(())
}

fn run_plan(options: ScaleOptions, program: PathBuf) -> RunPlan {
    RunPlan {
        members: options.members,
        agents: options.agents,
        coordinators: options.coordinators,
        hosts: options.hosts,
        routes: options.routes,
        zones: options.zones,
        heartbeat_interval: Duration::from_millis(options.heartbeat_ms),
        change_interval: Duration::from_millis(options.change_ms),
        churn_interval: Duration::from_millis(options.churn_ms.max(1)),
        ramp: Duration::from_secs_f64(options.ramp_s),
        phase: Duration::from_secs_f64(options.phase_s),
        freeze: Duration::from_secs_f64(options.freeze_s),
        pull_from_all: options.pull_from_all,
        dir: options.dir,
        program,
        net: 64 + (std::process::id() % 128) as u8,
    }
}

fn read_settings(path: &Path) -> Result<ProcessSettings, CommandError> {
    let text = std::fs::read_to_string(path).context(ReadSettingsSnafu { path })?;
    ProcessSettings::read(&text).context(InvalidSettingsSnafu { path })
}

/// Completes at SIGTERM.
fn terminated() -> Result<impl Future<Output = ()>, CommandError> {
    let mut terminate = signal(SignalKind::terminate())?;
    Ok(async move {
        terminate.recv().await;
    })
}

fn print_report(report: &PhaseReport) {
    println!("{}", report.phase);
    for (name, figure) in &report.figures {
        println!("  {name:<24} {figure:>12.2}");
    }
}

fn options() -> OptionParser<Command> {
    let scale = scale_command().map(|options| Command::Scale(Box::new(options)));
    let policy = policy_command().map(Command::Policy);
    let member = program_command("member", "be one of the run's members").map(Command::Member);
    let agent = program_command("agent", "be one of the run's agents").map(Command::Agent);
    construct!([scale, policy, member, agent])
        .to_options()
        .descr("Scale run of the control plane on one machine")
}

fn number<T>(name: &'static str, help: &'static str, default: T) -> impl Parser<T>
where
    T: std::str::FromStr + std::fmt::Display + Clone + 'static,
    T::Err: std::fmt::Display,
{
    long(name)
        .help(help)
        .argument::<T>("N")
        .fallback(default)
        .display_fallback()
}

fn scale_command() -> impl Parser<ScaleOptions> {
    let members = number("members", "real members, each a process", 5);
    let agents = number("agents", "real agents, each a process", 2);
    let coordinators = number("coordinators", "hollow coordinators", 25);
    let hosts = number("hosts", "hollow hosts", 190);
    let routes = number("routes", "routes in the configuration", 1500);
    let zones = number("zones", "zones", 5);
    let heartbeat_ms = number("beat", "ms between a host's heartbeats", 1200);
    let change_ms = number("change", "ms between changes of the configuration", 1000);
    let churn_ms = number("churn", "ms between hosts that are replaced", 2000);
    let ramp_s = number("ramp", "seconds in which coordinators and hosts start", 1.0);
    let phase_s = number("phase", "seconds that each phase lasts", 20.0);
    let freeze_s = number("freeze", "seconds that most of the core stands still", 6.0);
    let pull_from_all = long("thrice")
        .help("coordinators wait for news at all members that they watch")
        .switch();
    let dir = long("dir")
        .help("folder for the processes' disks, settings and logs")
        .argument("DIR");
    let csv = long("csv")
        .help("file for the figures")
        .argument("FILE")
        .optional();
    construct!(ScaleOptions {
        members,
        agents,
        coordinators,
        hosts,
        routes,
        zones,
        heartbeat_ms,
        change_ms,
        churn_ms,
        ramp_s,
        phase_s,
        freeze_s,
        pull_from_all,
        dir,
        csv
    })
    .to_options()
    .descr("play the scale run")
    .command("scale")
    .help("play the scale run")
}

fn policy_command() -> impl Parser<BalancingCostOptions> {
    let hosts = number("hosts", "hosts of the service", 2900);
    let prefixes = number("prefixes", "shared prefixes", 86_000);
    let requests = number("requests", "requests", 20_000);
    let coordinators = number("coordinators", "coordinators that share the hosts", 390);
    let help = "measure what the proxy's policy costs";
    construct!(BalancingCostOptions {
        hosts,
        prefixes,
        requests,
        coordinators
    })
    .to_options()
    .descr(help)
    .command("policy")
    .help(help)
}

fn program_command(name: &'static str, help: &'static str) -> impl Parser<PathBuf> {
    long("settings")
        .help("the settings file")
        .argument::<PathBuf>("FILE")
        .to_options()
        .descr(help)
        .command(name)
        .help(help)
}
