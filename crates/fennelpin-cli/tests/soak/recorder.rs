//! What clients, hosts, operator and platform have seen, by one clock.

use rustix::process::Signal;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Kind of a request, by its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Pure,
    /// May run once.
    Mutating,
    /// A stream that may run once.
    Stream,
    /// A stream that may be resumed at another host.
    ResumableStream,
}

impl RequestKind {
    /// Whether it may run more than once.
    pub fn idempotent(self) -> bool {
        matches!(self, Self::Pure | Self::ResumableStream)
    }
}

/// How a request ended at its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A complete response.
    Answered { status: u16 },
    /// The connection ended within the response.
    Truncated,
    /// The connection ended before the response.
    Unanswered,
    /// Nothing came for longer than the deadline.
    TimedOut,
    /// The response isn't the one to this request, or no valid response.
    Malformed { found: String },
}

/// A request that a client has sent whole.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub id: String,
    pub edge: u8,
    pub kind: RequestKind,
    /// When its first byte was handed to the kernel. The deadline counts from here.
    pub began_at: Instant,
    /// When its last byte was handed to the kernel.
    pub sent_at: Instant,
    pub deadline: Duration,
    /// When the response before it on the connection ended, where it was sent ahead of that; else as `sent_at`.
    pub turn_at: Instant,
    /// Whether the response before it didn't come to its end, which ends the connection.
    pub behind_incomplete: bool,
    pub end: RequestEnd,
    pub ended_at: Instant,
}

/// What the platform did to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    Signalled(Signal),
    Started,
}

/// Something that the platform did to a process.
#[derive(Clone, Debug)]
pub struct ProcessRecord {
    /// Machine and program: `edge-1/proxy`.
    pub process: String,
    pub event: ProcessEvent,
    pub at: Instant,
}

/// A host began to run a request.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub host: String,
    pub at: Instant,
}

/// A host's word that it is draining was acknowledged.
#[derive(Clone, Debug)]
pub struct DrainRecord {
    pub host: String,
    pub acknowledged_at: Instant,
}

/// A configuration that was acknowledged, or read.
#[derive(Clone, Copy, Debug)]
pub struct VersionRecord {
    pub version: u64,
    /// When the change or the read was sent.
    pub sent_at: Instant,
    /// When its answer came.
    pub answered_at: Instant,
}

/// Collects the records of one run.
#[derive(Default)]
pub struct Recorder {
    requests: Mutex<Vec<RequestRecord>>,
    runs: Mutex<HashMap<String, Vec<RunRecord>>>,
    drains: Mutex<Vec<DrainRecord>>,
    processes: Mutex<Vec<ProcessRecord>>,
    acknowledged: Mutex<Vec<VersionRecord>>,
    read: Mutex<Vec<VersionRecord>>,
    failures: Mutex<Vec<String>>,
}

/// All records of a run that is over.
pub struct Recording {
    pub requests: Vec<RequestRecord>,
    /// By attempt id: the hosts that began to run the request.
    pub runs: HashMap<String, Vec<RunRecord>>,
    pub drains: Vec<DrainRecord>,
    pub processes: Vec<ProcessRecord>,
    pub acknowledged: Vec<VersionRecord>,
    pub read: Vec<VersionRecord>,
    /// Failures that were seen as they happened.
    pub failures: Vec<String>,
}

impl Recorder {
    pub fn record_request(&self, request: RequestRecord) {
        self.requests.lock().unwrap().push(request);
    }

    /// A host begins to run a request. How often that has happened by now.
    pub fn record_run(&self, id: &str, host: &str) -> usize {
        let mut runs = self.runs.lock().unwrap();
        let runs = runs.entry(id.to_owned()).or_default();
        runs.push(RunRecord {
            host: host.to_owned(),
            at: Instant::now(),
        });
        runs.len()
    }

    /// A host's word that it is draining was acknowledged just now.
    pub fn record_drain(&self, host: &str) {
        self.drains.lock().unwrap().push(DrainRecord {
            host: host.to_owned(),
            acknowledged_at: Instant::now(),
        });
    }

    /// The platform does something to a process.
    pub fn record_process(&self, process: &str, event: ProcessEvent) {
        self.processes.lock().unwrap().push(ProcessRecord {
            process: process.to_owned(),
            event,
            at: Instant::now(),
        });
    }

    pub fn record_acknowledged(&self, record: VersionRecord) {
        self.acknowledged.lock().unwrap().push(record);
    }

    pub fn record_read(&self, record: VersionRecord) {
        self.read.lock().unwrap().push(record);
    }

    /// A failure that needs no other record to be one.
    pub fn record_failure(&self, failure: String) {
        self.failures.lock().unwrap().push(failure);
    }

    /// Takes all records.
    pub fn take(&self) -> Recording {
        fn take<T: Default>(records: &Mutex<T>) -> T {
            std::mem::take(&mut *records.lock().unwrap())
        }
        Recording {
            requests: take(&self.requests),
            runs: take(&self.runs),
            drains: take(&self.drains),
            processes: take(&self.processes),
            acknowledged: take(&self.acknowledged),
            read: take(&self.read),
            failures: take(&self.failures),
        }
    }
}
