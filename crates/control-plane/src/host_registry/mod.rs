//! The host registry: the hosts and coordinators that one member knows from their requests. It does no I/O and reads no
//! clock.
//!
//! Each member is the origin of its own records and numbers their changes ([`OriginVersion`]). Other processes pull the
//! changes and merge the records of all origins ([`replication::Mirror`]).

mod entry;
mod heartbeat_target;
mod request;

pub use entry::KnownCoordinator;
pub use heartbeat_target::{heartbeat_target, heartbeat_target_without_contact};
pub use request::{Heartbeat, HostRequest};

use crate::incarnation;
use entry::{Expiry, HostEntry, SilentHosts};
use protocol::{CoordinatorRecord, HostRecord, OriginUpdate, OriginVersion, Subscriber};
use replication::phase;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Time for which a host's record is kept after the host became gone, silent or forgotten, and a coordinator's record
/// after its latest pull.
const ENDED_RECORD_RETENTION: Duration = Duration::from_secs(60);
/// Time without a pull after which a coordinator is gone.
const PULL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time in addition to two and a half heartbeat intervals after which a host is silent.
const HEARTBEAT_TIMEOUT_SLACK: Duration = Duration::from_millis(200);

/// The records of which this member is the origin. All times count from the same arbitrary instant.
pub struct HostRegistry {
    version: OriginVersion,
    heartbeat_timeout: Duration,
    hosts: HashMap<String, HostEntry>,
    coordinators: BTreeMap<String, KnownCoordinator>,
    /// Whether the next update contains all records instead of only the changed ones.
    is_next_update_complete: bool,
    changed_hosts: BTreeSet<String>,
    changed_coordinators: BTreeSet<String>,
}

impl HostRegistry {
    /// Creates an empty registry for an incarnation of the member `id`. Each incarnation must have a higher number than
    /// the previous ones.
    pub fn new(id: u64, incarnation: u64, heartbeat_interval: Duration) -> Self {
        Self {
            version: OriginVersion {
                member_id: id,
                incarnation,
                sequence: 0,
            },
            heartbeat_timeout: heartbeat_interval * 5 / 2 + HEARTBEAT_TIMEOUT_SLACK,
            hosts: HashMap::new(),
            coordinators: BTreeMap::new(),
            is_next_update_complete: true,
            changed_hosts: BTreeSet::new(),
            changed_coordinators: BTreeSet::new(),
        }
    }

    /// Returns the version of the records: the incarnation and the number of the latest change.
    pub fn version(&self) -> OriginVersion {
        self.version
    }

    /// Continues with an incarnation above `known_incarnation` and publishes all records again.
    ///
    /// Called when other processes know a later incarnation of this member, as they would ignore the records of this
    /// one.
    pub fn advance_incarnation(&mut self, known_incarnation: u64) {
        let next = incarnation::next_incarnation(known_incarnation, 0, self.version.incarnation);
        if next <= known_incarnation {
            return;
        }
        self.version.incarnation = next;
        self.is_next_update_complete = true;
        self.changed_hosts = self.hosts.keys().cloned().collect();
        self.changed_coordinators = self.coordinators.keys().cloned().collect();
    }

    /// Handles a host's request. `remote_record` is the host's record from other origins.
    ///
    /// Ignores a request that is older than the latest one. Returns whether a record changed.
    pub fn handle(
        &mut self,
        now: Duration,
        request: &HostRequest,
        remote_record: Option<&HostRecord>,
    ) -> bool {
        match request {
            HostRequest::Heartbeat { host, heartbeat } => {
                self.heartbeat(now, host, heartbeat, remote_record)
            }
            HostRequest::Depart { host } => self.depart(now, host, remote_record),
        }
    }

    /// Handles a heartbeat; see [`HostRegistry::handle`].
    pub fn heartbeat(
        &mut self,
        now: Duration,
        host: &str,
        heartbeat: &Heartbeat,
        remote_record: Option<&HostRecord>,
    ) -> bool {
        let known = self.hosts.get(host);
        if known.is_some_and(|known| heartbeat.call_seq <= known.latest_call_seq) {
            return false;
        }
        // Phases only advance, also across origins: a host that is gone stays gone.
        let own_phase = known.map_or(phase::READY, HostEntry::phase_before_request);
        let remote_phase = remote_record.map_or(phase::READY, |record| record.phase);
        let phase = own_phase
            .max(remote_phase)
            .max(u8::from(heartbeat.draining));
        let record = entry::host_record(host, heartbeat, phase);
        match self.hosts.get_mut(host) {
            Some(known) => {
                if !known.update(now, record, remote_record) {
                    return false;
                }
            }
            None => {
                self.hosts
                    .insert(host.to_owned(), HostEntry::new(now, record));
            }
        }
        self.host_changed(host);
        true
    }

    /// Handles the departure of a host; see [`HostRegistry::handle`].
    pub fn depart(
        &mut self,
        now: Duration,
        host: &str,
        remote_record: Option<&HostRecord>,
    ) -> bool {
        let known = self
            .hosts
            .get(host)
            .filter(|known| known.published.phase != phase::FORGOTTEN);
        if known.is_some_and(|known| known.published.phase == phase::GONE) {
            return false;
        }
        let latest_local = known.map_or(0, |known| known.latest_call_seq);
        let latest_remote = remote_record.map_or(0, |record| record.call_seq);
        let call_seq = latest_local.max(latest_remote) + 1;
        let before = known
            .map(|known| &known.published)
            .or(remote_record)
            .cloned()
            .unwrap_or_default();
        let record = HostRecord {
            id: host.to_owned(),
            phase: phase::GONE,
            call_seq,
            ..before
        };
        self.hosts
            .insert(host.to_owned(), HostEntry::new(now, record));
        self.host_changed(host);
        true
    }

