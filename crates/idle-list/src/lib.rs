//! The idle list (I-queue) of Join-Idle-Queue: which servers one dispatcher believes idle. It takes the time
//! with each call (a duration since an origin that the caller chooses) and has no clock, no randomness and no
//! I/O. Which entry wins is the caller's choice.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::collections::BTreeMap;
use std::time::Duration;

/// Age at which an entry no longer counts, where the caller has no other.
pub const ENTRY_AGE: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Record {
    entries: u32,
    listed: Duration,
}

/// The idle list of one service at one dispatcher. A server may hold several entries: as many requests as it
/// can take and still count as idle.
///
/// A server whose last entry was struck off stays **on record** until the record expires: nothing has been
/// heard of it since, so there is no ground to list it again before.
#[derive(Clone, Debug)]
pub struct IdleList<K> {
    records: BTreeMap<K, Record>,
    age: Duration,
}

impl<K: Ord + Copy> IdleList<K> {
    /// An empty list whose records expire `age` after they were made.
    pub fn new(age: Duration) -> Self {
        Self {
            records: BTreeMap::new(),
            age,
        }
    }

    /// Lists a server with so many entries, in place of what was there; 0 puts it on record as busy.
    pub fn list(&mut self, now: Duration, server: K, entries: u32) {
        self.records.insert(
            server,
            Record {
                entries,
                listed: now,
            },
        );
    }

    /// Strikes one entry of a server off; whether there was one.
    pub fn strike(&mut self, now: Duration, server: K) -> bool {
        let age = self.age;
        match self.records.get_mut(&server) {
            Some(r) if r.entries > 0 && now.saturating_sub(r.listed) <= age => {
                r.entries -= 1;
                true
            }
            _ => false,
        }
    }

    /// Forgets a server: it drains, failed, or its address was passed on.
    pub fn remove(&mut self, server: K) {
        self.records.remove(&server);
    }

    /// Drops all records made before a time: the dispatcher stalled and can't vouch for them.
    pub fn drop_before(&mut self, time: Duration) {
        self.records.retain(|_, r| r.listed >= time);
    }

    /// Entries of a server that count now.
    pub fn entries(&self, now: Duration, server: K) -> u32 {
        self.live(now, server).map_or(0, |r| r.entries)
    }

    /// Whether a server is listed or was struck off or busy, and that is not too long ago.
    pub fn on_record(&self, now: Duration, server: K) -> bool {
        self.live(now, server).is_some()
    }

    /// The servers believed idle, in the order of their keys.
    pub fn idle(&self, now: Duration) -> impl Iterator<Item = K> + '_ {
        let age = self.age;
        let fresh = move |r: &Record| r.entries > 0 && now.saturating_sub(r.listed) <= age;
        self.records
            .iter()
            .filter(move |(_, r)| fresh(r))
            .map(|(k, _)| *k)
    }

    fn live(&self, now: Duration, server: K) -> Option<&Record> {
        self.records
            .get(&server)
            .filter(|r| now.saturating_sub(r.listed) <= self.age)
    }
}
