//! One connection that is served, on a paused clock.

use protocol::{
    encode, Addr, HostRecord, MemberInfo, Message, OriginUpdate, OriginVersion, Subscriber,
};
use replication::{serve, FrameReader, Mirror, Pull, SharedMirror, Update};
use std::io::ErrorKind;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{duplex, split, AsyncWriteExt};
use tokio::time::Instant;

const BEAT: Duration = Duration::from_millis(1000);

fn pull(name: &str, wait_ms: u32) -> Pull {
    Pull {
        subscriber: Subscriber {
            name: name.into(),
            ..Subscriber::default()
        },
        wait_ms,
        ..Pull::default()
    }
}

fn one_host() -> Update {
    let host = HostRecord {
        id: "i".into(),
        addr: Addr { ip: 1, port: 1 },
        ..HostRecord::default()
    };
    let mark = OriginVersion {
        member_id: 7,
        incarnation: 1,
        sequence: 1,
    };
    let origin_update = OriginUpdate {
        version: mark,
        complete: true,
        hosts: vec![host],
        coordinators: vec![],
    };
    Update {
        age_ms: 5,
        origins: vec![origin_update],
        ..Update::default()
    }
}

#[tokio::test(start_paused = true)]
async fn serve_then_answers_pulls_and_reports_subscribers() {
    let shared = SharedMirror::new(Mirror::new(7, BEAT));
    let (near, far) = duplex(1 << 16);
    let callers: Arc<Mutex<Vec<String>>> = Arc::default();
    let heard = callers.clone();
    // What was read of the connection before is part of it.
    let hello = encode(&Message::Hello {
        sender: MemberInfo::default(),
    });
    let served = tokio::spawn(serve(far, hello, shared.clone(), move |caller| {
        heard.lock().unwrap().push(caller.name.clone());
    }));
    let (read, mut write) = split(near);
    let mut frames = FrameReader::new(read, Vec::new());

    let asked = Instant::now();
    write
        .write_all(&encode(&pull("a", 1000).into_message()))
        .await
        .unwrap();
    let empty = Update::from_message(frames.next().await.unwrap().unwrap()).unwrap();
    assert!(empty.is_empty());
    assert_eq!(
        (empty.member, empty.age_ms, asked.elapsed()),
        (7, u32::MAX, BEAT),
        "after the wait"
    );

    let asked = Instant::now();
    write
        .write_all(&encode(&pull("b", 1000).into_message()))
        .await
        .unwrap();
    tokio::time::advance(Duration::from_millis(300)).await;
    shared.update(|m, now| m.apply(now, &one_host()));
    let update_of = Update::from_message(frames.next().await.unwrap().unwrap()).unwrap();
    assert_eq!(
        (update_of.origins.len(), update_of.age_ms, asked.elapsed()),
        (1, 5, Duration::from_millis(300)),
        "at once"
    );

    drop((frames, write));
    served.await.unwrap().unwrap();
    assert_eq!(*callers.lock().unwrap(), ["a", "b"]);
}

#[tokio::test(start_paused = true)]
async fn serve_when_peer_is_silent_then_times_out() {
    let (_near, far) = duplex(64);
    let shared = SharedMirror::new(Mirror::new(7, BEAT));
    let ended = serve(far, Vec::new(), shared, |_| ()).await;
    assert_eq!(ended.unwrap_err().kind(), ErrorKind::TimedOut);
}

#[tokio::test(start_paused = true)]
async fn serve_when_peer_does_not_read_then_times_out() {
    let (mut near, far) = duplex(64);
    let shared = SharedMirror::new(Mirror::new(7, BEAT));
    shared.update(|m, now| m.apply(now, &one_host()));
    let served = tokio::spawn(serve(far, Vec::new(), shared, |_| ()));
    near.write_all(&encode(&pull("a", 0).into_message()))
        .await
        .unwrap();
    assert_eq!(
        served.await.unwrap().unwrap_err().kind(),
        ErrorKind::TimedOut
    );
}

#[tokio::test(start_paused = true)]
async fn serve_when_message_is_no_pull_then_ends_the_connection() {
    for bytes in [encode(&Message::ReleaseLease { epoch: 1 }), vec![255; 16]] {
        let (_near, far) = duplex(64);
        let shared = SharedMirror::new(Mirror::new(7, BEAT));
        let ended = serve(far, bytes, shared, |_| ()).await;
        assert_eq!(ended.unwrap_err().kind(), ErrorKind::InvalidData);
    }
}
