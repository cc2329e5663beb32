//! PeerConnections between members. Each member dials every member that it knows and speaks over the connections that it
//! dialled; what others say comes in over theirs. A link has two connections: see [`Channel`].

mod channel;
mod dial;

pub use channel::{Channel, MAX_QUEUED_BYTES};

use crate::runtime::connection::write_all;
use channel::ChannelState;
use dial::SILENCE_TIMEOUT;
use protocol::{Addr, MemberInfo, Message};
use replication::{FrameReader, Step};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task::spawn_local;
use tokio::time::{timeout, Instant};

/// Most members that are dialled.
const MAX_PEERS: usize = 256;

/// What comes from other members.
#[derive(Clone, Debug)]
pub enum PeerEvent {
    /// A member said who it is.
    Hello(MemberInfo),
    /// A member spoke.
    Message(MemberInfo, Box<Message>),
}

/// Plain counts since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerCounters {
    /// Connections that came up.
    pub connected: u64,
    /// Connections that broke.
    pub broken: u64,
    /// Messages sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Messages dropped, as the peer wasn't there or took nothing.
    pub dropped: u64,
    /// Messages heard.
    pub heard: u64,
}

/// All links of this member. Cheap to clone; for one thread.
#[derive(Clone)]
pub struct PeerConnections {
    inner: Rc<Inner>,
}

struct Inner {
    me: MemberInfo,
    heard: Box<dyn Fn(PeerEvent)>,
    peers: RefCell<HashMap<Addr, Rc<Peer>>>,
    counters: RefCell<PeerCounters>,
}

struct Peer {
    addr: Addr,
    state: RefCell<PeerState>,
    control: ChannelState,
    data: ChannelState,
}

struct PeerState {
    seat: Option<MemberInfo>,
    seed: bool,
    reached: Instant,
    wanted: bool,
}

impl Peer {
    fn new(addr: Addr) -> Self {
        let state = PeerState {
            seat: None,
            seed: false,
            reached: Instant::now(),
            wanted: true,
        };
        Self {
            addr,
            state: RefCell::new(state),
            control: ChannelState::default(),
            data: ChannelState::default(),
        }
    }

    fn lane(&self, lane: Channel) -> &ChannelState {
        match lane {
            Channel::Control => &self.control,
            Channel::Data => &self.data,
        }
    }

    /// Whether the peer is reached now.
    fn is_up(&self) -> bool {
        self.control.up.get()
    }
}

impl PeerConnections {
    /// PeerConnections of the member in `me`; what comes goes to `heard`. Runs on a `LocalSet`.
    pub fn new(me: MemberInfo, heard: impl Fn(PeerEvent) + 'static) -> Self {
        let (peers, counters) = Default::default();
        Self {
            inner: Rc::new(Inner {
                me,
                heard: Box::new(heard),
                peers,
                counters,
            }),
        }
    }

    /// Makes `seeds` the addresses that are dialled whatever happens.
    pub fn set_seeds(&self, seeds: &[SocketAddrV4]) {
        for peer in self.inner.peers.borrow().values() {
            peer.state.borrow_mut().seed = false;
        }
        for seed in seeds {
            if let Some(peer) = self.peer((*seed).into()) {
                peer.state.borrow_mut().seed = true;
            }
        }
    }

    /// Takes note of members.
    pub fn learn(&self, seats: &[MemberInfo]) {
        for seat in seats {
            self.peer(seat.addr);
        }
    }

    /// Sends a message over the link to a member, or drops it where the member can't be reached.
    pub fn send(&self, to: &MemberInfo, message: &Message) {
        let Some(peer) = self.peer(to.addr) else {
            return;
        };
        {
            let state = peer.state.borrow();
            // Whoever sits there now isn't the one who is spoken to.
            if to.id != 0 && state.seat.as_ref().is_some_and(|s| s.id != to.id) {
                self.inner.counters.borrow_mut().dropped += 1;
                return;
            }
        }
        self.push(&peer, to.id, message);
    }

    /// Members heard of lately, this one first.
    pub fn seats(&self) -> Vec<MemberInfo> {
        let mut seats = vec![self.inner.me.clone()];
        for peer in self.inner.peers.borrow().values() {
            let state = peer.state.borrow();
            seats.extend(state.seat.iter().filter(|_| peer.is_up()).cloned());
        }
        seats[1..].sort_by_key(|s| s.id);
        seats
    }

    /// Counts since the start.
    pub fn counters(&self) -> PeerCounters {
        *self.inner.counters.borrow()
    }

    /// Serves a member's connection whose first message, [`Message::Hello`], has been read.
    ///
    /// # Errors
    /// Where the connection breaks.
    pub async fn serve(
        &self,
        seat: MemberInfo,
        first: Message,
        mut frames: FrameReader<impl AsyncRead + Unpin>,
        mut output: impl AsyncWrite + Unpin,
    ) -> std::io::Result<()> {
        write_all(
            &mut output,
            &protocol::encode(&Message::Hello {
                sender: self.inner.me.clone(),
            }),
        )
        .await?;
        self.learn(std::slice::from_ref(&seat));
        self.tell(PeerEvent::Hello(seat.clone()));
        let mut next = Step::Message(Box::new(first));
        loop {
            match next {
                Step::Message(message) => self.take(&seat, *message, &mut output).await?,
                // However long a frame takes: its bytes come.
                Step::Part => {}
                Step::End => return Ok(()),
            }
            // The dialler probes at the latest then.
            next = timeout(2 * SILENCE_TIMEOUT, frames.step()).await??;
        }
    }

    /// Takes a message of a member that dialled.
    async fn take(
        &self,
        seat: &MemberInfo,
        message: Message,
        output: &mut (impl AsyncWrite + Unpin),
    ) -> std::io::Result<()> {
        match message {
            Message::Peers { members } => {
                self.learn(&members);
                let answer = Message::Peers {
                    members: self.seats(),
                };
                write_all(output, &protocol::encode(&answer)).await
            }
            message => {
                self.tell(PeerEvent::Message(seat.clone(), Box::new(message)));
                Ok(())
            }
        }
    }

    fn tell(&self, heard: PeerEvent) {
        self.inner.counters.borrow_mut().heard += 1;
        (self.inner.heard)(heard);
    }

    fn push(&self, peer: &Peer, to: u64, message: &Message) {
        let frame = protocol::encode(message);
        let lane = Channel::of(message, frame.len());
        self.inner.counters.borrow_mut().dropped += peer.lane(lane).push(to, frame);
    }

    fn peer(&self, addr: Addr) -> Option<Rc<Peer>> {
        if addr == self.inner.me.addr || addr.ip == 0 || addr.port == 0 {
            return None;
        }
        let mut peers = self.inner.peers.borrow_mut();
        if let Some(peer) = peers.get(&addr) {
            return Some(peer.clone());
        }
        if peers.len() >= MAX_PEERS {
            return None;
        }
        let peer = Rc::new(Peer::new(addr));
        peers.insert(addr, peer.clone());
        drop(peers);
        spawn_local(self.clone().keep_up(peer.clone()));
        spawn_local(self.clone().keep_data_up(peer.clone()));
        Some(peer)
    }
}
