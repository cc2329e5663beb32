//! `model-check MODEL`: searches a model and prints the outcome. Exits with 1 if an invariant is violated, with 2 if there
//! is no such model or bug.
#![forbid(unsafe_code)]

use bpaf::Parser;
use model_check::cluster::{self, Action, Cluster};
use model_check::models;
use model_check::request_model::{self, RequestModel};
use model_check::search::{search, Bounds, Choice, Model, Outcome};
use std::fmt::Debug;
use std::process::ExitCode;

/// Exit code for an unknown model or bug.
const UNKNOWN_NAME: u8 = 2;

fn number(name: &'static str, help: &'static str, value: u64) -> impl Parser<u64> {
    bpaf::long(name)
        .help(help)
        .argument::<u64>("N")
        .fallback(value)
}

/// The command line.
#[derive(Clone, Debug)]
struct Options {
    deviations: u64,
    depth: u64,
    states: u64,
    jobs: u64,
    planted: String,
    model: String,
}

fn options() -> bpaf::OptionParser<Options> {
    let deviations = number("deviations", "deviations from the default schedule", 2);
    let depth = number("depth", "actions of one run", 5000);
    let states = number("states", "states at most", 50_000_000);
    let jobs = number("jobs", "threads", 2);
    let planted = bpaf::long("planted")
        .help("a bug to be found")
        .argument::<String>("BUG")
        .fallback("none".into());
    let model = bpaf::positional::<String>("MODEL").help("what is searched");
    bpaf::construct!(Options {
        deviations,
        depth,
        states,
        jobs,
        planted,
        model
    })
    .to_options()
    .descr("Searches the states of the control plane's members under bounded deviations")
}

impl Options {
    fn bounds(&self) -> Bounds {
        Bounds {
            deviations: self.deviations.min(u8::MAX.into()) as u8,
            depth: self.depth.min(u32::MAX.into()) as u32,
            states: self.states,
            jobs: self.jobs as usize,
        }
    }

    /// The bug that is named, among those of a model.
    fn seeded_bug<B: Copy>(&self, known: &[(&str, B)]) -> Option<B> {
        let found = known.iter().find(|(name, _)| *name == self.planted);
        if found.is_none() {
            let names: Vec<_> = known.iter().map(|(name, _)| *name).collect();
            eprintln!("no bug {}; there are {}", self.planted, names.join(", "));
        }
        found.map(|(_, bug)| *bug)
    }
}

fn main() -> ExitCode {
    let options = options().run();
    match options.model.as_str() {
        "ledger" => search_request_model(&options, false),
        "ledger-guessed-base" => search_request_model(&options, true),
        _ => search_cluster(&options),
    }
}

/// Searches a model of members on machines.
fn search_cluster(options: &Options) -> ExitCode {
    let Some(mut scenario) = models::scenario(&options.model) else {
        eprintln!(
            "no model {}; there are ledger, ledger-guessed-base, {}",
            options.model,
            models::CLUSTER_MODELS.join(", ")
        );
        return ExitCode::from(UNKNOWN_NAME);
    };
    let Some(bug) = options.seeded_bug(cluster::SeededBug::ALL) else {
        return ExitCode::from(UNKNOWN_NAME);
    };
    scenario.seeded_bug = bug;
    let cluster = match Cluster::new(scenario) {
        Ok(cluster) => cluster,
        Err(violation) => {
            println!("broken at the start: {violation}");
            return ExitCode::FAILURE;
        }
    };
    let outcome = search(&cluster, options.bounds());
    print_outcome(&options.model, &outcome);
    if let Some(found) = &outcome.found {
        print_trace(&cluster, &found.trace);
    }
    ExitCode::from(u8::from(outcome.found.is_some()))
}

/// Prints the state of all machines before each deviation, and where the trace ends.
fn print_trace(cluster: &Cluster, trace: &[Choice<Action>]) {
    let mut world = cluster.start();
    for choice in trace {
        if choice.cost > 0 {
            println!("  {:?} {:?}", world.now(), choice.action);
            print_machines(&world.describe());
        }
        match cluster.apply(&world, &choice.action) {
            Ok(next) => world = next,
            Err(_) => break,
        }
    }
    println!("  {:?} broken", world.now());
    print_machines(&world.describe());
}

fn print_machines(lines: &[String]) {
    for line in lines {
        println!("      {line}");
    }
}

/// Searches the model of requests alone. All its runs belong to one schedule, so there are no deviations.
fn search_request_model(options: &Options, unconfirmed_bases: bool) -> ExitCode {
    let Some(bug) = options.seeded_bug(request_model::SeededBug::ALL) else {
        return ExitCode::from(UNKNOWN_NAME);
    };
    let model = RequestModel {
        unconfirmed_bases,
        ..RequestModel::two_clients(bug)
    };
    let bounds = Bounds {
        deviations: 0,
        ..options.bounds()
    };
    let outcome = search(&model, bounds);
    print_outcome(&options.model, &outcome);
    for choice in outcome.found.iter().flat_map(|f| &f.trace) {
        println!("  {:?}", choice.action);
    }
    ExitCode::from(u8::from(outcome.found.is_some()))
}

fn print_outcome<A: Debug>(model: &str, outcome: &Outcome<A>) {
    println!(
        "{model}: up to {} deviations, {} states, {} steps, longest run {}, {} cut short{}, {:.1} s",
        outcome.deviations,
        outcome.states,
        outcome.transitions,
        outcome.deepest,
        outcome.cut_short,
        if outcome.stopped { ", STOPPED at the bound of the states" } else { "" },
        outcome.time.as_secs_f64(),
    );
    if let Some(found) = &outcome.found {
        println!(
            "BROKEN: {} ({} actions)",
            found.violation,
            found.trace.len()
        );
    }
}
