//! Origins in a mirror: the records of hosts and coordinators held by each member, by incarnation.

use super::hosts::Arrivals;
use crate::phase;
use crate::timing::MEMBERS_PER_AGENT;
use protocol::{CoordinatorRecord, HostRecord, OriginUpdate, OriginVersion};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// Retention time of tombstones and of records of hosts and coordinators that are gone.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);

/// Retention of a closed incarnation's hosts, in heartbeat periods.
const CLOSED_RETENTION_HEARTBEATS: u32 = 4;

/// Sequence number in a version vector by which a process asks for no more records of this incarnation or earlier ones.
const NO_MORE_RECORDS: u64 = u64::MAX;

/// Record with the data needed to pass it on.
#[derive(Clone)]
struct StoredRecord<T> {
    record: T,
    /// Sequence number of the origin's change that brought the record, or a later one.
    sequence: u64,
    /// Time since which the record is a tombstone or says that its subject is gone.
    removed_at: Option<Duration>,
}

/// Records of one incarnation of an origin.
#[derive(Clone, Default)]
struct OriginState {
    sequence: u64,
    /// Sequence number below which a puller gets all records, as removals since then are no longer known.
    complete_from: u64,
    /// Time at which the incarnation was closed: the member has a later one or was removed.
    closed_at: Option<Duration>,
    hosts: HashMap<String, StoredRecord<HostRecord>>,
    coordinators: BTreeMap<String, StoredRecord<CoordinatorRecord>>,
}

/// All known origins.
#[derive(Clone)]
pub(super) struct Origins {
    /// Interval between two heartbeats of a host.
    heartbeat_period: Duration,
    /// Records by member id and incarnation.
    incarnations: BTreeMap<(u64, u64), OriginState>,
    /// Removed origins: by member id, the incarnation up to which the origin was removed. Pullers are told of them.
    removed: BTreeMap<u64, u64>,
    /// Dropped incarnations: by member id, the incarnation up to which no updates are accepted any longer.
    tombstones: BTreeMap<u64, u64>,
    arrivals: Arrivals,
}

impl Origins {
    pub(super) fn new(heartbeat_period: Duration) -> Self {
        Self {
            heartbeat_period,
            incarnations: BTreeMap::new(),
            removed: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            arrivals: Arrivals::default(),
        }
    }

    fn open_incarnations(&self) -> impl Iterator<Item = &OriginState> {
        self.incarnations
            .values()
            .filter(|origin| origin.closed_at.is_none())
    }

    /// Estimates how many coordinators pull now.
    pub(super) fn coordinator_estimate(&self) -> usize {
        let records: usize = self
            .open_incarnations()
            .map(|origin| origin.coordinators.len())
            .sum();
        records / self.open_incarnations().count().clamp(1, MEMBERS_PER_AGENT)
    }

    /// Returns the records of the coordinators that pull now, from all incarnations that aren't closed.
    pub(super) fn pulling_coordinators(&self) -> impl Iterator<Item = &CoordinatorRecord> {
        self.open_incarnations()
            .flat_map(|origin| origin.coordinators.values())
            .filter(|stored| !stored.record.gone)
            .map(|stored| &stored.record)
    }

    /// Returns all records of hosts.
    pub(super) fn hosts(&self) -> impl Iterator<Item = &HostRecord> {
        self.incarnations
            .values()
            .flat_map(|origin| origin.hosts.values())
            .map(|stored| &stored.record)
    }

    /// Returns the order in which hosts were first seen.
    pub(super) fn arrivals(&self) -> &Arrivals {
        &self.arrivals
    }

    /// Returns the latest record of a host among all origins except the member `own_id`.
    pub(super) fn host_at_other_origins(&self, own_id: u64, host: &str) -> Option<&HostRecord> {
        let others = self
            .incarnations
            .iter()
            .filter(|((id, _), _)| *id != own_id);
        let records = others
            .filter_map(|(_, origin)| origin.hosts.get(host))
            .map(|stored| &stored.record);
        records
            .filter(|record| record.phase != phase::FORGOTTEN)
            .max_by_key(|record| record.call_seq)
    }

    /// Applies an origin's update. Returns whether it was newer.
    pub(super) fn apply(&mut self, now: Duration, update: &OriginUpdate) -> bool {
        let OriginVersion {
            member_id,
            incarnation,
            sequence,
        } = update.version;
        if self
            .tombstones
            .get(&member_id)
            .is_some_and(|up_to| incarnation <= *up_to)
        {
            return false;
        }
        match self.incarnations.get(&(member_id, incarnation)) {
            Some(known) if sequence <= known.sequence => return false,
            None if !update.complete => return false,
            _ => {}
        }
        let newest = self.newest_incarnation(member_id);
        for (_, older) in self
            .incarnations
            .range_mut((member_id, 0)..(member_id, incarnation))
        {
            older.closed_at.get_or_insert(now);
        }
        let origin = self
            .incarnations
            .entry((member_id, incarnation))
            .or_default();
        // An origin that still makes changes wasn't removed for good.
        origin.closed_at = newest
            .filter(|newest| *newest > incarnation)
            .and(origin.closed_at.or(Some(now)));
        if origin.closed_at.is_none() {
            self.removed.remove(&member_id);
        }
        origin.apply(now, update, &mut self.arrivals);
        true
    }

