//! Sends prefix hints to the other proxies.

use super::{FanOut, MAX_DATAGRAM_BYTES};
use balancing::PrefixHint;
use configuration::{MachineLimits, ProcessSettings};
use protocol::{Message, PromptPart};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Number of proxies that are asked for their known placements when this one starts.
const INITIAL_REQUEST_PEERS: usize = 2;
/// Offset of the port for hints from the first port of the process's range.
const HINT_PORT_OFFSET: u16 = 2;

/// Sender of prefix hints. Sends nothing until it has a socket and peers.
pub(crate) struct HintPublisher {
    socket: Option<Rc<UdpSocket>>,
    /// All other proxies in ring order of their addresses, starting after this proxy's own. If the fan-out is smaller
    /// than this list, hints go to the first of them.
    peers: Vec<SocketAddrV4>,
    fan_out: FanOut,
    /// Whether the peers were already asked for their known placements.
    has_requested_placements: bool,
}

impl HintPublisher {
    /// Creates a publisher for a process with these resources.
    pub(crate) fn new(limits: &MachineLimits) -> Self {
        Self {
            socket: None,
            peers: Vec::new(),
            fan_out: FanOut::new(limits),
            has_requested_placements: false,
        }
    }

    /// Sets the socket to send from.
    pub(crate) fn set_socket(&mut self, socket: Rc<UdpSocket>) {
        self.socket = Some(socket);
    }

    /// Sets the addresses of the other proxies. The first call with any peers also asks the nearest ones for their
    /// known placements.
    pub(crate) fn set_peers(&mut self, addresses: &[SocketAddrV4]) {
        let Some(socket) = &self.socket else {
            return;
        };
        let Ok(SocketAddr::V4(own_address)) = socket.local_addr() else {
            return;
        };
        self.peers = ring_order_after(own_address, addresses);
        if !self.has_requested_placements && !self.peers.is_empty() {
            self.has_requested_placements = true;
            let request = protocol::encode(&Message::PlacementsRequest { reserved: 0 });
            for peer in self.peers.iter().take(INITIAL_REQUEST_PEERS) {
                send(socket, &request, *peer);
            }
        }
    }

    /// Returns whether this proxy sends each hint to all others, and so may assume that it receives all of theirs.
    pub(crate) fn reaches_all_peers(&self, now: Duration) -> bool {
        self.socket.is_some() && self.peers.len() <= self.fan_out.max_peers(now)
    }

    /// Sends a hint about a prompt that was sent to a host to the peers. A hint that is too large for a datagram is
    /// dropped.
    pub(crate) fn publish(&mut self, now: Duration, hint: &PrefixHint) {
        self.fan_out.record_hint(now);
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
        let max_peers = self.fan_out.max_peers(now);
        for peer in self.peers.iter().take(max_peers) {
            send(socket, &message, *peer);
        }
    }
}

/// Returns the addresses in ascending ring order, starting after `own_address`.
fn ring_order_after(own_address: SocketAddrV4, addresses: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
    let mut ring = addresses.to_vec();
    ring.sort_unstable();
    let next = ring.partition_point(|address| *address < own_address);
    ring.rotate_left(next);
    ring
}

fn send(socket: &UdpSocket, message: &[u8], peer: SocketAddrV4) {
    // A datagram that can't be sent immediately is dropped. Hints may be lost anyway.
    let _ = socket.try_send_to(message, SocketAddr::V4(peer));
}

/// Converts a hint to its wire format.
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

/// Binds the socket for receiving and sending hints; `None` if the settings have no port for it or it can't be bound.
pub(crate) async fn bind(settings: &ProcessSettings) -> Option<Rc<UdpSocket>> {
    let (first_port, last_port) = settings.port_range;
    let port = first_port
        .checked_add(HINT_PORT_OFFSET)
        .filter(|port| *port <= last_port)?;
    match UdpSocket::bind(SocketAddrV4::new(settings.ip_addr, port)).await {
        Ok(socket) => Some(Rc::new(socket)),
        Err(e) => {
            log::warn!("prefix hints are disabled, as their socket can't be bound: {e}");
            None
        }
    }
}
