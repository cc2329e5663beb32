//! The lab's command line.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use coordinator::logger;
use load_test::plan::Plan;
use load_test::results::{self, Summary};
use load_test::run::{self, Options, RunError};
use load_test::scenario::{FrontName, Scenario};
use load_test::stats::Spread;
use load_test::target::{Service, Target, TargetSpec};
use load_test::{calibrate, compare, trace};
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Exit codes beside 0 and clap's own.
const BAD: u8 = 2;
const BROKEN: u8 = 3;
const VOID: u8 = 4;
const CRASHED: u8 = 5;

#[derive(Parser)]
#[command(
    name = "load-test",
    version,
    about = "A whole fennelpin deployment on loopback, driven open-loop and audited"
)]
struct Cli {
    /// How much is logged: error, warn, info, debug or trace.
    #[arg(long, global = true, default_value = "warn")]
    log: log::LevelFilter,
    /// How a line of the log is written.
    #[arg(long, global = true, value_enum, default_value_t)]
    log_format: logger::Format,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
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
struct Deploy {
    /// The scenario.
    scenario: PathBuf,
    /// The coordinator's program; else the one beside this program.
    #[arg(long)]
    bin: Option<PathBuf>,
    /// The coordinators' log level.
    #[arg(long, default_value = "info")]
    coordinator_log: log::LevelFilter,
    /// A seed in place of the scenario's.
    #[arg(long)]
    seed: Option<u64>,
}

#[derive(Subcommand)]
enum TraceCommand {
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

fn base(scenario: &Path) -> PathBuf {
    scenario.parent().map_or_else(PathBuf::new, Path::to_owned)
}

impl Deploy {
    fn load(&self) -> Result<Scenario, Box<dyn Error>> {
        let mut s = Scenario::load(&self.scenario)?;
        s.seed = self.seed.unwrap_or(s.seed);
        Ok(s)
    }

