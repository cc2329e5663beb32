//! The operators' configuration: its items as they were sent, beside their values.

use crate::item::{share_items, unshared_bytes, ConfigurationItem};
use crate::schema::{Limits, Route, Service};
use crate::tenant::Tenant;
use serde_json::Value;

/// A version of the operators' configuration.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Configuration {
    /// Its version; 0 if there is none yet.
    pub version: u64,
    /// The routes in the order in which they came.
    pub routes: Vec<ConfigurationItem<Route>>,
    /// The services.
    pub services: Vec<ConfigurationItem<Service>>,
    /// The limits for clients, if they were sent.
    pub limits: Option<ConfigurationItem<Limits>>,
    /// The tenants. Once there is a list, even an empty one, requests need an API key.
    pub tenants: Option<Vec<ConfigurationItem<Tenant>>>,
}

impl Configuration {
    /// This configuration, sharing the memory of its unchanged items with `before`.
    pub fn sharing(mut self, before: &Configuration) -> Configuration {
        share_items(&mut self.routes, &before.routes);
        share_items(&mut self.services, &before.services);
        if let (Some(tenants), Some(tenants_before)) = (&mut self.tenants, &before.tenants) {
            share_items(tenants, tenants_before);
        }
        self
    }

    /// Bytes of JSON of the items that share no memory with `before`.
    pub fn unshared_bytes(&self, before: &Configuration) -> usize {
        unshared_bytes(&self.routes, &before.routes)
            + unshared_bytes(&self.services, &before.services)
            + unshared_bytes(self.tenant_items(), before.tenant_items())
    }

    /// The configuration as JSON, with the items as they were sent.
    pub fn to_json(&self) -> String {
        let limits = self
            .limits
            .as_ref()
            .map_or(String::new(), |l| format!(",\"limits\":{}", l.raw));
        let tenants = self.tenants.as_ref().map_or(String::new(), |tenants| {
            format!(",\"tenants\":[{}]", join_texts(tenants))
        });
        format!(
            "{{\"version\":{},\"routes\":[{}],\"services\":[{}]{limits}{tenants}}}",
            self.version,
            join_texts(&self.routes),
            join_texts(&self.services),
        )
    }

    /// As [`Configuration::to_json`], with the API keys' fingerprints in place of the keys.
    pub fn to_masked_json(&self) -> String {
        let mut masked = self.clone();
        for tenant in masked.tenants.iter_mut().flatten() {
            tenant.raw = masked_tenant_json(tenant).into();
        }
        masked.to_json()
    }

    /// What is valid but hardly meant, a line each with its place.
    pub fn warnings(&self) -> Vec<String> {
        let tenants = self.tenant_items().iter().enumerate();
        tenants
            .flat_map(|(index, tenant)| {
                let warnings = tenant.value.warnings();
                warnings.map(move |warning| format!("tenants[{index}]: {warning}"))
            })
            .collect()
    }

    /// The tenants; none where the configuration has no list of them.
    pub fn tenant_items(&self) -> &[ConfigurationItem<Tenant>] {
        self.tenants.as_deref().unwrap_or_default()
    }

    /// The limits for clients; the defaults if none were sent.
    pub fn client_limits(&self) -> Limits {
        self.limits.as_ref().map(|l| *l.value).unwrap_or_default()
    }
}

/// A tenant's JSON with the fingerprints of its keys.
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

/// The items' texts as a JSON array without its brackets.
fn join_texts<T>(items: &[ConfigurationItem<T>]) -> String {
    let texts: Vec<&str> = items.iter().map(|item| &*item.raw).collect();
    texts.join(",")
}
