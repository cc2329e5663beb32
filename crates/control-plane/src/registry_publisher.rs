//! The member's own source beside the mirror that others pull from.

use crate::host_registry::{HostRegistry, HostRequest};
use protocol::{CoordinatorRecord, HostRecord, Subscriber};
use replication::{SharedMirror, Update};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// A [`HostRegistry`] whose changes go into a [`SharedMirror`].
pub struct RegistryPublisher {
    id: u64,
    roster: Mutex<HostRegistry>,
    shared: Arc<SharedMirror>,
}

impl RegistryPublisher {
    /// For a life of member `id`; `beat` is the time between a host's heartbeats.
    pub fn new(id: u64, life: u64, beat: Duration, shared: Arc<SharedMirror>) -> Arc<Self> {
        let feed = Self {
            id,
            roster: Mutex::new(HostRegistry::new(id, life, beat)),
            shared,
        };
        feed.change(|_, _, _| ());
        Arc::new(feed)
    }

    /// The mirror.
    pub fn shared(&self) -> &Arc<SharedMirror> {
        &self.shared
    }

    fn change<R>(
        &self,
        change: impl FnOnce(&mut HostRegistry, &replication::Mirror, Duration) -> R,
    ) -> R {
        let mut roster = self.roster.lock().unwrap_or_else(PoisonError::into_inner);
        self.shared.update(|mirror, now| {
            if let Some(later) = mirror.later_life(self.id, roster.mark().incarnation) {
                roster.follow_life(later);
            }
            let result = change(&mut roster, mirror, now);
            if let Some(source) = roster.take_news() {
                // Its age says nothing of what the primary acknowledged.
                mirror.apply(
                    now,
                    &Update {
                        age_ms: u32::MAX,
                        origins: vec![source],
                        ..Update::default()
                    },
                );
            }
            result
        })
    }

    /// Runs a host's call. True where something changed.
    pub fn call(&self, call: &HostRequest) -> bool {
        self.change(|roster, mirror, now| {
            let elsewhere: Option<HostRecord> =
                mirror.host_elsewhere(self.id, call.host()).cloned();
            roster.call(now, call, elsewhere.as_ref())
        })
    }

    /// A coordinator or another member pulls.
    pub fn pulled(&self, caller: &Subscriber) {
        self.change(|roster, _, now| roster.pulled(now, caller));
    }

    /// Notes what is silent or long gone; to be called a few times in a beat period.
    pub fn tick(&self) {
        self.change(|roster, mirror, now| {
            roster.tick(now, |host| {
                mirror.host_elsewhere(self.id, host).map(|r| r.call_seq)
            })
        });
        self.shared.update(replication::Mirror::tick);
    }

    /// The lowest version of the configuration that a coordinator pulling here has in force, and how many
    /// pull here.
    pub fn in_force(&self) -> (u64, usize) {
        let roster = self.roster.lock().unwrap_or_else(PoisonError::into_inner);
        (
            roster
                .coordinators()
                .map(|c| c.configuration_version)
                .min()
                .unwrap_or_default(),
            roster.coordinators().count(),
        )
    }

    /// The coordinators that pull here, or did until lately, with the time since each one's latest pull.
    pub fn coordinators(&self) -> Vec<(CoordinatorRecord, Duration)> {
        let roster = self.roster.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.shared.now();
        roster
            .all_coordinators()
            .map(|(c, at)| (c.clone(), now.saturating_sub(at)))
            .collect()
    }
}
