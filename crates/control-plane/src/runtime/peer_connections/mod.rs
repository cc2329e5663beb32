//! Connections between members.
//!
//! Each member dials every member that it knows and sends over the connections that it dialled. It receives messages
//! over the connections that the others dialled. There are two connections to each peer: see [`Channel`].

mod channel;
mod dial;
mod liveness;

pub use channel::{Channel, MAX_QUEUED_BYTES};

use super::connection::write_all;
use channel::ChannelState;
use liveness::SILENCE_TIMEOUT;
use protocol::{Addr, MemberInfo, Message};
use replication::{FrameReader, Step};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task::spawn_local;
use tokio::time::{timeout, Instant};

/// Largest number of peers; further addresses are ignored.
const MAX_PEERS: usize = 256;

/// An event from another member.
#[derive(Clone, Debug)]
pub enum PeerEvent {
    /// A connection to or from this member was established.
    Connected(MemberInfo),
    /// This member sent a message.
    Message(MemberInfo, Box<Message>),
}

/// Counters of the peer connections since the process started.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerCounters {
    /// Dialled connections that were established.
    pub connected: u64,
    /// Dialled connections that ended after they were established.
    pub disconnected: u64,
    /// Messages sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Messages dropped because the peer was not connected or its queue was full.
    pub dropped: u64,
    /// Events reported: received messages and connections of members.
    pub received: u64,
}

/// The connections to all peers. Clones share their state; not `Send`.
#[derive(Clone)]
pub struct PeerConnections {
    shared: Rc<Shared>,
}

struct Shared {
    local_member: MemberInfo,
    on_event: Box<dyn Fn(PeerEvent)>,
    peers: RefCell<HashMap<Addr, Rc<Peer>>>,
    counters: RefCell<PeerCounters>,
}

/// A peer address that is dialled.
struct Peer {
    addr: Addr,
    state: RefCell<PeerState>,
    control: ChannelState,
    data: ChannelState,
}

struct PeerState {
    /// The member found at the address when the control connection was last established.
    member: Option<MemberInfo>,
    is_seed: bool,
    /// The last time when a connection was established or ended; the creation time before that.
    last_connected_at: Instant,
    /// Whether the peer is dialled again when a connection ends.
    keep_dialling: bool,
}

impl Peer {
    fn new(addr: Addr) -> Self {
        let state = PeerState {
            member: None,
            is_seed: false,
            last_connected_at: Instant::now(),
            keep_dialling: true,
        };
        Self {
            addr,
            state: RefCell::new(state),
            control: ChannelState::default(),
            data: ChannelState::default(),
        }
    }

    fn channel(&self, channel: Channel) -> &ChannelState {
        match channel {
            Channel::Control => &self.control,
            Channel::Data => &self.data,
        }
    }

    fn is_connected(&self) -> bool {
        self.control.is_connected.get()
    }

    /// Whether a member other than `member_id` was found at the address. An id of 0 stands for any member.
    fn has_other_member(&self, member_id: u64) -> bool {
        let state = self.state.borrow();
        member_id != 0
            && state
                .member
                .as_ref()
                .is_some_and(|member| member.id != member_id)
    }
}

impl PeerConnections {
    /// Creates the connections of `local_member`, which call `on_event` with each event. Must run on a `LocalSet`.
    pub fn new(local_member: MemberInfo, on_event: impl Fn(PeerEvent) + 'static) -> Self {
        Self {
            shared: Rc::new(Shared {
                local_member,
                on_event: Box::new(on_event),
                peers: RefCell::default(),
                counters: RefCell::default(),
            }),
        }
    }

    /// Sets the seeds. Their addresses are dialled until the seeds change, however long they can't be reached.
    pub fn set_seeds(&self, seeds: &[SocketAddrV4]) {
        for peer in self.shared.peers.borrow().values() {
            peer.state.borrow_mut().is_seed = false;
        }
        for seed in seeds {
            if let Some(peer) = self.get_or_add_peer((*seed).into()) {
                peer.state.borrow_mut().is_seed = true;
            }
        }
    }

    /// Starts to dial the members that aren't dialled yet.
    pub fn add_members(&self, members: &[MemberInfo]) {
        for member in members {
            self.get_or_add_peer(member.addr);
        }
    }

