//! Connections between members over real sockets. Timeouts run on tokio's paused clock.

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

/// Returns the connections of member 1, and the events that they report.
fn peer_connections() -> (PeerConnections, EventLog) {
    let log = EventLog::default();
    let events = log.clone();
    let local_member = member_info(1, "127.0.0.99:9".parse().unwrap());
    (
        PeerConnections::new(local_member, move |event| events.borrow_mut().push(event)),
        log,
    )
}

/// Accepts a connection of member 1, reads its hello and replies with that of `sender`.
async fn accept_and_send_hello(
    listener: &TcpListener,
    sender: &MemberInfo,
) -> FrameReader<TcpStream> {
    let (stream, _) = listener.accept().await.unwrap();
    let mut frames = FrameReader::new(stream, Vec::new());
    assert!(
        matches!(frames.next().await.unwrap(), Some(Message::Hello { sender }) if sender.id == 1)
    );
    let (mut stream, rest) = frames.into_parts();
    stream
        .write_all(&protocol::encode(&Message::Hello {
            sender: sender.clone(),
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
        let peer = member_info(2, addr_of(&listener));
        let (peers, _) = peer_connections();
        peers.set_seeds(&[addr_of(&listener)]);
        let mut frames = accept_and_send_hello(&listener, &peer).await;
        wait_until(|| peers.counters().connected == 1).await;
        assert!(matches!(
            frames.next().await.unwrap(),
            Some(Message::Peers { .. })
        ));
        tokio::time::pause();
        let start = Instant::now();
        // The peer leaves the probe unanswered.
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
        assert!(
            frames.next().await.unwrap().is_none(),
            "the connection is closed"
        );
        assert!(
            start.elapsed() < Duration::from_secs(5),
            "{:?}",
            start.elapsed()
        );
        assert_eq!(peers.counters().disconnected, 1);
        assert_eq!(
            peers.reachable_members().len(),
            1,
            "a disconnected peer is not reachable"
        );
        // A seed is always dialled again.
        let _frames = accept_and_send_hello(&listener, &peer).await;
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
        let (_silent_stream, _) = listener.accept().await.unwrap();
        tokio::time::pause();
        let start = Instant::now();
        // It is dialled again after a timeout, and no event is reported before its hello.
        let (silent_stream, _) = listener.accept().await.unwrap();
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
        drop(silent_stream);
        let _frames = accept_and_send_hello(&listener, &member_info(2, addr_of(&listener))).await;
        wait_until(|| peers.counters().connected == 1).await;
        assert!(matches!(log.borrow()[..], [PeerEvent::Connected(ref s)] if s.id == 2));
        assert_eq!(peers.counters().disconnected, 0);
    });
}

#[test]
fn message_when_another_member_has_the_address_is_dropped() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (previous_member, current_member) = (
            member_info(2, addr_of(&listener)),
            member_info(3, addr_of(&listener)),
        );
        let (peers, log) = peer_connections();
        peers.set_seeds(&[addr_of(&listener)]);
        let mut frames = accept_and_send_hello(&listener, &previous_member).await;
        wait_until(|| peers.counters().connected == 1).await;
        assert!(matches!(log.borrow()[0], PeerEvent::Connected(ref s) if s.id == 2));
        assert!(matches!(
            frames.next().await.unwrap(),
            Some(Message::Peers { .. })
        ));
        peers.send(&previous_member, &release_lease());
        assert_eq!(frames.next().await.unwrap(), Some(release_lease()));
        // The member's disk is wiped: a member with another id starts at the address.
        drop(frames);
        let mut frames = accept_and_send_hello(&listener, &current_member).await;
        wait_until(|| peers.counters().connected == 2).await;
        let dropped = peers.counters().dropped;
        peers.send(&previous_member, &release_lease());
        assert_eq!(peers.counters().dropped, dropped + 1);
        peers.send(&current_member, &Message::ReleaseLease { epoch: 8 });
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
        let peer = member_info(2, addr_of(&listener));
        let (peers, _) = peer_connections();
        peers.set_seeds(&[addr_of(&listener)]);
        // The peer sends its hello over both connections and reads nothing after that.
        let _unread_control = accept_and_send_hello(&listener, &peer).await;
        wait_until(|| peers.counters().connected == 1).await;
        let text = vec![b'x'; 1 << 20];
        let long = Message::CommandResult {
            request_id: 1,
            code: 0,
            body: text,
        };
        peers.send(&peer, &long);
        let _unread_data = accept_and_send_hello(&listener, &peer).await;
        wait_until(|| peers.counters().connected == 2).await;
        for _ in 0..40 {
            peers.send(&peer, &long);
            tokio::task::yield_now().await;
        }
        assert!(peers.counters().dropped > 0, "the queue is bounded");
        tokio::time::pause();
        let start = Instant::now();
        let _frames = accept_and_send_hello(&listener, &peer).await;
        assert!(
            start.elapsed() < Duration::from_millis(3400),
            "by the write timeout, {:?}",
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

/// Returns the next message that isn't a probe. On a busy machine the peer may seem silent for long enough to be
/// probed.
async fn next_except_probes(frames: &mut FrameReader<TcpStream>) -> Option<Message> {
    loop {
        match frames.next().await.unwrap() {
            Some(Message::Peers { .. }) => {}
            message => return message,
        }
    }
}

/// Returns member 1's connections with `peer` connected, and the peer's end of the control connection with its first
/// messages read.
async fn connected_peer(
    listener: &TcpListener,
    peer: &MemberInfo,
) -> (PeerConnections, FrameReader<TcpStream>) {
    let (peers, _) = peer_connections();
    peers.set_seeds(&[addr_of(listener)]);
    let mut control = accept_and_send_hello(listener, peer).await;
    wait_until(|| peers.counters().connected == 1).await;
    assert!(matches!(
        control.next().await.unwrap(),
        Some(Message::Peers { .. })
    ));
    (peers, control)
}

#[test]
fn lease_renewal_is_not_delayed_by_a_large_queued_change() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer = member_info(2, addr_of(&listener));
        let (peers, mut control) = connected_peer(&listener, &peer).await;
        // The large change isn't read while the lease is renewed.
        peers.send(&peer, &change(1, MAX_CHANGE_BYTES));
        peers.send(&peer, &change(2, 10));
        for requested_at_ms in 0..20 {
            peers.send(&peer, &lease_renewal(requested_at_ms));
            assert_eq!(
                next_except_probes(&mut control).await,
                Some(lease_renewal(requested_at_ms))
            );
        }
        // Changes arrive in order, the small one after the large one.
        let mut data = accept_and_send_hello(&listener, &peer).await;
        assert!(matches!(
            data.next().await.unwrap(),
            Some(Message::Peers { .. })
        ));
        for requested_at_ms in 20..40 {
            peers.send(&peer, &lease_renewal(requested_at_ms));
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
fn message_is_sent_again_when_its_connection_breaks() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer = member_info(2, addr_of(&listener));
        let (peers, mut control) = connected_peer(&listener, &peer).await;
        // More than the socket buffers of the operating system hold.
        let long = Message::CommandResult {
            request_id: 1,
            code: 0,
            body: vec![b'x'; 15 << 20],
        };
        peers.send(&peer, &long);
        peers.send(&peer, &change(1, 10));
        let mut data = accept_and_send_hello(&listener, &peer).await;
        assert!(matches!(
            data.next().await.unwrap(),
            Some(Message::Peers { .. })
        ));
        // The connection breaks after the first bytes of the message.
        assert!(matches!(data.step().await.unwrap(), Step::Partial));
        drop(data);
        let mut data = accept_and_send_hello(&listener, &peer).await;
        assert_eq!(next_except_probes(&mut data).await, Some(long));
        peers.send(&peer, &change(2, 10));
        assert_eq!(
            next_except_probes(&mut data).await,
            Some(change(2, 10)),
            "the change that was queued behind the largest message was dropped"
        );
        peers.send(&peer, &lease_renewal(1));
        assert_eq!(
            next_except_probes(&mut control).await,
            Some(lease_renewal(1)),
            "the control connection stays established"
        );
        assert_eq!(peers.counters().disconnected, 1);
    });
}

