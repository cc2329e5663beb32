//! Serving of one connection, on a paused clock.

use protocol::{
    encode, Addr, HostRecord, MemberInfo, Message, OriginUpdate, OriginVersion, Subscriber,
};
use replication::{serve, FrameReader, Mirror, Pull, SharedMirror, Update};
use std::io::ErrorKind;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{duplex, split, AsyncWriteExt};
use tokio::time::Instant;

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1000);

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

fn update_with_one_host() -> Update {
    let host = HostRecord {
        id: "i".into(),
        addr: Addr { ip: 1, port: 1 },
        ..HostRecord::default()
    };
    let origin_version = OriginVersion {
        member_id: 7,
        incarnation: 1,
        sequence: 1,
    };
    let origin_update = OriginUpdate {
        version: origin_version,
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
async fn serve_answers_pulls_and_reports_subscribers() {
    let shared = SharedMirror::new(Mirror::new(7, HEARTBEAT_PERIOD));
    let (client_end, server_end) = duplex(1 << 16);
    let subscriber_names: Arc<Mutex<Vec<String>>> = Arc::default();
    let reported_names = subscriber_names.clone();
    // The bytes already read from the connection are passed to the server.
    let hello = encode(&Message::Hello {
        sender: MemberInfo::default(),
    });
    let served = tokio::spawn(serve(
        server_end,
        hello,
        shared.clone(),
        move |subscriber| {
            reported_names.lock().unwrap().push(subscriber.name.clone());
        },
    ));
    let (read, mut write) = split(client_end);
    let mut frames = FrameReader::new(read, Vec::new());

    let sent_at = Instant::now();
    write
        .write_all(&encode(&pull("a", 1000).into_message()))
        .await
        .unwrap();
    let empty = Update::from_message(frames.next().await.unwrap().unwrap()).unwrap();
    assert!(empty.is_empty());
    assert_eq!(
        (empty.member, empty.age_ms, sent_at.elapsed()),
        (7, u32::MAX, HEARTBEAT_PERIOD),
        "an empty answer after the wait"
    );

    let sent_at = Instant::now();
    write
        .write_all(&encode(&pull("b", 1000).into_message()))
        .await
        .unwrap();
    tokio::time::advance(Duration::from_millis(300)).await;
    shared.update(|mirror, now| mirror.apply(now, &update_with_one_host()));
    let update = Update::from_message(frames.next().await.unwrap().unwrap()).unwrap();
    assert_eq!(
        (update.origins.len(), update.age_ms, sent_at.elapsed()),
        (1, 5, Duration::from_millis(300)),
        "the update is sent at once"
    );

    drop((frames, write));
    served.await.unwrap().unwrap();
    assert_eq!(*subscriber_names.lock().unwrap(), ["a", "b"]);
}

#[tokio::test(start_paused = true)]
async fn serve_times_out_when_the_peer_is_silent() {
    let (_client_end, server_end) = duplex(64);
    let shared = SharedMirror::new(Mirror::new(7, HEARTBEAT_PERIOD));
    let result = serve(server_end, Vec::new(), shared, |_| ()).await;
    assert_eq!(result.unwrap_err().kind(), ErrorKind::TimedOut);
}

#[tokio::test(start_paused = true)]
async fn serve_times_out_when_the_peer_does_not_read() {
    let (mut client_end, server_end) = duplex(64);
    let shared = SharedMirror::new(Mirror::new(7, HEARTBEAT_PERIOD));
    shared.update(|mirror, now| mirror.apply(now, &update_with_one_host()));
    let served = tokio::spawn(serve(server_end, Vec::new(), shared, |_| ()));
    client_end
        .write_all(&encode(&pull("a", 0).into_message()))
        .await
        .unwrap();
    assert_eq!(
        served.await.unwrap().unwrap_err().kind(),
        ErrorKind::TimedOut
    );
}

#[tokio::test(start_paused = true)]
async fn serve_ends_the_connection_on_another_message_than_a_pull() {
    for bytes in [encode(&Message::ReleaseLease { epoch: 1 }), vec![255; 16]] {
        let (_client_end, server_end) = duplex(64);
        let shared = SharedMirror::new(Mirror::new(7, HEARTBEAT_PERIOD));
        let result = serve(server_end, bytes, shared, |_| ()).await;
        assert_eq!(result.unwrap_err().kind(), ErrorKind::InvalidData);
    }
}
