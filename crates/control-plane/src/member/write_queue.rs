//! The queue of records to be written to the disk. One write is in flight at a time; records that arrive meanwhile are
//! part of the next one.

use super::{DiskError, DiskState, Output};
use crate::replicated_state::ReplicatedState;
use protocol::{MemberInfo, MembershipConfig};
use std::time::Duration;

/// Time after which a write is tried again on a disk that refused one.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which a refused rewrite is tried again. Appends may still find space meanwhile.
const REWRITE_RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// Files up to this size, in bytes, aren't rewritten.
const REWRITE_MIN_BYTES: usize = 256 << 10;
/// Maximum size of the records of one write in bytes, unless a single record is larger. The maximum batch size of the
/// log file is larger than this.
const MAX_WRITE_BYTES: usize = 16 << 20;

/// The action that follows once a record is on disk.
#[derive(Clone, Debug)]
pub(super) enum OnDurable {
    /// The candidate may be informed of the promise.
    Promise { candidate: MemberInfo, epoch: u64 },
    /// The membership configuration takes effect.
    Installed {
        candidate: MemberInfo,
        membership: Box<MembershipConfig>,
        state: Option<Box<ReplicatedState>>,
    },
    /// The primary may be informed that this backup has the change.
    Appended {
        primary: u64,
        epoch: u64,
        state: Box<ReplicatedState>,
    },
    /// The primary's own disk has the change.
    OwnChange {
        epoch: u64,
        state: Box<ReplicatedState>,
    },
    /// No action.
    Nothing,
}

impl OnDurable {
    fn is_change(&self) -> bool {
        matches!(self, Self::Appended { .. } | Self::OwnChange { .. })
    }
}

/// A record that is being written or is on disk.
#[derive(Clone, Debug)]
pub(super) struct WrittenRecord {
    pub(super) on_durable: OnDurable,
    /// The encoded record, if it holds a change.
    pub(super) change: Option<Vec<u8>>,
}

/// The outcome of a write.
#[derive(Debug)]
pub(super) enum Completion {
    /// Records were appended.
    Appended(Vec<WrittenRecord>),
    /// The file was rewritten.
    Rewritten,
    /// The rewrite was refused. The old file remains in force, or a new one with the same meaning.
    RewriteRefused,
    /// The disk refused records. These and all records queued behind them are lost.
    Refused(Vec<OnDurable>),
}

#[derive(Clone, Debug)]
struct QueuedRecord {
    bytes: Vec<u8>,
    on_durable: OnDurable,
}

#[derive(Clone, Debug)]
struct InFlightWrite {
    ticket: u64,
    started_at: Duration,
    written: Vec<WrittenRecord>,
    bytes: usize,
    is_rewrite: bool,
}

/// The write in flight and the records queued behind it.
#[derive(Clone, Debug, Default)]
pub(super) struct WriteQueue {
    queued: Vec<QueuedRecord>,
    in_flight: Option<InFlightWrite>,
    last_ticket: u64,
    file_bytes: usize,
    /// The file's size in bytes when it was last considered for a rewrite.
    examined_bytes: usize,
    refused_at: Option<Duration>,
    rewrite_refused_at: Option<Duration>,
}

impl WriteQueue {
    /// Creates a queue for a file of this size in bytes.
    pub(super) fn new(file_bytes: usize) -> Self {
        Self {
            file_bytes,
            ..Self::default()
        }
    }

    pub(super) fn push(&mut self, bytes: Vec<u8>, on_durable: OnDurable) {
        self.queued.push(QueuedRecord { bytes, on_durable });
    }

    /// Whether a write may start: none is in flight, and the retry interval after a refused one is over.
    pub(super) fn may_start(&self, now: Duration) -> bool {
        let paused = self.refused_at.is_some_and(|at| now < at + RETRY_INTERVAL);
        self.in_flight.is_none() && !paused
    }

    /// Whether a record is needed to test if a disk that refused one accepts writes again.
    pub(super) fn needs_probe(&self) -> bool {
        self.refused_at.is_some() && self.queued.is_empty()
    }

