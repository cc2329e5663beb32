//! The datagrams between coordinators: bytes in and out, no more. What is told and believed is in
//! [`peers`](crate::peers).

use crate::core::CoreMessage;
use crate::counters::Counters;
use crate::peers::{Datagram, MAX_DATAGRAM_BYTES};
use bytes::Bytes;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Pause before an address that is in use is tried again: another process of this coordinator may still hold it.
const BIND_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// The time over which a peer's datagrams are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Limit on the datagrams of one peer in [`RATE_WINDOW`]. A peer sends 40 at most.
const MAX_DATAGRAMS_PER_WINDOW: u32 = 100;

/// The addresses of the coordinators of one tier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddresses {
    /// Where this coordinator receives datagrams.
    pub listen: SocketAddr,
    /// Each coordinator's address by its rank, this one's included.
    pub peers: Vec<SocketAddr>,
    /// One address that reaches all of them, where there is one.
    pub broadcast: Option<SocketAddr>,
    /// This one's own rank.
    pub rank: u32,
}

/// The actor that carries the datagrams.
pub struct GossipSocket {
    /// Where the peers are.
    pub addresses: PeerAddresses,
    /// The updates that are to be sent to all peers.
    pub updates: mpsc::Receiver<Datagram>,
    /// The core's mailbox.
    pub core: mpsc::UnboundedSender<CoreMessage>,
    /// The counters.
    pub counters: Counters,
}

/// The datagrams of one peer in the current window.
struct DatagramRate {
    window_start: Instant,
    datagrams: u32,
}

impl DatagramRate {
    fn new() -> Self {
        Self {
            window_start: Instant::now(),
            datagrams: 0,
        }
    }

    /// Counts one datagram. Returns whether it is within the limit.
    fn count(&mut self) -> bool {
        if self.window_start.elapsed() >= RATE_WINDOW {
            *self = Self::new();
        }
        self.datagrams += 1;
        self.datagrams <= MAX_DATAGRAMS_PER_WINDOW
    }
}

impl GossipSocket {
    /// Carries datagrams until the core has gone. Without its address the service goes on, without gossip.
    pub async fn run(mut self) {
        let Some(socket) = self.bind().await else {
            return;
        };
        log::info!(addr:% = self.addresses.listen, peers = self.addresses.peers.len(); "peers: listening");
        let mut rates: Vec<DatagramRate> = self
            .addresses
            .peers
            .iter()
            .map(|_| DatagramRate::new())
            .collect();
        // One byte more than a datagram may have: one that is too long can then be told from one that fits.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            tokio::select! {
                update = self.updates.recv() => match update {
                    Some(update) => self.send(&socket, &update).await,
                    None => return,
                },
                received = socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(&buffer[..length], from, &mut rates),
                    // An earlier datagram reached nobody. Its peer is down; the next one may find it up.
                    Err(_) => self.counters.inc("peers.unreachable"),
                }
            }
        }
    }

    /// Binds the socket, as soon as its address is free. `None` if the core has gone meanwhile.
    async fn bind(&mut self) -> Option<UdpSocket> {
        let mut logged = false;
        loop {
            match UdpSocket::bind(self.addresses.listen).await {
                Ok(socket) => return Some(socket),
                Err(e) => {
                    if !std::mem::replace(&mut logged, true) {
                        log::warn!(addr:% = self.addresses.listen, error:% = e; "peers: no address to listen on yet");
                    }
                }
            }
            // The updates that wait will be old by the next attempt.
            while self.updates.try_recv().is_ok() {}
            if self.updates.is_closed() {
                return None;
            }
            tokio::time::sleep(BIND_RETRY_PAUSE).await;
        }
    }

    async fn send(&self, socket: &UdpSocket, update: &Datagram) {
        for address in self.destinations() {
            match socket.send_to(update.bytes(), address).await {
                Ok(_) => self.counters.inc("peers.sent"),
                Err(_) => self.counters.inc("peers.unreachable"),
            }
        }
    }

    fn destinations(&self) -> Vec<SocketAddr> {
        if let Some(broadcast) = self.addresses.broadcast {
            return vec![broadcast];
        }
        let by_rank = self.addresses.peers.iter().enumerate();
        by_rank
            .filter(|(rank, _)| *rank as u32 != self.addresses.rank)
            .map(|(_, address)| *address)
            .collect()
    }

    fn receive(&self, bytes: &[u8], from: SocketAddr, rates: &mut [DatagramRate]) {
        let mut by_rank = self.addresses.peers.iter();
        let Some(rank) = by_rank.position(|address| *address == from) else {
            self.counters.inc("peers.stranger");
            return;
        };
        if rank as u32 == self.addresses.rank {
            return;
        }
        if !rates[rank].count() {
            self.counters.inc("peers.flood");
            return;
        }
        // If the core has ended, the channel of updates ends this actor too.
        let _ = self.core.send(CoreMessage::Gossip(
            rank as u32,
            Bytes::copy_from_slice(bytes),
        ));
    }
}
