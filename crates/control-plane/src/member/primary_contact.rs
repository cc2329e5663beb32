//! The freshness of the committed state that a member may show to clients.
//!
//! As with ReadIndex in Raft (Ongaro's thesis, section 6.4), a primary confirms that it still held its lease after a
//! given moment, and reports the index of the last committed change of the configuration or the drains. Here the
//! moment is taken from the voter's own clock: the voter sends its clock with each lease reply, and the primary echoes
//! it with a later lease request, but only while its lease lasts.

use super::random::clock_base_ms;
use super::Member;
use std::time::Duration;

/// A moment at which the primary held its lease, and the extent of the committed state then. A state that reaches the
/// index includes every change of the configuration or the drains that was acknowledged before the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimaryContact {
    /// The moment, by this process's clock.
    pub at: Duration,
    /// Index of the last change of the configuration or the drains that was committed then.
    pub fleet_index: u64,
}

/// The latest primary contact of this incarnation.
#[derive(Clone, Debug)]
pub(super) struct ContactTracker {
    /// The offset of the clock that is sent to primaries, in ms. It differs between incarnations, so that an echo of
    /// an earlier incarnation's clock isn't mistaken for one of this incarnation's.
    clock_base_ms: u64,
    latest: Option<PrimaryContact>,
}

impl ContactTracker {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            clock_base_ms: clock_base_ms(seed),
            latest: None,
        }
    }

    pub(super) fn latest(&self) -> Option<PrimaryContact> {
        self.latest
    }

    /// The clock as it is sent to a primary, in ms.
    pub(super) fn clock_ms(&self, now: Duration) -> u64 {
        self.clock_base_ms.wrapping_add(now.as_millis() as u64)
    }

    /// Notes a primary's echo of this voter's clock.
    pub(super) fn record_echo(&mut self, fleet_index: u64, echoed_clock_ms: u64, now: Duration) {
        let at = Duration::from_millis(echoed_clock_ms.wrapping_sub(self.clock_base_ms));
        // 0 stands for no echo. The clock of an earlier incarnation lies in this one's future.
        let is_of_this_incarnation = echoed_clock_ms != 0 && at <= now;
        if is_of_this_incarnation {
            self.record(PrimaryContact { at, fleet_index });
        }
    }

    /// Keeps a contact unless a later one is known.
    fn record(&mut self, contact: PrimaryContact) {
        if self.latest.is_none_or(|known| known.at <= contact.at) {
            self.latest = Some(contact);
        }
    }
}

impl Member {
    /// The latest primary contact; `None` before the first one of this incarnation. An acting primary is its own
    /// contact.
    pub fn primary_contact(&self, now: Duration) -> Option<PrimaryContact> {
        match self.role.primary() {
            Some(primary) if self.lease_end(primary) > now => Some(PrimaryContact {
                at: now,
                fleet_index: primary.fleet_index(),
            }),
            _ => self.contact_tracker.latest(),
        }
    }

    /// Records this primary's own lease as a contact before it steps down: nobody else acknowledged anything while the
    /// lease lasted.
    pub(super) fn record_own_contact(&mut self) {
        let Some(primary) = self.role.primary() else {
            return;
        };
        let at = self.lease_end(primary).min(self.now);
        let fleet_index = primary.fleet_index();
        if !at.is_zero() {
            self.contact_tracker
                .record(PrimaryContact { at, fleet_index });
        }
    }
}
