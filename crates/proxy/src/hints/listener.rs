//! Receives prefix hints from other proxies, and answers their requests for the placements known here.

use super::publisher::to_wire;
use super::MAX_DATAGRAM_BYTES;
use crate::state::ProxyState;
use balancing::{PrefixHint, PromptPart};
use protocol::Message;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Bytes of a datagram reserved for the frame and the list's length.
const FRAME_BYTES: usize = 32;
/// Bytes of an entry apart from its host's name and its parts.
const ENTRY_OVERHEAD_BYTES: usize = 8;
/// Bytes of a prompt part in an entry.
const PART_BYTES: usize = 12;
/// Maximum number of prompt parts in one entry. A placement with more parts is sent as several entries.
const MAX_PARTS_PER_ENTRY: usize = 40;
/// Pause after a socket error, which may otherwise recur immediately.
const ERROR_BACKOFF: Duration = Duration::from_millis(20);

/// Receives hints until the task is aborted.
pub(crate) async fn run(state: Rc<ProxyState>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            // An ICMP error for a datagram sent to a proxy that no longer runs, or a persistent error.
            tokio::time::sleep(ERROR_BACKOFF).await;
            continue;
        };
        match protocol::decode(&buffer[..length]) {
            Ok(Some((message, _))) => handle(&state, &socket, message, sender),
            _ => state.counters.add(|c| c.invalid_hints += 1),
        }
    }
}

fn handle(state: &ProxyState, socket: &UdpSocket, message: Message, sender: SocketAddr) {
    match message {
        Message::PromptPlaced {
            placement,
            prefill_tokens,
        } => record_placement(state, &placement, prefill_tokens),
        Message::Placements { placements } => {
            for placement in &placements {
                record_placement(state, placement, 0);
            }
        }
        Message::PlacementsRequest { .. } => send_known_placements(state, socket, sender),
        _ => state.counters.add(|c| c.invalid_hints += 1),
    }
}

fn record_placement(
    state: &ProxyState,
    placement: &protocol::PromptPlacement,
    prefill_tokens: u32,
) {
    let parts: Vec<PromptPart> = placement
        .parts
        .iter()
        .map(|part| PromptPart {
            id: part.id,
            tokens: part.tokens,
        })
        .collect();
    state.load_balancer.borrow_mut().on_prefix_hint(
        state.now(),
        &placement.host,
        &parts,
        prefill_tokens,
    );
}

/// Sends the known contents of the hosts' prefix caches, in as many datagrams as needed.
fn send_known_placements(state: &ProxyState, socket: &UdpSocket, to: SocketAddr) {
    let known = state.load_balancer.borrow().cached_prefixes();
    let mut batch = PlacementBatch::new(socket, to);
    for PrefixHint {
        host_id, prefix, ..
    } in known
    {
        for parts_chunk in prefix.chunks(MAX_PARTS_PER_ENTRY) {
            let entry = to_wire(&PrefixHint {
                host_id: Arc::clone(&host_id),
                prefix: parts_chunk.to_vec(),
                uncached_tokens: 0,
            });
            if !batch.push(entry) {
                break;
            }
        }
    }
    batch.send();
}

/// Entries collected for the next datagram to one proxy.
struct PlacementBatch<'a> {
    socket: &'a UdpSocket,
    to: SocketAddr,
    entries: Vec<protocol::PromptPlacement>,
    /// Total encoded size of `entries`.
    bytes: usize,
}

impl<'a> PlacementBatch<'a> {
    fn new(socket: &'a UdpSocket, to: SocketAddr) -> Self {
        Self {
            socket,
            to,
            entries: Vec::new(),
            bytes: 0,
        }
    }

    /// Adds an entry. Sends the collected entries first if the new one doesn't fit into the same datagram. Returns
    /// false for an entry that doesn't fit into any datagram because its host's name is too long.
    fn push(&mut self, entry: protocol::PromptPlacement) -> bool {
        const CAPACITY: usize = MAX_DATAGRAM_BYTES - FRAME_BYTES;
        let entry_bytes = ENTRY_OVERHEAD_BYTES + entry.host.len() + PART_BYTES * entry.parts.len();
        if entry_bytes > CAPACITY {
            return false;
        }
        if self.bytes + entry_bytes > CAPACITY {
            self.send();
        }
        self.bytes += entry_bytes;
        self.entries.push(entry);
        true
    }

    /// Sends the collected entries, if any, in one datagram.
    fn send(&mut self) {
        if self.entries.is_empty() {
            return;
        }
        let message = Message::Placements {
            placements: std::mem::take(&mut self.entries),
        };
        self.bytes = 0;
        // A datagram that can't be sent immediately is dropped. Hints may be lost anyway.
        let _ = self
            .socket
            .try_send_to(&protocol::encode(&message), self.to);
    }
}
