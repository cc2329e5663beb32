//! The host registry: the hosts and coordinators that one member knows from their requests. No I/O and no clock.
//!
//! Each member is the origin of its own records and numbers their changes itself ([`OriginVersion`]). Others pull the
//! changes and merge the records of all origins ([`replication::Mirror`]).

mod entry;
mod heartbeat_target;
mod request;

pub use entry::KnownCoordinator;
pub use heartbeat_target::{heartbeat_target, heartbeat_target_elsewhere};
pub use request::{Heartbeat, HostRequest};

use crate::incarnation;
use entry::{Expiry, HostEntry, SilentHosts};
use protocol::{CoordinatorRecord, HostRecord, OriginUpdate, OriginVersion, Subscriber};
use replication::phase;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// How long a record that has ended is kept.
const ENDED_RETENTION: Duration = Duration::from_secs(60);
/// A coordinator that has not pulled for this long counts as gone.
const PULL_TIMEOUT: Duration = Duration::from_secs(3);
/// A host counts as silent this long after two and a half heartbeat intervals.
const HEARTBEAT_TIMEOUT_SLACK: Duration = Duration::from_millis(200);

/// This member's own records.
pub struct HostRegistry {
    version: OriginVersion,
    heartbeat_timeout: Duration,
    hosts: HashMap<String, HostEntry>,
    coordinators: BTreeMap<String, KnownCoordinator>,
    /// Whether the next update has all records, not only those that changed.
    is_next_update_complete: bool,
    changed_hosts: BTreeSet<String>,
    changed_coordinators: BTreeSet<String>,
}

impl HostRegistry {
    /// An empty registry for an incarnation of the member `id`; each incarnation has a higher number than those
    /// before.
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

    /// The version of the records: incarnation and number of the latest change.
    pub fn version(&self) -> OriginVersion {
        self.version
    }

    /// Goes on under a number above `known_incarnation`, and publishes everything anew.
    ///
    /// Called when others know a later incarnation of this member: they would take this one's records for older.
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

    /// Handles a host's request. `elsewhere` is the host's record of other origins.
    ///
    /// A request that is older than the latest is ignored. Returns whether a record changed.
    pub fn handle(
        &mut self,
        now: Duration,
        request: &HostRequest,
        elsewhere: Option<&HostRecord>,
    ) -> bool {
        match request {
            HostRequest::Heartbeat { host, heartbeat } => {
                self.heartbeat(now, host, heartbeat, elsewhere)
            }
            HostRequest::Depart { host } => self.depart(now, host, elsewhere),
        }
    }

    /// Handles a heartbeat; see [`HostRegistry::handle`].
    pub fn heartbeat(
        &mut self,
        now: Duration,
        host: &str,
        heartbeat: &Heartbeat,
        elsewhere: Option<&HostRecord>,
    ) -> bool {
        let known = self.hosts.get(host);
        if known.is_some_and(|known| heartbeat.call_seq <= known.latest_call_seq) {
            return false;
        }
        // What others know counts too: a host that is gone stays gone.
        let own_phase = known.map_or(phase::READY, HostEntry::phase_before);
        let phase_elsewhere = elsewhere.map_or(phase::READY, |record| record.phase);
        let phase = own_phase
            .max(phase_elsewhere)
            .max(u8::from(heartbeat.draining));
        let record = entry::record_of(host, heartbeat, phase);
        match self.hosts.get_mut(host) {
            Some(known) => {
                if !known.update(now, record, elsewhere) {
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

    /// Handles the end of a host; see [`HostRegistry::handle`].
    pub fn depart(&mut self, now: Duration, host: &str, elsewhere: Option<&HostRecord>) -> bool {
        let known = self
            .hosts
            .get(host)
            .filter(|known| known.published.phase != phase::FORGOTTEN);
        if known.is_some_and(|known| known.published.phase == phase::GONE) {
            return false;
        }
        let latest_here = known.map_or(0, |known| known.latest_call_seq);
        let latest_elsewhere = elsewhere.map_or(0, |record| record.call_seq);
        let call_seq = latest_here.max(latest_elsewhere) + 1;
        let before = known
            .map(|known| &known.published)
            .or(elsewhere)
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

    /// Notes that a coordinator or another member pulls. Returns whether a record changed.
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
        // A new version alone isn't published: else each configuration would tell all of them of each other.
        if known.is_some_and(|known| !known.record.gone && is_same_place(&known.record, &record)) {
            return false;
        }
        self.version.sequence += 1;
        self.changed_coordinators.insert(subscriber.name.clone());
        true
    }

    /// Notes which hosts and coordinators are silent, and drops those that ended long ago.
    ///
    /// `call_seq_elsewhere` gives the highest `call_seq` that other origins have of a host. Returns whether a record
    /// changed.
    pub fn tick(
        &mut self,
        now: Duration,
        call_seq_elsewhere: impl Fn(&str) -> Option<u64>,
    ) -> bool {
        self.expire(now, SilentHosts::Mark, call_seq_elsewhere)
    }

    /// As [`HostRegistry::tick`], at a member that has sent its hosts to other members and doesn't hear of these: hosts
    /// that are silent here may call there.
    pub fn tick_without_contact(
        &mut self,
        now: Duration,
        call_seq_elsewhere: impl Fn(&str) -> Option<u64>,
    ) -> bool {
        self.expire(now, SilentHosts::Keep, call_seq_elsewhere)
    }

    fn expire(
        &mut self,
        now: Duration,
        silent_hosts: SilentHosts,
        call_seq_elsewhere: impl Fn(&str) -> Option<u64>,
    ) -> bool {
        let before = self.version.sequence;
        self.expire_hosts(now, silent_hosts, call_seq_elsewhere);
        self.expire_coordinators(now);
        self.version.sequence != before
    }

    /// What changed since the last call; all records the first time.
    pub fn take_update(&mut self) -> Option<OriginUpdate> {
        let is_complete = std::mem::take(&mut self.is_next_update_complete);
        if !is_complete && self.changed_hosts.is_empty() && self.changed_coordinators.is_empty() {
            return None;
        }
        if is_complete {
            // An origin without records is known by its number all the same.
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

    /// The coordinators that pull here, with the version that each has in force.
    pub fn coordinators(&self) -> impl Iterator<Item = &CoordinatorRecord> {
        self.coordinators
            .values()
            .map(|coordinator| &coordinator.record)
            .filter(|record| !record.gone)
    }

    /// The coordinators that pull here, and those that did until lately.
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
        call_seq_elsewhere: impl Fn(&str) -> Option<u64>,
    ) {
        let timeout = self.heartbeat_timeout;
        let mut changed = Vec::new();
        self.hosts.retain(|id, host| {
            match host.expire(now, timeout, silent_hosts, || call_seq_elsewhere(id)) {
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
            now < coordinator.pulled_at + ENDED_RETENTION
        });
    }
}

fn is_same_place(a: &CoordinatorRecord, b: &CoordinatorRecord) -> bool {
    a.zone == b.zone && a.region == b.region && a.hints_addr == b.hints_addr
}
