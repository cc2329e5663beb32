//! Join-Idle-Queue: when a host counts as idle, and how many entries it gets in the idle list.
//!
//! Hosts send no message when they become idle. The proxy derives it from their load reports and from its own attempts.

use crate::host::{Host, HostKey};
use crate::service::{Service, ServiceKey};
use crate::state::BalancerState;
use crate::types::HostLoad;
use idle_list::DEFAULT_MAX_AGE;
use std::time::Duration;

/// Expected wait, in ms, from which a model host no longer counts as idle. With a longer wait, a short prompt would
/// miss its latency target.
const MAX_IDLE_WAIT_MS: f64 = 600.0;
/// A model host is busy when more than one request is queued for each group of this many slots.
const SLOTS_PER_WAITING_REQUEST: u32 = 8;
/// Idle list entries of a model host at which no request waits.
const MAX_MODEL_ENTRIES: f64 = 10.0;
/// A host without a model is busy when its responses take more than this multiple of the base latency.
const BUSY_LATENCY_FACTOR: f64 = 4.0;

impl BalancerState {
    /// Returns the number of entries that a host gets in the idle list now; 0 if it isn't idle.
    fn idle_entries(&self, now: Duration, key: HostKey) -> u32 {
        let Some(host) = self.hosts.get(key.0) else {
            return 0;
        };
        let Some(service) = self.services.get(host.service.0) else {
            return 0;
        };
        if !host.is_available(now) || reported_busy(now, host) {
            return 0;
        }
        if host.is_warming_up(now) {
            return u32::from(host.in_flight.is_empty());
        }
        let wait_ms = self.expected_wait_ms(now, host);
        if service.runs_model() {
            let idle_share = 1.0 - wait_ms / MAX_IDLE_WAIT_MS;
            return (idle_share.max(0.0) * MAX_MODEL_ENTRIES).ceil() as u32;
        }
        if wait_ms > (BUSY_LATENCY_FACTOR - 1.0) * service.base_latency_ms() {
            return 0;
        }
        max_idle_requests(host.info.capacity).saturating_sub(host.in_flight.len() as u32)
    }

    /// Recomputes a host's entries in the idle list.
    pub(crate) fn refresh_idle_host(&mut self, now: Duration, key: HostKey) {
        let entries = self.idle_entries(now, key);
        self.set_idle_entries(now, key, entries);
    }

    /// Records that a host is busy.
    pub(crate) fn mark_busy(&mut self, now: Duration, key: HostKey) {
        self.set_idle_entries(now, key, 0);
    }

    fn set_idle_entries(&mut self, now: Duration, key: HostKey, entries: u32) {
        if let Some(service) = self.service_of_host_mut(key) {
            service.idle_hosts.set_entries(now, key, entries);
        }
    }

    /// Removes a host's record from the idle list. The next host choice recomputes it.
    pub(crate) fn remove_idle_record(&mut self, key: HostKey) {
        if let Some(service) = self.service_of_host_mut(key) {
            service.idle_hosts.remove(key);
        }
    }

    /// Applies a host's load report.
    pub(crate) fn on_load_report(&mut self, now: Duration, key: HostKey, load: HostLoad) {
        let Some(host) = self.hosts.get_mut(key.0) else {
            return;
        };
        let service = self.services.get(host.service.0);
        let runs_model = service.is_some_and(Service::runs_model);
        host.busy_reported_at = shows_busy_host(load, runs_model).then_some(now);
        let mut entries = self.idle_entries(now, key);
        if !runs_model {
            let free = max_idle_requests(load.slots).saturating_sub(load.running);
            entries = entries.min(free);
        }
        self.set_idle_entries(now, key, entries);
    }

    /// Recomputes the entries of a service's hosts that have no valid record in the idle list.
    pub(crate) fn refresh_expired_idle_hosts(&mut self, now: Duration, key: ServiceKey) {
        let Some(service) = self.services.get(key.0) else {
            return;
        };
        let is_expired = |host: &HostKey| !service.idle_hosts.has_record(now, *host);
        let expired: Vec<HostKey> = service.hosts.iter().copied().filter(is_expired).collect();
        for host in expired {
            let entries = self.idle_entries(now, host);
            if entries > 0 {
                self.set_idle_entries(now, host, entries);
            }
        }
    }
}

/// Returns whether a load report shows a busy host.
fn shows_busy_host(load: HostLoad, runs_model: bool) -> bool {
    // On a host that runs requests in batches, one or two always wait for their prefill.
    let max_waiting = if runs_model {
        load.slots / SLOTS_PER_WAITING_REQUEST
    } else {
        0
    };
    load.waiting > max_waiting || load.running > max_idle_requests(load.slots)
}

/// Returns whether the host's latest load report showed it busy and is still valid.
fn reported_busy(now: Duration, host: &Host) -> bool {
    host.busy_reported_at
        .is_some_and(|at| now.saturating_sub(at) <= DEFAULT_MAX_AGE)
}

/// Returns the number of running requests up to which a host counts as idle: half of its slots, at least 1.
fn max_idle_requests(slots: u32) -> u32 {
    (slots / 2).max(1)
}
