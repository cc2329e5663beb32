//! `model-check MODEL`: searches a model and tells what it came to; ends with 1 where a claim is broken.
#![forbid(unsafe_code)]

use bpaf::Parser;
use model_check::cluster::{Cluster, Planted};
use model_check::models;
use model_check::orders;
use model_check::search::{search, Bounds, Model, Outcome};
use std::fmt::Debug;
use std::process::ExitCode;

fn number(name: &'static str, help: &'static str, value: u64) -> impl Parser<u64> {
    bpaf::long(name)
        .help(help)
        .argument::<u64>("N")
        .fallback(value)
}

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

fn main() -> ExitCode {
    let options = options().run();
    let bounds = Bounds {
        deviations: options.deviations.min(u8::MAX.into()) as u8,
        depth: options.depth.min(u32::MAX.into()) as u32,
        states: options.states,
        jobs: options.jobs as usize,
    };
    if let Some(guesses) = match options.model.as_str() {
        "ledger" => Some(false),
        "ledger-guessed-base" => Some(true),
        _ => None,
    } {
        return ledger(&options, guesses, bounds);
    }
    let Some(mut scenario) = models::scenario(&options.model) else {
        eprintln!(
            "no model {}; there are ledger, ledger-guessed-base, {}",
            options.model,
            models::CLUSTER_MODELS.join(", ")
        );
        return ExitCode::from(2);
    };
    let Some((_, planted)) = Planted::ALL.iter().find(|p| p.0 == options.planted) else {
        let names: Vec<_> = Planted::ALL.iter().map(|p| p.0).collect();
        eprintln!("no bug {}; there are {}", options.planted, names.join(", "));
        return ExitCode::from(2);
    };
    scenario.planted = *planted;
    let cluster = match Cluster::new(scenario) {
        Ok(cluster) => cluster,
        Err(breach) => {
            println!("broken at the start: {}: {}", breach.claim, breach.detail);
            return ExitCode::FAILURE;
        }
    };
    let outcome = search(&cluster, bounds);
    tell(&options.model, &outcome);
    if let Some(found) = &outcome.found {
        let mut world = cluster.start();
        for choice in &found.trace {
            if choice.cost > 0 {
                println!("  {:?} {:?}", world.now(), choice.action);
                world
                    .describe()
                    .iter()
                    .for_each(|line| println!("      {line}"));
            }
            match cluster.apply(&world, &choice.action) {
                Ok(next) => world = next,
                Err(_) => break,
            }
        }
        println!("  {:?} broken", world.now());
        world
            .describe()
            .iter()
            .for_each(|line| println!("      {line}"));
    }
    ExitCode::from(u8::from(outcome.found.is_some()))
}

/// The order ledger alone; all runs count as one schedule, so the deviations are 0.
fn ledger(options: &Options, guesses: bool, bounds: Bounds) -> ExitCode {
    let Some((_, planted)) = orders::Planted::ALL.iter().find(|p| p.0 == options.planted) else {
        let names: Vec<_> = orders::Planted::ALL.iter().map(|p| p.0).collect();
        eprintln!("no bug {}; there are {}", options.planted, names.join(", "));
        return ExitCode::from(2);
    };
    let model = orders::Orders {
        guesses,
        ..orders::Orders::two_operators(*planted)
    };
    let outcome = search(
        &model,
        Bounds {
            deviations: 0,
            ..bounds
        },
    );
    tell(&options.model, &outcome);
    for choice in outcome.found.iter().flat_map(|f| &f.trace) {
        println!("  {:?}", choice.action);
    }
    ExitCode::from(u8::from(outcome.found.is_some()))
}

fn tell<A: Debug>(model: &str, outcome: &Outcome<A>) {
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
            "BROKEN: {}: {} ({} actions)",
            found.breach.claim,
            found.breach.detail,
            found.trace.len()
        );
    }
}
