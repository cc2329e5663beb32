//! The operator's configuration: items kept as they were sent, with what they say beside.

use crate::codes::ResultCode;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use snafu::Snafu;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// Why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{} ({}): {detail}", code.text(), code.number()))]
pub struct InvalidConfiguration {
    /// The numbered reason.
    pub code: ResultCode,
    /// The item or place.
    pub detail: String,
}

fn invalid<T>(code: ResultCode, detail: impl Into<String>) -> Result<T, InvalidConfiguration> {
    InvalidConfigurationSnafu { code, detail }.fail()
}

/// Kind of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// May run more than once.
    Pure,
    /// May run at most once for each try.
    Mutating,
    /// Answers come as events; at most once unless it may be resumed.
    Streaming,
}

/// A service that a route leads to, with its weight.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct RouteTarget {
    /// The service's name.
    pub service: String,
    /// Its weight among the route's targets.
    #[serde(rename = "share")]
    pub weight: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The `Host` that it is for.
    pub hostname: String,
    /// The prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Kind of its requests.
    #[serde(rename = "route_class")]
    pub kind: RouteKind,
    /// The longest that a request is held, in ms.
    pub deadline_ms: f64,
    /// The time within which an answer earns its full worth, in ms.
    #[serde(default)]
    pub target_ms: Option<f64>,
    /// 0 is the most urgent.
    #[serde(default)]
    pub rank: u32,
    /// The one service, where there is no split.
    #[serde(default)]
    pub service: Option<String>,
    /// Several services with weights.
    #[serde(default)]
    pub weighted_split: Option<Vec<RouteTarget>>,
    /// The most hosts that one try may be sent to.
    #[serde(default = "one")]
    pub max_tries: u32,
    /// Whether requests share parts of prompts.
    #[serde(default)]
    pub affine: bool,
    /// Whether a stream may be taken up at another host.
    #[serde(default)]
    pub resumable: bool,
    /// Longest pause between events that is in time, in ms.
    #[serde(default)]
    pub gap_aim_ms: Option<f64>,
}

fn one() -> u32 {
    1
}

impl Route {
    /// The services with their weights.
    pub fn targets(&self) -> Vec<(&str, f64)> {
        match (&self.weighted_split, &self.service) {
            (Some(split), _) => split
                .iter()
                .map(|t| (t.service.as_str(), t.weight))
                .collect(),
            (None, Some(service)) => vec![(service.as_str(), 1.0)],
            (None, None) => Vec::new(),
        }
    }

    /// Whether a request may run more than once.
    pub fn idempotent(&self) -> bool {
        self.kind == RouteKind::Pure || (self.kind == RouteKind::Streaming && self.resumable)
    }
}

/// What a service's model hosts are.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Engine {
    /// Requests in a batch.
    #[serde(default)]
    pub capacity: u32,
    /// Tokens that running requests and cached parts share.
    #[serde(default)]
    pub cache_tokens: f64,
    /// Tokens in an event.
    #[serde(default)]
    pub stride: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Path of the health check.
    #[serde(default)]
    pub health_path: String,
    /// Connections that each host accepts, over all callers.
    #[serde(default = "conns")]
    pub conn_limit: u32,
    /// Set for model hosts.
    #[serde(default, rename = "runtime")]
    pub engine: Option<Engine>,
}

fn conns() -> u32 {
    100
}

/// Bounds on clients.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Largest head in bytes.
    pub max_header_bytes: usize,
    /// Largest body in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head, in ms.
    pub header_timeout_ms: u64,
    /// Longest time that a connection stays unused, in ms.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16384,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15000,
        }
    }
}

/// Something with a name.
pub trait HasName {
    /// The name.
    fn name(&self) -> &str;
}

impl HasName for Route {
    fn name(&self) -> &str {
        &self.name
    }
}

impl HasName for Service {
    fn name(&self) -> &str {
        &self.name
    }
}

