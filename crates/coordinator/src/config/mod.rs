//! The configuration: read, checked and given its defaults here and nowhere else.
//!
//! | module | job |
//! | --- | --- |
//! | `capacity` | divides the limits on descriptors and memory |
//! | `error` | what is wrong with a configuration |
//! | `operator` | the operator's file |
//! | `parse` | single values |

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

/// Fewest connections to hosts, and slots for clients, that a core can work with.
const MIN_CONNECTIONS_PER_CORE: usize = 8;
/// The name of a coordinator that has none in its configuration.
const DEFAULT_NAME: &str = "coordinator";

/// The platform's file.
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

/// The whole configuration.
#[derive(Clone)]
pub struct Config {
    /// This coordinator's name.
    pub name: String,
    /// Where clients connect.
    pub listen: String,
    /// Where the operators connect; `None` where there is no such address.
    pub operator_address: Option<String>,
    /// Where discovery answers; `None` where an operator's file names another source.
    pub discovery: Option<String>,
    /// The seed of all random choices.
    pub seed: u64,
    /// How many connections and bytes the process may hold.
    pub capacity: Capacity,
    /// The host list as last known.
    pub known_list: ListUpdate,
    /// The settings.
    pub site: SiteSettings,
    /// The addresses of the peers; `None` if the settings allow no gossip or an address is missing.
    pub peer_addresses: Option<PeerAddresses>,
    /// The operator's file; empty on the platform.
    pub operator: OperatorConfig,
}

/// Where the configuration is read from.
#[derive(Clone, Debug, Default)]
pub struct Source {
    /// The platform's file; else `PROXY_CONFIG` names it.
    pub file: Option<PathBuf>,
    /// The operator's file, if there is one.
    pub operator: Option<PathBuf>,
}

impl Source {
    /// Reads the configuration at the start.
    ///
    /// # Errors
    /// See [`ConfigError`].
    pub fn load(&self) -> Result<Config, ConfigError> {
        self.read(|name| std::env::var(name).ok())
    }

    /// Reads the configuration again, with the same checks. The environment is as old as the process, so the file
    /// alone says where discovery is now.
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
    /// Reads the platform's configuration: the file that `PROXY_CONFIG` or the caller names, and the environment,
    /// which goes before it.
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

    /// Reads a configuration from its text. Errors of syntax name no file.
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

    /// What the configuration comes to, on one line of the log.
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
                .map(|(n, c)| format!("{n}:{:?}/{:?}", c.latency_target, c.client_timeout))
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

/// The list as last known; empty where the configuration has none.
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

/// Several cores need some connections each.
fn check_capacity_per_core(
    operator: &OperatorConfig,
    capacity: &Capacity,
) -> Result<(), ConfigError> {
    let cores = operator.cores.map_or(1, |cores| cores.count);
    let each = capacity.per_core(cores);
    if cores > 1 && each.host_connections.min(each.clients) < MIN_CONNECTIONS_PER_CORE {
        return Err(ConfigError::Value(
            "cores.count",
            format!("{cores} with so few descriptors or so little memory"),
        ));
    }
    Ok(())
}
