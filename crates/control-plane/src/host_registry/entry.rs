//! What the registry keeps of each host and coordinator.

use super::{Heartbeat, ENDED_RETENTION};
use protocol::{CoordinatorRecord, HostRecord};
use replication::phase;
use std::time::Duration;

/// A coordinator that pulls here.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownCoordinator {
    /// The record as published.
    pub record: CoordinatorRecord,
    /// When it pulled last.
    pub pulled_at: Duration,
}

/// A host.
pub(super) struct HostEntry {
    /// The record as published; its `call_seq` is that of the last request which changed the record.
    pub(super) published: HostRecord,
    /// Number of the latest request.
    pub(super) latest_call_seq: u64,
    latest_call_at: Duration,
    /// Since when the host is gone, silent or forgotten.
    ended_at: Option<Duration>,
}

/// Whether hosts that haven't called for long are published as silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SilentHosts {
    Mark,
    Keep,
}

/// What becomes of a host as time passes.
pub(super) enum Expiry {
    Unchanged,
    Changed,
    Drop,
}

impl HostEntry {
    /// A host whose first request here came now.
    pub(super) fn new(now: Duration, record: HostRecord) -> Self {
        Self {
            latest_call_seq: record.call_seq,
            latest_call_at: now,
            ended_at: (record.phase >= phase::GONE).then_some(now),
            published: record,
        }
    }

    /// The phase before another request: a host that was forgotten here begins anew.
    pub(super) fn phase_before(&self) -> u8 {
        if self.published.phase <= phase::GONE {
            self.published.phase
        } else {
            phase::READY
        }
    }

    /// Takes the record of a newer heartbeat. Returns whether it has to be published.
    pub(super) fn update(
        &mut self,
        now: Duration,
        record: HostRecord,
        elsewhere: Option<&HostRecord>,
    ) -> bool {
        self.latest_call_seq = record.call_seq;
        self.latest_call_at = now;
        let is_newer_elsewhere =
            elsewhere.is_some_and(|other| other.call_seq >= self.published.call_seq);
        if !is_newer_elsewhere && is_same_to_others(&self.published, &record) {
            return false;
        }
        self.ended_at = (record.phase >= phase::GONE).then(|| self.ended_at.unwrap_or(now));
        self.published = record;
        true
    }

    /// Lets time pass. `call_seq_elsewhere` gives the highest `call_seq` that other origins have of this host.
    pub(super) fn expire(
        &mut self,
        now: Duration,
        heartbeat_timeout: Duration,
        silent_hosts: SilentHosts,
        call_seq_elsewhere: impl FnOnce() -> Option<u64>,
    ) -> Expiry {
        if self.ended_at.is_some_and(|at| now >= at + ENDED_RETENTION) {
            // A mirror forgets a host that is gone by itself.
            if self.published.phase >= phase::GONE {
                return Expiry::Drop;
            }
            return self.forget(now);
        }
        let is_overdue = now >= self.latest_call_at + heartbeat_timeout;
        if self.published.phase >= phase::GONE || !is_overdue {
            return Expiry::Unchanged;
        }
        if call_seq_elsewhere().is_some_and(|seq| seq > self.published.call_seq) {
            return self.forget(now);
        }
        if self.published.heartbeat_expired || silent_hosts == SilentHosts::Keep {
            return Expiry::Unchanged;
        }
        self.published.heartbeat_expired = true;
        self.ended_at = Some(now);
        Expiry::Changed
    }

    /// Makes the record a tombstone: this origin has nothing more to say of the host.
    fn forget(&mut self, now: Duration) -> Expiry {
        self.published.phase = phase::FORGOTTEN;
        self.ended_at = Some(now);
        Expiry::Changed
    }
}

/// The record of a host that sent this heartbeat.
pub(super) fn record_of(host: &str, heartbeat: &Heartbeat, phase: u8) -> HostRecord {
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

/// Whether two records of a host say the same to others.
fn is_same_to_others(a: &HostRecord, b: &HostRecord) -> bool {
    a.service == b.service
        && a.addr == b.addr
        && a.zone == b.zone
        && a.capacity == b.capacity
        && a.phase == b.phase
        && a.heartbeat_expired == b.heartbeat_expired
        && (a.slow_start_remaining_ms == 0) == (b.slow_start_remaining_ms == 0)
}
