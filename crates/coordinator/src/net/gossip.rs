//! The datagrams between coordinators: bytes in and out, no more. What is said and believed is in `src/peers`.

use crate::core::CoreMessage;
use crate::counters::Counters;
use crate::peers::{Datagram, MOST_BYTES};
use bytes::Bytes;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// How often an address that is taken is tried again: another process of this coordinator may hold it still.
const AGAIN: Duration = Duration::from_secs(1);
/// Datagrams taken from one fellow in a second; it sends 40 at most.
const MOST_A_SECOND: u32 = 100;

/// Where the coordinators of one tier are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddresses {
    /// Where their datagrams arrive here.
    pub listen: SocketAddr,
    /// Each by its rank, as its datagrams come and go.
    pub fellows: Vec<SocketAddr>,
    /// One address for all, where there is one.
    pub all: Option<SocketAddr>,
    /// This one's own rank.
    pub rank: u32,
}

/// The actor of the datagrams.
pub struct Talk {
    /// Where the others are.
    pub tier: PeerAddresses,
    /// What is to be sent to all.
    pub words: mpsc::Receiver<Datagram>,
    /// The core's mailbox.
    pub core: mpsc::UnboundedSender<CoreMessage>,
    /// The counters.
    pub counters: Counters,
}

impl Talk {
    /// Carries datagrams until the core has gone. An address that can't be had costs the talk, not the service.
    pub async fn run(mut self) {
        let mut said = false;
        let socket = loop {
            match UdpSocket::bind(self.tier.listen).await {
                Ok(socket) => break socket,
                Err(e) => {
                    if !std::mem::replace(&mut said, true) {
                        log::warn!(addr:% = self.tier.listen, error:% = e; "peers: no address to listen on yet");
                    }
                }
            }
            // What waits to be said is old by then.
            while self.words.try_recv().is_ok() {}
            if self.words.is_closed() {
                return;
            }
            tokio::time::sleep(AGAIN).await;
        };
        log::info!(addr:% = self.tier.listen, fellows = self.tier.fellows.len(); "peers: listening");
        let mut counts = vec![(Instant::now(), 0u32); self.tier.fellows.len()];
        // One byte more than a word may have: what is cut off there can be told from what fits.
        let mut buffer = [0; MOST_BYTES + 1];
        loop {
            tokio::select! {
                word = self.words.recv() => match word {
                    Some(word) => self.send(&socket, &word).await,
                    None => return,
                },
                got = socket.recv_from(&mut buffer) => match got {
                    Ok((n, from)) => self.take(&buffer[..n], from, &mut counts),
                    // An earlier datagram met nobody: its fellow is down, and the next may find it up.
                    Err(_) => self.counters.inc("peers.unreachable"),
                }
            }
        }
    }

    async fn send(&self, socket: &UdpSocket, word: &Datagram) {
        let each = self
            .tier
            .fellows
            .iter()
            .enumerate()
            .filter(|(n, _)| *n as u32 != self.tier.rank);
        let to: Vec<SocketAddr> = match self.tier.all {
            Some(all) => vec![all],
            None => each.map(|(_, addr)| *addr).collect(),
        };
        for addr in to {
            match socket.send_to(word.bytes(), addr).await {
                Ok(_) => self.counters.inc("peers.sent"),
                Err(_) => self.counters.inc("peers.unreachable"),
            }
        }
    }

    fn take(&self, bytes: &[u8], from: SocketAddr, counts: &mut [(Instant, u32)]) {
        let Some(rank) = self.tier.fellows.iter().position(|a| *a == from) else {
            self.counters.inc("peers.stranger");
            return;
        };
        if rank as u32 == self.tier.rank {
            return;
        }
        let (since, count) = &mut counts[rank];
        if since.elapsed() >= Duration::from_secs(1) {
            (*since, *count) = (Instant::now(), 0);
        }
        *count += 1;
        if *count > MOST_A_SECOND {
            self.counters.inc("peers.flood");
            return;
        }
        // The core's end is this actor's end too, by the channel of words.
        let _ = self.core.send(CoreMessage::Gossip(
            rank as u32,
            Bytes::copy_from_slice(bytes),
        ));
    }
}