    fn newest_incarnation(&self, id: u64) -> Option<u64> {
        self.incarnations
            .range((id, 0)..=(id, u64::MAX))
            .next_back()
            .map(|((_, incarnation), _)| *incarnation)
    }

    /// Returns the highest known incarnation of a member that is later than `incarnation`, or that marks `incarnation`
    /// as closed.
    pub(super) fn superseding_incarnation(&self, id: u64, incarnation: u64) -> Option<u64> {
        let newer = self
            .newest_incarnation(id)
            .filter(|newest| *newest > incarnation);
        let tombstones = self
            .tombstones
            .get(&id)
            .copied()
            .filter(|up_to| *up_to >= incarnation);
        newer.max(tombstones)
    }

    /// Records incarnations in a puller's version vector that are newer than those known here, without records, so that
    /// their members learn of them. Returns whether there were any.
    pub(super) fn observe_incarnations(&mut self, version_vector: &[OriginVersion]) -> bool {
        let mut has_newer = false;
        for version in version_vector
            .iter()
            .filter(|version| version.sequence != NO_MORE_RECORDS)
        {
            if self
                .newest_incarnation(version.member_id)
                .is_some_and(|newest| newest < version.incarnation)
            {
                self.incarnations.insert(
                    (version.member_id, version.incarnation),
                    OriginState::default(),
                );
                has_newer = true;
            }
        }
        has_newer
    }

    /// Removes an origin. Returns whether the removal is new.
    pub(super) fn remove(&mut self, now: Duration, id: u64) -> bool {
        let Some(incarnation) = self.newest_incarnation(id) else {
            return false;
        };
        if self
            .removed
            .get(&id)
            .is_some_and(|up_to| incarnation <= *up_to)
        {
            return false;
        }
        self.removed.insert(id, incarnation);
        for (_, origin) in self.incarnations.range_mut((id, 0)..=(id, incarnation)) {
            origin.closed_at.get_or_insert(now);
        }
        true
    }

    /// Drops expired records and incarnations. Returns whether the hosts may have changed.
    pub(super) fn tick(&mut self, now: Duration) -> bool {
        let dropped_incarnations = self.drop_closed_incarnations(now);
        let dropped_hosts = self.drop_expired(now);
        if dropped_incarnations || dropped_hosts {
            let incarnations = &self.incarnations;
            self.arrivals.retain(|id| {
                incarnations
                    .values()
                    .any(|origin| origin.hosts.contains_key(id))
            });
        }
        dropped_incarnations || dropped_hosts
    }

    /// Drops incarnations that have been closed for the retention time. Returns whether there were any.
    fn drop_closed_incarnations(&mut self, now: Duration) -> bool {
        let closed_retention = self.heartbeat_period * CLOSED_RETENTION_HEARTBEATS;
        let expired: Vec<(u64, u64)> = self
            .incarnations
            .iter()
            .filter(|(_, origin)| {
                origin
                    .closed_at
                    .is_some_and(|at| now >= at + closed_retention)
            })
            .map(|(key, _)| *key)
            .collect();
        for (id, incarnation) in &expired {
            self.incarnations.remove(&(*id, *incarnation));
            let up_to = self.tombstones.entry(*id).or_default();
            *up_to = (*up_to).max(*incarnation);
        }
        !expired.is_empty()
    }

    /// Drops expired tombstones and records of what is gone. Returns whether a gone host was among them.
    fn drop_expired(&mut self, now: Duration) -> bool {
        let mut gone: Vec<(String, u64)> = Vec::new();
        for origin in self.incarnations.values_mut() {
            origin.drop_expired(now, &mut gone);
        }
        // An older record at another origin must not bring back a host that has long been gone.
        for (id, call_seq) in &gone {
            for origin in self.incarnations.values_mut() {
                if origin
                    .hosts
                    .get(id)
                    .is_some_and(|stored| stored.record.call_seq <= *call_seq)
                {
                    origin.hosts.remove(id);
                }
            }
        }
        !gone.is_empty()
    }

