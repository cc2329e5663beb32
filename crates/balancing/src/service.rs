//! The state that the load balancer keeps for a service: its hosts, its idle list, its typical latencies.

use crate::adaptive_throttle::AdaptiveThrottle;
use crate::host::HostKey;
use crate::retry_budget::RetryBudget;
use crate::statistics::{LinearTrend, QuantileEstimate};
use crate::types::ServiceInfo;
use idle_list::{IdleList, DEFAULT_MAX_AGE};
use std::time::Duration;

/// Time to the first event without prefill, in ms, assumed until responses have been measured.
const ASSUMED_BASE_LATENCY_MS: f64 = 30.0;
/// Prefill time of one token, in ms, assumed until responses have been measured.
const ASSUMED_PREFILL_MS_PER_TOKEN: f64 = 0.0125;
/// Quantile of the latency ratio from which the attempt timeout is derived.
const LATENCY_QUANTILE: f64 = 0.97;
/// Ratio of actual to estimated latency at that quantile, assumed until responses have been measured.
const ASSUMED_LATENCY_RATIO: f64 = 2.5;

/// Key of a service in [`BalancerState::services`](crate::state::BalancerState::services).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ServiceKey(pub(crate) usize);

/// A service that is configured, has hosts, or recently had requests.
pub(crate) struct Service {
    /// Configuration of the service; `None` if only hosts or requests refer to it.
    pub(crate) info: Option<ServiceInfo>,
    pub(crate) hosts: Vec<HostKey>,
    pub(crate) idle_hosts: IdleList<HostKey>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) throttle: AdaptiveThrottle,
    /// Time to the first event without waiting, in ms, as a function of the number of prefilled tokens.
    pub(crate) first_event_latency: LinearTrend,
    /// High quantile of the ratio of actual to estimated latency.
    pub(crate) latency_ratio: QuantileEstimate,
}

impl Service {
    pub(crate) fn new(retry_window: Duration) -> Self {
        Self {
            info: None,
            hosts: Vec::new(),
            idle_hosts: IdleList::new(DEFAULT_MAX_AGE),
            retry_budget: RetryBudget::new(retry_window),
            throttle: AdaptiveThrottle::new(),
            first_event_latency: LinearTrend::new(
                ASSUMED_BASE_LATENCY_MS,
                ASSUMED_PREFILL_MS_PER_TOKEN,
            ),
            latency_ratio: QuantileEstimate::new(LATENCY_QUANTILE, ASSUMED_LATENCY_RATIO),
        }
    }

    /// Returns whether the hosts run a model and have a prefix cache.
    pub(crate) fn runs_model(&self) -> bool {
        self.cache_capacity_tokens().is_some()
    }

    /// Returns the capacity of one host's prefix cache in tokens; `None` if the hosts run no model.
    pub(crate) fn cache_capacity_tokens(&self) -> Option<f64> {
        self.info.as_ref()?.cache_capacity_tokens
    }

    /// Returns the time to the first event without waiting and prefill, in ms.
    pub(crate) fn base_latency_ms(&self) -> f64 {
        self.first_event_latency.intercept()
    }

    /// Returns the prefill time of a number of tokens, in ms.
    pub(crate) fn prefill_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) * self.first_event_latency.slope()
    }
}
