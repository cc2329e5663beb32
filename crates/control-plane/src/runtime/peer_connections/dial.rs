//! A peer's connections, dialled and kept up.

use super::channel::{Channel, ChannelState, QueuedFrame, MAX_QUEUED_BYTES};
use super::{Peer, PeerConnections, PeerEvent};
use crate::runtime::connection::{ready, write_all, write_all_counting};
use protocol::{MemberInfo, Message};
use replication::{FrameReader, Step};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// First and longest pause between two tries to connect.
const RECONNECT_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));
/// A connection on which nothing came for this long is probed...
const PROBE_AFTER: Duration = Duration::from_secs(2);
/// ...and given up where nothing has come by then.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(3500);
/// Members that weren't reached for this long are forgotten, seeds excepted.
const FORGET_PEER_AFTER: Duration = Duration::from_secs(60);
/// What was written is expected to reach the peer at this rate at least, in bytes a second: before that it can't
/// answer a probe that was written after it.
const MIN_RATE: f64 = (1 << 20) as f64;
/// More bytes than these are not on their way at once.
const MAX_ON_THEIR_WAY: usize = 2 * MAX_QUEUED_BYTES;

/// When something last came over a connection, and what was written since.
struct Liveness {
    heard: Cell<Instant>,
    written: Cell<usize>,
}

impl Liveness {
    fn new() -> Self {
        Self {
            heard: Cell::new(Instant::now()),
            written: Cell::new(0),
        }
    }

    fn hear(&self) {
        self.heard.set(Instant::now());
        self.written.set(0);
    }

    fn wrote(&self, bytes: usize) {
        self.written
            .set((self.written.get() + bytes).min(MAX_ON_THEIR_WAY));
    }

    /// How long nothing came.
    fn silence(&self) -> Duration {
        self.heard.get().elapsed()
    }

    /// How long nothing came, beyond the time that what was written may need.
    fn unexplained_silence(&self) -> Duration {
        self.silence().saturating_sub(Duration::from_secs_f64(
            self.written.get() as f64 / MIN_RATE,
        ))
    }
}

impl PeerConnections {
    /// Keeps the control lane to a peer up for as long as the peer is wanted.
    pub(super) async fn keep_up(self, peer: Rc<Peer>) {
        let mut pause = RECONNECT_PAUSE.0;
        loop {
            let was_up = self.connect(&peer, Channel::Control).await;
            if !self.went_down(&peer) {
                break;
            }
            if was_up {
                pause = RECONNECT_PAUSE.0;
            }
            sleep(pause).await;
            pause = (pause * 2).min(RECONNECT_PAUSE.1);
        }
        peer.lane(Channel::Data).wake.notify_one();
        self.inner.peers.borrow_mut().remove(&peer.addr);
    }

    /// Notes that the control lane's connection has ended; whether the peer is still wanted.
    fn went_down(&self, peer: &Peer) -> bool {
        self.lane_went_down(peer, Channel::Control);
        let mut state = peer.state.borrow_mut();
        if !state.seed && state.reached.elapsed() > FORGET_PEER_AFTER {
            state.wanted = false;
        }
        state.wanted
    }

    fn lane_went_down(&self, peer: &Peer, lane: Channel) {
        if peer.lane(lane).up.replace(false) {
            self.inner.counters.borrow_mut().broken += 1;
            log::info!(peer:? = SocketAddrV4::from(&peer.addr), lane:?; "link down");
        }
    }

    /// Dials the data lane whenever something waits for it, and keeps it up from then on.
    pub(super) async fn keep_data_up(self, peer: Rc<Peer>) {
        let lane = peer.lane(Channel::Data);
        let mut pause = RECONNECT_PAUSE.0;
        loop {
            while lane.is_empty() && peer.state.borrow().wanted {
                lane.wake.notified().await;
            }
            if !peer.state.borrow().wanted {
                return;
            }
            let was_up = self.connect(&peer, Channel::Data).await;
            self.lane_went_down(&peer, Channel::Data);
            if was_up {
                pause = RECONNECT_PAUSE.0;
            }
            sleep(pause).await;
            pause = (pause * 2).min(RECONNECT_PAUSE.1);
            self.inner.counters.borrow_mut().dropped += lane.drop_old();
        }
    }

