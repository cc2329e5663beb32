//! Reading single values of the configuration.

use super::error::ConfigError;
use crate::core::settings::SiteSettings;
use crate::net::gossip::PeerAddresses;
use std::net::SocketAddr;

/// A number in hexadecimal digits.
pub(super) fn hex_number(key: &'static str, text: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(text, 16).map_err(|_| ConfigError::Value(key, text.to_owned()))
}

/// A host name or an IP address, with a port.
pub(super) fn address(key: &'static str, text: String) -> Result<String, ConfigError> {
    match text.rsplit_once(':') {
        Some((host, port)) if !host.is_empty() && port.parse::<u16>().is_ok() => Ok(text),
        _ => Err(ConfigError::Value(key, text)),
    }
}

/// An IP address with a port.
fn socket_address(key: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Value(key, text))
}

/// The peers' addresses, where the settings allow gossip and all addresses are given. The settings' rank says
/// which of them is this coordinator's.
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
