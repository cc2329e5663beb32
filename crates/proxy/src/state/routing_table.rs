//! Routing table: the data by which requests are routed, from the configuration in force and the fleet.

use crate::routes::RouteTable;
use crate::tenants::TenantTable;
use configuration::{Configuration, Limits};
use std::collections::HashMap;
use std::sync::Arc;

/// Minimum number of connections from this process to one host, whatever the service's limit and the number of proxies.
pub(crate) const MIN_CONNECTIONS_PER_HOST: usize = 4;

/// Data by which requests are routed, derived from the newest configuration and the fleet.
#[derive(Debug)]
pub(crate) struct RoutingTable {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) routes: RouteTable,
    pub(crate) tenants: TenantTable,
    pub(crate) client_limits: Limits,
    /// By service: maximum number of connections from this process to one host.
    pub(crate) connections_per_host: HashMap<String, usize>,
    /// Whether any host accepts requests, that is, isn't draining.
    pub(crate) has_hosts: bool,
}

impl RoutingTable {
    /// Creates the table for a configuration.
    pub(crate) fn new(
        configuration: Arc<Configuration>,
        connections_per_host: HashMap<String, usize>,
        has_hosts: bool,
    ) -> Self {
        Self {
            routes: RouteTable::new(&configuration),
            tenants: TenantTable::new(&configuration),
            client_limits: configuration.client_limits(),
            configuration,
            connections_per_host,
            has_hosts,
        }
    }
}

/// Computes, by service, this proxy's even share of the connections that one host accepts.
pub(crate) fn connections_per_host(
    configuration: &Configuration,
    proxy_count: usize,
) -> HashMap<String, usize> {
    configuration
        .services
        .iter()
        .map(|service| {
            let share = service.value.conn_limit as usize / proxy_count.max(1);
            (
                service.value.name.clone(),
                share.max(MIN_CONNECTIONS_PER_HOST),
            )
        })
        .collect()
}
