//! The event log: what hosts and discovery observed, on one clock. It holds what the auditor needs.

use crate::model::Micros;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// The clock of a run.
#[derive(Clone, Copy, Debug)]
pub struct Epoch(pub Instant);

impl Epoch {
    /// Microseconds since the epoch.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// An instant in microseconds since the epoch, 0 before it.
    pub fn at(&self, instant: Instant) -> Micros {
        instant.saturating_duration_since(self.0).as_micros() as Micros
    }

    /// The instant of a time since the epoch.
    pub fn instant(&self, at: Micros) -> Instant {
        self.0 + std::time::Duration::from_micros(at)
    }
}

/// How an attempt ended at its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Answered with this value.
    Served(u64),
    /// Answered with an error: it may have taken effect.
    Broke,
    /// Rejected: it never took effect.
    Skipped,
    /// Withdrawn by its sender: it may have taken effect, or may yet.
    Withdrawn,
    /// Its connection ended.
    Cut,
}

/// The client's mark in a query's text, as [`reference()`] finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptRef {
    /// Number of the client's query.
    pub query: u32,
    /// Number of the client's attempt.
    pub attempt: u8,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum EventKind {
    /// An attempt has arrived completely.
    Arrived {
        /// The query's name on the wire.
        name: Box<str>,
        /// The shard.
        shard: u32,
        /// The key.
        key: Option<Box<str>>,
        /// The client's mark, if the text has one.
        reference: Option<AttemptRef>,
    },
    /// An attempt ended.
    Ended(AttemptEnd),
    /// The host fell over: it was overloaded while warming up.
    FellOver,
    /// The process started.
    ProcessStarted,
    /// The process ended or went silent.
    ProcessEnded,
    /// The host started to drain.
    Draining,
    /// An update of the host list with this phase was sent to a coordinator.
    ListUpdateSent(Phase),
}

/// A host's phase in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It runs.
    Ready,
    /// It takes no new parts.
    Terminating,
    /// It is gone.
    Gone,
}

impl Phase {
    /// Its name in discovery's protocol.
    pub fn word(self) -> &'static str {
        match self {
            Self::Ready => "Ready",
            Self::Terminating => "Terminating",
            Self::Gone => "Gone",
        }
    }
}

/// An event at a host or about it.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// When.
    pub at: Micros,
    /// Which host.
    pub host: u16,
    /// The coordinator that was involved; [`NO_COORDINATOR`] if none was.
    pub coordinator: u16,
    /// Number of the attempt, unique in a run; 0 for none.
    pub attempt: u64,
    /// What happened.
    pub kind: EventKind,
}

/// No coordinator.
pub const NO_COORDINATOR: u16 = u16::MAX;

/// Collects events; clones share the log.
#[derive(Clone, Default)]
pub struct EventLog(Arc<Mutex<Vec<Event>>>);

impl EventLog {
    /// Appends an event.
    pub fn write(&self, event: Event) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(event);
    }

    /// All events so far, by time.
    pub fn take(&self) -> Vec<Event> {
        let mut all = std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner));
        all.sort_by_key(|e| e.at);
        all
    }
}

/// The mark that a client puts into a query's text: `lab:QUERY.TRY:SHARD=WORK,…;` with the work of each
/// part in microseconds. It is made of characters that need no escape in JSON.
pub fn mark(reference: AttemptRef, works: impl Iterator<Item = (u32, u32)>) -> String {
    let works: Vec<String> = works
        .map(|(shard, work)| format!("{shard}={work}"))
        .collect();
    format!(
        "lab:{}.{}:{};",
        reference.query,
        reference.attempt,
        works.join(",")
    )
}

/// Finds the mark in a query's text, and the work of this shard's part.
pub fn reference(text: &str, shard: u32) -> Option<(AttemptRef, Option<f64>)> {
    let mark = text.split_once("lab:")?.1.split_once(';')?.0;
    let (ids, works) = mark.split_once(':')?;
    let (query, attempt) = ids.split_once('.')?;
    let reference = AttemptRef {
        query: query.parse().ok()?,
        attempt: attempt.parse().ok()?,
    };
    let work = works
        .split(',')
        .filter_map(|w| w.split_once('='))
        .find(|(s, _)| s.parse() == Ok(shard));
    Some((reference, work.and_then(|(_, w)| w.parse().ok())))
}
