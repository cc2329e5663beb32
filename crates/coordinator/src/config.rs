//! Configuration: read, checked and given its defaults here and nowhere else.

use crate::core::settings::{self, SiteSettings};
use crate::interface::Idempotency;
use crate::net::discovery_watch::{news, News};
use crate::net::gossip::PeerAddresses;
use hickory_proto::rr::Name;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Fewest descriptors and least memory that the program can serve with.
const LEAST: (usize, usize) = (128, 24);
/// No machine has more of either; what is worked out from it must not overflow.
const MOST_LIMIT: usize = 1 << 24;
/// Most cores of one process.
const MOST_CORES: usize = 64;
/// Fewest connections to hosts, and seats for clients, that a core can work with.
const LEAST_OF_CORE: usize = 8;
/// Descriptors kept for the listener, the list, the runtime and the standard streams; and, where there is an
/// operator's address, for its callers, its listener and runtime.
const KEPT_SOCKETS: usize = 16;
const KEPT_FOR_DESK: usize = 32;
/// Memory kept for the program itself, its hosts' connections and their values.
const KEPT_MB: usize = 12;
/// Memory that a client may come to hold, with its rings, a body and its answer.
const CLIENT_KB: usize = 112;

/// What of the limits goes where.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// Clients served at once.
    pub clients: usize,
    /// Clients beyond those that are still told so.
    pub turned_away: usize,
    /// Connections to hosts at once.
    pub links: usize,
    /// Bytes of hosts' values held for open queries.
    pub held: usize,
}

impl Room {
    /// Five eighths of the descriptors at most go to clients, as far as the memory holds out; hosts get the
    /// rest, so that clients can't keep the program from them.
    fn of(limits: &RawLimits, desk: bool) -> Result<Self, ConfigError> {
        let (sockets, memory_mb) = (
            limits.sockets.unwrap_or(1024),
            limits.memory_mb.unwrap_or(192),
        );
        if !(LEAST.0..=MOST_LIMIT).contains(&sockets) {
            return Err(ConfigError::Value("limits.sockets", sockets.to_string()));
        }
        if !(LEAST.1..=MOST_LIMIT).contains(&memory_mb) {
            return Err(ConfigError::Value(
                "limits.memory_mb",
                memory_mb.to_string(),
            ));
        }
        let sockets = sockets - if desk { KEPT_FOR_DESK } else { 0 };
        let (clients, turned_away) = (sockets * 5 / 8, sockets / 16);
        Ok(Self {
            clients: clients.min((memory_mb - KEPT_MB) * 1024 / CLIENT_KB),
            turned_away,
            links: sockets - clients - turned_away - KEPT_SOCKETS,
            held: memory_mb * 1024 * 1024 / 8,
        })
    }
}

impl Room {
    /// What one of several cores has of it.
    pub fn of_core(&self, cores: usize) -> Self {
        let part = |n: usize| n / cores.max(1);
        Self {
            clients: part(self.clients),
            turned_away: part(self.turned_away),
            links: part(self.links),
            held: part(self.held),
        }
    }
}