/// An item as it was sent, and what it says.
#[derive(Clone, Debug)]
pub struct ConfigurationItem<T> {
    /// The JSON text.
    pub raw: Arc<str>,
    /// The value.
    pub value: Arc<T>,
}

impl<T> PartialEq for ConfigurationItem<T> {
    fn eq(&self, other: &Self) -> bool {
        self.raw == other.raw
    }
}

impl<T: serde::de::DeserializeOwned> ConfigurationItem<T> {
    /// Reads an item.
    ///
    /// # Errors
    /// Where the text doesn't say such an item.
    pub fn read(raw: &str) -> Result<Self, InvalidConfiguration> {
        match serde_json::from_str(raw) {
            Ok(value) => Ok(Self {
                raw: raw.into(),
                value: Arc::new(value),
            }),
            Err(e) => invalid(ResultCode::BadValue, e.to_string()),
        }
    }
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Configuration {
    /// Its version; 0 stands for none.
    pub version: u64,
    /// The routes in the order they came in.
    pub routes: Vec<ConfigurationItem<Route>>,
    /// The services.
    pub services: Vec<ConfigurationItem<Service>>,
    /// Bounds on clients, as sent.
    pub limits: Option<ConfigurationItem<Limits>>,
}

#[derive(Deserialize)]
struct Whole {
    version: u64,
    routes: Vec<Box<RawValue>>,
    services: Vec<Box<RawValue>>,
    #[serde(default)]
    limits: Option<Box<RawValue>>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Upsert {
    routes: Vec<Box<RawValue>>,
    services: Vec<Box<RawValue>>,
    limits: Option<Box<RawValue>>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Remove {
    routes: Vec<String>,
    services: Vec<String>,
}

#[derive(Deserialize)]
struct Amendment {
    version: u64,
    #[serde(default)]
    upsert: Upsert,
    #[serde(default)]
    remove: Remove,
}

/// What leads from one configuration to a later one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationDelta {
    /// The version it starts from.
    #[serde(rename = "from")]
    pub base_version: u64,
    /// The version it leads to.
    #[serde(rename = "to")]
    pub version: u64,
    /// Routes added or replaced, as JSON.
    pub routes: Vec<String>,
    /// Services added or replaced, as JSON.
    pub services: Vec<String>,
    /// Names of routes that went.
    #[serde(rename = "gone_routes")]
    pub removed_routes: Vec<String>,
    /// Names of services that went.
    #[serde(rename = "gone_services")]
    pub removed_services: Vec<String>,
    /// The limits, where they changed.
    pub limits: Option<String>,
}

fn read_all<T: serde::de::DeserializeOwned>(
    raws: &[Box<RawValue>],
) -> Result<Vec<ConfigurationItem<T>>, InvalidConfiguration> {
    raws.iter()
        .map(|r| ConfigurationItem::read(r.get()))
        .collect()
}

fn upsert<T: HasName>(list: &mut Vec<ConfigurationItem<T>>, new: Vec<ConfigurationItem<T>>) {
    let at: HashMap<String, usize> = list
        .iter()
        .enumerate()
        .map(|(n, i)| (i.value.name().to_owned(), n))
        .collect();
    for item in new {
        match at.get(item.value.name()) {
            Some(n) => list[*n] = item,
            None => list.push(item),
        }
    }
}

fn without<T: HasName>(list: &mut Vec<ConfigurationItem<T>>, names: &[String]) {
    let names: HashSet<&str> = names.iter().map(String::as_str).collect();
    list.retain(|i| !names.contains(i.value.name()));
}

fn changed<T: HasName>(
    old: &[ConfigurationItem<T>],
    new: &[ConfigurationItem<T>],
) -> (Vec<String>, Vec<String>) {
    let before: HashMap<&str, &ConfigurationItem<T>> =
        old.iter().map(|i| (i.value.name(), i)).collect();
    let after: HashSet<&str> = new.iter().map(|i| i.value.name()).collect();
    let set = new
        .iter()
        .filter(|i| before.get(i.value.name()).is_none_or(|b| b.raw != i.raw));
    let gone = old.iter().filter(|i| !after.contains(i.value.name()));
    (
        set.map(|i| i.raw.to_string()).collect(),
        gone.map(|i| i.value.name().to_owned()).collect(),
    )
}

/// Takes items that are as they were from `before`, so that both documents have them once in memory.
fn share<T: HasName>(items: &mut [ConfigurationItem<T>], before: &[ConfigurationItem<T>]) {
    let known: HashMap<&str, &ConfigurationItem<T>> =
        before.iter().map(|i| (i.value.name(), i)).collect();
    for item in items {
        if let Some(same) = known.get(item.value.name()).filter(|k| k.raw == item.raw) {
            *item = ConfigurationItem {
                raw: same.raw.clone(),
                value: same.value.clone(),
            };
        }
    }
}

fn new_bytes<T>(items: &[ConfigurationItem<T>], before: &[ConfigurationItem<T>]) -> usize {
    let known: HashSet<*const u8> = before.iter().map(|i| i.raw.as_ptr()).collect();
    items
        .iter()
        .filter(|i| !known.contains(&i.raw.as_ptr()))
        .map(|i| i.raw.len())
        .sum()
}

fn same_name<T: HasName>(list: &[ConfigurationItem<T>]) -> Option<&str> {
    let mut seen = HashSet::new();
    list.iter()
        .map(|i| i.value.name())
        .find(|n| !seen.insert(*n))
}

impl Configuration {
    /// Reads a whole configuration that is to follow version `current` (0: none) and checks it.
    ///
    /// # Errors
    /// Where it is invalid: the numbered reason and the place.
    pub fn read(body: &[u8], current: u64) -> Result<Configuration, InvalidConfiguration> {
        let whole: Whole = match serde_json::from_slice(body) {
            Ok(whole) => whole,
            Err(e) => return invalid(ResultCode::Unreadable, e.to_string()),
        };
        let document = Configuration {
            version: whole.version,
            routes: read_all(&whole.routes)?,
            services: read_all(&whole.services)?,
            limits: whole
                .limits
                .map(|l| ConfigurationItem::read(l.get()))
                .transpose()?,
        };
        document.check(current)?;
        Ok(document)
    }

