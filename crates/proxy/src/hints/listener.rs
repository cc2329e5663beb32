//! Takes prefix hints of other proxies, and answers those that ask for what this one knows.

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

/// Bytes of a datagram that the frame and the length of the list take.
const FRAME_BYTES: usize = 32;
/// Bytes of an entry besides its host's name and its parts.
const ENTRY_OVERHEAD_BYTES: usize = 8;
/// Bytes of a prompt part in an entry.
const PART_BYTES: usize = 12;
/// Prompt parts in one entry. A placement with more takes several entries.
const MAX_PARTS_PER_ENTRY: usize = 40;
/// Pause after a socket error, which may come again at once.
const ERROR_BACKOFF: Duration = Duration::from_millis(20);

/// Takes hints for as long as the process lives.
pub(crate) async fn run(state: Rc<ProxyState>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            // The ICMP error for a datagram sent to a proxy that is gone, or an error that stays.
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
        } => record(state, &placement, prefill_tokens),
        Message::Placements { placements } => {
            for placement in &placements {
                record(state, placement, 0);
            }
        }
        Message::PlacementsRequest { .. } => send_known_placements(state, socket, sender),
        _ => state.counters.add(|c| c.invalid_hints += 1),
    }
}

fn record(state: &ProxyState, placement: &protocol::PromptPlacement, prefill_tokens: u32) {
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

/// Sends what the hosts' prefix caches hold, in as many datagrams as it takes.
fn send_known_placements(state: &ProxyState, socket: &UdpSocket, to: SocketAddr) {
    let known = state.load_balancer.borrow().cached_prefixes();
    let mut batch = PlacementBatch::new(socket, to);
    for PrefixHint {
        host_id, prefix, ..
    } in known
    {
        for some_parts in prefix.chunks(MAX_PARTS_PER_ENTRY) {
            let entry = to_wire(&PrefixHint {
                host_id: Arc::clone(&host_id),
                prefix: some_parts.to_vec(),
                uncached_tokens: 0,
            });
            if !batch.push(entry) {
                break;
            }
        }
    }
    batch.send();
}

/// Entries that are collected for a datagram.
struct PlacementBatch<'a> {
    socket: &'a UdpSocket,
    to: SocketAddr,
    entries: Vec<protocol::PromptPlacement>,
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

    /// Adds an entry, and sends what was collected before where both don't fit. False for an entry that fits into no
    /// datagram, as its host's name alone is too long.
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

    /// Sends what was collected.
    fn send(&mut self) {
        if self.entries.is_empty() {
            return;
        }
        let message = Message::Placements {
            placements: std::mem::take(&mut self.entries),
        };
        self.bytes = 0;
        // What can't be sent at once is lost, as any datagram may be.
        let _ = self
            .socket
            .try_send_to(&protocol::encode(&message), self.to);
    }
}
