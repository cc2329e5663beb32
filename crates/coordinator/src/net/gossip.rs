//! UDP transport for the gossip between coordinators. The content of the datagrams is handled in
//! [`peers`](crate::peers).

use crate::core::CoreMessage;
use crate::counters::Counters;
use crate::peers::{Datagram, MAX_DATAGRAM_BYTES};
use bytes::Bytes;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Pause before binding again an address that is in use: another process of this coordinator may still hold it.
const BIND_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Window over which a peer's datagrams are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Largest number of datagrams accepted from one peer in [`RATE_WINDOW`]. A correct peer sends at most 40.
const MAX_DATAGRAMS_PER_WINDOW: u32 = 100;

/// The addresses of the coordinators of one tier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddresses {
    /// The address on which this coordinator receives datagrams.
    pub listen: SocketAddr,
    /// The addresses of all coordinators, indexed by rank, this one's included.
    pub peers: Vec<SocketAddr>,
    /// An address that reaches all coordinators, where there is one.
    pub broadcast: Option<SocketAddr>,
    /// The rank of this coordinator.
    pub rank: u32,
}

/// The actor that sends and receives the gossip datagrams.
pub struct GossipSocket {
    /// The addresses of the coordinators.
    pub addresses: PeerAddresses,
    /// Updates to send to all peers.
    pub updates: mpsc::Receiver<Datagram>,
    /// The mailbox of the core, which handles received datagrams.
    pub core: mpsc::UnboundedSender<CoreMessage>,
    /// The process's counters.
    pub counters: Counters,
}

/// The number of datagrams from one peer in the current window.
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
    /// Sends and receives datagrams until the core has ended. While the address can't be bound, the coordinator runs
    /// without gossip.
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
        // One byte larger than the longest valid datagram, so that longer ones can be detected.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            tokio::select! {
                update = self.updates.recv() => match update {
                    Some(update) => self.send(&socket, &update).await,
                    None => return,
                },
                received = socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(&buffer[..length], from, &mut rates),
                    // An earlier datagram was refused because its peer is down. A later one may reach it.
                    Err(_) => self.counters.inc("peers.unreachable"),
                }
            }
        }
    }

    /// Binds the socket as soon as its address is free. Returns `None` if the core ends first.
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
            // The queued updates will be outdated by the next attempt.
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
        // If the core has ended, the closed channel of updates also ends this actor.
        let _ = self.core.send(CoreMessage::Gossip(
            rank as u32,
            Bytes::copy_from_slice(bytes),
        ));
    }
}