    /// This configuration with an amendment's changes, checked.
    ///
    /// # Errors
    /// Where the amendment can't be read or what it leads to is invalid.
    pub fn amended(&self, body: &[u8]) -> Result<Configuration, InvalidConfiguration> {
        let amendment: Amendment = match serde_json::from_slice(body) {
            Ok(amendment) => amendment,
            Err(e) => return invalid(ResultCode::Unreadable, e.to_string()),
        };
        let mut next = self.clone();
        next.version = amendment.version;
        without(&mut next.routes, &amendment.remove.routes);
        without(&mut next.services, &amendment.remove.services);
        let (routes, services) = (
            read_all(&amendment.upsert.routes)?,
            read_all(&amendment.upsert.services)?,
        );
        if let Some(name) = same_name::<Route>(&routes).or(same_name::<Service>(&services)) {
            return invalid(ResultCode::SameName, name);
        }
        upsert(&mut next.routes, routes);
        upsert(&mut next.services, services);
        if let Some(limits) = amendment.upsert.limits {
            next.limits = Some(ConfigurationItem::read(limits.get())?);
        }
        next.check(self.version)?;
        Ok(next)
    }

    fn check(&self, current: u64) -> Result<(), InvalidConfiguration> {
        if let Some(name) = same_name(&self.routes).or(same_name(&self.services)) {
            return invalid(ResultCode::SameName, name);
        }
        let services: HashSet<&str> = self
            .services
            .iter()
            .map(|s| s.value.name.as_str())
            .collect();
        let mut places = HashSet::new();
        for route in self.routes.iter().map(|r| &*r.value) {
            if let Some((service, _)) = route
                .targets()
                .into_iter()
                .find(|t| !services.contains(t.0))
            {
                return invalid(
                    ResultCode::UnknownService,
                    format!("{}: {service}", route.name),
                );
            }
            if !places.insert((
                route.hostname.to_ascii_lowercase(),
                route.path_prefix.as_str(),
            )) {
                return invalid(ResultCode::SamePlace, &route.name);
            }
            let weights = route.targets();
            if weights.iter().any(|t| !t.1.is_finite() || t.1 < 0.0) {
                return invalid(ResultCode::BadValue, format!("{}: a weight", route.name));
            }
            if weights.iter().map(|t| t.1).sum::<f64>() <= 0.0 {
                return invalid(ResultCode::NoWeight, &route.name);
            }
            if route.deadline_ms.is_nan() || route.deadline_ms <= 0.0 {
                return invalid(ResultCode::NoDeadline, &route.name);
            }
            if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
                return invalid(ResultCode::BadValue, format!("{}: path_prefix", route.name));
            }
        }
        if self.version <= current {
            return invalid(
                ResultCode::OldVersion,
                format!("{} after {current}", self.version),
            );
        }
        Ok(())
    }

