//! Applies new snapshots of the fleet to the state.

use super::routing_table::{connections_per_host, RoutingTable};
use super::ProxyState;
use crate::fleet::FleetSnapshot;
use balancing::ServiceInfo;
use configuration::{Configuration, Service};
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

impl ProxyState {
    /// Applies a snapshot. A configuration older than the one in force is ignored, but the snapshot's hosts are
    /// applied.
    pub(crate) fn apply_fleet(&self, snapshot: &FleetSnapshot) {
        let now = self.now();
        *self.configuration_age.borrow_mut() = Some(snapshot.configuration_age.clone());
        let previous = self.routing_table();
        let configuration = newest_configuration(previous.as_deref(), snapshot);
        let unchanged = previous
            .as_ref()
            .filter(|table| Arc::ptr_eq(&table.configuration, configuration));
        if unchanged.is_none() {
            self.apply_services(now, configuration);
        }
        self.apply_hosts(now, snapshot);
        let tenants = configuration.tenant_items().iter();
        self.quotas.set_fleet(
            &snapshot.quota_members,
            snapshot.proxy_count,
            configuration.version,
            tenants.map(|tenant| &*tenant.value),
        );
        let has_hosts = snapshot.hosts.iter().any(|host| !host.draining);
        let connections = connections_per_host(configuration, snapshot.proxy_count);
        let up_to_date = unchanged.is_some_and(|table| {
            table.connections_per_host == connections && table.has_hosts == has_hosts
        });
        if !up_to_date {
            let table = RoutingTable::new(configuration.clone(), connections, has_hosts);
            *self.routing_table.borrow_mut() = Some(Rc::new(table));
        }
    }

    fn apply_services(&self, now: Duration, configuration: &Configuration) {
        let services: Vec<ServiceInfo> = configuration
            .services
            .iter()
            .map(|service| service_info(&service.value))
            .collect();
        self.load_balancer.borrow_mut().set_services(now, &services);
        log::info!(
            "applied configuration version {} with {} routes",
            configuration.version,
            configuration.routes.len()
        );
    }

    fn apply_hosts(&self, now: Duration, snapshot: &FleetSnapshot) {
        let mut hints = self.hints.borrow_mut();
        hints.set_peers(&snapshot.peer_hint_addresses);
        let all_peers_reached = hints.reaches_all_peers(now);
        let mut load_balancer = self.load_balancer.borrow_mut();
        load_balancer.set_hints_complete(now, all_peers_reached);
        load_balancer.set_proxy_count(now, snapshot.proxy_count);
        load_balancer.set_hosts(now, &snapshot.hosts);
        let mut pool = self.pool.borrow_mut();
        let ids: HashSet<&str> = snapshot.hosts.iter().map(|host| &*host.id).collect();
        pool.retain_hosts(&ids);
        for host in snapshot.hosts.iter().filter(|host| host.draining) {
            pool.close_idle(&host.id);
        }
    }
}

fn newest_configuration<'a>(
    previous: Option<&'a RoutingTable>,
    snapshot: &'a FleetSnapshot,
) -> &'a Arc<Configuration> {
    match previous {
        Some(table) if table.configuration.version > snapshot.configuration.version => {
            &table.configuration
        }
        _ => &snapshot.configuration,
    }
}

fn service_info(service: &Service) -> ServiceInfo {
    ServiceInfo {
        name: service.name.as_str().into(),
        connection_limit: service.conn_limit,
        cache_capacity_tokens: service.engine.as_ref().map(|engine| engine.cache_tokens),
    }
}
