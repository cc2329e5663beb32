//! Addition, update and removal of services and hosts.

use super::BalancerState;
use crate::host::{Host, HostKey};
use crate::service::{Service, ServiceKey};
use crate::types::{HostInfo, ServiceInfo};
use std::collections::HashSet;
use std::time::Duration;

impl BalancerState {
    /// Replaces the configured services.
    pub(crate) fn set_services(&mut self, now: Duration, services: &[ServiceInfo]) {
        for (_, service) in &mut self.services {
            service.info = None;
        }
        for info in services {
            if let Some(service) = self.service_mut(&info.name) {
                service.info = Some(info.clone());
            }
        }
        self.remove_unused_services(now);
    }

    /// Replaces the hosts of all services.
    pub(crate) fn set_hosts(&mut self, now: Duration, hosts: &[HostInfo]) {
        self.remove_missing_hosts(hosts);
        let new_services: HashSet<ServiceKey> = self
            .services
            .iter()
            .filter(|(_, service)| service.hosts.is_empty())
            .map(|(key, _)| ServiceKey(key))
            .collect();
        for info in hosts {
            self.set_host(now, info, &new_services);
        }
        self.remove_unused_services(now);
    }

    /// Whether the host is listed and not draining.
    pub(crate) fn is_serving(&self, host_id: &str) -> bool {
        let host = self.host_keys.get(host_id);
        host.and_then(|key| self.hosts.get(key.0))
            .is_some_and(|host| !host.info.draining)
    }

    /// Returns the key of a service, which is added if it is unknown.
    pub(crate) fn find_or_add_service(&mut self, name: &str) -> ServiceKey {
        if let Some(key) = self.service_keys.get(name) {
            return *key;
        }
        let service = Service::new(self.retry_limits.window);
        let key = ServiceKey(self.services.insert(service));
        self.service_keys.insert(name.into(), key);
        key
    }

    /// Removes services that are not configured, have no hosts and had no recent requests.
    fn remove_unused_services(&mut self, now: Duration) {
        let services = &mut self.services;
        self.service_keys.retain(|_, key| {
            let is_used = services
                .get(key.0)
                .is_some_and(|service| is_service_used(service, now));
            if !is_used {
                services.try_remove(key.0);
            }
            is_used
        });
    }

    fn remove_missing_hosts(&mut self, hosts: &[HostInfo]) {
        let listed: HashSet<&str> = hosts.iter().map(|info| &*info.id).collect();
        let missing: Vec<HostKey> = self
            .hosts
            .iter()
            .filter(|(_, host)| !listed.contains(&*host.info.id))
            .map(|(key, _)| HostKey(key))
            .collect();
        for key in missing {
            self.remove_host(key);
        }
    }

    /// Adds a host, or updates its record. A host whose address or service changed is replaced.
    fn set_host(&mut self, now: Duration, info: &HostInfo, new_services: &HashSet<ServiceKey>) {
        if let Some(&key) = self.host_keys.get(&info.id) {
            let Some(host) = self.hosts.get(key.0) else {
                return;
            };
            if host.info.addr == info.addr && host.info.service == info.service {
                self.update_host(now, key, info);
                return;
            }
            self.remove_host(key);
        }
        self.add_host(now, info, new_services);
    }

    fn update_host(&mut self, now: Duration, key: HostKey, info: &HostInfo) {
        let Some(host) = self.hosts.get_mut(key.0) else {
            return;
        };
        let heartbeat_resumed = host.info.heartbeat_expired && !info.heartbeat_expired;
        if info.slow_start_remaining != host.info.slow_start_remaining {
            host.slow_start_until = now + info.slow_start_remaining;
        }
        host.info = info.clone();
        if heartbeat_resumed {
            host.health.on_heartbeat_resumed(now);
        }
        if heartbeat_resumed || info.draining || host.is_unreachable(now) {
            self.remove_idle_record(key);
        }
    }

    fn add_host(&mut self, now: Duration, info: &HostInfo, new_services: &HashSet<ServiceKey>) {
        // An older host with the same address no longer exists.
        for (_, other) in &mut self.hosts {
            if other.info.addr == info.addr && other.known_since < now {
                other.misdirected = true;
            }
        }
        let service_key = self.find_or_add_service(&info.service);
        let has_hosts = self
            .services
            .get(service_key.0)
            .is_some_and(|service| !service.hosts.is_empty());
        let joins_running_service = has_hosts && !new_services.contains(&service_key);
        let host = Host::new(info.clone(), service_key, now, joins_running_service);
        let key = HostKey(self.hosts.insert(host));
        self.host_keys.insert(info.id.clone(), key);
        if let Some(service) = self.services.get_mut(service_key.0) {
            service.hosts.push(key);
        }
    }

    /// Removes a host, immediately or once its attempts have ended.
    fn remove_host(&mut self, key: HostKey) {
        self.remove_idle_record(key);
        let Some(host) = self.hosts.get_mut(key.0) else {
            return;
        };
        host.removed = true;
        if self.host_keys.get(&host.info.id) == Some(&key) {
            self.host_keys.remove(&host.info.id);
        }
        self.drop_removed_host(key);
    }

    /// Drops the state of a removed host once it has no attempts in flight.
    pub(super) fn drop_removed_host(&mut self, key: HostKey) {
        let is_droppable = |host: &&Host| host.removed && host.in_flight.is_empty();
        let Some(host) = self.hosts.get(key.0).filter(is_droppable) else {
            return;
        };
        if let Some(service) = self.services.get_mut(host.service.0) {
            service.hosts.retain(|other| *other != key);
            service.idle_hosts.remove(key);
        }
        self.hosts.remove(key.0);
    }
}

fn is_service_used(service: &Service, now: Duration) -> bool {
    service.info.is_some() || !service.hosts.is_empty() || !service.retry_budget.is_unused(now)
}
