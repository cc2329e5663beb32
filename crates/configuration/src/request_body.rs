//! Parsing, application and validation of the bodies of calls that change the configuration.

use crate::configuration::Configuration;
use crate::error::{invalid, InvalidConfiguration};
use crate::item::{duplicate_name, read_items, remove_items, upsert_items, ConfigurationItem};
use crate::result_code::ResultCode;
use crate::schema::{Route, Service};
use crate::tenant::Tenant;
use crate::validation::validate;
use serde::Deserialize;
use serde_json::value::RawValue;

/// Body of a call that replaces the configuration.
#[derive(Deserialize)]
struct Replacement {
    version: u64,
    routes: Vec<Box<RawValue>>,
    services: Vec<Box<RawValue>>,
    #[serde(default)]
    limits: Option<Box<RawValue>>,
    #[serde(default)]
    tenants: Option<Box<RawValue>>,
}

/// Items that an amendment adds or replaces.
#[derive(Deserialize, Default)]
#[serde(default)]
struct Upserts {
    routes: Vec<Box<RawValue>>,
    services: Vec<Box<RawValue>>,
    limits: Option<Box<RawValue>>,
    tenants: Option<Box<RawValue>>,
}

/// Names of the items that an amendment removes.
#[derive(Deserialize, Default)]
#[serde(default)]
struct Removals {
    routes: Vec<String>,
    services: Vec<String>,
    tenants: Vec<String>,
}

/// Body of a call that amends the configuration.
#[derive(Deserialize)]
struct Amendment {
    version: u64,
    #[serde(default)]
    upsert: Upserts,
    #[serde(default)]
    remove: Removals,
}

impl Configuration {
    /// Parses and validates a configuration that is to replace version `current_version` (0 if there is none).
    ///
    /// # Errors
    /// The reason and the invalid item if the configuration is invalid.
    pub fn read(body: &[u8], current_version: u64) -> Result<Configuration, InvalidConfiguration> {
        let replacement: Replacement = match serde_json::from_slice(body) {
            Ok(replacement) => replacement,
            Err(error) => return invalid(ResultCode::Unreadable, error.to_string()),
        };
        let configuration = Configuration {
            version: replacement.version,
            routes: read_items(&replacement.routes)?,
            services: read_items(&replacement.services)?,
            limits: replacement
                .limits
                .map(|limits| ConfigurationItem::read(limits.get()))
                .transpose()?,
            tenants: replacement
                .tenants
                .map(|tenants| read_tenants(&tenants))
                .transpose()?,
        };
        validate(&configuration, current_version)?;
        Ok(configuration)
    }

    /// Parses an amendment, applies it to this configuration and validates the result.
    ///
    /// # Errors
    /// The reason and the invalid item if the amendment or its result is invalid.
    pub fn amended(&self, body: &[u8]) -> Result<Configuration, InvalidConfiguration> {
        let amendment: Amendment = match serde_json::from_slice(body) {
            Ok(amendment) => amendment,
            Err(error) => return invalid(ResultCode::Unreadable, error.to_string()),
        };
        let mut next = self.clone();
        next.version = amendment.version;
        remove_items(&mut next.routes, &amendment.remove.routes);
        remove_items(&mut next.services, &amendment.remove.services);
        let (routes, services, tenants) = (
            read_items(&amendment.upsert.routes)?,
            read_items(&amendment.upsert.services)?,
            amendment
                .upsert
                .tenants
                .map_or(Ok(Vec::new()), |tenants| read_tenants(&tenants))?,
        );
        let duplicate = duplicate_name::<Route>(&routes)
            .or(duplicate_name::<Service>(&services))
            .or(duplicate_name::<Tenant>(&tenants));
        if let Some(name) = duplicate {
            return invalid(ResultCode::SameName, name);
        }
        next.amend_tenants(tenants, &amendment.remove.tenants);
        upsert_items(&mut next.routes, routes);
        upsert_items(&mut next.services, services);
        if let Some(limits) = amendment.upsert.limits {
            next.limits = Some(ConfigurationItem::read(limits.get())?);
        }
        validate(&next, self.version)?;
        Ok(next)
    }

    /// Removes tenants, then adds or replaces others. The first added tenant creates the list if there is none.
    fn amend_tenants(&mut self, upsert: Vec<ConfigurationItem<Tenant>>, remove: &[String]) {
        if let Some(tenants) = &mut self.tenants {
            remove_items(tenants, remove);
        }
        if !upsert.is_empty() {
            upsert_items(self.tenants.get_or_insert_default(), upsert);
        }
    }
}

/// Parses tenants. Unlike those of other items, the errors quote nothing of the text, as it may contain an API key.
fn read_tenants(list: &RawValue) -> Result<Vec<ConfigurationItem<Tenant>>, InvalidConfiguration> {
    let Ok(raw_items) = serde_json::from_str::<Vec<Box<RawValue>>>(list.get()) else {
        return invalid(ResultCode::BadValue, "tenants: not a list");
    };
    let read = |index: usize, raw: &RawValue| {
        ConfigurationItem::read(raw.get()).or_else(|_| {
            let detail = format!("tenants[{index}]: a field is missing or has another type");
            invalid(ResultCode::BadValue, detail)
        })
    };
    let indexed = raw_items.iter().enumerate();
    indexed.map(|(index, raw)| read(index, raw)).collect()
}
