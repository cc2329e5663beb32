//! The state that the load balancer keeps for a host.

use crate::affinity::host_hash;
use crate::load_estimate::{Lateness, PrefillBacklog};
use crate::outlier_ejection::HostHealth;
use crate::prefix_cache::PrefixCache;
use crate::service::ServiceKey;
use crate::types::HostInfo;
use std::time::Duration;

/// Time after a response for which a host counts as alive even without heartbeats, which may be seconds late.
const ALIVE_AFTER_RESPONSE: Duration = Duration::from_secs(1);

/// Key of a host in [`BalancerState::hosts`](crate::state::BalancerState::hosts).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct HostKey(pub(crate) usize);

/// A host in the registry, or a removed host that still has attempts in flight.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) info: HostInfo,
    pub(crate) service: ServiceKey,
    /// Hash of the host's identity, for affinity.
    pub(crate) hash: u64,
    pub(crate) health: HostHealth,
    pub(crate) prefix_cache: PrefixCache,
    /// Keys of this proxy's attempts in flight at the host.
    pub(crate) in_flight: Vec<usize>,
    pub(crate) prefill_backlog: PrefillBacklog,
    pub(crate) lateness: Lateness,
    /// When this proxy last received anything from the host.
    pub(crate) last_response_at: Option<Duration>,
    /// Time until which the host counts as full, because it refused a request.
    pub(crate) overloaded_until: Option<Duration>,
    /// Whether the host responded with 421 or another host has its address. It gets no requests until its registry
    /// record changes.
    pub(crate) misdirected: bool,
    /// Whether the host has left the registry. It is kept until its attempts have ended.
    pub(crate) removed: bool,
    /// When this proxy first saw the host in the registry.
    pub(crate) known_since: Duration,
    /// Time until which the host reports that it is still slow after its start.
    pub(crate) slow_start_until: Duration,
    /// When the host reported that it was busy, unless a later report says otherwise.
    pub(crate) busy_reported_at: Option<Duration>,
    /// Whether its service had other hosts when the host joined.
    pub(crate) joined_running_service: bool,
}

impl Host {
    pub(crate) fn new(
        info: HostInfo,
        service: ServiceKey,
        now: Duration,
        joined_running_service: bool,
    ) -> Self {
        Self {
            service,
            slow_start_until: now + info.slow_start_remaining,
            busy_reported_at: None,
            hash: host_hash(&info.id),
            info,
            health: HostHealth::default(),
            prefix_cache: PrefixCache::default(),
            in_flight: Vec::new(),
            prefill_backlog: PrefillBacklog::new(now),
            lateness: Lateness::new(now),
            last_response_at: None,
            overloaded_until: None,
            misdirected: false,
            removed: false,
            known_since: now,
            joined_running_service,
        }
    }

    /// Returns whether the host accepts new requests according to the registry and has not been misdirected.
    pub(crate) fn is_usable(&self) -> bool {
        !self.info.draining && !self.misdirected && !self.removed
    }

    /// Returns whether the host's heartbeats have stopped and nothing else arrived from it recently.
    pub(crate) fn is_unreachable(&self, now: Duration) -> bool {
        let silent = self
            .last_response_at
            .is_none_or(|last| now.saturating_sub(last) > ALIVE_AFTER_RESPONSE);
        self.info.heartbeat_expired && silent
    }

    /// Returns whether the host counts as full because it recently refused a request.
    pub(crate) fn is_overloaded(&self, now: Duration) -> bool {
        self.overloaded_until.is_some_and(|until| now < until)
    }

    /// Returns whether the host may be in the idle list: it is usable, not ejected, reachable and not overloaded.
    pub(crate) fn is_available(&self, now: Duration) -> bool {
        self.is_usable()
            && !self.health.is_ejected()
            && !self.is_unreachable(now)
            && !self.is_overloaded(now)
    }
}
