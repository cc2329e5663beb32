//! Origins in a mirror: the records of hosts and coordinators held by each member, by incarnation.

use super::hosts::Arrivals;
use super::known_versions::{KnownVersions, NO_MORE_RECORDS};
use super::origin_state::{OriginState, TOMBSTONE_RETENTION};
use crate::phase;
use crate::timing::MEMBERS_PER_AGENT;
use protocol::{CoordinatorRecord, HostRecord, OriginUpdate, OriginVersion};
use std::collections::BTreeMap;
use std::time::Duration;

/// Retention of a closed incarnation's hosts, in heartbeat periods.
const CLOSED_RETENTION_HEARTBEATS: u32 = 4;

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
