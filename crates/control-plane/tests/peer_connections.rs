//! PeerConnections between members over real sockets; waits are on tokio's paused clock.

use control_plane::runtime::peer_connections::{PeerConnections, PeerEvent};
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

type Log = Rc<RefCell<Vec<PeerEvent>>>;

fn seat(id: u64, addr: SocketAddrV4) -> MemberInfo {
    MemberInfo {
        id,
        name: format!("m{id}"),
        addr: addr.into(),
        ..MemberInfo::default()
    }
}

fn v4(listener: &TcpListener) -> SocketAddrV4 {
    listener.local_addr().unwrap().to_string().parse().unwrap()
}

fn links() -> (PeerConnections, Log) {
    let log = Log::default();
    let heard = log.clone();
    let me = seat(1, "127.0.0.99:9".parse().unwrap());
    (
        PeerConnections::new(me, move |h| heard.borrow_mut().push(h)),
        log,
    )
}

fn story(work: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, work);
}

/// Takes the dialler's connection and says who is there.
async fn greet(listener: &TcpListener, who: &MemberInfo) -> FrameReader<TcpStream> {
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

async fn until(what: impl Fn() -> bool) {
    while !what() {
        tokio::task::yield_now().await;
    }
}

fn yield_message() -> Message {
    Message::ReleaseLease { epoch: 7 }
}

#[test]
fn a_peer_that_falls_silent_is_probed_given_up_and_dialled_again() {
    story(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let other = seat(2, v4(&listener));
        let (links, _) = links();
        links.set_seeds(&[v4(&listener)]);
        let mut frames = greet(&listener, &other).await;
        until(|| links.counters().connected == 1).await;
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
        assert_eq!(links.counters().disconnected, 1);
        assert_eq!(links.reachable_members().len(), 1, "it counts no more");
        // A seed is dialled whatever happens.
        let _frames = greet(&listener, &other).await;
        until(|| links.counters().connected == 2).await;
        assert_eq!(links.reachable_members().len(), 2);
    });
}

#[test]
fn a_peer_that_never_says_who_it_is_doesnt_count() {
    story(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (links, log) = links();
        links.set_seeds(&[v4(&listener)]);
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
                links.counters().connected,
                links.reachable_members().len()
            ),
            (0, 0, 1)
        );
        drop(mute);
        let _frames = greet(&listener, &seat(2, v4(&listener))).await;
        until(|| links.counters().connected == 1).await;
        assert!(matches!(log.borrow()[..], [PeerEvent::Connected(ref s)] if s.id == 2));
        assert_eq!(links.counters().disconnected, 0);
    });
}

