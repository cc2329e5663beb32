//! Publication of this member's host registry to the mirror that agents, coordinators and other members pull from.

use crate::host_registry::{HostRegistry, HostRequest};
use protocol::{CoordinatorRecord, HostRecord, MemberInfo, Subscriber};
use replication::{Mirror, SharedMirror, Update, STALE_AGE_MS};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A [`HostRegistry`] whose changes are written to a [`SharedMirror`].
pub struct RegistryPublisher {
    member_id: u64,
    registry: Mutex<HostRegistry>,
    mirror: Arc<SharedMirror>,
}

/// Summary of the configuration versions in force at the coordinators that pull from this member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionsInForce {
    /// The lowest version in force at any of them; 0 without coordinators.
    pub lowest: u64,
    /// Number of coordinators that pull from this member.
    pub coordinators: usize,
}

/// A coordinator that pulls from this member, or did until recently.
#[derive(Clone, Debug, PartialEq)]
pub struct RecentCoordinator {
    /// The coordinator's record in the host registry.
    pub record: CoordinatorRecord,
    /// Time since the coordinator's latest pull.
    pub since_pull: Duration,
}

impl RegistryPublisher {
    /// Creates the publisher of one incarnation of the member `member_id` and publishes its empty registry; see
    /// [`HostRegistry::new`].
    pub fn new(
        member_id: u64,
        incarnation: u64,
        heartbeat_interval: Duration,
        mirror: Arc<SharedMirror>,
    ) -> Arc<Self> {
        let registry = HostRegistry::new(member_id, incarnation, heartbeat_interval);
        let publisher = Self {
            member_id,
            registry: Mutex::new(registry),
            mirror,
        };
        publisher.update_and_publish(|_, _, _| ());
        Arc::new(publisher)
    }

    /// The mirror that the registry is published to.
    pub fn mirror(&self) -> &Arc<SharedMirror> {
        &self.mirror
    }

    /// Handles a host's request and publishes the result. Returns whether a record changed.
    pub fn handle(&self, request: &HostRequest) -> bool {
        self.update_and_publish(|registry, mirror, now| {
            let record_elsewhere: Option<HostRecord> = mirror
                .host_at_other_origins(self.member_id, request.host())
                .cloned();
            registry.handle(now, request, record_elsewhere.as_ref())
        })
    }

    /// Returns the members of the control plane if this member has lost contact with the primary, otherwise `None`.
    pub fn members_when_contact_is_lost(&self) -> Option<Vec<MemberInfo>> {
        self.mirror.update(|mirror, now| {
            has_lost_contact(mirror, now).then(|| mirror.control_plane().members.clone())
        })
    }

    /// Records that a coordinator or another member pulls.
    pub fn record_pull(&self, subscriber: &Subscriber) {
        self.update_and_publish(|registry, _, now| registry.record_pull(now, subscriber));
    }

    /// Marks hosts and coordinators that have gone silent and drops records that ended long ago. Has to be called a few
    /// times per heartbeat interval.
    ///
    /// A member that has lost contact with the primary redirects its hosts to other members and can't know whether they
    /// send heartbeats there, so it marks no host as silent.
    pub fn tick(&self) {
        self.update_and_publish(|registry, mirror, now| {
            let call_seq_elsewhere = |host: &str| {
                mirror
                    .host_at_other_origins(self.member_id, host)
                    .map(|record| record.call_seq)
            };
            if has_lost_contact(mirror, now) {
                registry.tick_without_contact(now, call_seq_elsewhere)
            } else {
                registry.tick(now, call_seq_elsewhere)
            }
        });
        self.mirror.update(Mirror::tick);
    }

    /// Summarizes the configuration versions in force at the coordinators that pull from this member.
    pub fn versions_in_force(&self) -> VersionsInForce {
        let registry = self.lock_registry();
        let versions = registry
            .coordinators()
            .map(|record| record.configuration_version);
        VersionsInForce {
            lowest: versions.min().unwrap_or_default(),
            coordinators: registry.coordinators().count(),
        }
    }

    /// The coordinators that pull from this member, and those that did until recently.
    pub fn coordinators(&self) -> Vec<RecentCoordinator> {
        let registry = self.lock_registry();
        let now = self.mirror.now();
        registry
            .recent_coordinators()
            .map(|coordinator| RecentCoordinator {
                record: coordinator.record.clone(),
                since_pull: now.saturating_sub(coordinator.pulled_at),
            })
            .collect()
    }

    /// Runs `change` on the registry and publishes the records that it modified. The registry first advances to a later
    /// incarnation if the mirror has records from one that supersedes its own.
    fn update_and_publish<R>(
        &self,
        change: impl FnOnce(&mut HostRegistry, &Mirror, Duration) -> R,
    ) -> R {
        let mut registry = self.lock_registry();
        self.mirror.update(|mirror, now| {
            let own_incarnation = registry.version().incarnation;
            if let Some(incarnation) =
                mirror.superseding_incarnation(self.member_id, own_incarnation)
            {
                registry.advance_incarnation(incarnation);
            }
            let result = change(&mut registry, mirror, now);
            if let Some(update) = registry.take_update() {
                let update = Update {
                    // The update carries no information about what the primary has committed.
                    age_ms: u32::MAX,
                    origins: vec![update],
                    ..Update::default()
                };
                mirror.apply(now, &update);
            }
            result
        })
    }

    fn lock_registry(&self) -> MutexGuard<'_, HostRegistry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether the member may have missed committed changes for longer than [`STALE_AGE_MS`], and so counts as partitioned
/// from the primary.
fn has_lost_contact(mirror: &Mirror, now: Duration) -> bool {
    mirror.age_ms(now) > STALE_AGE_MS
}
