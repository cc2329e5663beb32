//! What serving with one core and with several have in common.

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

/// The platform ends the process no sooner after SIGTERM than the longest time a client waits, up to this ...
const MAX_STOP_TIME: Duration = Duration::from_secs(3);
/// ... and this much more. By then all requests must be answered.
const STOP_GRACE: Duration = Duration::from_millis(500);
/// For the last of that time no new request is accepted.
const STOP_RESERVE: Duration = Duration::from_millis(350);

/// When a client that finds no capacity is asked to come back, where the settings name no longest wait.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a coordinator serves with.
pub(crate) struct ServiceParts {
    pub(crate) config: Config,
    /// The clients' listening socket.
    pub(crate) clients: GatedListener,
    pub(crate) counters: Counters,
    /// Turns true when the process is to stop.
    pub(crate) stop: watch::Receiver<bool>,
    /// New addresses of discovery.
    pub(crate) discovery_moves: mpsc::UnboundedReceiver<String>,
    /// `None` without an operator's address.
    pub(crate) operations: Option<Operations>,
}

/// When a client that finds no capacity is asked to come back.
pub(crate) fn retry_after(config: &Config) -> Duration {
    let settings = &config.site.router;
    settings.max_retry_after.unwrap_or(DEFAULT_RETRY_AFTER)
}

fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// The incarnation of this process in the gossip: Unix time in microseconds, larger for each later process.
pub(crate) fn incarnation() -> u64 {
    since_epoch().as_micros() as u64
}

/// All fronts over the way to the core.
pub(crate) fn fronts(
    config: &Config,
    core: CoreHandle,
    counters: &Counters,
    readiness: Option<Readiness>,
) -> Fronts {
    // New with each start: ids that clients hold from an earlier one must not be taken for this one's.
    let incarnation = since_epoch().as_nanos() as u64 ^ config.seed;
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

/// The protocol that hosts are spoken to in.
pub(crate) fn dialect(config: &Config) -> Arc<dyn Dialect> {
    match config.operator.hosts {
        HostDialect::Frames => Arc::new(Frames),
        HostDialect::OpenSearch => Arc::new(OpenSearchHosts),
    }
}

/// The limits of a server of clients with this capacity.
pub(crate) fn limits(
    config: &Config,
    capacity: Capacity,
    restart_role: watch::Receiver<RestartRole>,
) -> Limits {
    let classes = &config.site.router.classes;
    let longest = classes.iter().map(|class| class.client_timeout).max();
    let answer_within = longest.unwrap_or_default().min(MAX_STOP_TIME) + STOP_GRACE;
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

/// Starts the actor of the host list. Its updates go to `core`.
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