    /// The file's size in bytes, if it has changed since it was last considered and is large enough for a rewrite.
    pub(super) fn examine_size(&mut self, now: Duration) -> Option<usize> {
        let paused = self
            .rewrite_refused_at
            .is_some_and(|at| now < at + REWRITE_RETRY_INTERVAL);
        if self.file_bytes <= REWRITE_MIN_BYTES || self.refused_at.is_some() || paused {
            return None;
        }
        if self.examined_bytes == self.file_bytes {
            return None;
        }
        self.examined_bytes = self.file_bytes;
        Some(self.file_bytes)
    }

    /// Starts a write that replaces the file's content.
    pub(super) fn start_rewrite(&mut self, records: Vec<Vec<u8>>, now: Duration) -> Output {
        self.start(records, Vec::new(), true, now)
    }

    /// Starts a write of the queued records; `None` if there are none.
    pub(super) fn start_append(&mut self, now: Duration) -> Option<Output> {
        let (records, written) = self.next_batch();
        (!records.is_empty()).then(|| self.start(records, written, false, now))
    }

    fn start(
        &mut self,
        records: Vec<Vec<u8>>,
        written: Vec<WrittenRecord>,
        is_rewrite: bool,
        now: Duration,
    ) -> Output {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.in_flight = Some(InFlightWrite {
            ticket,
            started_at: now,
            written,
            bytes: records.iter().map(Vec::len).sum(),
            is_rewrite,
        });
        Output::Write {
            ticket,
            records,
            rewrite: is_rewrite,
        }
    }

    /// Takes the next records up to the maximum size of a write.
    fn next_batch(&mut self) -> (Vec<Vec<u8>>, Vec<WrittenRecord>) {
        let mut batch_bytes = 0;
        let fits = |record: &&QueuedRecord| {
            batch_bytes += record.bytes.len();
            batch_bytes <= MAX_WRITE_BYTES
        };
        let count = self.queued.iter().take_while(fits).count().max(1);
        let batch = self.queued.drain(..count.min(self.queued.len()));
        let split = |record: QueuedRecord| {
            let change = record.on_durable.is_change().then(|| record.bytes.clone());
            let written = WrittenRecord {
                on_durable: record.on_durable,
                change,
            };
            (record.bytes, written)
        };
        batch.map(split).unzip()
    }

    /// Ends a write; `None` if it isn't the one in flight.
    pub(super) fn complete(
        &mut self,
        ticket: u64,
        result: Result<(), DiskError>,
        now: Duration,
    ) -> Option<Completion> {
        let write = self.in_flight.take_if(|write| write.ticket == ticket)?;
        Some(match result {
            Ok(()) if write.is_rewrite => {
                self.refused_at = None;
                self.rewrite_refused_at = None;
                self.file_bytes = write.bytes;
                Completion::Rewritten
            }
            Ok(()) => {
                self.refused_at = None;
                self.file_bytes += write.bytes;
                Completion::Appended(write.written)
            }
            Err(_) if write.is_rewrite => {
                self.rewrite_refused_at = Some(now);
                Completion::RewriteRefused
            }
            Err(_) => {
                self.refused_at = Some(now);
                let written = write.written.into_iter().map(|w| w.on_durable);
                let queued = self.queued.drain(..).map(|record| record.on_durable);
                Completion::Refused(written.chain(queued).collect())
            }
        })
    }

    pub(super) fn is_healthy(&self, now: Duration, stall_timeout: Duration) -> bool {
        self.disk_state(now, stall_timeout) == DiskState::Healthy
    }

    pub(super) fn disk_state(&self, now: Duration, stall_timeout: Duration) -> DiskState {
        let stalled = self
            .in_flight
            .as_ref()
            .is_some_and(|write| now >= write.started_at + stall_timeout);
        match self.refused_at {
            Some(_) => DiskState::Refused,
            None if stalled => DiskState::Stalled,
            None => DiskState::Healthy,
        }
    }

    /// When the write in flight counts as stalled, or when a refused write is tried again.
    pub(super) fn next_wake_at(&self, stall_timeout: Duration) -> Option<Duration> {
        let stalls = self
            .in_flight
            .as_ref()
            .map(|write| write.started_at + stall_timeout);
        stalls.or(self.refused_at.map(|at| at + RETRY_INTERVAL))
    }
}
