//! What must hold, whatever the platform plans.

use super::recorder::{
    ProcessEvent, ProcessRecord, Recording, RequestEnd, RequestKind, RequestRecord, RunRecord,
};
use super::settings::GRACE;
use super::stream_hosts::BREAKING_SUFFIX;
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

/// A connection that ends without a response so soon after the request may have crossed it.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// So long before the kill a process may truncate what was in flight at SIGTERM.
const TRUNCATION_MARGIN: Duration = Duration::from_millis(300);
/// A request that was handed to the kernel so soon after SIGTERM may have been sent before it.
const SIGNAL_SLACK: Duration = Duration::from_millis(20);
/// A response so near to the deadline was ended by it.
const DEADLINE_SLACK: Duration = Duration::from_millis(50);
/// From the acknowledgement on requests may still reach a draining host for so long.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// A machine is in touch once nothing has happened to it and to the members for so long.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests of a run that may cross a close while their proxy neither ends nor starts.
const MAX_CROSSED_CLOSES: usize = 3;
/// Longest time from a request to its end beyond its deadline.
const MAX_OVERTIME: Duration = Duration::from_secs(1);

/// A broken rule.
#[derive(Clone, Debug)]
pub enum Violation {
    /// A request ended without an answer or a refusal.
    Lost(RequestRecord),
    /// A response that isn't the request's, or incomplete.
    Mixed(RequestRecord),
    /// A request that may run once ran more often.
    RanTwice { id: String, runs: usize },
    /// A request that may run once was rejected, though it ran.
    RejectedButRan(RequestRecord),
    /// A response that sound hosts and a planned end don't explain.
    UnexpectedStatus(RequestRecord),
    /// A request that was held for longer than its deadline.
    HeldBack(RequestRecord),
    /// A read gave a version below one that was acknowledged before.
    StaleRead { read: u64, acknowledged: u64 },
    /// A request reached a host too long after the acknowledgement that it is draining.
    SentToDraining { id: String, after: Duration },
    /// Anything else that was seen as it happened.
    Failure(String),
}

/// Why a request that wasn't served breaks no rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Excuse {
    /// It was rejected before it ran.
    Rejected,
    /// Its host broke off.
    HostBrokeOff,
    /// A fault froze its proxy.
    ProxyFrozen,
    /// It came behind a response whose end closed the connection, and was not passed on.
    BehindIncomplete,
    /// It was not passed on, and its proxy was ending, gone or starting.
    ProcessGone,
    /// It was not passed on: it may have crossed the close of its connection, for which no end of a process is to be seen.
    CrossedTheClose,
    /// Its deadline was over.
    AtDeadline,
    /// Its deadline was over before the client had sent all of it.
    SlowBody,
    /// It was in flight at SIGTERM and was truncated shortly before the kill.
    OutlastedTheGrace,
    /// It got a status in the last second of a shutdown.
    EndOfProcess,
}

/// What becomes of a request in the eyes of the rules.
enum Verdict {
    Served,
    Excused(Excuse),
    Broken(Violation),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let mut request = |what: &str, request: &RequestRecord| {
            let held = request.ended_at.duration_since(request.sent_at);
            write!(f, "{what}: held {held:?}, {request:?}")
        };
        match self {
            Violation::Lost(record) => request("LOST", record),
            Violation::Mixed(record) => request("MIXED", record),
            Violation::RejectedButRan(record) => request("REFUSED", record),
            Violation::UnexpectedStatus(record) => request("unexpected status", record),
            Violation::HeldBack(record) => request("held back", record),
            Violation::RanTwice { id, runs } => write!(f, "TWICE: {id} ran {runs} times"),
            Violation::StaleRead { read, acknowledged } => {
                write!(f, "CONFIG: read {read} after {acknowledged}")
            }
            Violation::SentToDraining { id, after } => {
                write!(
                    f,
                    "DRAIN: {id} reached a host {after:?} after the acknowledgement"
                )
            }
            Violation::Failure(text) => write!(f, "{text}"),
        }
    }
}

/// Judges a run.
pub fn violations(recording: &Recording) -> Vec<Violation> {
    let mut found: Vec<Violation> = recording
        .failures
        .iter()
        .cloned()
        .map(Violation::Failure)
        .collect();
    for request in &recording.requests {
        found.extend(judge_request(recording, request));
    }
    found.extend(unexplained_closes(recording));
    found.extend(stale_reads(recording));
    found.extend(sent_to_draining(recording));
    found
}

fn judge_request(recording: &Recording, request: &RequestRecord) -> Vec<Violation> {
    let mut found = Vec::new();
    let record = || request.clone();
    let runs = recording.runs.get(&request.id).map_or(0, Vec::len);
    if !request.kind.idempotent() && runs > 1 {
        found.push(Violation::RanTwice {
            id: request.id.clone(),
            runs,
        });
    }
    if let Verdict::Broken(violation) = judge_end(recording, request, runs) {
        found.push(violation);
    }
    let in_trouble = was_frozen(recording, request);
    let held_for = request.ended_at.duration_since(request.turn_at);
    if !in_trouble && held_for > request.deadline + MAX_OVERTIME {
        found.push(Violation::HeldBack(record()));
    }
    found
}

