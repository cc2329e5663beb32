//! The bodies of the calls that change the configuration: read, applied, and the result validated.

use crate::configuration::Configuration;
use crate::error::{invalid, InvalidConfiguration};
use crate::item::{duplicate_name, read_items, remove_items, upsert_items, ConfigurationItem};
use crate::result_code::ResultCode;
use crate::schema::{Route, Service};
use crate::validation::validate;
use serde::Deserialize;
use serde_json::value::RawValue;

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
}