    /// Returns the time at which [`Origins::tick`] next has something to do. Visits every record.
    pub(super) fn next_tick(&self) -> Option<Duration> {
        let closed_retention = self.heartbeat_period * CLOSED_RETENTION_HEARTBEATS;
        let next_expiry = |origin: &OriginState| {
            let hosts = origin.hosts.values().filter_map(|stored| stored.removed_at);
            let first_removed_at = hosts
                .chain(
                    origin
                        .coordinators
                        .values()
                        .filter_map(|stored| stored.removed_at),
                )
                .min();
            origin
                .closed_at
                .map(|at| at + closed_retention)
                .into_iter()
                .chain(first_removed_at.map(|at| at + TOMBSTONE_RETENTION))
                .min()
        };
        self.incarnations.values().filter_map(next_expiry).min()
    }

    /// Returns the version of each known origin, for a pull.
    pub(super) fn version_vector(&self) -> Vec<OriginVersion> {
        let known = self
            .incarnations
            .iter()
            .map(|((id, incarnation), origin)| OriginVersion {
                member_id: *id,
                incarnation: *incarnation,
                sequence: origin.sequence,
            });
        let dropped = self
            .tombstones
            .iter()
            .map(|(id, incarnation)| OriginVersion {
                member_id: *id,
                incarnation: *incarnation,
                sequence: NO_MORE_RECORDS,
            });
        let closing = self
            .removed
            .iter()
            .filter(|(id, incarnation)| self.tombstones.get(id) != Some(*incarnation));
        let removed = closing.map(|(id, incarnation)| OriginVersion {
            member_id: *id,
            incarnation: *incarnation,
            sequence: NO_MORE_RECORDS,
        });
        known.chain(dropped).chain(removed).collect()
    }

    /// Returns what a puller with this version vector lacks: updates, and the ids of removed origins.
    pub(super) fn updates_since(
        &self,
        version_vector: &[OriginVersion],
    ) -> (Vec<OriginUpdate>, Vec<u64>) {
        let known = KnownVersions::of(version_vector);
        let updates = self
            .incarnations
            .iter()
            .filter_map(|(&(member_id, incarnation), origin)| {
                let version = OriginVersion {
                    member_id,
                    incarnation,
                    sequence: origin.sequence,
                };
                known
                    .lacks(version)
                    .then(|| origin.update_since(version, known.sequence(version)))
            })
            .collect();
        let removed = self
            .removed
            .iter()
            .filter(|(&member_id, &up_to)| known.lacks_removal(member_id, up_to))
            .map(|(&member_id, _)| member_id)
            .collect();
        (updates, removed)
    }
}

/// Records that a puller has, according to its version vector.
struct KnownVersions {
    /// Sequence number by member id and incarnation.
    sequences: HashMap<(u64, u64), u64>,
    /// Incarnation, by member id, up to which the puller wants no more records.
    dropped: HashMap<u64, u64>,
}

impl KnownVersions {
    fn of(version_vector: &[OriginVersion]) -> Self {
        let mut known = KnownVersions {
            sequences: HashMap::new(),
            dropped: HashMap::new(),
        };
        for version in version_vector {
            if version.sequence == NO_MORE_RECORDS {
                let up_to = known.dropped.entry(version.member_id).or_default();
                *up_to = (*up_to).max(version.incarnation);
            } else {
                let key = (version.member_id, version.incarnation);
                known.sequences.insert(key, version.sequence);
            }
        }
        known
    }

    fn sequence(&self, version: OriginVersion) -> Option<u64> {
        let key = (version.member_id, version.incarnation);
        self.sequences.get(&key).copied()
    }

    /// Whether the puller lacks records of this version. It doesn't if it has them, or if it has dropped this
    /// incarnation or a later one and has no records of this one.
    fn lacks(&self, version: OriginVersion) -> bool {
        match self.sequence(version) {
            Some(sequence) => sequence < version.sequence,
            None => self
                .dropped
                .get(&version.member_id)
                .is_none_or(|up_to| version.incarnation > *up_to),
        }
    }

    /// Whether the puller has records of an origin that was removed up to this incarnation, and doesn't know of the
    /// removal.
    fn lacks_removal(&self, member_id: u64, removed_up_to: u64) -> bool {
        let latest = self
            .sequences
            .keys()
            .filter(|(id, _)| *id == member_id)
            .map(|(_, incarnation)| *incarnation)
            .max();
        latest.is_some_and(|incarnation| incarnation <= removed_up_to)
            && self
                .dropped
                .get(&member_id)
                .is_none_or(|dropped| *dropped < removed_up_to)
    }
}

impl OriginState {
    /// Applies a newer update.
    fn apply(&mut self, now: Duration, update: &OriginUpdate, arrivals: &mut Arrivals) {
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
    fn drop_expired(&mut self, now: Duration, gone: &mut Vec<(String, u64)>) {
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
    fn update_since(&self, version: OriginVersion, known_sequence: Option<u64>) -> OriginUpdate {
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