/// Judges how a request ended.
fn judge_end(recording: &Recording, request: &RequestRecord, runs: usize) -> Verdict {
    match &request.end {
        RequestEnd::Answered { status } => judge_status(recording, request, runs, *status),
        RequestEnd::Truncated | RequestEnd::Unanswered => {
            match loss_excuse(recording, request, runs > 0) {
                Some(excuse) => Verdict::Excused(excuse),
                None => Verdict::Broken(Violation::Lost(request.clone())),
            }
        }
        RequestEnd::TimedOut if was_frozen(recording, request) => {
            Verdict::Excused(Excuse::ProxyFrozen)
        }
        RequestEnd::TimedOut => Verdict::Broken(Violation::HeldBack(request.clone())),
        RequestEnd::Malformed { .. } => Verdict::Broken(Violation::Mixed(request.clone())),
    }
}

fn judge_status(
    recording: &Recording,
    request: &RequestRecord,
    runs: usize,
    status: u16,
) -> Verdict {
    let in_trouble = was_frozen(recording, request);
    match status {
        200 => Verdict::Served,
        502 if is_broken_off(request) => Verdict::Excused(Excuse::HostBrokeOff),
        502 | 504 if in_trouble => Verdict::Excused(Excuse::ProxyFrozen),
        503 if !request.kind.idempotent() && runs > 0 => {
            Verdict::Broken(Violation::RejectedButRan(request.clone()))
        }
        408 if runs > 0 => Verdict::Broken(Violation::RejectedButRan(request.clone())),
        // Its body was not complete by its deadline.
        408 if is_at_deadline(request) => Verdict::Excused(Excuse::SlowBody),
        503 => Verdict::Excused(Excuse::Rejected),
        504 if is_at_deadline(request) => Verdict::Excused(Excuse::AtDeadline),
        502 if ends_with_the_process(recording, request) => Verdict::Excused(Excuse::EndOfProcess),
        _ => Verdict::Broken(Violation::UnexpectedStatus(request.clone())),
    }
}

/// Counts the requests that weren't served by what excuses them.
pub fn excuses(recording: &Recording) -> BTreeMap<Excuse, usize> {
    let mut counts = BTreeMap::new();
    for request in &recording.requests {
        let runs = recording.runs.get(&request.id).map_or(0, Vec::len);
        if let Verdict::Excused(excuse) = judge_end(recording, request, runs) {
            *counts.entry(excuse).or_default() += 1;
        }
    }
    counts
}

/// Closes that no end of a process explains may cross a few requests, but not more.
fn unexplained_closes(recording: &Recording) -> Option<Violation> {
    let crossed = excuses(recording).get(&Excuse::CrossedTheClose).copied();
    crossed
        .filter(|count| *count > MAX_CROSSED_CLOSES)
        .map(|count| {
            Violation::Failure(format!(
                "{count} requests crossed a close that no end of a process explains"
            ))
        })
}

fn is_broken_off(request: &RequestRecord) -> bool {
    request.id.ends_with(BREAKING_SUFFIX)
}

fn held(request: &RequestRecord) -> Duration {
    request.ended_at.duration_since(request.sent_at)
}

fn is_at_deadline(request: &RequestRecord) -> bool {
    request.ended_at + DEADLINE_SLACK >= request.began_at + request.deadline
}

/// What excuses a connection that ended without a complete response; nothing if the request was not to be lost.
fn loss_excuse(recording: &Recording, request: &RequestRecord, passed_on: bool) -> Option<Excuse> {
    let is_stream = matches!(
        request.kind,
        RequestKind::Stream | RequestKind::ResumableStream
    );
    let may_cross = !passed_on && held(request) <= LOSS_SLACK;
    let reasons = [
        (Excuse::HostBrokeOff, is_broken_off(request) && is_stream),
        (Excuse::ProxyFrozen, was_frozen(recording, request)),
        (
            Excuse::BehindIncomplete,
            !passed_on && request.behind_incomplete,
        ),
        (
            Excuse::ProcessGone,
            may_cross && is_process_ending(recording, request),
        ),
        (Excuse::CrossedTheClose, may_cross),
        (Excuse::AtDeadline, is_at_deadline(request)),
        (
            Excuse::OutlastedTheGrace,
            outlasted_the_grace(recording, request),
        ),
    ];
    let mut holding = reasons.into_iter().filter(|(_, holds)| *holds);
    holding.next().map(|(excuse, _)| excuse)
}

