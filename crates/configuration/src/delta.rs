//! The difference between two versions of a configuration.

use crate::configuration::Configuration;
use crate::error::{invalid, InvalidConfiguration};
use crate::item::{diff_items, remove_items, upsert_items, ConfigurationItem};
use crate::result_code::ResultCode;
use crate::tenant::Tenant;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The difference between a configuration and a later one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationDelta {
    /// Version that the delta applies to.
    #[serde(rename = "from")]
    pub base_version: u64,
    /// Version that results.
    #[serde(rename = "to")]
    pub version: u64,
    /// Added or replaced routes, each as JSON.
    pub routes: Vec<String>,
    /// Added or replaced services, each as JSON.
    pub services: Vec<String>,
    /// Names of the removed routes.
    #[serde(rename = "gone_routes")]
    pub removed_routes: Vec<String>,
    /// Names of the removed services.
    #[serde(rename = "gone_services")]
    pub removed_services: Vec<String>,
    /// Limits for clients as JSON; `None` if unchanged.
    pub limits: Option<String>,
    /// Changes of the tenants; `None` if unchanged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenants: Option<TenantsDelta>,
}

/// The difference between the tenants of two configurations.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantsDelta {
    /// Whether the later configuration has a list of tenants, which may be empty.
    pub present: bool,
    /// Added or replaced tenants, each as JSON.
    pub tenants: Vec<String>,
    /// Names of the removed tenants.
    pub removed: Vec<String>,
}

impl Configuration {
    /// The delta from this configuration to a newer one.
    pub fn delta(&self, newer: &Configuration) -> ConfigurationDelta {
        let (routes, removed_routes) = diff_items(&self.routes, &newer.routes);
        let (services, removed_services) = diff_items(&self.services, &newer.services);
        let limits = newer
            .limits
            .as_ref()
            .filter(|_| self.limits != newer.limits)
            .map(|limits| limits.raw.to_string());
        ConfigurationDelta {
            base_version: self.version,
            version: newer.version,
            routes,
            services,
            removed_routes,
            removed_services,
            limits,
            tenants: self.tenants_delta(newer),
        }
    }

    fn tenants_delta(&self, newer: &Configuration) -> Option<TenantsDelta> {
        if self.tenants == newer.tenants {
            return None;
        }
        let (tenants, removed) = diff_items(self.tenant_items(), newer.tenant_items());
        Some(TenantsDelta {
            present: newer.tenants.is_some(),
            tenants,
            removed,
        })
    }

    /// Returns this configuration with a delta applied. A delta comes from another process of the system, so that the
    /// result is not validated. The order of the items may differ from that of the newer configuration.
    ///
    /// # Errors
    /// [`ResultCode::OtherBase`] if the delta applies to another version, [`ResultCode::BadValue`] if an item can't be
    /// parsed.
    pub fn patched(
        &self,
        delta: &ConfigurationDelta,
    ) -> Result<Configuration, InvalidConfiguration> {
        if delta.base_version != self.version {
            return invalid(
                ResultCode::OtherBase,
                format!("{} on {}", delta.base_version, self.version),
            );
        }
        let mut next = self.clone();
        next.version = delta.version;
        remove_items(&mut next.routes, &delta.removed_routes);
        remove_items(&mut next.services, &delta.removed_services);
        upsert_items(&mut next.routes, parse_items(&delta.routes)?);
        upsert_items(&mut next.services, parse_items(&delta.services)?);
        if let Some(limits) = &delta.limits {
            next.limits = Some(ConfigurationItem::read(limits)?);
        }
        if let Some(delta) = &delta.tenants {
            next.tenants = patched_tenants(next.tenants, delta)?;
        }
        Ok(next)
    }
}

fn patched_tenants(
    tenants: Option<Vec<ConfigurationItem<Tenant>>>,
    delta: &TenantsDelta,
) -> Result<Option<Vec<ConfigurationItem<Tenant>>>, InvalidConfiguration> {
    if !delta.present {
        return Ok(None);
    }
    let mut tenants = tenants.unwrap_or_default();
    remove_items(&mut tenants, &delta.removed);
    upsert_items(&mut tenants, parse_items(&delta.tenants)?);
    Ok(Some(tenants))
}

fn parse_items<T: DeserializeOwned>(
    texts: &[String],
) -> Result<Vec<ConfigurationItem<T>>, InvalidConfiguration> {
    texts
        .iter()
        .map(|text| ConfigurationItem::read(text))
        .collect()
}