    /// This configuration, with each item that `before` has as well kept in memory once for both.
    pub fn sharing(mut self, before: &Configuration) -> Configuration {
        share(&mut self.routes, &before.routes);
        share(&mut self.services, &before.services);
        self
    }

    /// Bytes of JSON of the items that aren't shared with `before`.
    pub fn unshared_bytes(&self, before: &Configuration) -> usize {
        new_bytes(&self.routes, &before.routes) + new_bytes(&self.services, &before.services)
    }

    /// The configuration as JSON, items as they were sent.
    pub fn to_json(&self) -> String {
        let list = |items: Vec<&str>| items.join(",");
        let limits = self
            .limits
            .as_ref()
            .map_or(String::new(), |l| format!(",\"limits\":{}", l.raw));
        format!(
            "{{\"version\":{},\"routes\":[{}],\"services\":[{}]{limits}}}",
            self.version,
            list(self.routes.iter().map(|r| &*r.raw).collect()),
            list(self.services.iter().map(|s| &*s.raw).collect()),
        )
    }

    /// What leads from this configuration to `newer`.
    pub fn delta(&self, newer: &Configuration) -> ConfigurationDelta {
        let (routes, gone_routes) = changed(&self.routes, &newer.routes);
        let (services, gone_services) = changed(&self.services, &newer.services);
        let limits = newer
            .limits
            .as_ref()
            .filter(|_| self.limits != newer.limits)
            .map(|l| l.raw.to_string());
        ConfigurationDelta {
            base_version: self.version,
            version: newer.version,
            routes,
            services,
            removed_routes: gone_routes,
            removed_services: gone_services,
            limits,
        }
    }

    /// This configuration with a delta's changes. The delta comes from the system itself and is not checked
    /// as an operator's is; the order of items may differ from the original.
    ///
    /// # Errors
    /// Where it starts from another version or an item can't be read.
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
        without(&mut next.routes, &delta.removed_routes);
        without(&mut next.services, &delta.removed_services);
        let items = |raws: &[String]| {
            raws.iter()
                .map(|r| ConfigurationItem::read(r))
                .collect::<Result<Vec<_>, _>>()
        };
        upsert(&mut next.routes, items(&delta.routes)?);
        upsert(
            &mut next.services,
            delta
                .services
                .iter()
                .map(|r| ConfigurationItem::read(r))
                .collect::<Result<_, _>>()?,
        );
        if let Some(limits) = &delta.limits {
            next.limits = Some(ConfigurationItem::read(limits)?);
        }
        Ok(next)
    }

    /// The bounds on clients.
    pub fn client_limits(&self) -> Limits {
        self.limits.as_ref().map(|l| *l.value).unwrap_or_default()
    }
}
