//! The origins in a mirror: the records of hosts and coordinators that each member has, by incarnation.

use super::hosts::Arrivals;
use crate::phase;
use crate::timing::MEMBERS_PER_AGENT;
use protocol::{CoordinatorRecord, HostRecord, OriginUpdate, OriginVersion};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// How long tombstones and records of what is gone are kept.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);

/// For how many heartbeat periods a closed incarnation keeps its hosts.
const CLOSING_HEARTBEATS: u32 = 4;

/// In a version vector: the process wants nothing more of this incarnation or earlier ones.
const WANTS_NOTHING: u64 = u64::MAX;

/// A record with what is needed to hand it on.
#[derive(Clone)]
struct StoredRecord<T> {
    record: T,
    /// Sequence number of the origin's change that brought it, or a later one.
    sequence: u64,
    /// Since when it says that its subject is gone, or is a tombstone.
    removed_at: Option<Duration>,
}

/// The records of one incarnation of an origin.
#[derive(Clone, Default)]
struct OriginState {
    sequence: u64,
    /// A puller with a lower sequence number gets all records: what was removed since isn't known any more.
    complete_from: u64,
    /// Since when the incarnation is closed: the member has a later one or was removed.
    closed_at: Option<Duration>,
    hosts: HashMap<String, StoredRecord<HostRecord>>,
    coordinators: BTreeMap<String, StoredRecord<CoordinatorRecord>>,
}

