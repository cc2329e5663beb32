//! The configuration. It is read, checked and given its defaults in this module only.
//!
//! | module | job |
//! | --- | --- |
//! | `capacity` | divides the limits on descriptors and memory |
//! | `error` | the errors of a configuration |
//! | `operator` | the operator's TOML file |
//! | `parse` | parsers of single values |

mod capacity;
mod error;
mod operator;
mod parse;

pub use capacity::Capacity;
pub use error::{ConfigError, SyntaxError};
pub use operator::{
    CoresConfig, DnsSdConfig, HostDialect, IndexConfig, OpenSearchConfig, OperatorConfig,
};

use crate::core::settings::{self, SiteSettings};
use crate::net::discovery_watch::{parse_update, ListUpdate};
use crate::net::gossip::PeerAddresses;
use capacity::RawLimits;
use parse::{address, hex_number, peer_addresses};
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// Minimum number of host connections, and of clients, that each of several cores needs.
const MIN_CONNECTIONS_PER_CORE: usize = 8;
/// The name of a coordinator whose configuration has none.
const DEFAULT_NAME: &str = "coordinator";

/// The platform's JSON file, before its checks.
#[derive(Deserialize)]
struct RawConfig {
    name: Option<String>,
    listen: Option<String>,
    operator: Option<String>,
    discovery: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: RawLimits,
    known: Option<serde_json::Value>,
    peers: Option<Vec<String>>,
    peers_all: Option<String>,
    peer_listen: Option<String>,
    settings: serde_json::Value,
}

/// The checked configuration from the platform's file, the operator's file and the environment.
#[derive(Clone)]
pub struct Config {
    /// This coordinator's name.
    pub name: String,
    /// The address for clients, as `host:port`.
    pub listen: String,
    /// The address for operators, as `host:port`, if there is one.
    pub operator_address: Option<String>,
    /// The address of discovery, as `host:port`, if there is one. A DNS-SD source in the operator's file takes
    /// precedence.
    pub discovery: Option<String>,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The limits on connections and bytes.
    pub capacity: Capacity,
    /// The last known host list, for the time until a source sends one.
    pub known_list: ListUpdate,
    /// The settings of the site: its classes, tenants, safety rules and limits.
    pub site: SiteSettings,
    /// The addresses of the peers; `None` if the settings allow no gossip or an address is missing.
    pub peer_addresses: Option<PeerAddresses>,
    /// The operator's file; the defaults if there is none.
    pub operator: OperatorConfig,
}

/// Where the configuration is read from.
#[derive(Clone, Debug, Default)]
pub struct Source {
    /// The platform's file; if `None`, the environment variable `PROXY_CONFIG` names it.
    pub file: Option<PathBuf>,
    /// The operator's file, if any.
    pub operator: Option<PathBuf>,
}

impl Source {
    /// Reads the configuration at the start of the process.
    ///
    /// # Errors
    /// See [`ConfigError`].
    pub fn load(&self) -> Result<Config, ConfigError> {
        self.read(|name| std::env::var(name).ok())
    }

    /// Reads the configuration again, with the same checks. `PROXY_DISCOVERY` is ignored: the environment is as old as
    /// the process, so only the file has the current address of discovery.
    ///
    /// # Errors
    /// See [`ConfigError`].
    pub fn reload(&self) -> Result<Config, ConfigError> {
        self.read(|name| {
            std::env::var(name)
                .ok()
                .filter(|_| name != "PROXY_DISCOVERY")
        })
    }

    fn read(&self, env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        Config::load(self.file.as_deref(), self.operator.as_deref(), env)
    }
}

impl Config {
    /// Reads the platform's configuration: the given file, or the one that `PROXY_CONFIG` names, and the environment,
    /// which takes precedence over the file.
    ///
    /// # Errors
    /// See [`ConfigError`].
    pub fn load(
        file: Option<&Path>,
        operator: Option<&Path>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let path = file
            .map(Path::to_owned)
            .or_else(|| env("PROXY_CONFIG").map(PathBuf::from))
            .ok_or(ConfigError::Missing("PROXY_CONFIG"))?;
        let text =
            std::fs::read_to_string(&path).map_err(|e| ConfigError::File(path.clone(), e))?;
        let operator = operator
            .map(OperatorConfig::load)
            .transpose()?
            .unwrap_or_default();
        Self::parse(&text, operator, env).map_err(|e| match e {
            ConfigError::Syntax(_, error) => ConfigError::Syntax(path, error),
            other => other,
        })
    }