    /// One connection from its start to its end; whether it came up.
    async fn connect(&self, peer: &Peer, lane: Channel) -> bool {
        let addr = SocketAddr::V4(SocketAddrV4::from(&peer.addr));
        let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await else {
            return false;
        };
        if let Err(e) = ready(&stream) {
            log::debug!(error:% = e; "socket options");
        }
        let (input, mut output) = stream.into_split();
        let mut frames = FrameReader::new(input, Vec::new());
        let hello = protocol::encode(&Message::Hello {
            sender: self.inner.me.clone(),
        });
        let peers = protocol::encode(&Message::Peers {
            members: self.seats(),
        });
        if write_all(&mut output, &[hello, peers].concat())
            .await
            .is_err()
        {
            return false;
        }
        let Ok(Ok(Some(Message::Hello { sender }))) = timeout(SILENCE_TIMEOUT, frames.next()).await
        else {
            return false;
        };
        let state = peer.lane(lane);
        state.up.set(true);
        let dropped = state.drop_old() + state.drop_for_others(sender.id);
        self.inner.counters.borrow_mut().dropped += dropped;
        self.inner.counters.borrow_mut().connected += 1;
        if lane == Channel::Control {
            self.came_up(peer, sender.clone());
        }
        let liveness = Liveness::new();
        // What a connection that ends leaves half sent.
        let unsent = RefCell::new(None);
        tokio::select! {
            () = self.listen(&sender, frames, &liveness) => {}
            () = self.speak(state, sender.id, output, &liveness, &unsent) => {}
            () = self.watch(state, &liveness) => {}
        }
        unsent
            .into_inner()
            .into_iter()
            .for_each(|unsent| state.put_back(unsent));
        peer.state.borrow_mut().reached = Instant::now();
        true
    }

    async fn listen(
        &self,
        seat: &MemberInfo,
        mut frames: FrameReader<impl AsyncRead + Unpin>,
        liveness: &Liveness,
    ) {
        while let Ok(step) = frames.step().await {
            liveness.hear();
            match step {
                Step::Message(message) => match *message {
                    Message::Peers { members } => self.learn(&members),
                    message => self.tell(PeerEvent::Message(seat.clone(), Box::new(message))),
                },
                Step::Part => {}
                Step::End => return,
            }
        }
    }

    /// Writes what waits, for as long as the member `there` takes it.
    async fn speak(
        &self,
        lane: &ChannelState,
        there: u64,
        mut output: impl AsyncWrite + Unpin,
        liveness: &Liveness,
        unsent: &RefCell<Option<QueuedFrame>>,
    ) {
        loop {
            let Some(next) = lane.pop() else {
                lane.wake.notified().await;
                continue;
            };
            if !next.is_for(there) {
                self.inner.counters.borrow_mut().dropped += 1;
                continue;
            }
            let frame = next.frame.clone();
            unsent.replace(Some(next));
            if write_all_counting(&mut output, &frame, |bytes| liveness.wrote(bytes))
                .await
                .is_err()
            {
                return;
            }
            unsent.take();
            let mut counters = self.inner.counters.borrow_mut();
            counters.sent += 1;
            counters.sent_bytes += frame.len() as u64;
        }
    }

    /// Probes a peer that is silent; ends where it stays so.
    async fn watch(&self, lane: &ChannelState, liveness: &Liveness) {
        loop {
            if liveness.unexplained_silence() >= SILENCE_TIMEOUT {
                return;
            }
            let silence = liveness.silence();
            if silence >= PROBE_AFTER {
                let probe = protocol::encode(&Message::Peers {
                    members: Vec::new(),
                });
                self.inner.counters.borrow_mut().dropped += lane.push(0, probe);
                sleep(SILENCE_TIMEOUT - PROBE_AFTER).await;
            } else {
                sleep(PROBE_AFTER - silence).await;
            }
        }
    }

    fn came_up(&self, peer: &Peer, seat: MemberInfo) {
        {
            let mut state = peer.state.borrow_mut();
            state.reached = Instant::now();
            state.seat = Some(seat.clone());
        }
        log::info!(peer:% = seat.name, addr:? = SocketAddrV4::from(&peer.addr); "link up");
        self.tell(PeerEvent::Hello(seat));
        // The others hear of it.
        let news = Message::Peers {
            members: self.seats(),
        };
        let others: Vec<Rc<Peer>> = self.inner.peers.borrow().values().cloned().collect();
        for other in others.iter().filter(|o| o.addr != peer.addr && o.is_up()) {
            self.push(other, 0, &news);
        }
    }
}