/// All known origins.
#[derive(Clone)]
pub(super) struct Origins {
    /// Time between a host's heartbeats.
    heartbeat_period: Duration,
    /// By member id and incarnation.
    incarnations: BTreeMap<(u64, u64), OriginState>,
    /// Removed origins, by member id: up to which incarnation. Pullers are told.
    removed: BTreeMap<u64, u64>,
    /// Dropped incarnations, by member id: nothing of this incarnation or earlier ones is taken any more.
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
        self.incarnations.values().filter(|s| s.closed_at.is_none())
    }

    /// Estimates how many coordinators pull now.
    pub(super) fn coordinators(&self) -> usize {
        let records: usize = self.open_incarnations().map(|s| s.coordinators.len()).sum();
        records / self.open_incarnations().count().clamp(1, MEMBERS_PER_AGENT)
    }

    /// The coordinators that pull now, from all incarnations that aren't closed.
    pub(super) fn pulling_coordinators(&self) -> impl Iterator<Item = &CoordinatorRecord> {
        self.open_incarnations()
            .flat_map(|s| s.coordinators.values())
            .filter(|k| !k.record.gone)
            .map(|k| &k.record)
    }

    /// All records of hosts.
    pub(super) fn hosts(&self) -> impl Iterator<Item = &HostRecord> {
        self.incarnations
            .values()
            .flat_map(|s| s.hosts.values())
            .map(|k| &k.record)
    }

    /// The order in which hosts were first seen.
    pub(super) fn arrivals(&self) -> &Arrivals {
        &self.arrivals
    }

    /// The newest record of a host among all origins but the member `own_id`.
    pub(super) fn host_at_others(&self, own_id: u64, host: &str) -> Option<&HostRecord> {
        let others = self
            .incarnations
            .iter()
            .filter(|((id, _), _)| *id != own_id);
        let records = others
            .filter_map(|(_, s)| s.hosts.get(host))
            .map(|k| &k.record);
        records
            .filter(|r| r.phase != phase::FORGOTTEN)
            .max_by_key(|r| r.call_seq)
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
            .is_some_and(|upto| incarnation <= *upto)
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
        // Who still makes changes isn't gone for good.
        origin.closed_at = newest
            .filter(|n| *n > incarnation)
            .and(origin.closed_at.or(Some(now)));
        if origin.closed_at.is_none() {
            self.removed.remove(&member_id);
        }
        origin.take(now, update, &mut self.arrivals);
        true
    }

    fn newest_incarnation(&self, id: u64) -> Option<u64> {
        self.incarnations
            .range((id, 0)..=(id, u64::MAX))
            .next_back()
            .map(|((_, incarnation), _)| *incarnation)
    }

    /// The highest known incarnation of a member that is later than `incarnation`, or that makes it a closed one.
    pub(super) fn superseding_incarnation(&self, id: u64, incarnation: u64) -> Option<u64> {
        let newer = self
            .newest_incarnation(id)
            .filter(|newest| *newest > incarnation);
        let tombstones = self
            .tombstones
            .get(&id)
            .copied()
            .filter(|upto| *upto >= incarnation);
        newer.max(tombstones)
    }

    /// Records incarnations in a puller's version vector that are newer than those known here, without records: their
    /// members have to learn of them. Returns whether there were any.
    pub(super) fn observe_incarnations(&mut self, version_vector: &[OriginVersion]) -> bool {
        let mut heard = false;
        for mark in version_vector
            .iter()
            .filter(|mark| mark.sequence != WANTS_NOTHING)
        {
            if self
                .newest_incarnation(mark.member_id)
                .is_some_and(|newest| newest < mark.incarnation)
            {
                self.incarnations
                    .insert((mark.member_id, mark.incarnation), OriginState::default());
                heard = true;
            }
        }
        heard
    }

    /// Removes an origin. Returns whether that is new.
    pub(super) fn remove(&mut self, now: Duration, id: u64) -> bool {
        let Some(incarnation) = self.newest_incarnation(id) else {
            return false;
        };
        if self
            .removed
            .get(&id)
            .is_some_and(|upto| incarnation <= *upto)
        {
            return false;
        }
        self.removed.insert(id, incarnation);
        for (_, origin) in self.incarnations.range_mut((id, 0)..=(id, incarnation)) {
            origin.closed_at.get_or_insert(now);
        }
        true
    }

    /// Drops records and incarnations whose time is over. Returns whether hosts may have changed.
    pub(super) fn tick(&mut self, now: Duration) -> bool {
        let tombstones = self.drop_closed_incarnations(now);
        let forgotten = self.drop_expired(now);
        if tombstones || forgotten {
            let incarnations = &self.incarnations;
            self.arrivals
                .retain(|id| incarnations.values().any(|s| s.hosts.contains_key(id)));
        }
        tombstones || forgotten
    }

    /// Drops incarnations that have been closed for long enough. Returns whether there were any.
    fn drop_closed_incarnations(&mut self, now: Duration) -> bool {
        let closed_at = self.heartbeat_period * CLOSING_HEARTBEATS;
        let ended: Vec<(u64, u64)> = self
            .incarnations
            .iter()
            .filter(|(_, s)| s.closed_at.is_some_and(|at| now >= at + closed_at))
            .map(|(k, _)| *k)
            .collect();
        for (id, incarnation) in &ended {
            self.incarnations.remove(&(*id, *incarnation));
            let upto = self.tombstones.entry(*id).or_default();
            *upto = (*upto).max(*incarnation);
        }
        !ended.is_empty()
    }

    /// Drops tombstones and records of what is gone. Returns whether a gone host was among them.
    fn drop_expired(&mut self, now: Duration) -> bool {
        let mut gone: Vec<(String, u64)> = Vec::new();
        for origin in self.incarnations.values_mut() {
            origin.drop_expired(now, &mut gone);
        }
        // A host that is gone for long doesn't come back by what an older record said elsewhere.
        for (id, call_seq) in &gone {
            for origin in self.incarnations.values_mut() {
                if origin
                    .hosts
                    .get(id)
                    .is_some_and(|k| k.record.call_seq <= *call_seq)
                {
                    origin.hosts.remove(id);
                }
            }
        }
        !gone.is_empty()
    }

    /// When [`Origins::tick`] next has something to do. Looks at every record.
    pub(super) fn next_tick(&self) -> Option<Duration> {
        let closed_at = self.heartbeat_period * CLOSING_HEARTBEATS;
        let of = |s: &OriginState| {
            let hosts = s.hosts.values().filter_map(|k| k.removed_at);
            let removed_at = hosts
                .chain(s.coordinators.values().filter_map(|k| k.removed_at))
                .min();
            s.closed_at
                .map(|at| at + closed_at)
                .into_iter()
                .chain(removed_at.map(|at| at + TOMBSTONE_RETENTION))
                .min()
        };
        self.incarnations.values().filter_map(of).min()
    }

    /// How far each origin is known, for a pull.
    pub(super) fn version_vector(&self) -> Vec<OriginVersion> {
        let open_incarnations =
            self.incarnations
                .iter()
                .map(|((id, incarnation), s)| OriginVersion {
                    member_id: *id,
                    incarnation: *incarnation,
                    sequence: s.sequence,
                });
        let ended = self
            .tombstones
            .iter()
            .map(|(id, incarnation)| OriginVersion {
                member_id: *id,
                incarnation: *incarnation,
                sequence: WANTS_NOTHING,
            });
        let told = self
            .removed
            .iter()
            .filter(|(id, incarnation)| self.tombstones.get(id) != Some(*incarnation));
        let removed = told.map(|(id, incarnation)| OriginVersion {
            member_id: *id,
            incarnation: *incarnation,
            sequence: WANTS_NOTHING,
        });
        open_incarnations.chain(ended).chain(removed).collect()
    }

    /// What a puller with this version vector lacks: updates, and the ids of removed origins.
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

