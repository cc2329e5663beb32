//! The operators' configuration: each item as the JSON text that was sent, with its parsed value.

use crate::item::{share_items, unshared_bytes, ConfigurationItem};
use crate::schema::{Limits, Route, Service};
use crate::tenant::Tenant;
use serde_json::Value;

/// One version of the operators' configuration.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Configuration {
    /// Version number; 0 as long as no configuration has been applied.
    pub version: u64,
    /// Routes in the order in which they were sent.
    pub routes: Vec<ConfigurationItem<Route>>,
    /// Services that routes lead to.
    pub services: Vec<ConfigurationItem<Service>>,
    /// Limits for clients; `None` if none were sent.
    pub limits: Option<ConfigurationItem<Limits>>,
    /// Tenants; `None` if no list was sent. With a list, even an empty one, requests need an API key.
    pub tenants: Option<Vec<ConfigurationItem<Tenant>>>,
}

impl Configuration {
    /// Returns this configuration with its unchanged items sharing the memory of those in `previous`.
    pub fn sharing(mut self, previous: &Configuration) -> Configuration {
        share_items(&mut self.routes, &previous.routes);
        share_items(&mut self.services, &previous.services);
        if let (Some(tenants), Some(previous_tenants)) = (&mut self.tenants, &previous.tenants) {
            share_items(tenants, previous_tenants);
        }
        self
    }

    /// Bytes of JSON of the routes, services and tenants that share no memory with `previous`.
    pub fn unshared_bytes(&self, previous: &Configuration) -> usize {
        unshared_bytes(&self.routes, &previous.routes)
            + unshared_bytes(&self.services, &previous.services)
            + unshared_bytes(self.tenant_items(), previous.tenant_items())
    }

    /// The configuration as JSON, with each item as it was sent.
    pub fn to_json(&self) -> String {
        let limits = self.limits.as_ref().map_or(String::new(), |limits| {
            format!(",\"limits\":{}", limits.raw)
        });
        let tenants = self.tenants.as_ref().map_or(String::new(), |tenants| {
            format!(",\"tenants\":[{}]", join_raw_items(tenants))
        });
        format!(
            "{{\"version\":{},\"routes\":[{}],\"services\":[{}]{limits}{tenants}}}",
            self.version,
            join_raw_items(&self.routes),
            join_raw_items(&self.services),
        )
    }

    /// The configuration as JSON like [`Configuration::to_json`], with fingerprints in place of the API keys.
    pub fn to_masked_json(&self) -> String {
        let mut masked = self.clone();
        for tenant in masked.tenants.iter_mut().flatten() {
            tenant.raw = masked_tenant_json(tenant).into();
        }
        masked.to_json()
    }

    /// Warnings about valid but probably unintended values, one line each, starting with the item's position.
    pub fn warnings(&self) -> Vec<String> {
        let tenants = self.tenant_items().iter().enumerate();
        tenants
            .flat_map(|(index, tenant)| {
                let warnings = tenant.value.warnings();
                warnings.map(move |warning| format!("tenants[{index}]: {warning}"))
            })
            .collect()
    }

    /// The tenants; empty if the configuration has no list of them.
    pub fn tenant_items(&self) -> &[ConfigurationItem<Tenant>] {
        self.tenants.as_deref().unwrap_or_default()
    }

    /// The limits for clients; the defaults if none were sent.
    pub fn client_limits(&self) -> Limits {
        self.limits
            .as_ref()
            .map(|limits| *limits.value)
            .unwrap_or_default()
    }
}

/// A tenant as JSON, with fingerprints in place of its API keys. Empty if its text is not a JSON object.
pub fn masked_tenant_json(tenant: &ConfigurationItem<Tenant>) -> String {
    let Ok(Value::Object(mut fields)) = serde_json::from_str(&tenant.raw) else {
        return String::new();
    };
    let keys = tenant.value.credentials.iter();
    let fingerprints: Vec<Value> = keys.map(|key| key.to_string().into()).collect();
    if let Some(credentials) = fields.get_mut("credentials") {
        *credentials = fingerprints.into();
    }
    Value::Object(fields).to_string()
}

/// Joins the items' texts to the contents of a JSON array, without its brackets.
fn join_raw_items<T>(items: &[ConfigurationItem<T>]) -> String {
    let raw_items: Vec<&str> = items.iter().map(|item| &*item.raw).collect();
    raw_items.join(",")
}
