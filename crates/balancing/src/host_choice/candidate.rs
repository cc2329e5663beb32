//! Cost of a request at a host: its waiting time and the prefill that it causes.

use super::search::HostSearch;
use crate::affinity::{affinity_key, host_weight};
use crate::host::{Host, HostKey};
use crate::types::PromptPart;
use std::time::Duration;

/// Cost of prefill time as a multiple of waiting time, because prefill delays all requests at the host.
const PREFILL_COST_FACTOR: f64 = 4.0;
/// Discount at the affinity host, as a share of the prefill time of the shared parts. A new prompt thus goes there
/// unless other hosts are much cheaper, and is found there again after the proxies have lost their state.
const AFFINITY_DISCOUNT: f64 = 0.5;
/// Time after a restart of all proxies for which caches are assumed to keep the prompts that were sent before it.
const CACHE_ASSUMED_AFTER_RESTART: Duration = Duration::from_secs(30);

/// A host that a request may be sent to.
pub(super) struct Candidate {
    pub(super) host: HostKey,
    /// Cost of the request at the host, in ms of waiting time.
    pub(super) cost_ms: f64,
    /// Weight of the host in the prompt's affinity order; the highest comes first.
    pub(super) affinity_weight: u64,
    /// Whether the host is in this proxy's zone.
    pub(super) same_zone: bool,
    pub(super) uncached_tokens: u32,
    /// Expected time to the first event, in ms.
    pub(super) first_event_ms: f64,
}

impl HostSearch<'_> {
    pub(super) fn candidate(&self, key: HostKey, host: &Host) -> Candidate {
        let same_zone = host.info.zone == self.state.zone;
        let affinity_weight = affinity_key(self.request.prompt_parts)
            .map_or(0, |prompt| host_weight(prompt, host.hash));
        let wait_ms = self.state.expected_wait_ms(self.now, host);
        if !self.service.runs_model() {
            let usage = host.in_flight.len() as f64 / f64::from(host.info.capacity.max(1));
            return Candidate {
                host: key,
                cost_ms: wait_ms + usage * self.service.base_latency_ms(),
                affinity_weight,
                same_zone,
                uncached_tokens: 0,
                first_event_ms: wait_ms + self.service.base_latency_ms(),
            };
        }
        let has_affinity = self.affinity_host == Some(key);
        let uncached_tokens = self.uncached_tokens(host, has_affinity);
        let discount_ms = if has_affinity {
            let shared_tokens = total_tokens(self.shared_parts());
            AFFINITY_DISCOUNT * self.service.prefill_ms(shared_tokens)
        } else {
            0.0
        };
        let prefill_ms = self.service.prefill_ms(uncached_tokens);
        Candidate {
            host: key,
            cost_ms: wait_ms + PREFILL_COST_FACTOR * prefill_ms - discount_ms,
            affinity_weight,
            same_zone,
            uncached_tokens,
            first_event_ms: wait_ms + prefill_ms + self.service.base_latency_ms(),
        }
    }

    /// Returns the number of prompt tokens that a host has to prefill.
    pub(super) fn uncached_tokens(&self, host: &Host, has_affinity: bool) -> u32 {
        let parts = self.request.prompt_parts;
        let prompt_tokens = if parts.is_empty() {
            self.request.prompt_tokens
        } else {
            total_tokens(parts)
        };
        let assumed_cached = if has_affinity && self.assumes_affinity_cached() {
            total_tokens(self.shared_parts())
        } else {
            0
        };
        let known_cached = host.prefix_cache.cached_prefix_tokens(parts);
        prompt_tokens.saturating_sub(known_cached.max(assumed_cached))
    }

    /// Returns whether the affinity host is assumed to have the shared parts in its cache, because all proxies send
    /// them there: while not all caches are known, or if that knowledge may have been lost with a restart.
    fn assumes_affinity_cached(&self) -> bool {
        if !self.state.knows_all_caches(self.now) {
            return true;
        }
        let after_restart = !self.state.is_first_start
            && self.now < self.state.started_at() + CACHE_ASSUMED_AFTER_RESTART;
        after_restart && !self.is_prompt_cached_anywhere()
    }

    fn is_prompt_cached_anywhere(&self) -> bool {
        let Some(prompt) = affinity_key(self.request.prompt_parts) else {
            return false;
        };
        let mut hosts = self.state.hosts.iter();
        hosts.any(|(_, host)| host.prefix_cache.contains(prompt))
    }

    /// Returns the parts of the prompt that the prompts of other requests may contain too.
    fn shared_parts(&self) -> &[PromptPart] {
        let parts = self.request.prompt_parts;
        parts.split_last().map_or(&[], |(_own, shared)| shared)
    }
}

fn total_tokens(parts: &[PromptPart]) -> u32 {
    parts
        .iter()
        .map(|part| part.tokens)
        .fold(0, u32::saturating_add)
}
