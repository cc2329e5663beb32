//! The parts that a service with one core and one with several cores have in common.

use super::operations::Operations;
use crate::config::{Capacity, Config, HostDialect};
use crate::core::{CoreHandle, CoreMessage};
use crate::counters::Counters;
use crate::front::opensearch::hosts::OpenSearchHosts;
use crate::front::opensearch::OpenSearch;
use crate::front::platform::Platform;
use crate::front::Fronts;
use crate::net::discovery_watch::{DiscoveryBackoff, Watch};
use crate::net::dns_sd::Browser;
use crate::net::http::{self, GatedListener, Limits};
use crate::net::link::{Dialect, Frames};
use crate::ops::hot_restart::RestartRole;
use crate::ops::Readiness;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};

/// Upper limit on the client timeout that a shutdown allows for. After SIGTERM the platform ends the process no sooner
/// than the longest client timeout, up to this limit, plus [`STOP_GRACE`].
const MAX_STOP_TIME: Duration = Duration::from_secs(3);
/// Additional time until the platform ends the process; by then all requests must be answered.
const STOP_GRACE: Duration = Duration::from_millis(500);
/// Length of the final part of that time, in which no new request is accepted.
const STOP_RESERVE: Duration = Duration::from_millis(350);

/// The `Retry-After` of a response for lack of capacity, if the settings have no `max_retry_after`.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The parts that a coordinator is assembled from.
pub(crate) struct ServiceParts {
    pub(crate) config: Config,
    /// The clients' listening socket.
    pub(crate) clients: GatedListener,
    pub(crate) counters: Counters,
    /// Turns true when the process must stop.
    pub(crate) stop: watch::Receiver<bool>,
    /// Receives new addresses of discovery.
    pub(crate) discovery_moves: mpsc::UnboundedReceiver<String>,
    /// `None` without an operator's address.
    pub(crate) operations: Option<Operations>,
}

/// The `Retry-After` of a response for lack of capacity.
pub(crate) fn retry_after(config: &Config) -> Duration {
    let settings = &config.site.router;
    settings.max_retry_after.unwrap_or(DEFAULT_RETRY_AFTER)
}

fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// The incarnation of this process in the gossip: Unix time in microseconds, larger for each later process.
pub(crate) fn incarnation() -> u64 {
    unix_time().as_micros() as u64
}

/// The client APIs, all of which send their queries to `core`.
pub(crate) fn fronts(
    config: &Config,
    core: CoreHandle,
    counters: &Counters,
    readiness: Option<Readiness>,
) -> Fronts {
    // Differs at each start, so that ids issued by an earlier process are not mistaken for this one's.
    let incarnation = unix_time().as_nanos() as u64 ^ config.seed;
    let opensearch = config.operator.opensearch.as_ref().map(|opensearch| {
        OpenSearch::new(
            opensearch,
            &config.site,
            core.clone(),
            counters.clone(),
            incarnation,
        )
    });
    Fronts {
        platform: Platform::new(core, counters.clone(), &config.site, readiness),
        opensearch,
    }
}

/// The protocol for connections to hosts.
pub(crate) fn dialect(config: &Config) -> Arc<dyn Dialect> {
    match config.operator.hosts {
        HostDialect::Frames => Arc::new(Frames),
        HostDialect::OpenSearch => Arc::new(OpenSearchHosts),
    }
}

/// The limits of the HTTP server for clients, within this capacity.
pub(crate) fn server_limits(
    config: &Config,
    capacity: Capacity,
    restart_role: watch::Receiver<RestartRole>,
) -> Limits {
    let classes = &config.site.router.classes;
    let longest_timeout = classes.iter().map(|class| class.client_timeout).max();
    let answer_within = longest_timeout.unwrap_or_default().min(MAX_STOP_TIME) + STOP_GRACE;
    Limits {
        max_clients: capacity.clients,
        max_connections: capacity.clients + capacity.rejected_clients,
        serve_on: answer_within.saturating_sub(STOP_RESERVE),
        answer_within,
        request_timeout_when_full: http::REQUEST_TIMEOUT_WHEN_FULL,
        one_request_per_connection: false,
        restart_role,
    }
}

/// Starts the configured source of the host list (DNS-SD or discovery), if any. Its updates go to `core`.
pub(crate) fn start_list_source(
    config: Config,
    core: mpsc::UnboundedSender<CoreMessage>,
    counters: &Counters,
    discovery_moves: mpsc::UnboundedReceiver<String>,
) {
    let counters = counters.clone();
    if let Some(dns_sd) = config.operator.dns_sd {
        let browser = Browser {
            responder: dns_sd.responder,
            service: dns_sd.service,
            core,
            counters,
        };
        tokio::spawn(browser.run());
    } else if let Some(addr) = config.discovery {
        let settings = &config.site.router;
        let backoff = DiscoveryBackoff {
            seed: config.seed,
            shared: settings
                .subscribe_within
                .map(|within| (settings.routers, within)),
            grace: config.site.limits.drain_grace,
        };
        let known = config.known_list;
        let watch = Watch {
            addr,
            revision: (!known.members.is_empty()).then_some(known.revision),
            core,
            counters,
            backoff,
            replaces: Vec::new(),
        };
        tokio::spawn(watch.follow_moves(discovery_moves));
    }
}
