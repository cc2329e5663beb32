//! The rules on the attempts of one part.

use super::attempts::Attempt;
use super::{Evidence, Rule, Violation};
use crate::scenario::{DialectName, RepeatName};
use fake_hosts::event_log::AttemptRef;
use fake_hosts::model::Micros;
use std::collections::BTreeMap;

/// Names a part: by its query's name on the wire and its shard, or over HTTP, where that names only the
/// first of a call, by the client's own mark.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PartName<'a> {
    Wire(u16, &'a str, u32),
    Marked(AttemptRef, u32),
}

/// The rules on attempts: [`Rule::Overlap`] and [`Rule::Attempts`], part by part, from the hosts' events.
pub(super) fn check(evidence: &Evidence, attempts: &[Attempt], found: &mut Vec<Violation>) {
    let mut by_part: BTreeMap<PartName, Vec<&Attempt>> = BTreeMap::new();
    for a in attempts {
        let part = match (evidence.scenario.fleet.dialect, a.reference) {
            (DialectName::OpenSearch, Some(r)) => PartName::Marked(r, a.shard),
            _ => PartName::Wire(a.coordinator, a.name, a.shard),
        };
        by_part.entry(part).or_default().push(a);
    }
    for mine in by_part.values() {
        let broken = overlaps(evidence, mine)
            .into_iter()
            .chain(too_many_attempts(evidence, mine))
            .chain(forbidden_repeats(evidence, mine));
        let part = format!("part {}.{}", mine[0].name, mine[0].shard);
        found.extend(broken.map(|(rule, at, what)| Violation {
            rule,
            at,
            query: mine[0].reference.map(|r| r.query),
            what: format!("{part}: {what}"),
        }));
    }
}

/// A rule that a part's attempts broke, when, and how.
type BrokenAt = (Rule, Micros, String);

fn overlaps(evidence: &Evidence, mine: &[&Attempt]) -> Vec<BrokenAt> {
    let mut broken = Vec::new();
    for pair in mine.windows(2) {
        let over = pair[0].end.map_or(Micros::MAX, |(at, _)| at);
        let next = pair[1].arrived;
        if over > next + evidence.slack_us() {
            let (first, second) = (pair[0].host, pair[1].host);
            let what = format!("at host {second} while out at host {first}");
            broken.push((Rule::Overlap, next, what));
        }
    }
    broken
}

fn too_many_attempts(evidence: &Evidence, mine: &[&Attempt]) -> Option<BrokenAt> {
    let max = evidence.scenario.limits.attempts;
    let beyond = mine.get(max as usize)?;
    let what = format!("{} attempts, {max} at most", mine.len());
    Some((Rule::Attempts, beyond.arrived, what))
}

/// Attempts after one that may have run, where the class forbids them.
fn forbidden_repeats(evidence: &Evidence, mine: &[&Attempt]) -> Vec<BrokenAt> {
    let planned = mine[0]
        .reference
        .and_then(|r| evidence.plan.0.get(r.query as usize));
    let class = planned.and_then(|q| evidence.scenario.classes.get(usize::from(q.class)));
    let first = mine.iter().position(|a| a.may_have_run());
    let (Some(class), Some(first)) = (class, first) else {
        return Vec::new();
    };
    let mut broken = Vec::new();
    for a in &mine[first + 1..] {
        let late = a.arrived.saturating_sub(mine[first].arrived);
        let what = match class.repeat {
            RepeatName::Unsafe => "repeated though it may have run".to_owned(),
            RepeatName::Keyed if late > (class.window_ms * 1e3) as u64 + evidence.slack_us() => {
                format!("repeated {} ms after it may have run", late / 1000)
            }
            RepeatName::Keyed if a.key.is_none() => "repeated without its key".to_owned(),
            _ => continue,
        };
        broken.push((Rule::Attempts, a.arrived, what));
    }
    broken
}
