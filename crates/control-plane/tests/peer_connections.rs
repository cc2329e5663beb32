//! Connections between members over real sockets; waits are on tokio's paused clock.

mod http_client;

use control_plane::runtime::peer_connections::{PeerConnections, PeerEvent};
use http_client::run_local;
use protocol::{Change, MemberInfo, Message};
use replication::{FrameReader, Step};
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::Instant;

type EventLog = Rc<RefCell<Vec<PeerEvent>>>;

fn member_info(id: u64, addr: SocketAddrV4) -> MemberInfo {
    MemberInfo {
        id,
        name: format!("m{id}"),
        addr: addr.into(),
        ..MemberInfo::default()
    }
}

fn addr_of(listener: &TcpListener) -> SocketAddrV4 {
    listener.local_addr().unwrap().to_string().parse().unwrap()
}

fn peer_connections() -> (PeerConnections, EventLog) {
    let log = EventLog::default();
    let events = log.clone();
    let me = member_info(1, "127.0.0.99:9".parse().unwrap());
    (
        PeerConnections::new(me, move |event| events.borrow_mut().push(event)),
        log,
    )
}

/// Takes the dialler's connection and says who is there.
async fn accept_and_greet(listener: &TcpListener, who: &MemberInfo) -> FrameReader<TcpStream> {
    let (stream, _) = listener.accept().await.unwrap();
    let mut frames = FrameReader::new(stream, Vec::new());
    assert!(
        matches!(frames.next().await.unwrap(), Some(Message::Hello { sender }) if sender.id == 1)
    );
    let (mut stream, rest) = frames.into_parts();
    stream
        .write_all(&protocol::encode(&Message::Hello {
            sender: who.clone(),
        }))
        .await
        .unwrap();
    FrameReader::new(stream, rest)
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::task::yield_now().await;
    }
}

fn release_lease() -> Message {
    Message::ReleaseLease { epoch: 7 }
}

#[test]
fn peer_when_silent_is_probed_disconnected_and_dialled_again() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let other = member_info(2, addr_of(&listener));
        let (peers, _) = peer_connections();
        peers.set_seeds(&[addr_of(&listener)]);
        let mut frames = accept_and_greet(&listener, &other).await;
        wait_until(|| peers.counters().connected == 1).await;
        assert!(matches!(
            frames.next().await.unwrap(),
            Some(Message::Peers { .. })
        ));
        tokio::time::pause();
        let start = Instant::now();
        // The probe goes unanswered.
        let probe = frames.next().await.unwrap();
        assert!(
            matches!(probe, Some(Message::Peers { ref members }) if members.is_empty()),
            "{probe:?}"
        );
        assert!(
            start.elapsed() >= Duration::from_millis(1900),
            "{:?}",
            start.elapsed()
        );
        assert!(frames.next().await.unwrap().is_none(), "given up");
        assert!(
            start.elapsed() < Duration::from_secs(5),
            "{:?}",
            start.elapsed()
        );
        assert_eq!(peers.counters().disconnected, 1);
        assert_eq!(peers.reachable_members().len(), 1, "it counts no more");
        // A seed is dialled whatever happens.
        let _frames = accept_and_greet(&listener, &other).await;
        wait_until(|| peers.counters().connected == 2).await;
        assert_eq!(peers.reachable_members().len(), 2);
    });
}

#[test]
fn peer_when_it_sends_no_hello_is_not_reachable() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (peers, log) = peer_connections();
        peers.set_seeds(&[addr_of(&listener)]);
        let (_mute, _) = listener.accept().await.unwrap();
        tokio::time::pause();
        let start = Instant::now();
        // It is dialled anew after its time, and nothing was told of it until it says who it is.
        let (mute, _) = listener.accept().await.unwrap();
        assert!(
            start.elapsed() >= Duration::from_secs(3),
            "{:?}",
            start.elapsed()
        );
        assert_eq!(
            (
                log.borrow().len(),
                peers.counters().connected,
                peers.reachable_members().len()
            ),
            (0, 0, 1)
        );
        drop(mute);
        let _frames = accept_and_greet(&listener, &member_info(2, addr_of(&listener))).await;
        wait_until(|| peers.counters().connected == 1).await;
        assert!(matches!(log.borrow()[..], [PeerEvent::Connected(ref s)] if s.id == 2));
        assert_eq!(peers.counters().disconnected, 0);
    });
}

