//! Host choice: an idle host of the service, or a random one among the cheapest.
//!
//! A request that is throttled, or would be late on every host, is sent to none. Otherwise the order is: an ejected
//! host that is due for a probe; the cheapest host of the idle list; if none is listed, a random host among those that
//! cost little more than the cheapest.

mod candidate;
mod search;

use self::candidate::Candidate;
use self::search::HostSearch;
use crate::affinity::affinity_key;
use crate::host::HostKey;
use crate::state::BalancerState;
use crate::types::{HostChoice, RequestContext};
use std::time::Duration;

/// Largest cost difference, in ms, of hosts that count as equal. Among equal hosts, the affinity order or the zone
/// decides.
const EQUAL_COST_TOLERANCE_MS: f64 = 4.0;
/// If no host is idle, the random choice includes hosts up to this multiple of the lowest cost, plus
/// [`DRAW_COST_MARGIN_MS`].
const DRAW_COST_FACTOR: f64 = 1.5;
/// Cost in ms that is added to the limit of the random choice.
const DRAW_COST_MARGIN_MS: f64 = 20.0;
/// Retry-After of a request whose service has no known hosts.
const NO_HOST_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Shortest Retry-After of a request for which all hosts are full.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Retry-After of a throttled request.
const THROTTLED_RETRY_AFTER: Duration = Duration::from_millis(150);

/// The host that a request is sent to.
pub(crate) struct ChosenHost {
    pub(crate) host: HostKey,
    /// Estimated number of prompt tokens that the host has to prefill.
    pub(crate) uncached_tokens: u32,
    /// Whether the request probes an ejected host.
    pub(crate) probe: bool,
}

/// Why no host was chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoHostChosen {
    /// The service has no known host that accepts requests.
    NoHost,
    /// Each host is full, or the request was sent to it before.
    AllFull {
        /// Time until the first full host may accept a request again.
        overload_end: Duration,
    },
    /// The hosts are overloaded: the request, or another in its place, would be answered too late.
    Throttled,
}

impl From<NoHostChosen> for HostChoice {
    fn from(reason: NoHostChosen) -> Self {
        match reason {
            NoHostChosen::NoHost => Self::Unavailable {
                retry_after: NO_HOST_RETRY_AFTER,
            },
            NoHostChosen::AllFull { overload_end } => Self::Unavailable {
                retry_after: OVERLOADED_RETRY_AFTER.max(overload_end),
            },
            NoHostChosen::Throttled => Self::Throttled {
                retry_after: THROTTLED_RETRY_AFTER,
            },
        }
    }
}

impl BalancerState {
    /// Chooses a host for a request, and consumes one of the host's entries in the idle list.
    ///
    /// # Errors
    /// Returns the reason if no host can accept the request or the hosts are overloaded.
    pub(crate) fn choose_host(
        &mut self,
        now: Duration,
        request: &RequestContext,
    ) -> Result<ChosenHost, NoHostChosen> {
        if self.rejects_by_throttle(now, request) {
            return Err(NoHostChosen::Throttled);
        }
        let service_key = *self
            .service_keys
            .get(request.service)
            .ok_or(NoHostChosen::NoHost)?;
        self.refresh_expired_idle_hosts(now, service_key);
        let service = self
            .services
            .get(service_key.0)
            .ok_or(NoHostChosen::NoHost)?;
        let search = HostSearch::new(self, now, service, request);
        if search.usable_hosts() == 0 {
            return Err(NoHostChosen::NoHost);
        }
        if let Some(probe) = search.due_probe() {
            return Ok(probe);
        }
        let candidates = search.candidates();
        if candidates.hosts.is_empty() {
            let overload_end = search.first_overload_end();
            return Err(NoHostChosen::AllFull { overload_end });
        }
        if search.is_late_everywhere(&candidates) {
            return Err(NoHostChosen::Throttled);
        }
        let prefers_affinity = service.runs_model() && affinity_key(request.prompt_parts).is_some();
        let chosen = if !candidates.from_idle_list {
            self.draw_near_cheapest(candidates.hosts)
        } else if prefers_affinity {
            cheapest(candidates.hosts).max_by_key(|host| host.affinity_weight)
        } else {
            self.draw_in_own_zone(cheapest(candidates.hosts).collect())
        };
        let chosen = chosen.ok_or(NoHostChosen::NoHost)?;
        if let Some(service) = self.services.get_mut(service_key.0) {
            service.idle_hosts.take_entry(now, chosen.host);
        }
        Ok(ChosenHost {
            host: chosen.host,
            uncached_tokens: chosen.uncached_tokens,
            probe: false,
        })
    }

    /// Chooses a random candidate among those that cost little more than the cheapest.
    fn draw_near_cheapest(&mut self, candidates: Vec<Candidate>) -> Option<Candidate> {
        let limit_ms = lowest_cost_ms(&candidates) * DRAW_COST_FACTOR + DRAW_COST_MARGIN_MS;
        let near_cheapest: Vec<Candidate> = candidates
            .into_iter()
            .filter(|candidate| candidate.cost_ms <= limit_ms)
            .collect();
        self.draw(near_cheapest)
    }

    /// Chooses a random candidate in this proxy's zone, or among all if none is in it.
    fn draw_in_own_zone(&mut self, mut candidates: Vec<Candidate>) -> Option<Candidate> {
        if candidates.iter().any(|candidate| candidate.same_zone) {
            candidates.retain(|candidate| candidate.same_zone);
        }
        self.draw(candidates)
    }

    fn draw(&mut self, candidates: Vec<Candidate>) -> Option<Candidate> {
        let index = self.random.below(candidates.len());
        candidates.into_iter().nth(index)
    }
}

/// Returns the candidates whose cost counts as equal to the lowest.
fn cheapest(candidates: Vec<Candidate>) -> impl Iterator<Item = Candidate> {
    let limit_ms = lowest_cost_ms(&candidates) + EQUAL_COST_TOLERANCE_MS;
    candidates
        .into_iter()
        .filter(move |candidate| candidate.cost_ms <= limit_ms)
}

fn lowest_cost_ms(candidates: &[Candidate]) -> f64 {
    let costs = candidates.iter().map(|candidate| candidate.cost_ms);
    costs.min_by(f64::total_cmp).unwrap_or(f64::INFINITY)
}
