//! What hosts and discovery saw, event by event, on one clock: what an auditor needs and no more.

use crate::model::Micros;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// One clock for all that is written down in a run.
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
pub enum End {
    /// Answered with this value.
    Served(u64),
    /// Answered as an error: it may have taken effect.
    Broke,
    /// Turned away: it never took effect.
    Skipped,
    /// Given up by its sender: it may have taken effect, or may yet.
    Withdrawn,
    /// Its connection ended.
    Cut,
}

/// What a client put into the query's text, as [`reference()`] finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ref {
    /// Number of the client's query.
    pub query: u32,
    /// Number of its try.
    pub attempt: u8,
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// An attempt has come whole.
    Arrived {
        /// The query's name on the wire.
        name: Box<str>,
        /// The shard.
        shard: u32,
        /// The key.
        key: Option<Box<str>>,
        /// The client's own mark, where the text bore one.
        reference: Option<Ref>,
    },
    /// An attempt ended.
    Ended(End),
    /// The host fell over, pushed while cold.
    Fell,
    /// The process started.
    Up,
    /// The process ended or went silent.
    Down,
    /// The host began to drain.
    Draining,
    /// A line of the host list with this phase was written to a coordinator.
    Told(Phase),
}

/// A host's phase in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It runs.
    Ready,
    /// It wants nothing new.
    Terminating,
    /// It is gone.
    Gone,
}

impl Phase {
    /// The word in discovery's protocol.
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
    /// Which coordinator had to do with it; `NOBODY` for none.
    pub coordinator: u16,
    /// Number of the attempt, unique in a run; 0 for none.
    pub attempt: u64,
    /// What.
    pub what: What,
}

/// No coordinator.
pub const NOBODY: u16 = u16::MAX;

/// A place where events are collected; clones share it.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<Vec<Event>>>);

impl Ledger {
    /// Writes an event down.
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
pub fn mark(reference: Ref, works: impl Iterator<Item = (u32, u32)>) -> String {
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
pub fn reference(text: &str, shard: u32) -> Option<(Ref, Option<f64>)> {
    let mark = text.split_once("lab:")?.1.split_once(';')?.0;
    let (ids, works) = mark.split_once(':')?;
    let (query, attempt) = ids.split_once('.')?;
    let reference = Ref {
        query: query.parse().ok()?,
        attempt: attempt.parse().ok()?,
    };
    let work = works
        .split(',')
        .filter_map(|w| w.split_once('='))
        .find(|(s, _)| s.parse() == Ok(shard));
    Some((reference, work.and_then(|(_, w)| w.parse().ok())))
}
