//! Plays strikes at the steps of a change.

use crate::events::{bears_a_loss, Change, Site, Strike, Unit};
use crate::play::Play;
use crate::support::ms;
use std::collections::BTreeSet;
use std::time::Duration;

/// How long after the change's begin the second loss may strike.
const WINDOW: Duration = ms(7000);
/// Failures that are told.
const FAILURES_TOLD: usize = 12;

/// The moments of a change at one machine: a play stopped at each step.
pub fn moments(site: &Site, change: Change, n: usize) -> Vec<Play> {
    let mut play = Play::new(site);
    play.begin(change, n);
    let end = play.cluster.now + WINDOW;
    let mut moments = Vec::new();
    while play.cluster.now < end {
        let next = play.cluster.change_steps + 1;
        play.run(end - play.cluster.now, Some(next));
        moments.push(play.clone());
    }
    moments
}

/// A strike at one moment; nothing where nobody is there to be struck.
pub fn struck(moment: &Play, (strike, n): (Strike, usize)) -> Option<Result<(), String>> {
    let some = moment
        .machine(n)
        .map_or_else(Vec::new, |n| moment.lost_with(n));
    if some.is_empty() {
        return None;
    }
    let mut play = moment.clone();
    play.strike(strike, &some);
    Some(play.recovers())
}

/// All that may strike: each unit of the machines there are at the start or come with the change.
pub fn strikes(site: &Site) -> Vec<(Strike, usize)> {
    let place = |n: usize| match site.unit {
        Unit::Machine => n.to_string(),
        Unit::Zone => site.zones[n].to_owned(),
        Unit::Region => site.zones[n]
            .split_once('/')
            .map_or(String::new(), |p| p.0.to_owned()),
    };
    let mut places = BTreeSet::new();
    let mut units: Vec<usize> = (0..site.zones.len())
        .filter(|n| places.insert(place(*n)))
        .collect();
    if matches!(site.unit, Unit::Machine) {
        units.push(site.zones.len());
    }
    let of_some = units
        .into_iter()
        .flat_map(|n| Strike::OF_SOME.map(|strike| (strike, n)));
    of_some
        .chain(Strike::OF_ALL.map(|strike| (strike, 0)))
        .collect()
}

/// Whether the machines that are left after a removal bear the next loss.
pub fn may_go(site: &Site, change: Change, n: usize) -> bool {
    let gone = match change {
        Change::Remove => vec![n],
        Change::RemoveTwo => vec![n, (n + 1) % site.zones.len()],
        // It is the same whichever machine is named.
        Change::Recover if n > 0 => return false,
        _ => vec![],
    };
    let left = (0..site.zones.len())
        .filter(|n| !gone.contains(n))
        .map(|n| site.zones[n]);
    bears_a_loss(site, &left.collect::<Vec<_>>())
}

/// Plays each strike that the budget allows at every so many moments of a change at each machine; which ones differs
/// from strike to strike.
pub fn sweep(site: &Site, change: Change, stride: usize) {
    let mut failed = Vec::new();
    let mut borne = 0;
    for n in (0..site.zones.len()).filter(|n| may_go(site, change, *n)) {
        let moments = moments(site, change, n);
        let allowed = |s: &(Strike, usize)| change.allows(s.0, site);
        for (offset, strike) in strikes(site).into_iter().filter(allowed).enumerate() {
            for (step, moment) in moments
                .iter()
                .enumerate()
                .skip(offset % stride)
                .step_by(stride)
            {
                match struck(moment, strike) {
                    Some(Ok(())) => borne += 1,
                    Some(Err(error)) => {
                        failed.push(format!(
                            "{change:?} at {n}, {strike:?} at step {step}: {error}"
                        ));
                    }
                    None => {}
                }
            }
        }
    }
    println!("{change:?}: {borne} borne, {} failed", failed.len());
    failed
        .iter()
        .take(FAILURES_TOLD)
        .for_each(|error| println!("  {error}"));
    assert!(
        failed.is_empty() && borne > 0,
        "{borne} borne, {} failed",
        failed.len()
    );
}
