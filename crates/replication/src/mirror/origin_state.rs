//! Records of one incarnation of an origin: hosts and coordinators, with what is needed to pass them on.

use super::hosts::Arrivals;
use crate::phase;
use protocol::{CoordinatorRecord, HostRecord, OriginUpdate, OriginVersion};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// Retention time of tombstones and of records of hosts and coordinators that are gone.
pub(super) const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);

/// Record with the data needed to pass it on.
#[derive(Clone)]
pub(super) struct StoredRecord<T> {
    pub(super) record: T,
    /// Sequence number of the origin's change that brought the record, or a later one.
    pub(super) sequence: u64,
    /// Time since which the record is a tombstone or says that its subject is gone.
    pub(super) removed_at: Option<Duration>,
}

/// Records of one incarnation of an origin.
#[derive(Clone, Default)]
pub(super) struct OriginState {
    pub(super) sequence: u64,
    /// Sequence number below which a puller gets all records, as removals since then are no longer known.
    pub(super) complete_from: u64,
    /// Time at which the incarnation was closed: the member has a later one or was removed.
    pub(super) closed_at: Option<Duration>,
    pub(super) hosts: HashMap<String, StoredRecord<HostRecord>>,
    pub(super) coordinators: BTreeMap<String, StoredRecord<CoordinatorRecord>>,
}

impl OriginState {
    /// Applies a newer update.
    pub(super) fn apply(&mut self, now: Duration, update: &OriginUpdate, arrivals: &mut Arrivals) {
        let sequence = update.version.sequence;
        if update.complete {
            self.drop_unlisted(update);
        }
        self.sequence = sequence;
        // Among hosts that arrive together, the one that has called less often counts as the newer one.
        let mut hosts: Vec<&HostRecord> = update.hosts.iter().collect();
        hosts.sort_by_key(|record| std::cmp::Reverse(record.call_seq));
        for record in hosts {
            let known = self.hosts.get(&record.id);
            if known.is_some_and(|stored| stored.record == *record) {
                continue;
            }
            let removed_at = (record.phase >= phase::GONE).then_some(now);
            self.hosts.insert(
                record.id.clone(),
                StoredRecord {
                    record: record.clone(),
                    sequence,
                    removed_at,
                },
            );
            arrivals.record(&record.id);
        }
        for record in &update.coordinators {
            let known = self.coordinators.get(&record.name);
            if known.is_some_and(|stored| stored.record == *record) {
                continue;
            }
            let removed_at = record.gone.then_some(now);
            self.coordinators.insert(
                record.name.clone(),
                StoredRecord {
                    record: record.clone(),
                    sequence,
                    removed_at,
                },
            );
        }
    }

    fn drop_unlisted(&mut self, update: &OriginUpdate) {
        let hosts: HashSet<&str> = update.hosts.iter().map(|host| host.id.as_str()).collect();
        let names: HashSet<&str> = update
            .coordinators
            .iter()
            .map(|coordinator| coordinator.name.as_str())
            .collect();
        let count = self.hosts.len() + self.coordinators.len();
        self.hosts.retain(|host, _| hosts.contains(host.as_str()));
        self.coordinators
            .retain(|name, _| names.contains(name.as_str()));
        if count != self.hosts.len() + self.coordinators.len() {
            self.complete_from = update.version.sequence;
        }
    }

    /// Drops records whose retention is over. Adds id and latest call of the gone hosts to `gone`.
    pub(super) fn drop_expired(&mut self, now: Duration, gone: &mut Vec<(String, u64)>) {
        let is_expired =
            |at: &Option<Duration>| at.is_some_and(|at| now >= at + TOMBSTONE_RETENTION);
        let complete_from = &mut self.complete_from;
        self.hosts.retain(|id, stored| {
            if !is_expired(&stored.removed_at) {
                return true;
            }
            *complete_from = (*complete_from).max(stored.sequence);
            if stored.record.phase == phase::GONE {
                gone.push((id.clone(), stored.record.call_seq));
            }
            false
        });
        self.coordinators.retain(|_, stored| {
            let keep = !is_expired(&stored.removed_at);
            if !keep {
                *complete_from = (*complete_from).max(stored.sequence);
            }
            keep
        });
    }

    /// Returns the records that a puller lacks which has all changes up to `known_sequence`; all records if it has
    /// none.
    pub(super) fn update_since(
        &self,
        version: OriginVersion,
        known_sequence: Option<u64>,
    ) -> OriginUpdate {
        let complete = known_sequence.is_none_or(|sequence| sequence < self.complete_from);
        let since = if complete {
            0
        } else {
            known_sequence.unwrap_or_default()
        };
        let hosts = self
            .hosts
            .values()
            .filter(|stored| complete || stored.sequence > since);
        let coordinators = self
            .coordinators
            .values()
            .filter(|stored| complete || stored.sequence > since);
        OriginUpdate {
            version,
            complete,
            hosts: hosts.map(|stored| stored.record.clone()).collect(),
            coordinators: coordinators.map(|stored| stored.record.clone()).collect(),
        }
    }
}
