//! All that is known of a query, event by event, for people.

use crate::audit::{attempts, Attempt, Evidence};
use crate::record::ProcessEvent;
use fake_hosts::event_log::EventKind;
use fake_hosts::model::Micros;
use std::collections::HashMap;
use std::fmt::Write;

/// Lines with their times.
type Lines = Vec<(Micros, String)>;

/// The timeline of a query: what its client, hosts, discovery and the coordinators' processes did.
pub fn query_timeline(e: &Evidence, query: u32) -> String {
    let mut lines = client_lines(e, query);
    let mine: Vec<Attempt> = attempts(e.events)
        .into_iter()
        .filter(|a| a.reference.is_some_and(|r| r.query == query))
        .collect();
    lines.extend(attempt_lines(e, &mine));
    let times = lines.iter().map(|line| line.0);
    let from = times.clone().filter(|at| *at > 0).min().unwrap_or(0);
    let to = times.max().unwrap_or(0);
    let hosts: Vec<u16> = mine.iter().map(|a| a.host).collect();
    lines.extend(host_lines(e, &hosts, from, to));
    lines.extend(process_lines(e, from, to));
    lines.sort();
    let mut text = format!("query {query}\n");
    for (at, line) in lines {
        let _ = writeln!(text, "{:>12.3} ms  {line}", at as f64 / 1e3);
    }
    text
}

/// What the client planned and saw.
fn client_lines(e: &Evidence, query: u32) -> Lines {
    let Some(record) = e.queries.iter().find(|q| q.query == query) else {
        return Vec::new();
    };
    let planned = &e.plan.0[query as usize];
    let shards: Vec<u32> = planned.parts.iter().map(|p| p.shard).collect();
    let class = &e.scenario.classes[usize::from(planned.class)].name;
    let retries = planned.retries;
    let due = format!("due: {class}, shards {shards:?}, {retries} further tries");
    let mut lines = vec![(record.due, due)];
    for t in &record.tries {
        let (number, coordinator, wait_ms) = (t.attempt, t.coordinator, t.wait_us / 1000);
        let sent = format!("try {number} sent to coordinator {coordinator}, for {wait_ms} ms");
        lines.push((t.sent, sent));
        let back = t
            .retry_after_us
            .map_or(String::new(), |r| format!(", come back in {} ms", r / 1000));
        let (end, shards) = (t.end.word(), &t.shards);
        let ended = format!("try {number} ended: {end}, shards {shards:?}{back}");
        lines.push((t.ended, ended));
    }
    lines
}

/// What became of the query's parts at hosts.
fn attempt_lines(e: &Evidence, mine: &[Attempt]) -> Lines {
    let by_id: HashMap<u64, &Attempt> = mine.iter().map(|a| (a.id, a)).collect();
    let mut lines = Vec::new();
    for event in e.events {
        let Some(a) = by_id.get(&event.attempt) else {
            continue;
        };
        let (host, coordinator) = (a.host, a.coordinator);
        let part = format!("part {}.{}", a.name, a.shard);
        let line = match &event.kind {
            EventKind::Arrived { .. } => {
                format!("host {host}: {part} came from coordinator {coordinator}")
            }
            EventKind::Ended(end) => format!("host {host}: {part} {end:?}"),
            _ => continue,
        };
        lines.push((event.at, line));
    }
    lines
}

/// What happened to hosts, and what coordinators were told of them.
fn host_lines(e: &Evidence, hosts: &[u16], from: Micros, to: Micros) -> Lines {
    let mut lines = Vec::new();
    for event in e.events {
        if !hosts.contains(&event.host) || !(from..=to).contains(&event.at) {
            continue;
        }
        let (host, coordinator) = (event.host, event.coordinator);
        let line = match &event.kind {
            EventKind::ListUpdateSent(phase) => {
                format!("coordinator {coordinator} was told: host {host} {phase:?}")
            }
            EventKind::Arrived { .. } | EventKind::Ended(_) => continue,
            other => format!("host {host}: {other:?}"),
        };
        lines.push((event.at, line));
    }
    lines
}

/// What happened to the coordinators' processes.
fn process_lines(e: &Evidence, from: Micros, to: Micros) -> Lines {
    let events = e.processes.0.iter();
    let events = events.filter(|p| (from..=to).contains(&p.at) && p.event != ProcessEvent::Ready);
    events
        .map(|p| {
            (
                p.at,
                format!("coordinator {}: {:?}", p.coordinator, p.event),
            )
        })
        .collect()
}