/// What is wrong with the configuration; each message names the key or the file.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Nothing says where something is.
    #[error("'{0}' is missing")]
    Missing(&'static str),
    /// A file can't be read.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// A file is not what it should be.
    #[error("{0}: {1}")]
    Text(PathBuf, String),
    /// A key has a value that means nothing.
    #[error("'{0}' can't be '{1}'")]
    Value(&'static str, String),
    /// The settings don't hold together.
    #[error("'settings': {0}")]
    Settings(#[from] settings::SettingsError),
}

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

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawLimits {
    memory_mb: Option<usize>,
    sockets: Option<usize>,
}

/// An operator's file: what the platform does not configure.
#[derive(Deserialize, Default, Debug, Clone)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
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

impl Operator {
    /// Reads an operator's file.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| ConfigError::File(path.to_owned(), e))?;
        Self::parse(&text).map_err(|e| ConfigError::Text(path.to_owned(), e.to_string()))
    }

    /// Reads an operator's file from its text.
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// Checks it against the settings that it goes with.
    pub fn check(&self, site: &SiteSettings) -> Result<(), ConfigError> {
        let mut names = BTreeSet::new();
        let indices = self.opensearch.iter().flat_map(|o| &o.index);
        for i in indices {
            let Some(class) = site.classes.iter().position(|c| *c == i.class) else {
                return Err(ConfigError::Value(
                    "opensearch.index.class",
                    i.class.clone(),
                ));
            };
            if let Some(t) = i.tenant.as_ref().filter(|t| !site.tenants.contains(t)) {
                return Err(ConfigError::Value("opensearch.index.tenant", t.clone()));
            }
            if i.name.is_empty()
                || i.name.starts_with('_')
                || i.name.contains('/')
                || !names.insert(&i.name)
            {
                return Err(ConfigError::Value("opensearch.index.name", i.name.clone()));
            }
            let shards: BTreeSet<&u32> = i.districts.values().collect();
            if shards.is_empty()
                || shards.len() < i.districts.len()
                || shards.len() >= site.limits.max_open
            {
                return Err(ConfigError::Value(
                    "opensearch.index.districts",
                    format!("{:?}", i.districts),
                ));
            }
            // Without a key a repeat in such a class could take effect twice.
            if site.router.classes[class].idempotency != Idempotency::Idempotent
                && i.key_header.is_none()
            {
                return Err(ConfigError::Missing("opensearch.index.key_header"));
            }
        }
        if let Some(c) = &self.cores {
            if !(1..=MOST_CORES).contains(&c.count) {
                return Err(ConfigError::Value("cores.count", c.count.to_string()));
            }
        }
        if let Some(d) = &self.dns_sd {
            address("dns_sd.responder", d.responder.clone())?;
            let first = d.service.iter().next().unwrap_or_default();
            if first.first() != Some(&b'_') || d.service.num_labels() < 3 {
                return Err(ConfigError::Value("dns_sd.service", d.service.to_ascii()));
            }
        }
        Ok(())
    }
}

/// The whole configuration.
#[derive(Clone)]
pub struct Config {
    /// This coordinator's name.
    pub name: String,
    /// Where clients connect.
    pub listen: String,
    /// Where the operators' staff call; `None` where there is no such address.
    pub desk: Option<String>,
    /// Where discovery answers; `None` where an operator's file names another source.
    pub discovery: Option<String>,
    /// The seed of all random choices.
    pub seed: u64,
    /// What of the limits goes where.
    pub room: Room,
    /// The host list as last known.
    pub known: News,
    /// The settings.
    pub site: SiteSettings,
    /// The addresses of the peers; `None` if the settings allow no gossip or an address is missing.
    pub peer_addresses: Option<PeerAddresses>,
    /// The operator's file; empty on the platform.
    pub operator: Operator,
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
    /// Reads it at the start.
    pub fn load(&self) -> Result<Config, ConfigError> {
        self.read(|name| std::env::var(name).ok())
    }

    /// Reads it again, checked in the same way. The environment is as old as the process, so where
    /// discovery is now, the file alone says.
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

fn number(key: &'static str, text: &str, radix: u32) -> Result<u64, ConfigError> {
    u64::from_str_radix(text, radix).map_err(|_| ConfigError::Value(key, text.to_owned()))
}

fn address(key: &'static str, text: String) -> Result<String, ConfigError> {
    match text.rsplit_once(':') {
        Some((host, port)) if !host.is_empty() && port.parse::<u16>().is_ok() => Ok(text),
        _ => Err(ConfigError::Value(key, text)),
    }
}

fn socket(key: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Value(key, text))
}

/// The peers' addresses, where the settings allow gossip and all addresses are given. The settings' rank says
/// which of them is this coordinator's.
fn peer_addresses(
    peers: Option<Vec<String>>,
    broadcast: Option<String>,
    listen: Option<String>,
    site: &SiteSettings,
) -> Result<Option<PeerAddresses>, ConfigError> {
    let peers = peers
        .unwrap_or_default()
        .into_iter()
        .map(|peer| socket("peers", peer))
        .collect::<Result<Vec<_>, _>>()?;
    let broadcast = broadcast.map(|a| socket("peers_all", a)).transpose()?;
    let listen = listen.map(|a| socket("peer_listen", a)).transpose()?;
    let gossip = site.talk.filter(|_| !peers.is_empty());
    Ok(listen.zip(gossip).map(|(listen, gossip)| PeerAddresses {
        listen,
        peers,
        broadcast,
        rank: gossip.rank,
    }))
}

impl Config {
    /// Reads the platform's configuration: the file that `PROXY_CONFIG` or the caller names, and the
    /// environment over it.
    pub fn load(
        file: Option<&Path>,
        operator: Option<&Path>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let path = file
            .map(Path::to_owned)
            .or_else(|| env("PROXY_CONFIG").map(PathBuf::from));
        let path = path.ok_or(ConfigError::Missing("PROXY_CONFIG"))?;
        let text =
            std::fs::read_to_string(&path).map_err(|e| ConfigError::File(path.clone(), e))?;
        let operator = operator
            .map(Operator::load)
            .transpose()?
            .unwrap_or_default();
        Self::parse(&text, operator, env).map_err(|e| match e {
            ConfigError::Text(_, why) => ConfigError::Text(path, why),
            other => other,
        })
    }

    /// Reads a configuration from its text.
    pub fn parse(
        text: &str,
        operator: Operator,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let bad = |e: &dyn std::fmt::Display| ConfigError::Text(PathBuf::new(), e.to_string());
        let raw = serde_path_to_error::deserialize(&mut json).map_err(|e| bad(&e))?;
        json.end().map_err(|e| bad(&e))?;
        Self::from_raw(raw, operator, env)
    }

    fn from_raw(
        raw: RawConfig,
        operator: Operator,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let listen = env("PROXY_LISTEN")
            .or(raw.listen)
            .ok_or(ConfigError::Missing("listen"))?;
        let discovery = env("PROXY_DISCOVERY").or(raw.discovery);
        let known = match raw.known {
            None => News {
                revision: 0,
                complete: true,
                members: vec![],
            },
            Some(v) => {
                let bad = |e: serde_json::Error| ConfigError::Value("known", e.to_string());
                news(v.to_string().as_bytes()).map_err(bad)?
            }
        };
        let desk = env("PROXY_OPERATOR").or(raw.operator);
        let desk = desk.map(|d| address("operator", d)).transpose()?;
        let room = Room::of(&raw.limits, desk.is_some())?;
        let site = settings::read(&raw.settings.to_string())?;
        let peer_addresses = peer_addresses(raw.peers, raw.peers_all, raw.peer_listen, &site)?;
        operator.check(&site)?;
        let cores = operator.cores.map_or(1, |c| c.count);
        let one = room.of_core(cores);
        if cores > 1 && one.links.min(one.clients) < LEAST_OF_CORE {
            return Err(ConfigError::Value(
                "cores.count",
                format!("{cores} with so few descriptors or so little memory"),
            ));
        }
        Ok(Self {
            name: env("PROXY_NAME")
                .or(raw.name)
                .unwrap_or_else(|| "coordinator".into()),
            listen: address("listen", listen)?,
            desk,
            discovery: discovery.map(|d| address("discovery", d)).transpose()?,
            seed: raw.seed.map_or(Ok(0), |s| number("seed", &s, 16))?,
            room,
            known,
            peer_addresses,
            site,
            operator,
        })
    }

    /// What it comes to, on one line.
    pub fn summary(&self) -> String {
        let Self {
            name,
            listen,
            known,
            site,
            room,
            ..
        } = self;
        let discovery = self.discovery.as_deref().unwrap_or("-");
        format!(
            "{name}: listen={listen} discovery={discovery} known={} classes={} clients={} links={} open={} \
             streams={} retry_after={:?}",
            known.members.len(),
            site.classes
                .iter()
                .zip(&site.router.classes)
                .map(|(n, c)| format!("{n}:{:?}/{:?}", c.latency_target, c.client_timeout))
                .collect::<Vec<_>>()
                .join(","),
            room.clients,
            room.links,
            site.limits.max_open,
            site.limits.max_parts_per_connection,
            site.router.max_retry_after,
        )
    }
}
