//! Requests that build on a version which nobody knows to be in force: one that is still pending, or one that may never
//! come.

use super::request_log::RequestLog;
use super::state::World;
use crate::plan::ClientWorkload;

/// Such requests that a client has pending at most.
const MAX_PENDING_UNCONFIRMED: usize = 2;
/// How far above the version that it knows a client looks for a base.
const MAX_VERSIONS_AHEAD: u64 = 6;

impl RequestLog {
    /// Pending requests of a client whose base is confirmed.
    pub(super) fn in_flight(&self, client: usize) -> usize {
        let pending = self.pending.values().filter(|r| r.client == client);
        pending
            .filter(|r| !self.is_unconfirmed(self.contents[r.content].base))
            .count()
    }

    /// Pending requests of a client whose base is not confirmed.
    fn pending_unconfirmed(&self, client: usize) -> usize {
        let pending = self.pending.values().filter(|r| r.client == client);
        pending
            .filter(|r| self.is_unconfirmed(self.contents[r.content].base))
            .count()
    }

    /// Versions that pending requests lead to.
    fn pending_versions(&self) -> Vec<u64> {
        let pending = self.pending.values();
        pending.map(|r| self.contents[r.content].version).collect()
    }
}

impl World<'_> {
    /// A new content on an unconfirmed base, if the client sends one now.
    pub(super) fn choose_unconfirmed_content(
        &mut self,
        client: usize,
        workload: &ClientWorkload,
    ) -> Option<usize> {
        let percent = workload.unconfirmed_base_percent;
        let sends = percent > 0 && self.random_below(100) < percent;
        if !sends || self.request_log.pending_unconfirmed(client) >= MAX_PENDING_UNCONFIRMED {
            return None;
        }
        let pending = self.request_log.pending_versions();
        let known = self.request_log.known_version(client);
        let base = if pending.is_empty() || self.random_below(3) == 0 {
            known + 1 + self.random_below(MAX_VERSIONS_AHEAD)
        } else {
            pending[self.random_below(pending.len() as u64) as usize]
        };
        let version = base + 1 + self.random_below(3);
        Some(self.request_log.add_content(base, version, 0))
    }
}