/// When the request's proxy was asked to end.
fn terminations<'a>(
    recording: &'a Recording,
    request: &RequestRecord,
) -> impl Iterator<Item = Instant> + 'a {
    let proxy = format!("edge-{}/proxy", request.edge);
    let terminated = ProcessEvent::Signalled(Signal::TERM);
    recording
        .processes
        .iter()
        .filter(move |record| record.process == proxy && record.event == terminated)
        .map(|record| record.at)
}

/// Whether the request's proxy was asked to end, killed or started from a grace before the request to its end.
fn is_process_ending(recording: &Recording, request: &RequestRecord) -> bool {
    let proxy = format!("edge-{}/proxy", request.edge);
    recording.processes.iter().any(|record| {
        let ends_or_starts = matches!(
            record.event,
            ProcessEvent::Started | ProcessEvent::Signalled(Signal::TERM | Signal::KILL)
        );
        record.process == proxy
            && ends_or_starts
            && record.at + GRACE + LOSS_SLACK >= request.sent_at
            && record.at <= request.ended_at
    })
}

/// Whether a fault froze the request's proxy from shortly before the request to its end.
fn was_frozen(recording: &Recording, request: &RequestRecord) -> bool {
    let proxy = format!("edge-{}/proxy", request.edge);
    recording.processes.iter().any(|record| {
        record.process == proxy
            && record.event == ProcessEvent::Signalled(Signal::STOP)
            && record.at <= request.ended_at
            && thawed_at(recording, record)
                .is_none_or(|thawed_at| thawed_at + CONTACT_TIME >= request.sent_at)
    })
}

/// When a process that was frozen ran again, or another one took its place; `None` if neither happened. A busy machine
/// may let the driver thaw it later than the schedule says.
fn thawed_at(recording: &Recording, frozen: &ProcessRecord) -> Option<Instant> {
    let later = recording.processes.iter().filter(|record| {
        record.process == frozen.process
            && record.at > frozen.at
            && matches!(
                record.event,
                ProcessEvent::Signalled(Signal::CONT) | ProcessEvent::Started
            )
    });
    later.map(|record| record.at).min()
}

/// Whether the request was in flight at SIGTERM and ended shortly before the kill.
fn outlasted_the_grace(recording: &Recording, request: &RequestRecord) -> bool {
    terminations(recording, request).any(|at| {
        request.sent_at <= at + SIGNAL_SLACK
            && request.ended_at + TRUNCATION_MARGIN >= at + GRACE
            && request.ended_at <= at + GRACE + LOSS_SLACK
    })
}

/// Whether the request ended in the last second of a shutdown, in which requests in flight get a status.
fn ends_with_the_process(recording: &Recording, request: &RequestRecord) -> bool {
    terminations(recording, request).any(|at| {
        let last_second = at + GRACE - Duration::from_secs(1);
        request.ended_at >= last_second && request.ended_at <= at + GRACE + LOSS_SLACK
    })
}

fn stale_reads(recording: &Recording) -> Vec<Violation> {
    let mut found = Vec::new();
    for read in &recording.read {
        let newest = recording
            .acknowledged
            .iter()
            .filter(|acknowledged| acknowledged.answered_at <= read.sent_at)
            .map(|acknowledged| acknowledged.version)
            .max();
        if let Some(acknowledged) = newest.filter(|newest| read.version < *newest) {
            found.push(Violation::StaleRead {
                read: read.version,
                acknowledged,
            });
        }
    }
    found
}

fn sent_to_draining(recording: &Recording) -> Vec<Violation> {
    let mut found = Vec::new();
    for request in &recording.requests {
        let runs = recording.runs.get(&request.id);
        for run in runs.into_iter().flatten() {
            let drain = recording.drains.iter().find(|drain| drain.host == run.host);
            let Some(after) = drain.map(|d| run.at.saturating_duration_since(d.acknowledged_at))
            else {
                continue;
            };
            if after > DRAIN_TIME && is_in_touch(recording, request.edge, run) {
                let id = request.id.clone();
                found.push(Violation::SentToDraining { id, after });
            }
        }
    }
    found
}

/// Whether a machine that passed a request on, and all members, had run undisturbed for long enough.
fn is_in_touch(recording: &Recording, edge: u8, run: &RunRecord) -> bool {
    let machine = format!("edge-{edge}/");
    let hangup = ProcessEvent::Signalled(Signal::HUP);
    let mut last_events = BTreeMap::new();
    for record in &recording.processes {
        let concerns = record.process.starts_with(&machine) || record.process.starts_with("core-");
        if concerns && record.event != hangup && record.at <= run.at {
            last_events.insert(&record.process, record);
        }
    }
    last_events.values().all(|record| match record.event {
        ProcessEvent::Started | ProcessEvent::Signalled(Signal::CONT) => {
            run.at.duration_since(record.at) >= CONTACT_TIME
        }
        // It has not started again yet.
        ProcessEvent::Signalled(_) => false,
    })
}