/// What a puller has, by its version vector.
struct KnownVersions {
    /// Sequence number by member id and incarnation.
    sequences: HashMap<(u64, u64), u64>,
    /// By member id, the incarnation up to which the puller wants nothing more.
    dropped: HashMap<u64, u64>,
}

impl KnownVersions {
    fn of(version_vector: &[OriginVersion]) -> Self {
        let mut known = KnownVersions {
            sequences: HashMap::new(),
            dropped: HashMap::new(),
        };
        for version in version_vector {
            if version.sequence == WANTS_NOTHING {
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
    /// incarnation or a later one and has nothing of this one.
    fn lacks(&self, version: OriginVersion) -> bool {
        match self.sequence(version) {
            Some(sequence) => sequence < version.sequence,
            None => self
                .dropped
                .get(&version.member_id)
                .is_none_or(|up_to| version.incarnation > *up_to),
        }
    }

    /// Whether the puller has records of an origin that was removed up to this incarnation, and doesn't know of that.
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
    fn take(&mut self, now: Duration, update: &OriginUpdate, arrivals: &mut Arrivals) {
        let sequence = update.version.sequence;
        if update.complete {
            self.drop_unlisted(update);
        }
        self.sequence = sequence;
        // Who has called less often is taken for the younger one.
        let mut hosts: Vec<&HostRecord> = update.hosts.iter().collect();
        hosts.sort_by_key(|r| std::cmp::Reverse(r.call_seq));
        for record in hosts {
            let known = self.hosts.get(&record.id);
            if known.is_some_and(|k| k.record == *record) {
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
            if known.is_some_and(|k| k.record == *record) {
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
        let hosts: HashSet<&str> = update.hosts.iter().map(|h| h.id.as_str()).collect();
        let names: HashSet<&str> = update
            .coordinators
            .iter()
            .map(|c| c.name.as_str())
            .collect();
        let count = self.hosts.len() + self.coordinators.len();
        self.hosts.retain(|host, _| hosts.contains(host.as_str()));
        self.coordinators
            .retain(|name, _| names.contains(name.as_str()));
        if count != self.hosts.len() + self.coordinators.len() {
            self.complete_from = update.version.sequence;
        }
    }

    /// Drops records whose retention is over. Adds id and last call of hosts that are gone to `gone`.
    fn drop_expired(&mut self, now: Duration, gone: &mut Vec<(String, u64)>) {
        let removed_at =
            |at: &Option<Duration>| at.is_some_and(|at| now >= at + TOMBSTONE_RETENTION);
        let complete_from = &mut self.complete_from;
        self.hosts.retain(|id, kept| {
            if !removed_at(&kept.removed_at) {
                return true;
            }
            *complete_from = (*complete_from).max(kept.sequence);
            if kept.record.phase == phase::GONE {
                gone.push((id.clone(), kept.record.call_seq));
            }
            false
        });
        self.coordinators.retain(|_, kept| {
            let keep = !removed_at(&kept.removed_at);
            if !keep {
                *complete_from = (*complete_from).max(kept.sequence);
            }
            keep
        });
    }

    /// The records that a puller lacks which has changes up to `known_sequence`; all if it has none.
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
