//! Hints between proxies about which prompts are in which host's prefix cache.

use super::BalancerState;
use crate::host::HostKey;
use crate::types::{PrefixHint, PromptPart};
use std::time::Duration;

/// Number of uncached tokens from which a prompt produces a hint, so that other proxies account for its prefill.
const MIN_HINTED_TOKENS: u32 = 500;
/// Time after which the known cache contents count as complete, once all proxies exchange hints.
const HINTS_SETTLE_TIME: Duration = Duration::from_secs(1);

impl BalancerState {
    /// Returns whether the known contents of the prefix caches include the prompts of all proxies.
    pub(crate) fn knows_all_caches(&self, now: Duration) -> bool {
        self.hints_complete_since
            .is_some_and(|since| now >= since + HINTS_SETTLE_TIME)
    }

    /// Applies another proxy's hint.
    pub(crate) fn on_prefix_hint(
        &mut self,
        now: Duration,
        host_id: &str,
        prefix: &[PromptPart],
        uncached_tokens: u32,
    ) {
        let Some(key) = self.host_keys.get(host_id) else {
            return;
        };
        let Some(host) = self.hosts.get_mut(key.0) else {
            return;
        };
        let Some(service) = self.services.get(host.service.0) else {
            return;
        };
        let Some(capacity) = service.cache_capacity_tokens() else {
            return;
        };
        // No prompt is longer than a cache, so a hint with a longer prefix is invalid.
        let prefix_tokens: f64 = prefix.iter().map(|part| f64::from(part.tokens)).sum();
        if prefix_tokens > capacity {
            return;
        }
        host.prefix_cache.insert(prefix, capacity);
        host.prefix_cache.mark_shared(prefix);
        let prefill_ms = service.prefill_ms(uncached_tokens.min(capacity as u32));
        host.prefill_backlog.add_peers(now, prefill_ms);
    }

    /// Returns the shared parts in the caches of all usable hosts.
    pub(crate) fn cached_prefixes(&self) -> Vec<PrefixHint> {
        let usable = self.hosts.iter().filter(|(_, host)| host.is_usable());
        usable
            .map(|(_, host)| PrefixHint {
                host_id: host.info.id.clone(),
                prefix: host.prefix_cache.shared_parts(),
                uncached_tokens: 0,
            })
            .filter(|hint| !hint.prefix.is_empty())
            .collect()
    }

    /// Records in the host's cache that a prompt was sent there. Produces a hint for the other proxies if shared parts
    /// are new in the cache or many tokens are uncached.
    pub(super) fn record_prompt(
        &mut self,
        now: Duration,
        key: HostKey,
        prompt: &[PromptPart],
        uncached_tokens: u32,
    ) {
        let proxies = self.retry_limits.proxies.unwrap_or(1).max(1) as f64;
        let knows_all = self.knows_all_caches(now);
        let Some(host) = self.hosts.get_mut(key.0) else {
            return;
        };
        let Some(service) = self.services.get(host.service.0) else {
            return;
        };
        let Some(capacity) = service.cache_capacity_tokens() else {
            return;
        };
        let prefill_ms = service.prefill_ms(uncached_tokens);
        host.prefill_backlog.add_own(now, prefill_ms);
        // Assumes that proxies whose hints don't arrive fill the cache as fast as this one.
        let own_capacity = if knows_all {
            capacity
        } else {
            capacity / proxies
        };
        host.prefix_cache.insert(prompt, own_capacity);
        let shared = prompt.split_last().map_or(&[][..], |(_own, shared)| shared);
        if host.prefix_cache.mark_shared(shared) || uncached_tokens >= MIN_HINTED_TOKENS {
            self.pending_hint = Some(PrefixHint {
                host_id: host.info.id.clone(),
                prefix: shared.to_vec(),
                uncached_tokens,
            });
        }
    }
}