    /// Records a pull at `now`. Ignores subscribers that are members or have no name. Returns whether a record changed.
    pub fn record_pull(&mut self, now: Duration, subscriber: &Subscriber) -> bool {
        if subscriber.member_id != 0 || subscriber.name.is_empty() {
            return false;
        }
        let record = CoordinatorRecord {
            name: subscriber.name.clone(),
            zone: subscriber.zone.clone(),
            region: subscriber.region.clone(),
            hints_addr: subscriber.hints_addr,
            gone: false,
            configuration_version: subscriber.configuration_version,
        };
        let known = self.coordinators.insert(
            subscriber.name.clone(),
            KnownCoordinator {
                record: record.clone(),
                pulled_at: now,
            },
        );
        // A new configuration version alone isn't published. Otherwise each new configuration would cause an update of
        // every coordinator's record to every coordinator.
        if known
            .is_some_and(|known| !known.record.gone && has_same_location(&known.record, &record))
        {
            return false;
        }
        self.version.sequence += 1;
        self.changed_coordinators.insert(subscriber.name.clone());
        true
    }

    /// Marks silent hosts and coordinators, and removes those that ended longer ago than the retention.
    ///
    /// `remote_call_seq` returns the highest `call_seq` that other origins have for a host. Returns whether a record
    /// changed.
    pub fn tick(&mut self, now: Duration, remote_call_seq: impl Fn(&str) -> Option<u64>) -> bool {
        self.expire(now, SilentHosts::MarkExpired, remote_call_seq)
    }

    /// Does the same as [`HostRegistry::tick`] on a member that has lost contact with the primary, but doesn't mark
    /// silent hosts: this member redirected them to other members, and doesn't receive those members' records.
    pub fn tick_without_contact(
        &mut self,
        now: Duration,
        remote_call_seq: impl Fn(&str) -> Option<u64>,
    ) -> bool {
        self.expire(now, SilentHosts::LeaveUnmarked, remote_call_seq)
    }

    fn expire(
        &mut self,
        now: Duration,
        silent_hosts: SilentHosts,
        remote_call_seq: impl Fn(&str) -> Option<u64>,
    ) -> bool {
        let before = self.version.sequence;
        self.expire_hosts(now, silent_hosts, remote_call_seq);
        self.expire_coordinators(now);
        self.version.sequence != before
    }

    /// Returns the records that changed since the last call, and all records the first time. Returns `None` if there
    /// are no changes.
    pub fn take_update(&mut self) -> Option<OriginUpdate> {
        let is_complete = std::mem::take(&mut self.is_next_update_complete);
        if !is_complete && self.changed_hosts.is_empty() && self.changed_coordinators.is_empty() {
            return None;
        }
        if is_complete {
            // Even the first update of an origin without records has a sequence number above 0.
            self.version.sequence = self.version.sequence.max(1);
        }
        let hosts = std::mem::take(&mut self.changed_hosts);
        let coordinators = std::mem::take(&mut self.changed_coordinators);
        Some(OriginUpdate {
            version: self.version,
            complete: is_complete,
            hosts: hosts
                .iter()
                .filter_map(|id| self.hosts.get(id))
                .map(|host| host.published.clone())
                .collect(),
            coordinators: coordinators
                .iter()
                .filter_map(|name| self.coordinators.get(name))
                .map(|coordinator| coordinator.record.clone())
                .collect(),
        })
    }

    /// Returns the records of the coordinators that pull from this member, with the configuration version of each.
    pub fn coordinators(&self) -> impl Iterator<Item = &CoordinatorRecord> {
        self.coordinators
            .values()
            .map(|coordinator| &coordinator.record)
            .filter(|record| !record.gone)
    }

    /// Returns the coordinators whose latest pull from this member is within the retention, including those that are
    /// gone.
    pub fn recent_coordinators(&self) -> impl Iterator<Item = &KnownCoordinator> {
        self.coordinators.values()
    }

    fn host_changed(&mut self, host: &str) {
        self.version.sequence += 1;
        self.changed_hosts.insert(host.to_owned());
    }

    fn expire_hosts(
        &mut self,
        now: Duration,
        silent_hosts: SilentHosts,
        remote_call_seq: impl Fn(&str) -> Option<u64>,
    ) {
        let timeout = self.heartbeat_timeout;
        let mut changed = Vec::new();
        self.hosts.retain(|id, host| {
            match host.expire(now, timeout, silent_hosts, || remote_call_seq(id)) {
                Expiry::Unchanged => true,
                Expiry::Changed => {
                    changed.push(id.clone());
                    true
                }
                Expiry::Drop => false,
            }
        });
        for id in changed {
            self.host_changed(&id);
        }
    }

    fn expire_coordinators(&mut self, now: Duration) {
        let (version, changed) = (&mut self.version, &mut self.changed_coordinators);
        self.coordinators.retain(|name, coordinator| {
            if !coordinator.record.gone && now >= coordinator.pulled_at + PULL_TIMEOUT {
                coordinator.record.gone = true;
                version.sequence += 1;
                changed.insert(name.clone());
            }
            now < coordinator.pulled_at + ENDED_RECORD_RETENTION
        });
    }
}

fn has_same_location(a: &CoordinatorRecord, b: &CoordinatorRecord) -> bool {
    a.zone == b.zone && a.region == b.region && a.hints_addr == b.hints_addr
}
