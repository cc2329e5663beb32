//! The operator's TOML file, with the settings that the platform's file does not have.

use super::error::{ConfigError, SyntaxError};
use super::parse::address;
use crate::core::settings::SiteSettings;
use crate::interface::Idempotency;
use hickory_proto::rr::Name;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Maximum number of cores of one process.
const MAX_CORES: usize = 64;

/// The contents of an operator's file.
#[derive(Deserialize, Default, Debug, Clone)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorConfig {
    /// The protocol for connections to hosts.
    pub hosts: HostDialect,
    /// The OpenSearch-style API; off if `None`.
    pub opensearch: Option<OpenSearchConfig>,
    /// DNS-SD as the source of the host list, instead of discovery.
    pub dns_sd: Option<DnsSdConfig>,
    /// The cores of the process; one core if `None`.
    pub cores: Option<CoresConfig>,
}

/// The cores of the process.
#[derive(Deserialize, Debug, Clone, Copy, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CoresConfig {
    /// The number of cores, 1 to 64; 1 is the same as no `[cores]` section.
    pub count: usize,
    /// Whether each core's thread is bound to a processor, if the system allows it.
    #[serde(default)]
    pub pin: bool,
}

/// The protocol for connections to hosts.
#[derive(Deserialize, Default, Debug, Clone, Copy, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum HostDialect {
    /// The platform's frame protocol.
    #[default]
    Frames,
    /// OpenSearch's HTTP API.
    OpenSearch,
}

/// The settings of the OpenSearch-style API.
#[derive(Deserialize, Debug, Clone)]
#[serde(deny_unknown_fields)]
pub struct OpenSearchConfig {
    /// Maximum number of open scroll contexts.
    #[serde(default = "default_scroll_contexts")]
    pub scroll_contexts: usize,
    /// The indices that can be searched.
    pub index: Vec<IndexConfig>,
}

fn default_scroll_contexts() -> usize {
    32
}

/// The settings of one index.
#[derive(Deserialize, Debug, Clone)]
#[serde(deny_unknown_fields)]
pub struct IndexConfig {
    /// The index's name in request paths.
    pub name: String,
    /// The name of its queries' class, one of those in the settings.
    pub class: String,
    /// The tenant of queries whose headers name none.
    #[serde(default)]
    pub tenant: Option<String>,
    /// The request header that names the tenant.
    #[serde(default)]
    pub tenant_header: Option<String>,
    /// The request header with the idempotency key, by which hosts drop repeated requests. Required unless the class is
    /// idempotent.
    #[serde(default)]
    pub key_header: Option<String>,
    /// The document field with the name of the district.
    #[serde(default = "default_district_field")]
    pub district_field: String,
    /// The document field with the location.
    #[serde(default = "default_location_field")]
    pub location_field: String,
    /// The shard of each district, by the district's name.
    pub districts: BTreeMap<String, u32>,
}

fn default_district_field() -> String {
    "district".into()
}

fn default_location_field() -> String {
    "location".into()
}

/// The settings of DNS-SD as the source of the host list.
#[derive(Deserialize, Debug, Clone)]
#[serde(deny_unknown_fields)]
pub struct DnsSdConfig {
    /// The address of the DNS server that is queried over UDP, as `host:port`.
    pub responder: String,
    /// The service whose instances are the hosts, such as `_district._tcp.taxi.local`.
    #[serde(deserialize_with = "deserialize_dns_name")]
    pub service: Name,
}

fn deserialize_dns_name<'de, D: serde::Deserializer<'de>>(d: D) -> Result<Name, D::Error> {
    let text = String::deserialize(d)?;
    let mut name = Name::from_utf8(&text).map_err(serde::de::Error::custom)?;
    name.set_fqdn(true);
    Ok(name)
}

impl OperatorConfig {
    /// Reads an operator's file.
    ///
    /// # Errors
    /// [`ConfigError::File`] if the file can't be read, [`ConfigError::Syntax`] if it can't be parsed.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| ConfigError::File(path.to_owned(), e))?;
        Self::parse(&text).map_err(|e| ConfigError::Syntax(path.to_owned(), SyntaxError::Toml(e)))
    }

    /// Reads an operator's file from its text.
    ///
    /// # Errors
    /// If the text is not TOML, has an unknown key, or a value is of the wrong type.
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// Checks the file against the site's settings.
    ///
    /// # Errors
    /// [`ConfigError::Value`] or [`ConfigError::Missing`] with the first key that is invalid or missing.
    pub fn check(&self, site: &SiteSettings) -> Result<(), ConfigError> {
        let mut names = BTreeSet::new();
        for index in self.opensearch.iter().flat_map(|o| &o.index) {
            index.check(site, &mut names)?;
        }
        if let Some(cores) = &self.cores {
            if !(1..=MAX_CORES).contains(&cores.count) {
                return Err(ConfigError::Value("cores.count", cores.count.to_string()));
            }
        }
        self.dns_sd.as_ref().map_or(Ok(()), DnsSdConfig::check)
    }
}

impl IndexConfig {
    /// Checks an index and adds its name to `names`, which holds the names of the earlier indices.
    fn check<'a>(
        &'a self,
        site: &SiteSettings,
        names: &mut BTreeSet<&'a String>,
    ) -> Result<(), ConfigError> {
        let Some(class) = site.classes.iter().position(|name| *name == self.class) else {
            return Err(ConfigError::Value(
                "opensearch.index.class",
                self.class.clone(),
            ));
        };
        let mut tenant = self.tenant.iter();
        if let Some(unknown) = tenant.find(|tenant| !site.tenants.contains(tenant)) {
            return Err(ConfigError::Value(
                "opensearch.index.tenant",
                unknown.clone(),
            ));
        }
        let is_path_segment =
            !self.name.is_empty() && !self.name.starts_with('_') && !self.name.contains('/');
        if !is_path_segment || !names.insert(&self.name) {
            return Err(ConfigError::Value(
                "opensearch.index.name",
                self.name.clone(),
            ));
        }
        let shards: BTreeSet<&u32> = self.districts.values().collect();
        let is_one_to_one = shards.len() == self.districts.len();
        if shards.is_empty() || !is_one_to_one || shards.len() >= site.limits.max_open {
            return Err(ConfigError::Value(
                "opensearch.index.districts",
                format!("{:?}", self.districts),
            ));
        }
        // Without an idempotency key a retry in such a class could take effect twice.
        if site.router.classes[class].idempotency != Idempotency::Idempotent
            && self.key_header.is_none()
        {
            return Err(ConfigError::Missing("opensearch.index.key_header"));
        }
        Ok(())
    }
}

impl DnsSdConfig {
    fn check(&self) -> Result<(), ConfigError> {
        address("dns_sd.responder", self.responder.clone())?;
        let first_label = self.service.iter().next().unwrap_or_default();
        if first_label.first() != Some(&b'_') || self.service.num_labels() < 3 {
            return Err(ConfigError::Value(
                "dns_sd.service",
                self.service.to_ascii(),
            ));
        }
        Ok(())
    }
}