    /// Queues a message for a member, or drops it if the member can't be reached.
    pub fn send(&self, to: &MemberInfo, message: &Message) {
        let Some(peer) = self.get_or_add_peer(to.addr) else {
            return;
        };
        if peer.has_other_member(to.id) {
            self.count_dropped(1);
            return;
        }
        self.enqueue(&peer, to.id, message);
    }

    /// Returns the local member first, then the members whose control connection is established, sorted by id.
    pub fn reachable_members(&self) -> Vec<MemberInfo> {
        let mut members = vec![self.shared.local_member.clone()];
        for peer in self.shared.peers.borrow().values() {
            let state = peer.state.borrow();
            members.extend(state.member.iter().filter(|_| peer.is_connected()).cloned());
        }
        members[1..].sort_by_key(|member| member.id);
        members
    }

    /// Returns the counters since the process started.
    pub fn counters(&self) -> PeerCounters {
        *self.shared.counters.borrow()
    }

    /// Serves an inbound connection of the member `sender`. The caller has read its [`Message::Hello`] and the message
    /// `first` that follows.
    ///
    /// # Errors
    /// Returns an error if the connection breaks or is silent for twice the silence timeout.
    pub async fn serve(
        &self,
        sender: MemberInfo,
        first: Message,
        mut frames: FrameReader<impl AsyncRead + Unpin>,
        mut output: impl AsyncWrite + Unpin,
    ) -> std::io::Result<()> {
        let hello = Message::Hello {
            sender: self.shared.local_member.clone(),
        };
        write_all(&mut output, &protocol::encode(&hello)).await?;
        self.add_members(std::slice::from_ref(&sender));
        self.report_event(PeerEvent::Connected(sender.clone()));
        let mut next = Step::Message(Box::new(first));
        loop {
            match next {
                Step::Message(message) => self.receive(&sender, *message, &mut output).await?,
                // A large frame may take long; received bytes show that the peer is alive.
                Step::Partial => {}
                Step::End => return Ok(()),
            }
            // The dialling member sends a probe well before this timeout.
            next = timeout(2 * SILENCE_TIMEOUT, frames.step()).await??;
        }
    }

    /// Handles a message of a member that dialled. Replies to a list of members with the reachable members.
    async fn receive(
        &self,
        sender: &MemberInfo,
        message: Message,
        output: &mut (impl AsyncWrite + Unpin),
    ) -> std::io::Result<()> {
        let Message::Peers { members } = message else {
            self.report_event(PeerEvent::Message(sender.clone(), Box::new(message)));
            return Ok(());
        };
        self.add_members(&members);
        let reply = Message::Peers {
            members: self.reachable_members(),
        };
        write_all(output, &protocol::encode(&reply)).await
    }

    fn report_event(&self, event: PeerEvent) {
        self.shared.counters.borrow_mut().received += 1;
        (self.shared.on_event)(event);
    }

    fn enqueue(&self, peer: &Peer, to: u64, message: &Message) {
        let frame = protocol::encode(message);
        let channel = Channel::for_message(message, frame.len());
        self.count_dropped(peer.channel(channel).enqueue(to, frame));
    }

    fn count_dropped(&self, messages: u64) {
        self.shared.counters.borrow_mut().dropped += messages;
    }

    /// Returns the peer at an address and starts to dial it if it is new. Returns `None` for the local member's
    /// address, an unspecified address, or if there are [`MAX_PEERS`] already.
    fn get_or_add_peer(&self, addr: Addr) -> Option<Rc<Peer>> {
        if addr == self.shared.local_member.addr || addr.ip == 0 || addr.port == 0 {
            return None;
        }
        let mut peers = self.shared.peers.borrow_mut();
        if let Some(peer) = peers.get(&addr) {
            return Some(peer.clone());
        }
        if peers.len() >= MAX_PEERS {
            return None;
        }
        let peer = Rc::new(Peer::new(addr));
        peers.insert(addr, peer.clone());
        drop(peers);
        spawn_local(self.clone().maintain_control_connection(peer.clone()));
        spawn_local(self.clone().maintain_data_connection(peer.clone()));
        Some(peer)
    }
}