#[test]
fn message_when_another_member_has_the_address_is_dropped() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (before, now) = (
            member_info(2, addr_of(&listener)),
            member_info(3, addr_of(&listener)),
        );
        let (peers, log) = peer_connections();
        peers.set_seeds(&[addr_of(&listener)]);
        let mut frames = accept_and_greet(&listener, &before).await;
        wait_until(|| peers.counters().connected == 1).await;
        assert!(matches!(log.borrow()[0], PeerEvent::Connected(ref s) if s.id == 2));
        assert!(matches!(
            frames.next().await.unwrap(),
            Some(Message::Peers { .. })
        ));
        peers.send(&before, &release_lease());
        assert_eq!(frames.next().await.unwrap(), Some(release_lease()));
        // Its disk is wiped: somebody else comes up at the address.
        drop(frames);
        let mut frames = accept_and_greet(&listener, &now).await;
        wait_until(|| peers.counters().connected == 2).await;
        let dropped = peers.counters().dropped;
        peers.send(&before, &release_lease());
        assert_eq!(peers.counters().dropped, dropped + 1);
        peers.send(&now, &Message::ReleaseLease { epoch: 8 });
        assert!(matches!(
            frames.next().await.unwrap(),
            Some(Message::Peers { .. })
        ));
        assert_eq!(
            frames.next().await.unwrap(),
            Some(Message::ReleaseLease { epoch: 8 })
        );
    });
}

#[test]
fn peer_when_it_reads_nothing_is_disconnected_and_its_queue_is_bounded() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let other = member_info(2, addr_of(&listener));
        let (peers, _) = peer_connections();
        peers.set_seeds(&[addr_of(&listener)]);
        // It says who it is, over both connections, and reads no more.
        let _stuck = accept_and_greet(&listener, &other).await;
        wait_until(|| peers.counters().connected == 1).await;
        let text = vec![b'x'; 1 << 20];
        let long = Message::CommandResult {
            request_id: 1,
            code: 0,
            body: text,
        };
        peers.send(&other, &long);
        let _stuck_data = accept_and_greet(&listener, &other).await;
        wait_until(|| peers.counters().connected == 2).await;
        for _ in 0..40 {
            peers.send(&other, &long);
            tokio::task::yield_now().await;
        }
        assert!(
            peers.counters().dropped > 0,
            "four of them fit beside what is on its way"
        );
        tokio::time::pause();
        let start = Instant::now();
        let _frames = accept_and_greet(&listener, &other).await;
        assert!(
            start.elapsed() < Duration::from_millis(3400),
            "by the write's time, {:?}",
            start.elapsed()
        );
        assert_eq!(peers.counters().disconnected, 1);
    });
}

fn change(index: u64, bytes: usize) -> Message {
    let change = Change::Configure {
        base_version: index,
        is_amendment: false,
        body: vec![b'x'; bytes],
    };
    Message::AppendChange {
        epoch: 7,
        index,
        change,
    }
}

fn lease_renewal(requested_at_ms: u64) -> Message {
    Message::RenewLease {
        epoch: 7,
        requested_at_ms,
        commit_index: 0,
        echoed_clock_ms: 0,
    }
}

const MAX_CHANGE_BYTES: usize = 4 << 20;

/// The next message that isn't the probe of a peer that has been silent: a busy machine takes its time.
async fn next_except_probes(frames: &mut FrameReader<TcpStream>) -> Option<Message> {
    loop {
        match frames.next().await.unwrap() {
            Some(Message::Peers { .. }) => {}
            message => return message,
        }
    }
}

/// The control connection of a peer that is there, with its first messages read, and the peers to it.
async fn connected_peer(
    listener: &TcpListener,
    other: &MemberInfo,
) -> (PeerConnections, FrameReader<TcpStream>) {
    let (peers, _) = peer_connections();
    peers.set_seeds(&[addr_of(listener)]);
    let mut control = accept_and_greet(listener, other).await;
    wait_until(|| peers.counters().connected == 1).await;
    assert!(matches!(
        control.next().await.unwrap(),
        Some(Message::Peers { .. })
    ));
    (peers, control)
}

#[test]
fn lease_renewal_when_a_long_change_is_queued_is_not_delayed() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let other = member_info(2, addr_of(&listener));
        let (peers, mut control) = connected_peer(&listener, &other).await;
        // Nobody reads the long change while the lease is renewed.
        peers.send(&other, &change(1, MAX_CHANGE_BYTES));
        peers.send(&other, &change(2, 10));
        for requested_at_ms in 0..20 {
            peers.send(&other, &lease_renewal(requested_at_ms));
            assert_eq!(
                next_except_probes(&mut control).await,
                Some(lease_renewal(requested_at_ms))
            );
        }
        // Changes come in their order, the small one after the long one.
        let mut data = accept_and_greet(&listener, &other).await;
        assert!(matches!(
            data.next().await.unwrap(),
            Some(Message::Peers { .. })
        ));
        for requested_at_ms in 20..40 {
            peers.send(&other, &lease_renewal(requested_at_ms));
            assert_eq!(
                next_except_probes(&mut control).await,
                Some(lease_renewal(requested_at_ms))
            );
        }
        assert_eq!(
            next_except_probes(&mut data).await,
            Some(change(1, MAX_CHANGE_BYTES))
        );
        assert_eq!(next_except_probes(&mut data).await, Some(change(2, 10)));
        assert_eq!(peers.counters().disconnected, 0);
    });
}

