//! The idle list of Join-Idle-Queue, called I-queue in the paper: the servers that one dispatcher considers idle.
//! Source: Lu et al., "Join-Idle-Queue: A novel load balancing algorithm for dynamically scalable web services", 2011.
//!
//! The list has no clock, no randomness and no I/O. Calls pass the time as a duration since an origin that the caller
//! chooses. The caller decides which of the idle servers to use.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::collections::BTreeMap;
use std::time::Duration;

/// Default age up to which a record is valid.
pub const DEFAULT_MAX_AGE: Duration = Duration::from_secs(2);

/// The latest record of a server.
#[derive(Clone, Copy, Debug)]
struct Record {
    entries: u32,
    recorded_at: Duration,
}

/// The idle list of one service at one dispatcher.
///
/// An idle server has one or more entries: the number of requests that it can accept while it still counts as idle. A
/// server without entries keeps its record until the record expires. Without news of the server, there is no reason to
/// list it again before then.
#[derive(Clone, Debug)]
pub struct IdleList<K> {
    records: BTreeMap<K, Record>,
    max_age: Duration,
}

impl<K: Ord + Copy> IdleList<K> {
    /// Creates an empty list whose records are valid up to the age `max_age`.
    pub fn new(max_age: Duration) -> Self {
        Self {
            records: BTreeMap::new(),
            max_age,
        }
    }

    /// Records the number of entries of a server, replacing an earlier record; 0 means a busy server.
    pub fn set_entries(&mut self, now: Duration, server: K, entries: u32) {
        self.records.insert(
            server,
            Record {
                entries,
                recorded_at: now,
            },
        );
    }

    /// Consumes one entry of a server. Returns `false` if the server has none.
    pub fn take_entry(&mut self, now: Duration, server: K) -> bool {
        let max_age = self.max_age;
        let Some(record) = self.records.get_mut(&server) else {
            return false;
        };
        if record.entries == 0 || !record.is_valid(now, max_age) {
            return false;
        }
        record.entries -= 1;
        true
    }

    /// Removes the record of a server.
    pub fn remove(&mut self, server: K) {
        self.records.remove(&server);
    }

    /// Removes all records made before `time`, for example because the dispatcher stalled and they are out of date.
    pub fn remove_recorded_before(&mut self, time: Duration) {
        self.records.retain(|_, record| record.recorded_at >= time);
    }

    /// Returns the number of entries of a server; 0 without a valid record.
    pub fn entries(&self, now: Duration, server: K) -> u32 {
        self.valid_record(now, server)
            .map_or(0, |record| record.entries)
    }

    /// Returns whether there is a valid record of a server, idle or not.
    pub fn has_record(&self, now: Duration, server: K) -> bool {
        self.valid_record(now, server).is_some()
    }

    /// Returns the servers that have entries, in the order of their keys.
    pub fn idle_servers(&self, now: Duration) -> impl Iterator<Item = K> + '_ {
        let max_age = self.max_age;
        self.records
            .iter()
            .filter(move |(_, record)| record.entries > 0 && record.is_valid(now, max_age))
            .map(|(server, _)| *server)
    }

    fn valid_record(&self, now: Duration, server: K) -> Option<&Record> {
        self.records
            .get(&server)
            .filter(|record| record.is_valid(now, self.max_age))
    }
}

impl Record {
    fn is_valid(&self, now: Duration, max_age: Duration) -> bool {
        now.saturating_sub(self.recorded_at) <= max_age
    }
}
