//! Parsers of single values of the configuration.

use super::error::ConfigError;
use crate::core::settings::SiteSettings;
use crate::net::gossip::PeerAddresses;
use std::net::SocketAddr;

/// Parses a hexadecimal number.
pub(super) fn hex_number(key: &'static str, text: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(text, 16).map_err(|_| ConfigError::Value(key, text.to_owned()))
}

/// Checks a `host:port` address, whose host is a name or an IP address.
pub(super) fn address(key: &'static str, text: String) -> Result<String, ConfigError> {
    match text.rsplit_once(':') {
        Some((host, port)) if !host.is_empty() && port.parse::<u16>().is_ok() => Ok(text),
        _ => Err(ConfigError::Value(key, text)),
    }
}

/// Parses an IP address with a port.
fn socket_address(key: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Value(key, text))
}

/// Parses the peers' addresses; `None` if the settings allow no gossip or an address is missing. The rank in the
/// settings is this coordinator's position in `peers`.
pub(super) fn peer_addresses(
    peers: Option<Vec<String>>,
    broadcast: Option<String>,
    listen: Option<String>,
    site: &SiteSettings,
) -> Result<Option<PeerAddresses>, ConfigError> {
    let peers = peers
        .unwrap_or_default()
        .into_iter()
        .map(|peer| socket_address("peers", peer))
        .collect::<Result<Vec<_>, _>>()?;
    let broadcast = broadcast
        .map(|a| socket_address("peers_all", a))
        .transpose()?;
    let listen = listen
        .map(|a| socket_address("peer_listen", a))
        .transpose()?;
    let gossip = site.gossip.filter(|_| !peers.is_empty());
    Ok(listen.zip(gossip).map(|(listen, gossip)| PeerAddresses {
        listen,
        peers,
        broadcast,
        rank: gossip.rank,
    }))
}
