//! What the clients' side writes down, and what happened to the coordinators' processes.

use crate::clients::AttemptOutcome;
use fake_hosts::model::Micros;

/// A try as its client saw it; times in microseconds since the run's epoch.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptRecord {
    /// Number of its query in the plan.
    pub query: u32,
    /// Number of the try.
    pub attempt: u8,
    /// The coordinator that it went to.
    pub coordinator: u16,
    /// When its last byte was written; 0 if it never was.
    pub sent: Micros,
    /// When it ended: the answer's last byte, or the client's giving up.
    pub ended: Micros,
    /// How long the client said it would wait.
    pub wait_us: u64,
    /// How it ended.
    pub end: AttemptOutcome,
    /// `Retry-After` of the answer.
    pub retry_after_us: Option<u64>,
    /// Shards that the answer says are in.
    pub shards: Vec<u32>,
    /// Values in the answer.
    pub values: Vec<u64>,
    /// Whether bytes came that nobody asked for.
    pub extra: bool,
}

/// A query as its client saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryRecord {
    /// Its number in the plan.
    pub query: u32,
    /// When it was due.
    pub due: Micros,
    /// When the generator came to it; what lies between is the generator's own lag.
    pub started: Micros,
    /// When its first byte was handed to a connection; 0 if it never was.
    pub first_sent: Micros,
    /// When the client had its final answer or gave up for good.
    pub ended: Micros,
    /// Its tries, in order; the last one's end is the query's.
    pub tries: Vec<AttemptRecord>,
}

impl QueryRecord {
    /// How it ended for its client.
    pub fn end(&self) -> AttemptOutcome {
        self.tries
            .last()
            .map_or(AttemptOutcome::NoConnection, |t| t.end)
    }
}

/// Something that happened to a coordinator's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    /// It was started.
    Started,
    /// It answered its health call.
    Ready,
    /// SIGTERM.
    Terminated,
    /// SIGKILL, or an end that nobody asked for.
    Killed,
    /// It ended by itself after SIGTERM.
    Exited,
    /// SIGSTOP.
    Stopped,
    /// SIGCONT.
    Continued,
}

/// When what happened to which coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoordinatorEvent {
    /// When.
    pub at: Micros,
    /// Which coordinator.
    pub coordinator: u16,
    /// What.
    pub event: ProcessEvent,
}

/// How long after SIGTERM a request still has to be answered by the coordinator that took it.
const TERM_GRACE: Micros = 700_000;

/// All that happened to the coordinators, by time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProcessHistory(pub Vec<CoordinatorEvent>);

impl ProcessHistory {
    fn of(&self, coordinator: u16) -> impl Iterator<Item = &CoordinatorEvent> {
        self.0.iter().filter(move |e| e.coordinator == coordinator)
    }

    /// Times in which a coordinator stood still.
    pub fn stalls(&self, coordinator: u16) -> Vec<(Micros, Micros)> {
        let mut all = Vec::new();
        for e in self.of(coordinator) {
            match e.event {
                ProcessEvent::Stopped => all.push((e.at, Micros::MAX)),
                ProcessEvent::Continued | ProcessEvent::Killed => {
                    if let Some(last) = all.last_mut().filter(|(_, to)| *to == Micros::MAX) {
                        last.1 = e.at;
                    }
                }
                _ => {}
            }
        }
        all
    }

    /// Whether a coordinator can't be blamed for what it held from one time to another: it was killed or
    /// stood still meanwhile, or the request came long after SIGTERM.
    pub fn excused(&self, coordinator: u16, from: Micros, to: Micros) -> bool {
        let within = |at: Micros| (from..=to).contains(&at);
        let mut stopping = None;
        for e in self.of(coordinator) {
            match e.event {
                ProcessEvent::Killed if within(e.at) => return true,
                ProcessEvent::Terminated => stopping = Some(e.at),
                // What comes to an address where nothing runs has reached nobody.
                ProcessEvent::Killed | ProcessEvent::Exited => {
                    stopping = stopping.or(Some(e.at.saturating_sub(TERM_GRACE)));
                }
                ProcessEvent::Started => {
                    if stopping.is_some_and(|at| from >= at + TERM_GRACE && from < e.at) {
                        return true;
                    }
                    stopping = None;
                }
                _ => {}
            }
        }
        stopping.is_some_and(|at| from >= at + TERM_GRACE)
            || self
                .stalls(coordinator)
                .iter()
                .any(|(a, b)| *a <= to && *b >= from)
    }

    /// When a coordinator's process that ran at this time was started.
    pub fn started_before(&self, coordinator: u16, at: Micros) -> Micros {
        self.of(coordinator)
            .filter(|e| e.event == ProcessEvent::Started && e.at <= at)
            .map(|e| e.at)
            .max()
            .unwrap_or(0)
    }
}
