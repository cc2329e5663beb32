//! The scale run's command line; see the library.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use bpaf::{construct, long, OptionParser, Parser};
use configuration::ProcessSettings;
use scale_test::{play, policy, Plan, Row};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::LocalSet;

#[derive(Clone, Debug)]
enum Verb {
    Scale(Box<Scale>),
    Member(PathBuf),
    Agent(PathBuf),
    Policy(Costs),
}

#[derive(Clone, Debug)]
struct Costs {
    hosts: usize,
    prefixes: u64,
    requests: u64,
    coordinators: usize,
}

#[derive(Clone, Debug)]
struct Scale {
    members: usize,
    agents: usize,
    coordinators: usize,
    hosts: usize,
    routes: usize,
    zones: usize,
    beat_ms: u64,
    change_ms: u64,
    churn_ms: u64,
    ramp_s: f64,
    phase_s: f64,
    freeze_s: f64,
    thrice: bool,
    dir: PathBuf,
    csv: Option<PathBuf>,
}

fn number<T>(name: &'static str, help: &'static str, usual: T) -> impl Parser<T>
where
    T: std::str::FromStr + std::fmt::Display + Clone + 'static,
    T::Err: std::fmt::Display,
{
    long(name)
        .help(help)
        .argument::<T>("N")
        .fallback(usual)
        .display_fallback()
}

fn options() -> OptionParser<Verb> {
    let members = number("members", "real members, each a process", 5);
    let agents = number("agents", "real agents, each a process", 2);
    let coordinators = number("coordinators", "hollow coordinators", 25);
    let hosts = number("hosts", "hollow hosts", 190);
    let routes = number("routes", "routes in the configuration", 1500);
    let zones = number("zones", "zones", 5);
    let beat_ms = number("beat", "ms between a host's heartbeats", 1200);
    let change_ms = number("change", "ms between changes of the configuration", 1000);
    let churn_ms = number("churn", "ms between hosts that are replaced", 2000);
    let ramp_s = number("ramp", "seconds in which coordinators and hosts start", 1.0);
    let phase_s = number("phase", "seconds that each phase lasts", 20.0);
    let freeze_s = number("freeze", "seconds that most of the core stands still", 6.0);
    let thrice = long("thrice")
        .help("coordinators wait for news at all members that they watch")
        .switch();
    let dir = long("dir")
        .help("folder for the processes' disks, settings and logs")
        .argument("DIR");
    let csv = long("csv")
        .help("file for the figures")
        .argument("FILE")
        .optional();
    let scale = construct!(Scale {
        members,
        agents,
        coordinators,
        hosts,
        routes,
        zones,
        beat_ms,
        change_ms,
        churn_ms,
        ramp_s,
        phase_s,
        freeze_s,
        thrice,
        dir,
        csv
    })
    .map(|s| Verb::Scale(Box::new(s)))
    .to_options()
    .descr("play the scale run")
    .command("scale")
    .help("play the scale run");
    let role = |name: &'static str, help: &'static str| {
        let settings = long("settings")
            .help("the settings file")
            .argument::<PathBuf>("FILE");
        settings.to_options().descr(help).command(name).help(help)
    };
    let member = role("member", "be one of the run's members").map(Verb::Member);
    let agent = role("agent", "be one of the run's agents").map(Verb::Agent);
    let hosts = number("hosts", "hosts of the service", 2900);
    let prefixes = number("prefixes", "shared prefixes", 86_000);
    let requests = number("requests", "requests", 20_000);
    let coordinators = number("coordinators", "coordinators that share the hosts", 390);
    let help = "measure what the proxy's policy costs";
    let policy = construct!(Costs {
        hosts,
        prefixes,
        requests,
        coordinators
    });
    let policy = policy
        .map(Verb::Policy)
        .to_options()
        .descr(help)
        .command("policy")
        .help(help);
    construct!([scale, policy, member, agent])
        .to_options()
        .descr("Scale run of the control plane on one machine")
}

fn settings(path: &PathBuf) -> Result<ProcessSettings, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    ProcessSettings::read(&text).map_err(|e| format!("{}: {e}", path.display()))
}

fn terminated() -> Result<impl std::future::Future<Output = ()>, String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    Ok(async move {
        term.recv().await;
    })
}

async fn perform(verb: Verb) -> Result<(), String> {
    match verb {
        Verb::Member(path) => {
            let boot = settings(&path)?;
            // Nobody changes the seeds; the sender lives as long as the member.
            let (_sender, seeds) = watch::channel(boot.seed_nodes.clone());
            control_plane::runtime::run(
                boot,
                control_plane::runtime::RuntimeSettings::default(),
                seeds,
                terminated()?,
            )
            .await
            .map_err(|e| e.to_string())
        }
        Verb::Agent(path) => {
            let boot = settings(&path)?;
            let (_sender, seeds) = watch::channel(boot.seed_nodes.clone());
            agent::run(boot, seeds, terminated()?)
                .await
                .map_err(|e| e.to_string())
        }
        Verb::Policy(costs) => {
            tell(&policy(
                costs.hosts,
                costs.prefixes,
                costs.requests,
                costs.coordinators,
            ));
            Ok(())
        }
        Verb::Scale(scale) => {
            let program = std::env::current_exe().map_err(|e| e.to_string())?;
            let plan = Plan {
                members: scale.members,
                agents: scale.agents,
                coordinators: scale.coordinators,
                hosts: scale.hosts,
                routes: scale.routes,
                zones: scale.zones,
                beat: Duration::from_millis(scale.beat_ms),
                change: Duration::from_millis(scale.change_ms),
                churn: Duration::from_millis(scale.churn_ms.max(1)),
                ramp: Duration::from_secs_f64(scale.ramp_s),
                phase: Duration::from_secs_f64(scale.phase_s),
                freeze: Duration::from_secs_f64(scale.freeze_s),
                thrice: scale.thrice,
                dir: scale.dir.clone(),
                program,
                net: 64 + (std::process::id() % 128) as u8,
            };
            let rows = play(plan, tell).await.map_err(|e| e.to_string())?;
            if let (Some(csv), Some(first)) = (&scale.csv, rows.first()) {
                let lines: Vec<String> = std::iter::once(first.head())
                    .chain(rows.iter().map(Row::line))
                    .collect();
                std::fs::write(csv, lines.join("\n") + "\n").map_err(|e| e.to_string())?;
            }
            Ok(())
        }
    }
}

fn tell(row: &Row) {
    println!("{}", row.phase);
    for (name, figure) in &row.figures {
        println!("  {name:<24} {figure:>12.2}");
    }
}

fn main() -> ExitCode {
    let verb = options().run();
    let logger = logforth::core::builder()
        .dispatch(|d| d.append(logforth::append::Stderr::default()))
        .build();
    if log::set_boxed_logger(Box::new(logforth::bridge::log::LogBridge::new(logger))).is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            log::error!("no runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    match LocalSet::new().block_on(&runtime, perform(verb)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}
