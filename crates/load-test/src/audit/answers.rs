//! The rules on answers: each query that a running coordinator took has one, in time, that says no more than is true.

use super::attempts::Attempt;
use super::{Evidence, Rule, Violation};
use crate::clients::AttemptOutcome;
use crate::plan::Planned;
use crate::record::AttemptRecord;
use crate::scenario::RepeatName;
use fake_hosts::event_log::AttemptRef;
use fake_hosts::model::Micros;
use std::collections::HashMap;

/// An answer may come so much later than its client's time.
const ANSWER_SLACK: Micros = 20_000;
/// Shares of the weight may fall short by this much.
const ROUNDING: f64 = 1e-3;

/// The rules on answers: [`Rule::Lost`], [`Rule::Twice`] and [`Rule::Honest`], from the clients' records and what hosts
/// gave.
pub(super) fn check(evidence: &Evidence, attempts: &[Attempt], found: &mut Vec<Violation>) {
    let by_id: HashMap<u64, &Attempt> = attempts.iter().map(|a| (a.id, a)).collect();
    let mut by_reference: HashMap<AttemptRef, Vec<&Attempt>> = HashMap::new();
    for attempt in attempts {
        if let Some(reference) = attempt.reference {
            by_reference.entry(reference).or_default().push(attempt);
        }
    }
    for record in evidence.queries.iter().flat_map(|q| &q.tries) {
        let reference = AttemptRef {
            query: record.query,
            attempt: record.attempt,
        };
        let at_hosts = by_reference.get(&reference).map_or(&[][..], |v| v);
        let (number, coordinator) = (record.attempt, record.coordinator);
        let broken = answer_in_time(evidence, record)
            .into_iter()
            .chain(no_extra_bytes(record))
            .chain(honest_answer(evidence, record, at_hosts, &by_id))
            .chain(honest_rejection(evidence, record, at_hosts));
        found.extend(broken.map(|(rule, what)| Violation {
            rule,
            at: record.ended,
            query: Some(record.query),
            what: format!("try {number} at coordinator {coordinator}: {what}"),
        }));
    }
}

/// A rule that an attempt broke, and how.
type Broken = Option<(Rule, String)>;

/// An attempt that a running coordinator took has to be answered in time.
fn answer_in_time(evidence: &Evidence, record: &AttemptRecord) -> Broken {
    if record.sent == 0
        || evidence
            .processes
            .excused(record.coordinator, record.sent, record.ended)
    {
        return None;
    }
    match record.end {
        AttemptOutcome::Closed
        | AttemptOutcome::Cut
        | AttemptOutcome::GaveUp
        | AttemptOutcome::Unreadable => {
            let after_ms = (record.ended - record.sent) / 1000;
            let what = format!("{} {after_ms} ms after it was sent", record.end.word());
            Some((Rule::Lost, what))
        }
        AttemptOutcome::Served(_) | AttemptOutcome::Refused | AttemptOutcome::Failed(_) => {
            let latest = record.sent + record.wait_us + ANSWER_SLACK + evidence.slack_us();
            let late_ms = record.ended.checked_sub(latest).filter(|late| *late > 0)? / 1000;
            Some((Rule::Lost, format!("answered {late_ms} ms too late")))
        }
        AttemptOutcome::NoConnection | AttemptOutcome::NoDescriptor => None,
    }
}

fn no_extra_bytes(record: &AttemptRecord) -> Broken {
    record
        .extra
        .then(|| (Rule::Twice, "bytes came that nobody asked for".to_owned()))
}

fn honest_answer(
    evidence: &Evidence,
    record: &AttemptRecord,
    at_hosts: &[&Attempt],
    by_id: &HashMap<u64, &Attempt>,
) -> Broken {
    let AttemptOutcome::Served(full) = record.end else {
        return None;
    };
    let why = dishonest(evidence, record, full, at_hosts, by_id)?;
    Some((Rule::Honest, why))
}

/// In a class without repeats only what never ran may be rejected.
fn honest_rejection(evidence: &Evidence, record: &AttemptRecord, at_hosts: &[&Attempt]) -> Broken {
    let class =
        &evidence.scenario.classes[usize::from(evidence.plan.0[record.query as usize].class)];
    let ran = at_hosts.iter().any(|a| a.may_have_run());
    let broken = record.end == AttemptOutcome::Refused && class.repeat == RepeatName::Unsafe && ran;
    broken.then(|| {
        let what = "refused though a part may have run, in a class without repeats";
        (Rule::Honest, what.to_owned())
    })
}

/// What is wrong with the parts that an answer says to be in it.
fn false_part(
    record: &AttemptRecord,
    query: &Planned,
    slack: Micros,
    at_hosts: &[&Attempt],
) -> Option<String> {
    let mut said = record.shards.clone();
    said.sort_unstable();
    if said.windows(2).any(|p| p[0] == p[1]) {
        return Some("a part is in it twice".into());
    }
    if let Some(s) = said
        .iter()
        .find(|s| !query.parts.iter().any(|p| p.shard == **s))
    {
        return Some(format!("shard {s} was never asked for"));
    }
    for s in &said {
        let gave =
            |a: &&&Attempt| a.shard == *s && a.served.is_some_and(|at| at <= record.ended + slack);
        if !at_hosts.iter().any(|a| gave(&a)) {
            return Some(format!(
                "shard {s} is said to be in, but no host had given it"
            ));
        }
    }
    None
}

/// What is wrong with an answer, measured by what hosts gave.
fn dishonest(
    evidence: &Evidence,
    record: &AttemptRecord,
    full: bool,
    at_hosts: &[&Attempt],
    by_id: &HashMap<u64, &Attempt>,
) -> Option<String> {
    let slack = evidence.slack_us();
    let query = &evidence.plan.0[record.query as usize];
    let class = &evidence.scenario.classes[usize::from(query.class)];
    if let Some(what) = false_part(record, query, slack, at_hosts) {
        return Some(what);
    }
    for v in &record.values {
        let reference = AttemptRef {
            query: record.query,
            attempt: record.attempt,
        };
        let real = by_id
            .get(v)
            .is_some_and(|a| a.reference == Some(reference) && a.served.is_some());
        if !real {
            return Some(format!("the value {v:016x} is of no host for this query"));
        }
    }
    let weight: f64 = query
        .parts
        .iter()
        .filter(|p| record.shards.contains(&p.shard))
        .map(|p| p.weight)
        .sum();
    if full && record.shards.len() < query.parts.len() {
        return Some(format!(
            "marked whole with {} of {} parts",
            record.shards.len(),
            query.parts.len()
        ));
    }
    let below = weight < class.floor - ROUNDING;
    below.then(|| {
        format!(
            "given from {:.3} of the weight, under the floor of {}",
            weight, class.floor
        )
    })
}