/// Answers every message on a control connection, as a peer answers probes.
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

/// Advances the paused clock in small steps, and lets the socket tasks run after each.
async fn advance_in_steps(time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        tokio::time::advance(Duration::from_millis(50).min(until - Instant::now())).await;
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
    }
}

/// A peer that reads a large frame slowly is alive: the bytes that it hasn't read yet explain its silence. Its
/// connection must not be closed as silent.
#[test]
fn connection_is_kept_while_a_large_change_takes_seconds() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer = member_info(2, addr_of(&listener));
        let (peers, control) = connected_peer(&listener, &peer).await;
        tokio::task::spawn_local(answer_probes(control));
        peers.send(&peer, &change(1, MAX_CHANGE_BYTES));
        let mut data = accept_and_send_hello(&listener, &peer).await;
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
                Step::End => panic!("closed after {:?}", start.elapsed()),
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

/// A frame that arrives in parts, over a longer time than the silence timeout, is received whole.
#[tokio::test(start_paused = true)]
async fn frame_that_arrives_slowly_is_received() {
    let (peers, log) = peer_connections();
    let local = LocalSet::new();
    let (local_end, mut remote_end) = tokio::io::duplex(1 << 20);
    let (input, output) = tokio::io::split(local_end);
    let peer = member_info(2, "127.0.0.98:9".parse().unwrap());
    local.spawn_local(async move {
        let frame = protocol::encode(&change(1, 1 << 20));
        for part in frame.chunks(frame.len() / 16) {
            tokio::time::advance(Duration::from_secs(1)).await;
            remote_end.write_all(part).await.unwrap();
        }
    });
    let first = Message::Peers {
        members: Vec::new(),
    };
    let serve = peers.serve(peer, first, FrameReader::new(input, Vec::new()), output);
    local.run_until(serve).await.unwrap();
    let events = log.borrow();
    assert!(
        matches!(events.last(), Some(PeerEvent::Message(s, m)) if s.id == 2 && **m == change(1, 1 << 20))
    );
}