    /// Reads a configuration from its JSON text. Syntax errors have an empty path.
    ///
    /// # Errors
    /// See [`ConfigError`].
    pub fn parse(
        text: &str,
        operator: OperatorConfig,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let raw = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| ConfigError::Syntax(PathBuf::new(), e.into()))?;
        json.end()
            .map_err(|e| ConfigError::Syntax(PathBuf::new(), e.into()))?;
        Self::from_raw(raw, operator, env)
    }

    fn from_raw(
        raw: RawConfig,
        operator: OperatorConfig,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let listen = env("PROXY_LISTEN")
            .or(raw.listen)
            .ok_or(ConfigError::Missing("listen"))?;
        let discovery = env("PROXY_DISCOVERY").or(raw.discovery);
        let known_list = known_list(raw.known)?;
        let operator_address = env("PROXY_OPERATOR")
            .or(raw.operator)
            .map(|text| address("operator", text))
            .transpose()?;
        let capacity = Capacity::new(&raw.limits, operator_address.is_some())?;
        let site = settings::read(&raw.settings.to_string())?;
        let peer_addresses = peer_addresses(raw.peers, raw.peers_all, raw.peer_listen, &site)?;
        operator.check(&site)?;
        check_capacity_per_core(&operator, &capacity)?;
        Ok(Self {
            name: env("PROXY_NAME")
                .or(raw.name)
                .unwrap_or_else(|| DEFAULT_NAME.into()),
            listen: address("listen", listen)?,
            operator_address,
            discovery: discovery
                .map(|text| address("discovery", text))
                .transpose()?,
            seed: raw.seed.map_or(Ok(0), |text| hex_number("seed", &text))?,
            capacity,
            known_list,
            peer_addresses,
            site,
            operator,
        })
    }

    /// A summary of the configuration in one line, for the log and `check-config`.
    pub fn summary(&self) -> String {
        let Self {
            name,
            listen,
            known_list,
            site,
            capacity,
            ..
        } = self;
        let discovery = self.discovery.as_deref().unwrap_or("-");
        format!(
            "{name}: listen={listen} discovery={discovery} known={} classes={} clients={} links={} open={} \
             streams={} retry_after={:?}",
            known_list.members.len(),
            site.classes
                .iter()
                .zip(&site.router.classes)
                .map(|(name, class)| format!("{name}:{:?}/{:?}", class.latency_target, class.client_timeout))
                .collect::<Vec<_>>()
                .join(","),
            capacity.clients,
            capacity.host_connections,
            site.limits.max_open,
            site.limits.max_parts_per_connection,
            site.router.max_retry_after,
        )
    }
}

/// Parses the last known list; empty and of revision 0 if the configuration has none.
fn known_list(raw: Option<serde_json::Value>) -> Result<ListUpdate, ConfigError> {
    let Some(raw) = raw else {
        return Ok(ListUpdate {
            revision: 0,
            complete: true,
            members: vec![],
        });
    };
    parse_update(raw.to_string().as_bytes()).map_err(|e| ConfigError::Value("known", e.to_string()))
}

/// Checks that each of several cores gets at least [`MIN_CONNECTIONS_PER_CORE`].
fn check_capacity_per_core(
    operator: &OperatorConfig,
    capacity: &Capacity,
) -> Result<(), ConfigError> {
    let cores = operator.cores.map_or(1, |cores| cores.count);
    let core_capacity = capacity.per_core(cores);
    if cores > 1
        && core_capacity.host_connections.min(core_capacity.clients) < MIN_CONNECTIONS_PER_CORE
    {
        return Err(ConfigError::Value(
            "cores.count",
            format!("{cores}: too few descriptors or too little memory for each core"),
        ));
    }
    Ok(())
}
