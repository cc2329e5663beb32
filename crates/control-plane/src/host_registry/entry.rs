//! The registry's entries for hosts and coordinators.

use super::{Heartbeat, ENDED_RECORD_RETENTION};
use protocol::{CoordinatorRecord, HostRecord};
use replication::phase;
use std::time::Duration;

/// A coordinator that pulls from this member, or did so recently.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownCoordinator {
    /// The latest record.
    pub record: CoordinatorRecord,
    /// Time of its latest pull.
    pub pulled_at: Duration,
}

/// A host that sent requests to this member.
pub(super) struct HostEntry {
    /// The record as published. Its `call_seq` is that of the latest request that changed the record.
    pub(super) published: HostRecord,
    /// `call_seq` of the latest request.
    pub(super) latest_call_seq: u64,
    /// Time of the latest request.
    latest_call_at: Duration,
    /// Time at which the host became gone, silent or forgotten; `None` while it is active.
    ended_at: Option<Duration>,
}

/// How to treat hosts whose heartbeats are overdue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SilentHosts {
    /// Publish them with `heartbeat_expired` set.
    MarkExpired,
    /// Leave them unchanged, as they may send their heartbeats to other members.
    LeaveUnmarked,
}

/// The effect of elapsed time on a host.
pub(super) enum Expiry {
    /// The record stays as published.
    Unchanged,
    /// The record has changed and has to be published.
    Changed,
    /// The entry is to be removed.
    Drop,
}

impl HostEntry {
    /// Creates the entry of a host whose first request to this member arrived at `now`.
    pub(super) fn new(now: Duration, record: HostRecord) -> Self {
        Self {
            latest_call_seq: record.call_seq,
            latest_call_at: now,
            ended_at: (record.phase >= phase::GONE).then_some(now),
            published: record,
        }
    }

    /// Returns the phase before the next request. A forgotten host starts again as ready.
    pub(super) fn phase_before_request(&self) -> u8 {
        if self.published.phase <= phase::GONE {
            self.published.phase
        } else {
            phase::READY
        }
    }

    /// Applies the record of a newer heartbeat. `remote_record` is the host's record from other origins. Returns
    /// whether the record has to be published.
    pub(super) fn update(
        &mut self,
        now: Duration,
        record: HostRecord,
        remote_record: Option<&HostRecord>,
    ) -> bool {
        self.latest_call_seq = record.call_seq;
        self.latest_call_at = now;
        let is_remote_newer =
            remote_record.is_some_and(|other| other.call_seq >= self.published.call_seq);
        if !is_remote_newer && is_equivalent_for_subscribers(&self.published, &record) {
            return false;
        }
        self.ended_at = (record.phase >= phase::GONE).then(|| self.ended_at.unwrap_or(now));
        self.published = record;
        true
    }

    /// Applies the time elapsed until `now`. `remote_call_seq` returns the highest `call_seq` that other origins have
    /// for this host.
    pub(super) fn expire(
        &mut self,
        now: Duration,
        heartbeat_timeout: Duration,
        silent_hosts: SilentHosts,
        remote_call_seq: impl FnOnce() -> Option<u64>,
    ) -> Expiry {
        if self
            .ended_at
            .is_some_and(|at| now >= at + ENDED_RECORD_RETENTION)
        {
            // Mirrors remove hosts that are gone by themselves, so no tombstone is published.
            if self.published.phase >= phase::GONE {
                return Expiry::Drop;
            }
            return self.forget(now);
        }
        let is_overdue = now >= self.latest_call_at + heartbeat_timeout;
        if self.published.phase >= phase::GONE || !is_overdue {
            return Expiry::Unchanged;
        }
        if remote_call_seq().is_some_and(|seq| seq > self.published.call_seq) {
            return self.forget(now);
        }
        if self.published.heartbeat_expired || silent_hosts == SilentHosts::LeaveUnmarked {
            return Expiry::Unchanged;
        }
        self.published.heartbeat_expired = true;
        self.ended_at = Some(now);
        Expiry::Changed
    }

    /// Turns the record into a tombstone, which withdraws this origin's record of the host.
    fn forget(&mut self, now: Duration) -> Expiry {
        self.published.phase = phase::FORGOTTEN;
        self.ended_at = Some(now);
        Expiry::Changed
    }
}

/// Returns the record of a host that sent `heartbeat`.
pub(super) fn host_record(host: &str, heartbeat: &Heartbeat, phase: u8) -> HostRecord {
    HostRecord {
        id: host.to_owned(),
        service: heartbeat.service.clone(),
        addr: heartbeat.addr,
        zone: heartbeat.zone.clone(),
        capacity: heartbeat.capacity,
        phase,
        heartbeat_expired: false,
        call_seq: heartbeat.call_seq,
        slow_start_remaining_ms: heartbeat.slow_start_remaining_ms,
    }
}

/// Whether two records of a host are the same for subscribers. Ignores `call_seq` and the length of the slow start.
fn is_equivalent_for_subscribers(a: &HostRecord, b: &HostRecord) -> bool {
    a.service == b.service
        && a.addr == b.addr
        && a.zone == b.zone
        && a.capacity == b.capacity
        && a.phase == b.phase
        && a.heartbeat_expired == b.heartbeat_expired
        && (a.slow_start_remaining_ms == 0) == (b.slow_start_remaining_ms == 0)
}
