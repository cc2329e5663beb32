//! Links between members over real sockets; waits are on tokio's paused clock.

use control_plane::shell::links::{LinkEvent, Links};
use protocol::{MemberInfo, Message};
use replication::FrameReader;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::Instant;

type Log = Rc<RefCell<Vec<LinkEvent>>>;

fn seat(id: u64, addr: SocketAddrV4) -> MemberInfo {
    MemberInfo { id, name: format!("m{id}"), addr: addr.into(), ..MemberInfo::default() }
}

fn v4(listener: &TcpListener) -> SocketAddrV4 {
    listener.local_addr().unwrap().to_string().parse().unwrap()
}

fn links() -> (Links, Log) {
    let log = Log::default();
    let heard = log.clone();
    let me = seat(1, "127.0.0.99:9".parse().unwrap());
    (Links::new(me, move |h| heard.borrow_mut().push(h)), log)
}

fn story(work: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, work);
}

/// Takes the dialler's connection and says who is there.
async fn greet(listener: &TcpListener, who: &MemberInfo) -> FrameReader<TcpStream> {
    let (stream, _) = listener.accept().await.unwrap();
    let mut frames = FrameReader::new(stream, Vec::new());
    assert!(matches!(frames.next().await.unwrap(), Some(Message::Hello { seat }) if seat.id == 1));
    let (mut stream, rest) = frames.into_parts();
    stream.write_all(&protocol::encode(&Message::Hello { seat: who.clone() })).await.unwrap();
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
        assert!(matches!(frames.next().await.unwrap(), Some(Message::Peers { .. })));
        tokio::time::pause();
        let start = Instant::now();
        // The probe goes unanswered.
        let probe = frames.next().await.unwrap();
        assert!(matches!(probe, Some(Message::Peers { ref seats }) if seats.is_empty()), "{probe:?}");
        assert!(start.elapsed() >= Duration::from_millis(1900), "{:?}", start.elapsed());
        assert!(frames.next().await.unwrap().is_none(), "given up");
        assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
        assert_eq!(links.counters().broken, 1);
        assert_eq!(links.seats().len(), 1, "it counts no more");
        // A seed is dialled whatever happens.
        let _frames = greet(&listener, &other).await;
        until(|| links.counters().connected == 2).await;
        assert_eq!(links.seats().len(), 2);
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
        assert!(start.elapsed() >= Duration::from_secs(3), "{:?}", start.elapsed());
        assert_eq!((log.borrow().len(), links.counters().connected, links.seats().len()), (0, 0, 1));
        drop(mute);
        let _frames = greet(&listener, &seat(2, v4(&listener))).await;
        until(|| links.counters().connected == 1).await;
        assert!(matches!(log.borrow()[..], [LinkEvent::Hello(ref s)] if s.id == 2));
        assert_eq!(links.counters().broken, 0);
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
        assert!(matches!(log.borrow()[0], LinkEvent::Hello(ref s) if s.id == 2));
        assert!(matches!(frames.next().await.unwrap(), Some(Message::Peers { .. })));
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
        assert!(matches!(frames.next().await.unwrap(), Some(Message::Peers { .. })));
        assert_eq!(frames.next().await.unwrap(), Some(Message::ReleaseLease { epoch: 8 }));
    });
}

#[test]
fn a_peer_that_takes_nothing_is_given_up_and_what_waits_is_bounded() {
    story(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let other = seat(2, v4(&listener));
        let (links, _) = links();
        links.set_seeds(&[v4(&listener)]);
        // It says who it is, and reads no more.
        let _stuck = greet(&listener, &other).await;
        until(|| links.counters().connected == 1).await;
        let text = vec![b'x'; 1 << 20];
        let long = Message::CommandResult { id: 1, code: 0, text };
        for _ in 0..40 {
            links.send(&other, &long);
            tokio::task::yield_now().await;
        }
        assert!(links.counters().dropped > 0, "four of them fit beside what is on its way");
        tokio::time::pause();
        let start = Instant::now();
        let _frames = greet(&listener, &other).await;
        assert!(start.elapsed() < Duration::from_millis(3400), "by the write's time, {:?}", start.elapsed());
        assert_eq!(links.counters().broken, 1);
    });
}
