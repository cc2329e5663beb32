//! Links between members. Each member dials every member that it knows and speaks over the connections that it
//! dialled; what others say comes in over theirs.

use crate::shell::connection::{ready, write_all};
use protocol::{Addr, MemberInfo, Message};
use replication::FrameReader;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// First and longest pause between two tries to connect.
const RECONNECT_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));
/// A connection on which nothing came for this long is probed...
const PROBE_AFTER: Duration = Duration::from_secs(2);
/// ...and given up where nothing has come by then.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3500);
/// Messages that wait for a connection are dropped at this age: whoever sent them asks again.
const MAX_QUEUED_AGE: Duration = Duration::from_secs(1);
/// Bytes that wait for one peer. One message always fits.
const MAX_QUEUED_BYTES: usize = 4 << 20;
/// Members that weren't reached for this long are forgotten, seeds excepted.
const FORGET_PEER_AFTER: Duration = Duration::from_secs(60);
/// Most members that are dialled.
const MAX_PEERS: usize = 256;

/// What comes from other members.
#[derive(Clone, Debug)]
pub enum LinkEvent {
    /// A member said who it is.
    Hello(MemberInfo),
    /// A member spoke.
    Message(MemberInfo, Box<Message>),
}

/// Plain counts since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkCounters {
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
pub struct Links {
    inner: Rc<Inner>,
}

struct Inner {
    me: MemberInfo,
    heard: Box<dyn Fn(LinkEvent)>,
    peers: RefCell<HashMap<Addr, Rc<Peer>>>,
    counters: RefCell<LinkCounters>,
}

struct Peer {
    addr: Addr,
    state: RefCell<PeerState>,
    /// There is something to send or the peer is no longer wanted.
    wake: Notify,
}

struct PeerState {
    seat: Option<MemberInfo>,
    seed: bool,
    up: bool,
    reached: Instant,
    queue: VecDeque<(Instant, Vec<u8>)>,
    queued: usize,
    wanted: bool,
}

impl Links {
    /// Links of the member in `me`; what comes goes to `heard`. Runs on a `LocalSet`.
    pub fn new(me: MemberInfo, heard: impl Fn(LinkEvent) + 'static) -> Self {
        let (peers, counters) = Default::default();
        Self { inner: Rc::new(Inner { me, heard: Box::new(heard), peers, counters }) }
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
        let Some(peer) = self.peer(to.addr) else { return };
        {
            let state = peer.state.borrow();
            // Whoever sits there now isn't the one who is spoken to.
            if to.id != 0 && state.seat.as_ref().is_some_and(|s| s.id != to.id) {
                self.inner.counters.borrow_mut().dropped += 1;
                return;
            }
        }
        self.push(&peer, message);
    }

    /// Members heard of lately, this one first.
    pub fn seats(&self) -> Vec<MemberInfo> {
        let mut seats = vec![self.inner.me.clone()];
        for peer in self.inner.peers.borrow().values() {
            let state = peer.state.borrow();
            seats.extend(state.seat.iter().filter(|_| state.up).cloned());
        }
        seats[1..].sort_by_key(|s| s.id);
        seats
    }

    /// Counts since the start.
    pub fn counters(&self) -> LinkCounters {
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
        mut frames: FrameReader<impl tokio::io::AsyncRead + Unpin>,
        mut output: impl tokio::io::AsyncWrite + Unpin,
    ) -> std::io::Result<()> {
        write_all(&mut output, &protocol::encode(&Message::Hello { seat: self.inner.me.clone() })).await?;
        self.learn(std::slice::from_ref(&seat));
        self.tell(LinkEvent::Hello(seat.clone()));
        let mut next = Some(first);
        while let Some(message) = next {
            match message {
                Message::Peers { seats } => {
                    self.learn(&seats);
                    let answer = Message::Peers { seats: self.seats() };
                    write_all(&mut output, &protocol::encode(&answer)).await?;
                }
                message => self.tell(LinkEvent::Message(seat.clone(), Box::new(message))),
            }
            // The dialler probes at the latest then.
            next = timeout(2 * SILENCE_TIMEOUT, frames.next()).await??;
        }
        Ok(())
    }

    fn tell(&self, heard: LinkEvent) {
        self.inner.counters.borrow_mut().heard += 1;
        (self.inner.heard)(heard);
    }

    fn push(&self, peer: &Peer, message: &Message) {
        let frame = protocol::encode(message);
        let mut state = peer.state.borrow_mut();
        while !state.up && state.queue.front().is_some_and(|(at, _)| at.elapsed() > MAX_QUEUED_AGE) {
            let old = state.queue.pop_front().map_or(0, |(_, frame)| frame.len());
            state.queued -= old;
            self.inner.counters.borrow_mut().dropped += 1;
        }
        if !state.queue.is_empty() && state.queued + frame.len() > MAX_QUEUED_BYTES {
            self.inner.counters.borrow_mut().dropped += 1;
            return;
        }
        state.queued += frame.len();
        state.queue.push_back((Instant::now(), frame));
        drop(state);
        peer.wake.notify_one();
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
        let state = PeerState {
            seat: None,
            seed: false,
            up: false,
            reached: Instant::now(),
            queue: VecDeque::new(),
            queued: 0,
            wanted: true,
        };
        let peer = Rc::new(Peer { addr, state: RefCell::new(state), wake: Notify::new() });
        peers.insert(addr, peer.clone());
        drop(peers);
        tokio::task::spawn_local(self.clone().keep_up(peer.clone()));
        Some(peer)
    }

