//! Dials a peer's two connections and reconnects them when they break.

use super::channel::{Channel, ChannelState, QueuedFrame};
use super::liveness::{Liveness, PROBE_AFTER, SILENCE_TIMEOUT};
use super::{Peer, PeerConnections, PeerEvent};
use crate::runtime::connection::{set_socket_options, write_all, write_all_counting};
use protocol::{MemberInfo, Message};
use replication::{FrameReader, Step};
use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// Longest time to establish a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// First delay between two attempts to connect; it doubles with each failed attempt.
const MIN_RECONNECT_BACKOFF: Duration = Duration::from_millis(100);
/// Longest delay between two attempts to connect.
const MAX_RECONNECT_BACKOFF: Duration = Duration::from_secs(1);
/// Time without a connection after which a peer that isn't a seed is no longer dialled.
const FORGET_PEER_AFTER: Duration = Duration::from_secs(60);

/// The delay before the next attempt to connect.
struct Backoff(Duration);

impl Backoff {
    fn new() -> Self {
        Self(MIN_RECONNECT_BACKOFF)
    }

    /// Waits for the current delay and doubles it. Starts again from the shortest delay if the last attempt connected.
    async fn wait(&mut self, was_connected: bool) {
        if was_connected {
            self.0 = MIN_RECONNECT_BACKOFF;
        }
        sleep(self.0).await;
        self.0 = (self.0 * 2).min(MAX_RECONNECT_BACKOFF);
    }
}

/// A connection on which both sides have exchanged their hello messages.
struct EstablishedConnection {
    /// The member at the other end.
    member: MemberInfo,
    frames: FrameReader<OwnedReadHalf>,
    output: OwnedWriteHalf,
}

impl PeerConnections {
    /// Keeps the control connection to a peer established until the peer is no longer dialled; then removes the peer.
    pub(super) async fn maintain_control_connection(self, peer: Rc<Peer>) {
        let mut backoff = Backoff::new();
        loop {
            let was_connected = self.run_connection(&peer, Channel::Control).await;
            self.on_channel_disconnected(&peer, Channel::Control);
            if !should_keep_dialling(&peer) {
                break;
            }
            backoff.wait(was_connected).await;
        }
        peer.channel(Channel::Data).wake.notify_one();
        self.shared.peers.borrow_mut().remove(&peer.addr);
    }

    /// Dials the data connection when its queue has a frame, until the peer is no longer dialled.
    pub(super) async fn maintain_data_connection(self, peer: Rc<Peer>) {
        let channel = peer.channel(Channel::Data);
        let mut backoff = Backoff::new();
        loop {
            while channel.is_empty() && peer.state.borrow().keep_dialling {
                channel.wake.notified().await;
            }
            if !peer.state.borrow().keep_dialling {
                return;
            }
            let was_connected = self.run_connection(&peer, Channel::Data).await;
            self.on_channel_disconnected(&peer, Channel::Data);
            backoff.wait(was_connected).await;
            self.count_dropped(channel.drop_expired());
        }
    }

    fn on_channel_disconnected(&self, peer: &Peer, channel: Channel) {
        if peer.channel(channel).is_connected.replace(false) {
            self.shared.counters.borrow_mut().disconnected += 1;
            log::info!(peer:? = SocketAddrV4::from(&peer.addr), channel:?; "peer disconnected");
        }
    }

    /// Runs one connection from dialling to its end. Returns whether it was established.
    async fn run_connection(&self, peer: &Peer, channel: Channel) -> bool {
        let Some(connection) = self.handshake(peer).await else {
            return false;
        };
        let EstablishedConnection {
            member,
            frames,
            output,
        } = connection;
        self.on_channel_connected(peer, channel, &member);
        let state = peer.channel(channel);
        let liveness = Liveness::new();
        // The frame that is being sent, in case the connection breaks before its end.
        let unsent = RefCell::new(None);
        tokio::select! {
            () = self.receive_all(&member, frames, &liveness) => {}
            () = self.send_queued(state, member.id, output, &liveness, &unsent) => {}
            () = self.probe_until_unresponsive(state, &liveness) => {}
        }
        if let Some(unsent) = unsent.into_inner() {
            state.requeue(unsent);
        }
        peer.state.borrow_mut().last_connected_at = Instant::now();
        true
    }

