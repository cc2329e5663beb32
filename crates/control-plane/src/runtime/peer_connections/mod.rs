//! Connections between members.
//!
//! Each member dials every member that it knows, and sends over the connections that it dialled; what others send
//! comes in over theirs. There are two connections to each peer: see [`Channel`].

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

/// Most peers that are dialled.
const MAX_PEERS: usize = 256;

/// What comes from other members.
#[derive(Clone, Debug)]
pub enum PeerEvent {
    /// A member has connected, or was connected to.
    Connected(MemberInfo),
    /// A member sent a message.
    Message(MemberInfo, Box<Message>),
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerCounters {
    /// Connections that came up.
    pub connected: u64,
    /// Connections that ended.
    pub disconnected: u64,
    /// Messages sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Messages dropped, as the peer wasn't there or took nothing.
    pub dropped: u64,
    /// Messages received.
    pub received: u64,
}

/// The connections to all peers. Cheap to clone; for one thread.
#[derive(Clone)]
pub struct PeerConnections {
    shared: Rc<Shared>,
}

struct Shared {
    me: MemberInfo,
    on_event: Box<dyn Fn(PeerEvent)>,
    peers: RefCell<HashMap<Addr, Rc<Peer>>>,
    counters: RefCell<PeerCounters>,
}

/// A peer that is dialled, by its address.
struct Peer {
    addr: Addr,
    state: RefCell<PeerState>,
    control: ChannelState,
    data: ChannelState,
}

struct PeerState {
    /// Who was there when the control connection last came up.
    member: Option<MemberInfo>,
    is_seed: bool,
    /// When a connection was last up.
    reached_at: Instant,
    /// Whether to go on dialling.
    is_wanted: bool,
}

impl Peer {
    fn new(addr: Addr) -> Self {
        let state = PeerState {
            member: None,
            is_seed: false,
            reached_at: Instant::now(),
            is_wanted: true,
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

    fn is_up(&self) -> bool {
        self.control.is_up.get()
    }

    /// Whether another member than `member_id` was found at the address.
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
    /// Connections of the member `me`; `on_event` is called with what comes. Runs on a `LocalSet`.
    pub fn new(me: MemberInfo, on_event: impl Fn(PeerEvent) + 'static) -> Self {
        Self {
            shared: Rc::new(Shared {
                me,
                on_event: Box::new(on_event),
                peers: RefCell::default(),
                counters: RefCell::default(),
            }),
        }
    }

    /// Makes `seeds` the addresses that are dialled for as long as the process runs.
    pub fn set_seeds(&self, seeds: &[SocketAddrV4]) {
        for peer in self.shared.peers.borrow().values() {
            peer.state.borrow_mut().is_seed = false;
        }
        for seed in seeds {
            if let Some(peer) = self.peer((*seed).into()) {
                peer.state.borrow_mut().is_seed = true;
            }
        }
    }

    /// Dials members from now on.
    pub fn learn(&self, members: &[MemberInfo]) {
        for member in members {
            self.peer(member.addr);
        }
    }

    /// Sends a message to a member, or drops it if the member can't be reached.
    pub fn send(&self, to: &MemberInfo, message: &Message) {
        let Some(peer) = self.peer(to.addr) else {
            return;
        };
        if peer.has_other_member(to.id) {
            self.count_dropped(1);
            return;
        }
        self.push(&peer, to.id, message);
    }

    /// The members whose control connection is up, this one first.
    pub fn reachable_members(&self) -> Vec<MemberInfo> {
        let mut members = vec![self.shared.me.clone()];
        for peer in self.shared.peers.borrow().values() {
            let state = peer.state.borrow();
            members.extend(state.member.iter().filter(|_| peer.is_up()).cloned());
        }
        members[1..].sort_by_key(|member| member.id);
        members
    }

    /// Counts since the start.
    pub fn counters(&self) -> PeerCounters {
        *self.shared.counters.borrow()
    }

    /// Serves the connection of the member `sender` that dialled. Its [`Message::Hello`] and the message after it,
    /// `first`, have been read.
    ///
    /// # Errors
    /// If the connection breaks or is silent for too long.
    pub async fn serve(
        &self,
        sender: MemberInfo,
        first: Message,
        mut frames: FrameReader<impl AsyncRead + Unpin>,
        mut output: impl AsyncWrite + Unpin,
    ) -> std::io::Result<()> {
        let hello = Message::Hello {
            sender: self.shared.me.clone(),
        };
        write_all(&mut output, &protocol::encode(&hello)).await?;
        self.learn(std::slice::from_ref(&sender));
        self.report(PeerEvent::Connected(sender.clone()));
        let mut next = Step::Message(Box::new(first));
        loop {
            match next {
                Step::Message(message) => self.receive(&sender, *message, &mut output).await?,
                // However long a frame takes: its bytes come.
                Step::Partial => {}
                Step::End => return Ok(()),
            }
            // The member that dialled probes well before that.
            next = timeout(2 * SILENCE_TIMEOUT, frames.step()).await??;
        }
    }

    /// Takes a message of a member that dialled.
    async fn receive(
        &self,
        sender: &MemberInfo,
        message: Message,
        output: &mut (impl AsyncWrite + Unpin),
    ) -> std::io::Result<()> {
        let Message::Peers { members } = message else {
            self.report(PeerEvent::Message(sender.clone(), Box::new(message)));
            return Ok(());
        };
        self.learn(&members);
        let reply = Message::Peers {
            members: self.reachable_members(),
        };
        write_all(output, &protocol::encode(&reply)).await
    }

    fn report(&self, event: PeerEvent) {
        self.shared.counters.borrow_mut().received += 1;
        (self.shared.on_event)(event);
    }

    fn push(&self, peer: &Peer, to: u64, message: &Message) {
        let frame = protocol::encode(message);
        let channel = Channel::for_message(message, frame.len());
        self.count_dropped(peer.channel(channel).push(to, frame));
    }

    fn count_dropped(&self, messages: u64) {
        self.shared.counters.borrow_mut().dropped += messages;
    }

    /// The peer at an address, dialled from now on; `None` for this member itself, or if there are too many.
    fn peer(&self, addr: Addr) -> Option<Rc<Peer>> {
        if addr == self.shared.me.addr || addr.ip == 0 || addr.port == 0 {
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
        spawn_local(self.clone().keep_control_up(peer.clone()));
        spawn_local(self.clone().keep_data_up(peer.clone()));
        Some(peer)
    }
}
