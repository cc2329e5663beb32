//! Authentication: the tenant that a request's API key belongs to.

use crate::headers::API_KEY;
use configuration::{ApiKey, Configuration, KeyDigest, ResultCode, Route, Tenant};
use http1::Fields;
use std::collections::HashMap;
use std::sync::Arc;

/// Sender of a request, as determined by its API key.
#[derive(Clone, Debug)]
pub enum Caller {
    /// The configuration has no list of tenants: requests need no key, and the key's field is forwarded like any other.
    Unchecked,
    /// The request has no known key, on a route that allows anonymous requests.
    Anonymous,
    /// The tenant that the request's key belongs to.
    Tenant(Arc<Tenant>),
}

impl Caller {
    /// Returns the tenant; `None` for unchecked and anonymous requests.
    pub fn tenant(&self) -> Option<&Arc<Tenant>> {
        match self {
            Self::Unchecked | Self::Anonymous => None,
            Self::Tenant(tenant) => Some(tenant),
        }
    }

    /// Returns the tenant's rank, which sets the priority of its requests; `None` without a tenant.
    pub fn rank(&self) -> Option<u32> {
        self.tenant().map(|tenant| tenant.rank)
    }

    /// Returns whether the proxy sets and removes the fields for the key and the tenant, instead of forwarding them.
    pub fn owns_key_fields(&self) -> bool {
        !matches!(self, Self::Unchecked)
    }
}

/// Tenants of a configuration by the digests of their keys. As a common prefix of two digests says nothing about the
/// keys, the time of a lookup doesn't leak anything about them.
#[derive(Debug, Default)]
pub struct TenantTable {
    /// Tenants by key digest; `None` if the configuration has no list of tenants.
    by_key: Option<HashMap<KeyDigest, Arc<Tenant>>>,
}

impl TenantTable {
    /// Creates the table of a configuration's tenants.
    pub fn new(configuration: &Configuration) -> Self {
        let Some(tenants) = &configuration.tenants else {
            return Self::default();
        };
        let mut by_key = HashMap::new();
        for tenant in tenants {
            for key in tenant
                .value
                .credentials
                .iter()
                .filter(|key| !key.is_empty())
            {
                by_key.insert(key.digest(), tenant.value.clone());
            }
        }
        Self {
            by_key: Some(by_key),
        }
    }

    /// Determines the sender of a request with these fields on a route.
    ///
    /// # Errors
    /// [`ResultCode::UnknownKey`] unless the fields have exactly one key and it belongs to a tenant, or the route
    /// allows anonymous requests.
    pub fn authenticate(&self, fields: &Fields, route: &Route) -> Result<Caller, ResultCode> {
        let Some(by_key) = &self.by_key else {
            return Ok(Caller::Unchecked);
        };
        let mut keys = fields.get_all(API_KEY);
        let tenant = match (keys.next(), keys.next()) {
            (Some(key), None) => by_key.get(&ApiKey::digest_of(key)),
            _ => None,
        };
        match tenant {
            Some(tenant) => Ok(Caller::Tenant(tenant.clone())),
            None if route.anonymous => Ok(Caller::Anonymous),
            None => Err(ResultCode::UnknownKey),
        }
    }
}