    fn options(&self, work: PathBuf, stop: Arc<AtomicBool>) -> Options {
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

/// Set by SIGINT and SIGTERM, so that coordinators never outlive the lab.
fn stopper() -> std::io::Result<Arc<AtomicBool>> {
    use tokio::signal::unix::{signal, SignalKind};
    let stop = Arc::new(AtomicBool::new(false));
    let set = stop.clone();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (mut int, mut term) = {
        let _inside = runtime.enter();
        (
            signal(SignalKind::interrupt())?,
            signal(SignalKind::terminate())?,
        )
    };
    std::thread::spawn(move || {
        runtime.block_on(async {
            tokio::select! { _ = int.recv() => {} _ = term.recv() => {} }
        });
        set.store(true, Ordering::Relaxed);
    });
    Ok(stop)
}

fn until_stopped(stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn up(deploy: &Deploy) -> Result<ExitCode, Box<dyn Error>> {
    let s = deploy.load()?;
    let stop = stopper()?;
    let work = std::env::temp_dir().join(format!("load-test-{}", std::process::id()));
    let mut d = run::deploy(&s, &deploy.options(work.clone(), stop.clone()))?;
    println!(
        "{}: {} hosts, {} shards; files and logs in {}",
        s.name,
        s.fleet.hosts,
        s.shards(),
        work.display()
    );
    for (n, addr) in d.fleet.discovery.iter().enumerate() {
        println!("discovery of coordinator {n}: http://{addr}/catalog/members");
    }
    let class = &s.classes[0];
    for (n, addr) in d.coordinators.addrs().iter().enumerate() {
        println!(
            "coordinator {n} ({}): {addr}",
            s.fleet.zones[s.zone_of(n as u16)]
        );
        println!(
            "  curl -s http://{addr}/{0} -H 'Req-Id: a1' -H 'Req-Kind: {0}' -H 'Req-Owner: {1}' \
             -H 'Req-Deadline-Ms: {2}' -H 'Idempotency-Key: k1' \
             -d '{{\"tablets\":[{{\"tablet\":0,\"fraction\":1.0}}],\"statement\":\"free\"}}'",
            class.name, s.tenants[0].name, class.limit_ms as u64
        );
        if s.traffic.fronts.contains(&FrontName::OpenSearch) {
            println!(
                "  curl -s http://{addr}/{}/_search -H 'Content-Type: application/json' -H 'Idempotency-Key: k1' \
                 -d '{{\"query\":{{\"terms\":{{\"district\":[\"d0\",\"d1\"]}}}}}}'",
                class.name
            );
        }
    }
    println!("Ctrl-C ends it");
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(50));
        if let Some((c, code)) = d.coordinators.reap().pop() {
            eprintln!("coordinator {c} ended with {code:?}: see its log");
            return Ok(ExitCode::from(CRASHED));
        }
    }
    d.coordinators.end();
    Ok(ExitCode::SUCCESS)
}

fn run_scenario(
    deploy: &Deploy,
    out: Option<PathBuf>,
    record: Option<PathBuf>,
) -> Result<ExitCode, Box<dyn Error>> {
    let s = deploy.load()?;
    let out = out.unwrap_or_else(|| PathBuf::from("out").join(&s.name));
    let options = deploy.options(out.join("deployment"), stopper()?);
    if let Some(path) = record {
        trace::export(&path, &run::plan(&s, &options.base)?, &s)?;
    }
    let outcome = match run::run(&s, &options) {
        Err(RunError::Stopped) => {
            eprintln!("stopped");
            return Ok(ExitCode::from(VOID));
        }
        other => other?,
    };
    let summary = results::write(&outcome, &out)?;
    print!("{}", results::report(&outcome, &summary));
    println!("\nresults in {}", out.display());
    Ok(ExitCode::from(match () {
        () if !outcome.violations.is_empty() => BROKEN,
        () if !outcome.crashed.is_empty() => CRASHED,
        () if outcome.void.is_some() => VOID,
        () => 0,
    }))
}

/// What the command line puts in place of the scenario's.
struct LoadOverrides {
    front: Option<FrontName>,
    rate: Option<f64>,
    length: Option<f64>,
    threads: Option<usize>,
}

fn load(
    path: &Path,
    targets: Vec<SocketAddr>,
    instead: LoadOverrides,
) -> Result<ExitCode, Box<dyn Error>> {
    let mut s = Scenario::load(path)?;
    if let Some(front) = instead.front {
        s.traffic.fronts = vec![front];
    }
    if let Some(rate) = instead.rate {
        s.traffic.shapes = vec![load_test::curve::Shape::Steady { rate }];
        s.traffic.trace = None;
    }
    s.length_s = instead.length.unwrap_or(s.length_s);
    s.clients.threads = instead.threads.unwrap_or(s.clients.threads).clamp(1, 64);
    // Checked again with what has been put in.
    let s = Scenario::parse(&toml::to_string(&s)?, path)?;
    let began = Instant::now();
    let loaded = run::load(&s, &base(path), targets)?;
    println!(
        "plan {} of {} queries, {:.1} s",
        loaded.plan.digest(),
        loaded.plan.0.len(),
        began.elapsed().as_secs_f64()
    );
    print!("{}", results::tables(&loaded.figures));
    if let Some(why) = &loaded.void {
        println!("VOID: {why}");
        return Ok(ExitCode::from(VOID));
    }
    Ok(ExitCode::SUCCESS)
}

fn compare_builds(
    a: &Path,
    b: &Path,
    path: &Path,
    pairs: usize,
) -> Result<ExitCode, Box<dyn Error>> {
    let s = Scenario::load(path)?;
    let stop = stopper()?;
    let work = std::env::temp_dir().join(format!("load-test-{}", std::process::id()));
    let mut all = Vec::new();
    let one = |bin: &Path| -> Result<Summary, RunError> {
        let bin = Some(bin.to_owned());
        let options = Options {
            bin,
            log: "warn".into(),
            work: work.clone(),
            base: base(path),
            stop: stop.clone(),
        };
        Ok(Summary::of(&run::run(&s, &options)?))
    };
    for n in 0..pairs {
        // The order turns, so that neither build always runs on a warmer machine.
        let pair = if n % 2 == 0 {
            let a = one(a)?;
            (a, one(b)?)
        } else {
            let b = one(b)?;
            (one(a)?, b)
        };
        eprintln!("pair {} of {pairs}", n + 1);
        all.push(pair);
    }
    let _ = std::fs::remove_dir_all(&work);
    print!("{}", compare::pairs(&all));
    Ok(ExitCode::SUCCESS)
}

fn show(plan: &Plan, s: &Scenario) {
    let length = s.length_s;
    println!(
        "plan {}: {} queries in {length} s, {:.1} a second",
        plan.digest(),
        plan.0.len(),
        plan.0.len() as f64 / length
    );
    let parts: usize = plan.0.iter().map(|q| q.parts.len()).sum();
    let work: f64 = plan
        .0
        .iter()
        .flat_map(|q| &q.parts)
        .map(|p| f64::from(p.work_us))
        .sum();
    let capacity = f64::from(s.fleet.hosts)
        * f64::from(s.fleet.host.cores)
        * s.fleet.host.speed
        * length
        * 1e6;
    println!(
        "{parts} parts; their work alone is {:.3} of what the hosts can do",
        work / capacity
    );
    for (n, c) in s.classes.iter().enumerate() {
        let of = plan.0.iter().filter(|q| usize::from(q.class) == n).count();
        println!("class {}: {of}", c.name);
    }
    for (n, t) in s.tenants.iter().enumerate() {
        let of = plan.0.iter().filter(|q| usize::from(q.tenant) == n).count();
        println!("tenant {}: {of}", t.name);
    }
    let mut gaps = load_test::stats::histogram();
    plan.0
        .windows(2)
        .for_each(|p| gaps.saturating_record((p[1].at_us - p[0].at_us).max(1)));
    let Spread {
        mean,
        p50,
        p99,
        max,
        ..
    } = Spread::of(&gaps);
    println!("gaps: mean {mean:.3} ms, p50 {p50:.3}, p99 {p99:.3}, max {max:.3}");
}

fn traces(command: TraceCommand) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        TraceCommand::Import {
            trace: file,
            scenario,
            out,
        } => {
            let s = Scenario::load(&scenario)?;
            let plan = trace::import(&file, &s)?;
            trace::export(&out, &plan, &s)?;
            show(&plan, &s);
        }
        TraceCommand::Export { scenario, out } => {
            let s = Scenario::load(&scenario)?;
            let plan = run::plan(&s, &base(&scenario))?;
            trace::export(&out, &plan, &s)?;
            show(&plan, &s);
        }
        TraceCommand::Show {
            scenario,
            trace: file,
        } => {
            let s = Scenario::load(&scenario)?;
            let plan = match file {
                Some(file) => trace::import(&file, &s)?,
                None => run::plan(&s, &base(&scenario))?,
            };
            show(&plan, &s);
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn run_command(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Up(deploy) => up(&deploy),
        Command::Run {
            deploy,
            out,
            record,
        } => run_scenario(&deploy, out, record),
        Command::Load {
            scenario,
            target,
            front,
            rate,
            length,
            threads,
        } => load(
            &scenario,
            target,
            LoadOverrides {
                front,
                rate,
                length,
                threads,
            },
        ),
        Command::Compare {
            a,
            b,
            scenario: Some(path),
            pairs,
        } => compare_builds(&a, &b, &path, pairs),
        Command::Compare {
            a,
            b,
            scenario: None,
            ..
        } => {
            print!("{}", compare::two(&Summary::load(&a)?, &Summary::load(&b)?));
            Ok(ExitCode::SUCCESS)
        }
        Command::Calibrate {
            seconds,
            rates,
            threads,
        } => {
            let c = calibrate::calibrate(seconds.clamp(1.0, 600.0), &rates, threads.clamp(1, 64))?;
            println!(
                "{}\nlargest difference from a reference: {:.2}%",
                c.text,
                c.worst * 100.0
            );
            Ok(ExitCode::SUCCESS)
        }
        Command::Trace(command) => traces(command),
        Command::Target {
            listen,
            threads,
            fixed_ms,
        } => {
            let stop = stopper()?;
            let fixed = |ms: f64| Service::Fixed(Duration::from_secs_f64(ms.max(0.0) / 1e3));
            let service = fixed_ms.map_or(Service::Instant, fixed);
            let target = Target::start(
                TargetSpec {
                    threads,
                    service,
                    stall: None,
                },
                Some(listen),
            )?;
            println!("listening on {}", target.addr);
            until_stopped(&stop);
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    logger::start(cli.log, cli.log_format);
    run_command(cli.command).unwrap_or_else(|e| {
        eprintln!("load-test: {e}");
        ExitCode::from(BAD)
    })
}
