//! The operators' configuration: its items as they were sent, beside their values.

use crate::item::{share_items, unshared_bytes, ConfigurationItem};
use crate::schema::{Limits, Route, Service};

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
}

impl Configuration {
    /// This configuration, sharing the memory of its unchanged items with `before`.
    pub fn sharing(mut self, before: &Configuration) -> Configuration {
        share_items(&mut self.routes, &before.routes);
        share_items(&mut self.services, &before.services);
        self
    }

    /// Bytes of JSON of the items that share no memory with `before`.
    pub fn unshared_bytes(&self, before: &Configuration) -> usize {
        unshared_bytes(&self.routes, &before.routes)
            + unshared_bytes(&self.services, &before.services)
    }

    /// The configuration as JSON, with the items as they were sent.
    pub fn to_json(&self) -> String {
        let limits = self
            .limits
            .as_ref()
            .map_or(String::new(), |l| format!(",\"limits\":{}", l.raw));
        format!(
            "{{\"version\":{},\"routes\":[{}],\"services\":[{}]{limits}}}",
            self.version,
            join_texts(&self.routes),
            join_texts(&self.services),
        )
    }

    /// The limits for clients; the defaults if none were sent.
    pub fn client_limits(&self) -> Limits {
        self.limits.as_ref().map(|l| *l.value).unwrap_or_default()
    }
}

/// The items' texts as a JSON array without its brackets.
fn join_texts<T>(items: &[ConfigurationItem<T>]) -> String {
    let texts: Vec<&str> = items.iter().map(|item| &*item.raw).collect();
    texts.join(",")
}
