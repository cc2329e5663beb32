//! When a host counts as idle, and how many entries that is worth.

use crate::host::Host;
use crate::policy::State;
use crate::types::HostLoad;
use idle_list::ENTRY_AGE;
use std::time::Duration;

/// A model host counts as idle while what it still has to read is below this, in ms: with more, a short
/// prompt would wait through much of its aim.
const READING_MS: f64 = 600.0;
/// A model host is busy with more than one in so many of its slots waiting.
const QUEUED: u32 = 8;
/// Entries that a model host with nothing to read is worth.
const MODEL_ENTRIES: f64 = 10.0;
/// A host that came while others were there gets one request at a time for so long.
const RUN_IN: Duration = Duration::from_secs(2);
/// Answers later than usual by this factor show a host busy, where it runs no model.
const LATE: f64 = 4.0;

impl State {
    /// Entries that a host is worth now, by what this proxy knows of it; 0 where it isn't idle.
    pub(crate) fn worth(&self, now: Duration, key: usize) -> u32 {
        let Some(host) = self.hosts.get(key) else {
            return 0;
        };
        let Some(service) = self.services.get(host.service) else {
            return 0;
        };
        if !host.fit(now) || self.told_busy(now, host) {
            return 0;
        }
        if self.running_in(now, host) {
            return u32::from(host.out.is_empty());
        }
        let wait = self.wait(now, host);
        if service.model() {
            let room = 1.0 - wait / READING_MS;
            return (room.max(0.0) * MODEL_ENTRIES).ceil() as u32;
        }
        if wait > (LATE - 1.0) * service.times.base() {
            return 0;
        }
        share(host.info.capacity).saturating_sub(host.out.len() as u32)
    }

    /// Lists a host anew, or puts it on record as busy.
    pub(crate) fn relist(&mut self, now: Duration, key: usize) {
        let entries = self.worth(now, key);
        self.put(now, key, entries);
    }

    /// Puts a host on record with so many entries.
    pub(crate) fn put(&mut self, now: Duration, key: usize, entries: u32) {
        let Some(host) = self.hosts.get(key) else {
            return;
        };
        if let Some(service) = self.services.get_mut(host.service) {
            service.idle.list(now, key, entries);
        }
    }

    /// Takes a host off the list until it is judged again.
    pub(crate) fn unlist(&mut self, key: usize) {
        let Some(host) = self.hosts.get(key) else {
            return;
        };
        if let Some(service) = self.services.get_mut(host.service) {
            service.idle.remove(key);
        }
    }

    /// A report on a host's load came.
    pub(crate) fn loaded(&mut self, now: Duration, key: usize, load: HostLoad) {
        let Some(host) = self.hosts.get_mut(key) else {
            return;
        };
        let model = self
            .services
            .get(host.service)
            .is_some_and(super::service::Service::model);
        // A prompt or two always wait for their turn to be read where batches run.
        let waiting = if model { load.slots / QUEUED } else { 0 };
        let busy = load.waiting > waiting || load.running > share(load.slots);
        host.told_busy = busy.then_some(now);
        let mut entries = self.worth(now, key);
        if !model {
            entries = entries.min(share(load.slots).saturating_sub(load.running));
        }
        self.put(now, key, entries);
    }

    /// Judges the hosts of a service of which nothing was heard for an entry's age, or ever: idle by what we
    /// have out there.
    pub(crate) fn judge(&mut self, now: Duration, service: usize) {
        for n in 0.. {
            let Some(s) = self.services.get(service) else {
                return;
            };
            let Some(&key) = s.hosts.get(n) else { return };
            if !s.idle.on_record(now, key) {
                let entries = self.worth(now, key);
                if entries > 0 {
                    self.put(now, key, entries);
                }
            }
        }
    }

    fn told_busy(&self, now: Duration, host: &Host) -> bool {
        host.told_busy
            .is_some_and(|t| now.saturating_sub(t) <= ENTRY_AGE)
    }

    /// Whether a host has come lately or is slow from its start.
    pub(crate) fn running_in(&self, now: Duration, host: &Host) -> bool {
        host.late_comer && now.saturating_sub(host.since) < RUN_IN || now < host.cold_until
    }
}

/// Requests at a host up to which it counts as idle: half of its slots.
fn share(slots: u32) -> u32 {
    (slots / 2).max(1)
}