    /// Connects, sends this member's identity and reachable members, and reads the peer's identity. Returns `None` if
    /// any of that fails or takes too long.
    async fn handshake(&self, peer: &Peer) -> Option<EstablishedConnection> {
        let addr = SocketAddr::V4(SocketAddrV4::from(&peer.addr));
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
        let stream = connecting.await.ok()?.ok()?;
        if let Err(error) = set_socket_options(&stream) {
            log::debug!(error:%; "setting socket options failed; using the connection without them");
        }
        let (input, mut output) = stream.into_split();
        let mut frames = FrameReader::new(input, Vec::new());
        let hello = protocol::encode(&Message::Hello {
            sender: self.shared.local_member.clone(),
        });
        let peers = protocol::encode(&Message::Peers {
            members: self.reachable_members(),
        });
        write_all(&mut output, &[hello, peers].concat())
            .await
            .ok()?;
        match timeout(SILENCE_TIMEOUT, frames.next()).await {
            Ok(Ok(Some(Message::Hello { sender }))) => Some(EstablishedConnection {
                member: sender,
                frames,
                output,
            }),
            _ => None,
        }
    }

    fn on_channel_connected(&self, peer: &Peer, channel: Channel, member: &MemberInfo) {
        let state = peer.channel(channel);
        state.is_connected.set(true);
        self.count_dropped(state.drop_expired() + state.drop_for_other_members(member.id));
        self.shared.counters.borrow_mut().connected += 1;
        if channel == Channel::Control {
            self.on_peer_connected(peer, member);
        }
    }

    fn on_peer_connected(&self, peer: &Peer, member: &MemberInfo) {
        {
            let mut state = peer.state.borrow_mut();
            state.last_connected_at = Instant::now();
            state.member = Some(member.clone());
        }
        log::info!(peer:% = member.name, addr:? = SocketAddrV4::from(&peer.addr); "peer connected");
        self.report_event(PeerEvent::Connected(member.clone()));
        self.announce_reachable_members(peer);
    }

    /// Sends the list of reachable members to the connected peers other than `new_peer`.
    fn announce_reachable_members(&self, new_peer: &Peer) {
        let message = Message::Peers {
            members: self.reachable_members(),
        };
        let peers: Vec<Rc<Peer>> = self.shared.peers.borrow().values().cloned().collect();
        for peer in peers {
            if peer.addr != new_peer.addr && peer.is_connected() {
                self.enqueue(&peer, 0, &message);
            }
        }
    }

    /// Receives messages until the connection ends or breaks.
    async fn receive_all(
        &self,
        sender: &MemberInfo,
        mut frames: FrameReader<impl AsyncRead + Unpin>,
        liveness: &Liveness,
    ) {
        while let Ok(step) = frames.step().await {
            liveness.on_received();
            match step {
                Step::Message(message) => match *message {
                    Message::Peers { members } => self.add_members(&members),
                    message => {
                        self.report_event(PeerEvent::Message(sender.clone(), Box::new(message)));
                    }
                },
                Step::Partial => {}
                Step::End => return,
            }
        }
    }

    /// Sends the queued frames to the member `member_id` until a write fails. `unsent` holds the frame that is being
    /// sent.
    async fn send_queued(
        &self,
        channel: &ChannelState,
        member_id: u64,
        mut output: impl AsyncWrite + Unpin,
        liveness: &Liveness,
        unsent: &RefCell<Option<QueuedFrame>>,
    ) {
        loop {
            let Some(frame) = channel.dequeue() else {
                channel.wake.notified().await;
                continue;
            };
            if !frame.is_for(member_id) {
                self.count_dropped(1);
                continue;
            }
            let bytes = frame.bytes.clone();
            unsent.replace(Some(frame));
            let on_written = |written| liveness.on_written(written);
            if write_all_counting(&mut output, &bytes, on_written)
                .await
                .is_err()
            {
                return;
            }
            unsent.take();
            let mut counters = self.shared.counters.borrow_mut();
            counters.sent += 1;
            counters.sent_bytes += bytes.len() as u64;
        }
    }

    /// Sends a probe when the peer is silent for [`PROBE_AFTER`]. Returns when it is unresponsive for
    /// [`SILENCE_TIMEOUT`].
    async fn probe_until_unresponsive(&self, channel: &ChannelState, liveness: &Liveness) {
        loop {
            if liveness.unexplained_silence() >= SILENCE_TIMEOUT {
                return;
            }
            let silence = liveness.silence();
            if silence >= PROBE_AFTER {
                let probe = protocol::encode(&Message::Peers {
                    members: Vec::new(),
                });
                self.count_dropped(channel.enqueue(0, probe));
                sleep(SILENCE_TIMEOUT - PROBE_AFTER).await;
            } else {
                sleep(PROBE_AFTER - silence).await;
            }
        }
    }
}

/// Whether to dial a peer again. A peer that isn't a seed and wasn't connected for [`FORGET_PEER_AFTER`] is given up.
fn should_keep_dialling(peer: &Peer) -> bool {
    let mut state = peer.state.borrow_mut();
    if !state.is_seed && state.last_connected_at.elapsed() > FORGET_PEER_AFTER {
        state.keep_dialling = false;
    }
    state.keep_dialling
}