#[test]
fn message_when_its_connection_breaks_is_sent_again_over_the_next() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let other = member_info(2, addr_of(&listener));
        let (peers, mut control) = connected_peer(&listener, &other).await;
        // More than the system's own buffers hold.
        let long = Message::CommandResult {
            request_id: 1,
            code: 0,
            body: vec![b'x'; 15 << 20],
        };
        peers.send(&other, &long);
        peers.send(&other, &change(1, 10));
        let mut data = accept_and_greet(&listener, &other).await;
        assert!(matches!(
            data.next().await.unwrap(),
            Some(Message::Peers { .. })
        ));
        // Some of the first bytes come, and no more.
        assert!(matches!(data.step().await.unwrap(), Step::Partial));
        drop(data);
        let mut data = accept_and_greet(&listener, &other).await;
        assert_eq!(next_except_probes(&mut data).await, Some(long));
        peers.send(&other, &change(2, 10));
        assert_eq!(
            next_except_probes(&mut data).await,
            Some(change(2, 10)),
            "nothing fits beside the longest"
        );
        peers.send(&other, &lease_renewal(1));
        assert_eq!(
            next_except_probes(&mut control).await,
            Some(lease_renewal(1)),
            "the other connection stays"
        );
        assert_eq!(peers.counters().disconnected, 1);
    });
}

/// Answers whatever comes over a control connection, as a peer answers probes.
async fn answer_probes(frames: FrameReader<TcpStream>) {
    let (stream, rest) = frames.into_parts();
    let (input, mut output) = stream.into_split();
    let mut frames = FrameReader::new(input, rest);
    while let Ok(Some(_)) = frames.next().await {
        let answer = protocol::encode(&Message::Peers {
            members: Vec::new(),
        });
        output.write_all(&answer).await.unwrap();
    }
}

/// Lets time pass in small steps, with the sockets' work done at each.
async fn advance_in_steps(time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        tokio::time::advance(Duration::from_millis(50).min(until - Instant::now())).await;
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
    }
}

/// A peer that reads a whole frame slowly is there: what it hasn't read yet explains its silence.
#[test]
fn connection_when_a_change_takes_seconds_is_kept() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let other = member_info(2, addr_of(&listener));
        let (peers, control) = connected_peer(&listener, &other).await;
        tokio::task::spawn_local(answer_probes(control));
        peers.send(&other, &change(1, MAX_CHANGE_BYTES));
        let mut data = accept_and_greet(&listener, &other).await;
        assert!(matches!(
            data.next().await.unwrap(),
            Some(Message::Peers { .. })
        ));
        wait_until(|| peers.counters().connected == 2).await;
        tokio::time::pause();
        let start = Instant::now();
        let mut received = data.received();
        let change = loop {
            match data.step().await.unwrap() {
                Step::Message(message) if matches!(*message, Message::Peers { .. }) => {}
                Step::Message(message) => break *message,
                Step::Partial => {
                    let bytes = data.received() - received;
                    received = data.received();
                    advance_in_steps(Duration::from_secs_f64(bytes as f64 / 1.1e6)).await;
                }
                Step::End => panic!("given up after {:?}", start.elapsed()),
            }
        };
        assert!(
            start.elapsed() >= Duration::from_millis(3700),
            "{:?}",
            start.elapsed()
        );
        assert!(matches!(change, Message::AppendChange { index: 1, .. }));
        assert_eq!(peers.counters().disconnected, 0);
    });
}

/// The peer's frame comes a little at a time, over longer than a silent connection is kept.
#[tokio::test(start_paused = true)]
async fn frame_when_it_takes_long_is_received() {
    let (peers, log) = peer_connections();
    let local = LocalSet::new();
    let (ours, mut theirs) = tokio::io::duplex(1 << 20);
    let (input, output) = tokio::io::split(ours);
    let other = member_info(2, "127.0.0.98:9".parse().unwrap());
    local.spawn_local(async move {
        let frame = protocol::encode(&change(1, 1 << 20));
        for part in frame.chunks(frame.len() / 16) {
            tokio::time::advance(Duration::from_secs(1)).await;
            theirs.write_all(part).await.unwrap();
        }
    });
    let first = Message::Peers {
        members: Vec::new(),
    };
    let serve = peers.serve(other, first, FrameReader::new(input, Vec::new()), output);
    local.run_until(serve).await.unwrap();
    let told = log.borrow();
    assert!(
        matches!(told.last(), Some(PeerEvent::Message(s, m)) if s.id == 2 && **m == change(1, 1 << 20))
    );
}
