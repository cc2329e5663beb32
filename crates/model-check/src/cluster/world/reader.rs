//! Readers: processes outside of the members that mirror what these publish.

use crate::cluster::faults::ms;
use crate::cluster::machine::LEASE;
use crate::cluster::shared_mirror::SharedMirror;
use replication::Mirror;
use std::time::Duration;

/// A reader outside of the members.
#[derive(Clone)]
pub(super) struct Reader {
    pub(super) mirror: SharedMirror,
    /// The newest that it showed.
    pub(super) newest: (u64, u64),
}

pub(super) fn new_reader() -> SharedMirror {
    SharedMirror::new(Mirror::new(0, LEASE).without_history())
}

/// Until when a mirror says that it lacks nothing, by the global clock; ages are told in whole ms.
pub(super) fn fresh_at(mirror: &Mirror, clock: Duration, now: Duration) -> Option<Duration> {
    let age = mirror.age_ms(clock);
    (age != u32::MAX).then(|| now.saturating_sub(ms(u64::from(age) + 1)))
}
