//! The operator's file: what the platform does not configure.

use super::error::{ConfigError, SyntaxError};
use super::parse::address;
use crate::core::settings::SiteSettings;
use crate::interface::Idempotency;
use hickory_proto::rr::Name;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Limit on the cores of one process.
const MAX_CORES: usize = 64;

/// An operator's file: what the platform does not configure.
#[derive(Deserialize, Default, Debug, Clone)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorConfig {
    /// How hosts are spoken to.
    pub hosts: HostDialect,
    /// The OpenSearch-style front, if it is to be on.
    pub opensearch: Option<OpenSearchConfig>,
    /// DNS-SD as the source of the host list, in place of discovery.
    pub dns_sd: Option<DnsSdConfig>,
    /// Several cores in one process.
    pub cores: Option<CoresConfig>,
}

/// Several cores in one process.
#[derive(Deserialize, Debug, Clone, Copy, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CoresConfig {
    /// How many; 1 is the same as none of this.
    pub count: usize,
    /// Whether each is bound to a processor, where the system lets it.
    #[serde(default)]
    pub pin: bool,
}

/// How hosts are spoken to.
#[derive(Deserialize, Default, Debug, Clone, Copy, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum HostDialect {
    /// In frames, as on the platform.
    #[default]
    Frames,
    /// In OpenSearch's API.
    OpenSearch,
}

/// The OpenSearch-style front.
#[derive(Deserialize, Debug, Clone)]
#[serde(deny_unknown_fields)]
pub struct OpenSearchConfig {
    /// Scroll contexts at once.
    #[serde(default = "scroll_contexts")]
    pub scroll_contexts: usize,
    /// The indices.
    pub index: Vec<IndexConfig>,
}

fn scroll_contexts() -> usize {
    32
}

/// One index.
#[derive(Deserialize, Debug, Clone)]
#[serde(deny_unknown_fields)]
pub struct IndexConfig {
    /// Its name in paths.
    pub name: String,
    /// The class of its queries, by its name in the settings.
    pub class: String,
    /// Whose queries these are where no header says so.
    #[serde(default)]
    pub tenant: Option<String>,
    /// A header that names the tenant.
    #[serde(default)]
    pub tenant_header: Option<String>,
    /// The header with the key by which hosts drop repeats; needed in a class that has one.
    #[serde(default)]
    pub key_header: Option<String>,
    /// The field that names a document's district.
    #[serde(default = "district_field")]
    pub district_field: String,
    /// The field with its place.
    #[serde(default = "location_field")]
    pub location_field: String,
    /// The districts' names and shards.
    pub districts: BTreeMap<String, u32>,
}

fn district_field() -> String {
    "district".into()
}

fn location_field() -> String {
    "location".into()
}

/// DNS-SD as a source of the host list.
#[derive(Deserialize, Debug, Clone)]
#[serde(deny_unknown_fields)]
pub struct DnsSdConfig {
    /// Who is asked, by UDP.
    pub responder: String,
    /// The service that hosts are instances of, such as `_district._tcp.taxi.local`.
    #[serde(deserialize_with = "dns_name")]
    pub service: Name,
}

fn dns_name<'de, D: serde::Deserializer<'de>>(d: D) -> Result<Name, D::Error> {
    let text = String::deserialize(d)?;
    let mut name = Name::from_utf8(&text).map_err(serde::de::Error::custom)?;
    name.set_fqdn(true);
    Ok(name)
}

impl OperatorConfig {
    /// Reads an operator's file.
    ///
    /// # Errors
    /// If the file can't be read or is not of the form that it should have.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| ConfigError::File(path.to_owned(), e))?;
        Self::parse(&text).map_err(|e| ConfigError::Syntax(path.to_owned(), SyntaxError::Toml(e)))
    }

    /// Reads an operator's file from its text.
    ///
    /// # Errors
    /// If the text is not TOML, or has a key that is not known or of another type.
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// Checks the file against the settings that it goes with.
    ///
    /// # Errors
    /// [`ConfigError::Value`] or [`ConfigError::Missing`] with the first key that is wrong.
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
    /// Checks an index; `names` holds those of the indices before it.
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
        let is_path_piece =
            !self.name.is_empty() && !self.name.starts_with('_') && !self.name.contains('/');
        if !is_path_piece || !names.insert(&self.name) {
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
        // Without a key a retry in such a class could take effect twice.
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
