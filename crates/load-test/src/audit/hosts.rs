//! The rules on the hosts that attempts go to.

use super::attempts::Attempt;
use super::{Evidence, Rule, Violation};
use fake_hosts::event_log::{EventKind, Phase};
use fake_hosts::model::Micros;
use std::collections::HashMap;

/// After the news of a drain nothing new may reach a host later than this.
const DRAIN_GRACE: Micros = 2_000_000;
/// How far back it counts what pushed a host over.
const OVERLOAD_WINDOW: Micros = 1_000_000;
/// Discovery's news counts as told at the latest after this.
const LIST_UPDATE_DEADLINE: Micros = 6_000_000;

/// What each coordinator was told of each host, by time.
fn told(evidence: &Evidence) -> HashMap<(u16, u16), Vec<(Micros, Phase)>> {
    let mut all: HashMap<(u16, u16), Vec<(Micros, Phase)>> = HashMap::new();
    for event in evidence.events {
        if let EventKind::ListUpdateSent(phase) = event.kind {
            all.entry((event.coordinator, event.host))
                .or_default()
                .push((event.at, phase));
        }
    }
    all
}

/// [`Rule::Drain`], from what discovery told coordinators.
pub(super) fn check_drains(evidence: &Evidence, attempts: &[Attempt], found: &mut Vec<Violation>) {
    let slack = evidence.slack_us();
    let told = told(evidence);
    for a in attempts {
        let started = evidence.processes.started_before(a.coordinator, a.arrived);
        let news = told.get(&(a.coordinator, a.host)).map_or(&[][..], |v| v);
        // What an earlier process was told, this one does not know.
        let known: Vec<_> = news
            .iter()
            .filter(|(at, _)| (started..=a.arrived).contains(at))
            .collect();
        // The first word that it is going since the last word that it is ready.
        let going = known
            .iter()
            .rev()
            .take_while(|(_, p)| *p != Phase::Ready)
            .last();
        let Some((at, phase)) = going else { continue };
        // A coordinator that stood still had it read to it only afterwards.
        let stalls = evidence.processes.stalls(a.coordinator);
        let heard = stalls
            .iter()
            .filter(|(from, to)| from <= at && at <= to)
            .map(|s| s.1)
            .max()
            .unwrap_or(*at);
        if a.arrived > heard.saturating_add(DRAIN_GRACE + slack) {
            let late = (a.arrived - heard) / 1000;
            let query = a.reference.map(|r| r.query);
            let what = format!(
                "host {}: a part {late} ms after the news that it is {}",
                a.host,
                phase.word()
            );
            found.push(Violation {
                rule: Rule::Drain,
                at: a.arrived,
                query,
                what,
            });
        }
    }
}

/// [`Rule::Cold`], for each host that fell over.
pub(super) fn check_cold(evidence: &Evidence, attempts: &[Attempt], found: &mut Vec<Violation>) {
    let told = told(evidence);
    for fell in evidence
        .events
        .iter()
        .filter(|x| x.kind == EventKind::FellOver)
    {
        let up = evidence.events.iter().rev().find(|x| {
            x.host == fell.host && x.kind == EventKind::ProcessStarted && x.at <= fell.at
        });
        let up = up.map_or(0, |x| x.at);
        // Who knew of its start, or counts as told of it.
        let knew = |a: &&Attempt| {
            let news = told.get(&(a.coordinator, a.host)).map_or(&[][..], |v| v);
            let heard = news
                .iter()
                .any(|(at, p)| *p == Phase::Ready && *at >= up && *at <= a.arrived);
            heard || a.arrived >= up + LIST_UPDATE_DEADLINE
        };
        let span = fell.at.saturating_sub(OVERLOAD_WINDOW)..=fell.at;
        let pushed: Vec<&Attempt> = attempts
            .iter()
            .filter(|a| a.host == fell.host && span.contains(&a.arrived))
            .collect();
        let known = pushed.iter().filter(|a| knew(a)).count();
        if known * 3 >= pushed.len() * 2 {
            let of = pushed.len();
            let what = format!(
                "host {}: pushed over, {known} of {of} parts by coordinators that knew",
                fell.host
            );
            found.push(Violation {
                rule: Rule::Cold,
                at: fell.at,
                query: None,
                what,
            });
        }
    }
}

/// [`Rule::Stray`], attempt by attempt.
pub(super) fn check_strays(evidence: &Evidence, attempts: &[Attempt], found: &mut Vec<Violation>) {
    for a in attempts {
        let planned = a
            .reference
            .and_then(|r| evidence.plan.0.get(r.query as usize));
        let asked = planned.is_some_and(|q| q.parts.iter().any(|p| p.shard == a.shard));
        let holds =
            u32::from(a.host) % evidence.scenario.fleet.cells == evidence.scenario.cell_of(a.shard);
        let why = match (asked, holds) {
            (true, true) => continue,
            (false, _) => "that no client asked for",
            (true, false) => "that it does not hold",
        };
        let what = format!("host {}: part {}.{} {why}", a.host, a.name, a.shard);
        let query = a.reference.map(|r| r.query);
        found.push(Violation {
            rule: Rule::Stray,
            at: a.arrived,
            query,
            what,
        });
    }
}
