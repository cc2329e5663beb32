//! Sends prefix hints to the other proxies.

use super::MAX_DATAGRAM_BYTES;
use balancing::PrefixHint;
use configuration::ProcessSettings;
use protocol::{Message, PromptPart};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Proxies that are told of every prompt. In a larger fleet each tells those that follow it in the order of their
/// addresses, and nobody takes the hints it gets for all there are.
const MAX_PEERS: usize = 16;
/// Proxies that are asked for what they know when this one starts.
const PEERS_ASKED_AT_START: usize = 2;
/// Which port of the process's range takes hints, counted from its first.
const HINT_PORT_OFFSET: u16 = 2;

/// Sends hints. Sends nothing until it has a socket and peers.
#[derive(Default)]
pub(crate) struct HintPublisher {
    socket: Option<Rc<UdpSocket>>,
    peers: Vec<SocketAddrV4>,
    asked_peers: bool,
}

impl HintPublisher {
    /// Sends from this socket from now on.
    pub(crate) fn set_socket(&mut self, socket: Rc<UdpSocket>) {
        self.socket = Some(socket);
    }

    /// Takes in the addresses of the other proxies, and asks the first of them for what they know, once. Whether all
    /// proxies tell each other of every prompt.
    pub(crate) fn set_peers(&mut self, addresses: &[SocketAddrV4]) -> bool {
        let Some(socket) = &self.socket else {
            return false;
        };
        let Ok(SocketAddr::V4(own_address)) = socket.local_addr() else {
            return false;
        };
        self.peers = next_in_ring(own_address, addresses);
        if !self.asked_peers && !self.peers.is_empty() {
            self.asked_peers = true;
            let request = protocol::encode(&Message::PlacementsRequest { reserved: 0 });
            for peer in self.peers.iter().take(PEERS_ASKED_AT_START) {
                send(socket, &request, *peer);
            }
        }
        addresses.len() <= MAX_PEERS
    }

    /// Tells the peers of a prompt that was sent to a host. Hints larger than a datagram are not sent.
    pub(crate) fn publish(&self, hint: &PrefixHint) {
        let Some(socket) = self.socket.as_ref().filter(|_| !self.peers.is_empty()) else {
            return;
        };
        let message = protocol::encode(&Message::PromptPlaced {
            placement: to_wire(hint),
            prefill_tokens: hint.uncached_tokens,
        });
        if message.len() > MAX_DATAGRAM_BYTES {
            return;
        }
        for peer in &self.peers {
            send(socket, &message, *peer);
        }
    }
}

/// The addresses that follow `own_address` in their order, with the first behind the last.
fn next_in_ring(own_address: SocketAddrV4, addresses: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
    let mut ring = addresses.to_vec();
    ring.sort_unstable();
    let next = ring.partition_point(|address| *address < own_address);
    ring.rotate_left(next);
    ring.truncate(MAX_PEERS);
    ring
}

fn send(socket: &UdpSocket, message: &[u8], peer: SocketAddrV4) {
    // What can't be sent at once is lost, as any datagram may be.
    let _ = socket.try_send_to(message, SocketAddr::V4(peer));
}

/// A hint in its form on the wire.
pub(super) fn to_wire(hint: &PrefixHint) -> protocol::PromptPlacement {
    let parts = hint.prefix.iter().map(|part| PromptPart {
        id: part.id,
        tokens: part.tokens,
    });
    protocol::PromptPlacement {
        host: hint.host_id.to_string(),
        parts: parts.collect(),
    }
}

/// The socket on which this proxy takes and sends hints; `None` if the settings leave no port or it can't be bound.
pub(crate) async fn bind(settings: &ProcessSettings) -> Option<Rc<UdpSocket>> {
    let (first_port, last_port) = settings.port_range;
    let port = first_port
        .checked_add(HINT_PORT_OFFSET)
        .filter(|port| *port <= last_port)?;
    match UdpSocket::bind(SocketAddrV4::new(settings.ip_addr, port)).await {
        Ok(socket) => Some(Rc::new(socket)),
        Err(e) => {
            log::warn!("no hints are taken: {e}");
            None
        }
    }
}
