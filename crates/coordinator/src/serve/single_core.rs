//! The service with one core: all actors run on one thread.

use super::components::{
    dialect, fronts, incarnation, retry_after, server_limits, start_list_source, ServiceParts,
};
use crate::config::Config;
use crate::core::{self, Clock, CoreHandle, CoreMessage, Dispatch, QueryTable};
use crate::counters::Counters;
use crate::interface::ListKind;
use crate::net::gossip::GossipSocket;
use crate::net::hosts::{HostConnections, HostConnectionsSetup};
use crate::net::http::{self, Incoming};
use crate::ops::list_overlay;
use crate::peers::LoadPublisher;
use multi_core::core_dispatch::CoreDispatcher;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::mpsc;

/// Limit on the load updates queued for the gossip socket; further ones are dropped.
const MAX_QUEUED_UPDATES: usize = 8;

/// Serves until `stop` turns true.
///
/// # Errors
/// If the core has ended.
pub(super) async fn run(service: ServiceParts) -> std::io::Result<()> {
    let ServiceParts {
        config,
        clients,
        counters,
        stop,
        discovery_moves,
        operations,
    } = service;
    log::info!("{}", config.summary());
    let (mailbox, inbox) = mpsc::unbounded_channel();
    let origin = Instant::now();
    let dispatcher = CoreDispatcher::new(1, config.site.limits.max_open);
    let dispatch = Dispatch { dispatcher, origin };
    let core = CoreHandle::new(
        vec![mailbox.clone()],
        dispatch.clone(),
        retry_after(&config),
        counters.clone(),
    );
    let mut readiness = operations.as_ref().map(|o| o.readiness.clone());
    let fronts = fronts(&config, core, &counters, readiness.clone());
    let limits = server_limits(&config, config.capacity, clients.restart_role.clone());
    let hosts = HostConnections::new(HostConnectionsSetup {
        dialect: dialect(&config),
        caps: config.site.limits.clone(),
        max_connections: config.capacity.host_connections,
        core: mailbox.clone(),
        counters: counters.clone(),
        gates: None,
        restart_role: clients.restart_role.clone(),
    });
    let table = QueryTable::new(
        config.site.clone(),
        config.seed,
        Clock::new(),
        hosts,
        config.capacity.response_bytes,
        counters.clone(),
    );
    let table = with_gossip(table, &config, &mailbox, &counters);
    let mut list_updates = mailbox.clone();
    if let Some(operations) = operations {
        let (updates, inbox) = mpsc::unbounded_channel();
        let actor = list_overlay::run(operations.overlay, inbox, operations.requests, mailbox);
        tokio::spawn(actor);
        list_updates = updates;
    }
    // The last known list is sent before any query, so that the first query finds hosts.
    let known = config.known_list.members.clone();
    let _ = list_updates.send(CoreMessage::HostList(ListKind::Cached, known));
    let core_task = tokio::spawn(core::run(table, inbox, 0, dispatch));
    start_list_source(config, list_updates, &counters, discovery_moves);
    if let Some(readiness) = readiness.take() {
        readiness.set_accepting();
    }
    tokio::select! {
        () = http::serve(Incoming::Listener(clients), Arc::new(fronts), limits, counters, stop) => Ok(()),
        _ = core_task => Err(std::io::Error::other("the core has ended")),
    }
}

/// Connects the table to the gossip with peers and starts the gossip socket's actor, if gossip is configured.
fn with_gossip(
    table: QueryTable<HostConnections>,
    config: &Config,
    core: &mpsc::UnboundedSender<CoreMessage>,
    counters: &Counters,
) -> QueryTable<HostConnections> {
    let addresses = config.peer_addresses.clone();
    let Some((addresses, settings)) = addresses.zip(config.site.gossip) else {
        return table;
    };
    let (updates, outgoing) = mpsc::channel(MAX_QUEUED_UPDATES);
    let socket = GossipSocket {
        addresses,
        updates: outgoing,
        core: core.clone(),
        counters: counters.clone(),
    };
    let publisher = LoadPublisher::new(settings, incarnation(), config.seed);
    tokio::spawn(socket.run());
    table.with_gossip(publisher, updates)
}
