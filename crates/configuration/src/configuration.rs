//! The operators' configuration: its items as they were sent, beside their values.

use crate::error::{invalid, InvalidConfiguration};
use crate::item::{
    duplicate_name, read_items, remove_items, share_items, unshared_bytes, upsert_items,
    ConfigurationItem,
};
use crate::result_code::ResultCode;
use crate::schema::{Limits, Route, Service};
use crate::validation::validate;
use serde::Deserialize;
use serde_json::value::RawValue;

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

/// The body of a call that replaces the configuration.
#[derive(Deserialize)]
struct Replacement {
    version: u64,
    routes: Vec<Box<RawValue>>,
    services: Vec<Box<RawValue>>,
    #[serde(default)]
    limits: Option<Box<RawValue>>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Upserts {
    routes: Vec<Box<RawValue>>,
    services: Vec<Box<RawValue>>,
    limits: Option<Box<RawValue>>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Removals {
    routes: Vec<String>,
    services: Vec<String>,
}

/// The body of a call that amends the configuration.
#[derive(Deserialize)]
struct Amendment {
    version: u64,
    #[serde(default)]
    upsert: Upserts,
    #[serde(default)]
    remove: Removals,
}

impl Configuration {
    /// Parses and validates a configuration that is to follow version `current` (0: none).
    ///
    /// # Errors
    /// The reason and the place if it is invalid.
    pub fn read(body: &[u8], current: u64) -> Result<Configuration, InvalidConfiguration> {
        let replacement: Replacement = match serde_json::from_slice(body) {
            Ok(replacement) => replacement,
            Err(e) => return invalid(ResultCode::Unreadable, e.to_string()),
        };
        let configuration = Configuration {
            version: replacement.version,
            routes: read_items(&replacement.routes)?,
            services: read_items(&replacement.services)?,
            limits: replacement
                .limits
                .map(|l| ConfigurationItem::read(l.get()))
                .transpose()?,
        };
        validate(&configuration, current)?;
        Ok(configuration)
    }

    /// This configuration with an amendment applied, validated.
    ///
    /// # Errors
    /// The reason and the place if the amendment or its result is invalid.
    pub fn amended(&self, body: &[u8]) -> Result<Configuration, InvalidConfiguration> {
        let amendment: Amendment = match serde_json::from_slice(body) {
            Ok(amendment) => amendment,
            Err(e) => return invalid(ResultCode::Unreadable, e.to_string()),
        };
        let mut next = self.clone();
        next.version = amendment.version;
        remove_items(&mut next.routes, &amendment.remove.routes);
        remove_items(&mut next.services, &amendment.remove.services);
        let (routes, services) = (
            read_items(&amendment.upsert.routes)?,
            read_items(&amendment.upsert.services)?,
        );
        if let Some(name) =
            duplicate_name::<Route>(&routes).or(duplicate_name::<Service>(&services))
        {
            return invalid(ResultCode::SameName, name);
        }
        upsert_items(&mut next.routes, routes);
        upsert_items(&mut next.services, services);
        if let Some(limits) = amendment.upsert.limits {
            next.limits = Some(ConfigurationItem::read(limits.get())?);
        }
        validate(&next, self.version)?;
        Ok(next)
    }

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
