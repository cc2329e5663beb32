//! Injects faults at the steps of a change.

use crate::faults::{tolerates_next_loss, Change, FailureDomain, Fault, Layout};
use crate::scenario::Scenario;
use crate::support::ms;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time after the start of a change in which the second fault may be injected.
const FAULT_WINDOW: Duration = ms(7000);
/// Maximum number of failures that are printed.
const MAX_FAILURES_PRINTED: usize = 12;

/// Runs a change at one machine and returns copies of the scenario, one for each step.
pub fn scenario_steps(layout: &Layout, change: Change, n: usize) -> Vec<Scenario> {
    let mut scenario = Scenario::new(layout);
    scenario.begin_change(change, n);
    let end = scenario.cluster.now + FAULT_WINDOW;
    let mut steps = Vec::new();
    while scenario.cluster.now < end {
        let next = scenario.cluster.change_steps + 1;
        scenario.run(end - scenario.cluster.now, Some(next));
        steps.push(scenario.clone());
    }
    steps
}

/// Injects a fault at one step and checks the recovery; `None` if no machine is there to be hit.
pub fn check_fault_at(step: &Scenario, (fault, n): (Fault, usize)) -> Option<Result<(), String>> {
    let domain = step
        .machine(n)
        .map_or_else(Vec::new, |n| step.failure_domain_of(n));
    if domain.is_empty() {
        return None;
    }
    let mut scenario = step.clone();
    scenario.inject(fault, &domain);
    Some(scenario.check_recovery())
}

/// All faults with their targets: each failure domain of the machines that are there at the start or are added by the
/// change.
pub fn faults(layout: &Layout) -> Vec<(Fault, usize)> {
    let place = |n: usize| match layout.failure_domain {
        FailureDomain::Machine => n.to_string(),
        FailureDomain::Zone => layout.zones[n].to_owned(),
        FailureDomain::Region => layout.zones[n]
            .split_once('/')
            .map_or(String::new(), |p| p.0.to_owned()),
    };
    let mut places = BTreeSet::new();
    let mut targets: Vec<usize> = (0..layout.zones.len())
        .filter(|n| places.insert(place(*n)))
        .collect();
    if matches!(layout.failure_domain, FailureDomain::Machine) {
        targets.push(layout.zones.len());
    }
    let domain_faults = targets
        .into_iter()
        .flat_map(|n| Fault::SOME_MACHINES.map(|fault| (fault, n)));
    domain_faults
        .chain(Fault::ALL_MACHINES.map(|fault| (fault, 0)))
        .collect()
}

/// Whether a change at a machine is tried: the machines that remain after it have to tolerate the next loss.
pub fn is_applicable(layout: &Layout, change: Change, n: usize) -> bool {
    let removed = match change {
        Change::Remove => vec![n],
        Change::RemoveTwo => vec![n, (n + 1) % layout.zones.len()],
        // A recovery is the same whichever machine is named.
        Change::Recover if n > 0 => return false,
        _ => vec![],
    };
    let remaining = (0..layout.zones.len())
        .filter(|n| !removed.contains(n))
        .map(|n| layout.zones[n]);
    tolerates_next_loss(layout, &remaining.collect::<Vec<_>>())
}

/// Injects each fault that the budget allows at every `stride`th step of a change at each machine. The first step
/// differs from fault to fault.
pub fn sweep(layout: &Layout, change: Change, stride: usize) {
    let mut failed = Vec::new();
    let mut tolerated = 0;
    for n in (0..layout.zones.len()).filter(|n| is_applicable(layout, change, *n)) {
        let steps = scenario_steps(layout, change, n);
        let allowed = |s: &(Fault, usize)| change.allows(s.0, layout);
        for (offset, fault) in faults(layout).into_iter().filter(allowed).enumerate() {
            for (step_number, step) in steps
                .iter()
                .enumerate()
                .skip(offset % stride)
                .step_by(stride)
            {
                match check_fault_at(step, fault) {
                    Some(Ok(())) => tolerated += 1,
                    Some(Err(error)) => {
                        failed.push(format!(
                            "{change:?} at {n}, {fault:?} at step {step_number}: {error}"
                        ));
                    }
                    None => {}
                }
            }
        }
    }
    println!("{change:?}: {tolerated} tolerated, {} failed", failed.len());
    failed
        .iter()
        .take(MAX_FAILURES_PRINTED)
        .for_each(|error| println!("  {error}"));
    assert!(
        failed.is_empty() && tolerated > 0,
        "{tolerated} tolerated, {} failed",
        failed.len()
    );
}