    /// Keeps the connection to a peer up for as long as the peer is wanted.
    async fn keep_up(self, peer: Rc<Peer>) {
        let mut pause = RECONNECT_PAUSE.0;
        loop {
            let was_up = self.connect(&peer).await;
            {
                let mut state = peer.state.borrow_mut();
                if state.up {
                    state.up = false;
                    self.inner.counters.borrow_mut().broken += 1;
                    log::info!(peer:? = SocketAddrV4::from(&peer.addr); "link down");
                }
                if !state.seed && state.reached.elapsed() > FORGET_PEER_AFTER {
                    state.wanted = false;
                }
                if !state.wanted {
                    break;
                }
            }
            if was_up {
                pause = RECONNECT_PAUSE.0;
            }
            sleep(pause).await;
            pause = (pause * 2).min(RECONNECT_PAUSE.1);
        }
        self.inner.peers.borrow_mut().remove(&peer.addr);
    }

    /// One connection from its start to its end; whether it came up.
    async fn connect(&self, peer: &Peer) -> bool {
        let addr = SocketAddr::V4(SocketAddrV4::from(&peer.addr));
        let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await else { return false };
        if let Err(e) = ready(&stream) {
            log::debug!(error:% = e; "socket options");
        }
        let (input, mut output) = stream.into_split();
        let mut frames = FrameReader::new(input, Vec::new());
        let hello = protocol::encode(&Message::Hello { seat: self.inner.me.clone() });
        let peers = protocol::encode(&Message::Peers { seats: self.seats() });
        if write_all(&mut output, &[hello, peers].concat()).await.is_err() {
            return false;
        }
        let Ok(Ok(Some(Message::Hello { seat }))) = timeout(SILENCE_TIMEOUT, frames.next()).await else {
            return false;
        };
        self.came_up(peer, seat.clone());
        let heard = RefCell::new(Instant::now());
        let listen = async {
            while let Ok(Some(message)) = frames.next().await {
                *heard.borrow_mut() = Instant::now();
                match message {
                    Message::Peers { seats } => self.learn(&seats),
                    message => self.tell(LinkEvent::Message(seat.clone(), Box::new(message))),
                }
            }
        };
        let speak = async {
            loop {
                let Some(frame) = self.pop(peer) else {
                    peer.wake.notified().await;
                    continue;
                };
                if write_all(&mut output, &frame).await.is_err() {
                    return;
                }
                let mut counters = self.inner.counters.borrow_mut();
                counters.sent += 1;
                counters.sent_bytes += frame.len() as u64;
            }
        };
        let watch = async {
            loop {
                let silence = heard.borrow().elapsed();
                if silence >= SILENCE_TIMEOUT {
                    return;
                }
                if silence >= PROBE_AFTER {
                    self.push(peer, &Message::Peers { seats: Vec::new() });
                    sleep(SILENCE_TIMEOUT - PROBE_AFTER).await;
                } else {
                    sleep(PROBE_AFTER - silence).await;
                }
            }
        };
        tokio::select! {
            () = listen => {}
            () = speak => {}
            () = watch => {}
        }
        peer.state.borrow_mut().reached = Instant::now();
        true
    }

    fn came_up(&self, peer: &Peer, seat: MemberInfo) {
        {
            let mut state = peer.state.borrow_mut();
            state.up = true;
            state.reached = Instant::now();
            // What waited for somebody else, or for too long, is not for this one.
            let other = state.seat.as_ref().is_some_and(|s| s.id != seat.id);
            let before = state.queue.len();
            state.queue.retain(|(at, _)| !other && at.elapsed() < MAX_QUEUED_AGE);
            self.inner.counters.borrow_mut().dropped += (before - state.queue.len()) as u64;
            state.queued = state.queue.iter().map(|(_, frame)| frame.len()).sum();
            state.seat = Some(seat.clone());
        }
        self.inner.counters.borrow_mut().connected += 1;
        log::info!(peer:% = seat.name, addr:? = SocketAddrV4::from(&peer.addr); "link up");
        self.tell(LinkEvent::Hello(seat));
        // The others hear of it.
        let news = Message::Peers { seats: self.seats() };
        let others: Vec<Rc<Peer>> = self.inner.peers.borrow().values().cloned().collect();
        for other in others.iter().filter(|o| o.addr != peer.addr && o.state.borrow().up) {
            self.push(other, &news);
        }
    }

    fn pop(&self, peer: &Peer) -> Option<Vec<u8>> {
        let mut state = peer.state.borrow_mut();
        let (_, frame) = state.queue.pop_front()?;
        state.queued -= frame.len();
        Some(frame)
    }
}
