//! Publishes this member's host registry into the mirror that others pull from.

use crate::host_registry::{HostRegistry, HostRequest};
use protocol::{CoordinatorRecord, HostRecord, MemberInfo, Subscriber};
use replication::{Mirror, SharedMirror, Update, STALE_AGE_MS};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A [`HostRegistry`] whose changes go into a [`SharedMirror`].
pub struct RegistryPublisher {
    member_id: u64,
    registry: Mutex<HostRegistry>,
    mirror: Arc<SharedMirror>,
}

/// Which versions of the configuration the coordinators that pull here have in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionsInForce {
    /// The lowest version; 0 without coordinators.
    pub lowest: u64,
    /// How many coordinators pull here.
    pub coordinators: usize,
}

/// A coordinator that pulls here, or did until lately.
#[derive(Clone, Debug, PartialEq)]
pub struct RecentCoordinator {
    /// Its record.
    pub record: CoordinatorRecord,
    /// Time since its latest pull.
    pub since_pull: Duration,
}

impl RegistryPublisher {
    /// For an incarnation of the member `member_id`; see [`HostRegistry::new`].
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
        publisher.change(|_, _, _| ());
        Arc::new(publisher)
    }

    /// The mirror.
    pub fn mirror(&self) -> &Arc<SharedMirror> {
        &self.mirror
    }

    /// Handles a host's request. Returns whether a record changed.
    pub fn handle(&self, request: &HostRequest) -> bool {
        self.change(|registry, mirror, now| {
            let elsewhere: Option<HostRecord> = mirror
                .host_at_other_origins(self.member_id, request.host())
                .cloned();
            registry.handle(now, request, elsewhere.as_ref())
        })
    }

    /// The members of the control plane, where this member has lost contact with the primary.
    pub fn members_when_contact_is_lost(&self) -> Option<Vec<MemberInfo>> {
        self.mirror.update(|mirror, now| {
            has_lost_contact(mirror, now).then(|| mirror.control_plane().members.clone())
        })
    }

    /// Notes that a coordinator or another member pulls.
    pub fn record_pull(&self, subscriber: &Subscriber) {
        self.change(|registry, _, now| registry.record_pull(now, subscriber));
    }

    /// Lets time pass: notes what is silent or ended long ago. To be called a few times in a heartbeat interval.
    ///
    /// A member that has lost contact with the primary sends its hosts to other members, and can't know whether they
    /// call there: it marks none as silent.
    pub fn tick(&self) {
        self.change(|registry, mirror, now| {
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

    /// The versions that the coordinators pulling here have in force.
    pub fn versions_in_force(&self) -> VersionsInForce {
        let registry = self.lock();
        let versions = registry
            .coordinators()
            .map(|record| record.configuration_version);
        VersionsInForce {
            lowest: versions.min().unwrap_or_default(),
            coordinators: registry.coordinators().count(),
        }
    }

    /// The coordinators that pull here, and those that did until lately.
    pub fn coordinators(&self) -> Vec<RecentCoordinator> {
        let registry = self.lock();
        let now = self.mirror.now();
        registry
            .recent_coordinators()
            .map(|coordinator| RecentCoordinator {
                record: coordinator.record.clone(),
                since_pull: now.saturating_sub(coordinator.pulled_at),
            })
            .collect()
    }

    /// Changes the registry and publishes what changed.
    fn change<R>(&self, change: impl FnOnce(&mut HostRegistry, &Mirror, Duration) -> R) -> R {
        let mut registry = self.lock();
        self.mirror.update(|mirror, now| {
            let own_incarnation = registry.version().incarnation;
            if let Some(later) = mirror.superseding_incarnation(self.member_id, own_incarnation) {
                registry.advance_incarnation(later);
            }
            let result = change(&mut registry, mirror, now);
            if let Some(update) = registry.take_update() {
                let update = Update {
                    // The update says nothing of what the primary acknowledged.
                    age_ms: u32::MAX,
                    origins: vec![update],
                    ..Update::default()
                };
                mirror.apply(now, &update);
            }
            result
        })
    }

    fn lock(&self) -> MutexGuard<'_, HostRegistry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether committed changes may have been missed for so long that the member counts as partitioned off.
fn has_lost_contact(mirror: &Mirror, now: Duration) -> bool {
    mirror.age_ms(now) > STALE_AGE_MS
}