#[test]
fn what_is_meant_for_another_identity_at_an_address_isnt_sent() {
    story(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (before, now) = (seat(2, v4(&listener)), seat(3, v4(&listener)));
        let (links, log) = links();
        links.set_seeds(&[v4(&listener)]);
        let mut frames = greet(&listener, &before).await;
        until(|| links.counters().connected == 1).await;
        assert!(matches!(log.borrow()[0], PeerEvent::Connected(ref s) if s.id == 2));
        assert!(matches!(
            frames.next().await.unwrap(),
            Some(Message::Peers { .. })
        ));
        links.send(&before, &yield_message());
        assert_eq!(frames.next().await.unwrap(), Some(yield_message()));
        // Its disk is wiped: somebody else comes up at the address.
        drop(frames);
        let mut frames = greet(&listener, &now).await;
        until(|| links.counters().connected == 2).await;
        let dropped = links.counters().dropped;
        links.send(&before, &yield_message());
        assert_eq!(links.counters().dropped, dropped + 1);
        links.send(&now, &Message::ReleaseLease { epoch: 8 });
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
fn a_peer_that_takes_nothing_is_given_up_and_what_waits_is_bounded() {
    story(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let other = seat(2, v4(&listener));
        let (links, _) = links();
        links.set_seeds(&[v4(&listener)]);
        // It says who it is, over both connections, and reads no more.
        let _stuck = greet(&listener, &other).await;
        until(|| links.counters().connected == 1).await;
        let text = vec![b'x'; 1 << 20];
        let long = Message::CommandResult {
            request_id: 1,
            code: 0,
            body: text,
        };
        links.send(&other, &long);
        let _stuck_data = greet(&listener, &other).await;
        until(|| links.counters().connected == 2).await;
        for _ in 0..40 {
            links.send(&other, &long);
            tokio::task::yield_now().await;
        }
        assert!(
            links.counters().dropped > 0,
            "four of them fit beside what is on its way"
        );
        tokio::time::pause();
        let start = Instant::now();
        let _frames = greet(&listener, &other).await;
        assert!(
            start.elapsed() < Duration::from_millis(3400),
            "by the write's time, {:?}",
            start.elapsed()
        );
        assert_eq!(links.counters().disconnected, 1);
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

fn renewal(stamp: u64) -> Message {
    Message::RenewLease {
        epoch: 7,
        requested_at_ms: stamp,
        commit_index: 0,
        echoed_clock_ms: 0,
    }
}

const LONGEST: usize = 4 << 20;

/// The next message that isn't the probe of a peer that has been silent: a busy machine takes its time.
async fn next_but_probes(frames: &mut FrameReader<TcpStream>) -> Option<Message> {
    loop {
        match frames.next().await.unwrap() {
            Some(Message::Peers { .. }) => {}
            message => return message,
        }
    }
}

/// The control connection of a peer that is there, with its first messages read, and the links to it.
async fn linked(
    listener: &TcpListener,
    other: &MemberInfo,
) -> (PeerConnections, FrameReader<TcpStream>) {
    let (links, _) = links();
    links.set_seeds(&[v4(listener)]);
    let mut control = greet(listener, other).await;
    until(|| links.counters().connected == 1).await;
    assert!(matches!(
        control.next().await.unwrap(),
        Some(Message::Peers { .. })
    ));
    (links, control)
}

#[test]
fn a_long_change_holds_up_no_renewal() {
    story(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let other = seat(2, v4(&listener));
        let (links, mut control) = linked(&listener, &other).await;
        // Nobody reads the long change while the lease is renewed.
        links.send(&other, &change(1, LONGEST));
        links.send(&other, &change(2, 10));
        for stamp in 0..20 {
            links.send(&other, &renewal(stamp));
            assert_eq!(next_but_probes(&mut control).await, Some(renewal(stamp)));
        }
        // Changes come in their order, the small one after the long one.
        let mut data = greet(&listener, &other).await;
        assert!(matches!(
            data.next().await.unwrap(),
            Some(Message::Peers { .. })
        ));
        for stamp in 20..40 {
            links.send(&other, &renewal(stamp));
            assert_eq!(next_but_probes(&mut control).await, Some(renewal(stamp)));
        }
        assert_eq!(next_but_probes(&mut data).await, Some(change(1, LONGEST)));
        assert_eq!(next_but_probes(&mut data).await, Some(change(2, 10)));
        assert_eq!(links.counters().disconnected, 0);
    });
}

#[test]
fn a_message_that_a_broken_connection_cut_off_comes_whole_over_the_next() {
    story(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let other = seat(2, v4(&listener));
        let (links, mut control) = linked(&listener, &other).await;
        // More than the system's own buffers hold.
        let long = Message::CommandResult {
            request_id: 1,
            code: 0,
            body: vec![b'x'; 15 << 20],
        };
        links.send(&other, &long);
        links.send(&other, &change(1, 10));
        let mut data = greet(&listener, &other).await;
        assert!(matches!(
            data.next().await.unwrap(),
            Some(Message::Peers { .. })
        ));
        // Some of the first bytes come, and no more.
        assert!(matches!(data.step().await.unwrap(), Step::Part));
        drop(data);
        let mut data = greet(&listener, &other).await;
        assert_eq!(next_but_probes(&mut data).await, Some(long));
        links.send(&other, &change(2, 10));
        assert_eq!(
            next_but_probes(&mut data).await,
            Some(change(2, 10)),
            "nothing fits beside the longest"
        );
        links.send(&other, &renewal(1));
        assert_eq!(
            next_but_probes(&mut control).await,
            Some(renewal(1)),
            "the other connection stays"
        );
        assert_eq!(links.counters().disconnected, 1);
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
async fn pass(time: Duration) {
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
fn a_link_that_takes_seconds_for_a_change_is_kept() {
    story(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let other = seat(2, v4(&listener));
        let (links, control) = linked(&listener, &other).await;
        tokio::task::spawn_local(answer_probes(control));
        links.send(&other, &change(1, LONGEST));
        let mut data = greet(&listener, &other).await;
        assert!(matches!(
            data.next().await.unwrap(),
            Some(Message::Peers { .. })
        ));
        until(|| links.counters().connected == 2).await;
        tokio::time::pause();
        let start = Instant::now();
        let mut received = data.received();
        let change = loop {
            match data.step().await.unwrap() {
                Step::Message(message) if matches!(*message, Message::Peers { .. }) => {}
                Step::Message(message) => break *message,
                Step::Part => {
                    let bytes = data.received() - received;
                    received = data.received();
                    pass(Duration::from_secs_f64(bytes as f64 / 1.1e6)).await;
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
        assert_eq!(links.counters().disconnected, 0);
    });
}

/// The peer's frame comes a little at a time, over longer than a silent connection is kept.
#[tokio::test(start_paused = true)]
async fn a_frame_that_takes_long_is_taken_whole() {
    let (links, log) = links();
    let local = LocalSet::new();
    let (ours, mut theirs) = tokio::io::duplex(1 << 20);
    let (input, output) = tokio::io::split(ours);
    let other = seat(2, "127.0.0.98:9".parse().unwrap());
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
    let serve = links.serve(other, first, FrameReader::new(input, Vec::new()), output);
    local.run_until(serve).await.unwrap();
    let told = log.borrow();
    assert!(
        matches!(told.last(), Some(PeerEvent::Message(s, m)) if s.id == 2 && **m == change(1, 1 << 20))
    );
}
