//! The member's own source goes into the mirror that others pull from.

use control_plane::host_registry::{Heartbeat, HostRequest};
use control_plane::registry_publisher::RegistryPublisher;
use protocol::{Addr, OriginVersion, Subscriber};
use replication::{answer, phase, Mirror, SharedMirror, Update};
use std::time::Duration;

const BEAT: Duration = Duration::from_millis(1000);

fn call(host: &str, call_seq: u64) -> HostRequest {
    let (service, addr, zone) = ("s".into(), Addr { ip: 1, port: 80 }, "z".into());
    let beat = Heartbeat {
        service,
        addr,
        zone,
        capacity: 1,
        draining: false,
        cold_left_ms: 0,
        call_seq,
    };
    HostRequest::Heartbeat {
        host: host.into(),
        beat,
    }
}

#[tokio::test(start_paused = true)]
async fn a_beat_reaches_who_waits_at_once() {
    let shared = SharedMirror::new(Mirror::new(7, BEAT));
    let feed = RegistryPublisher::new(7, 1, BEAT, shared.clone());
    let mut agent = Mirror::new(0, BEAT);
    let first = answer(&shared, &agent.pull(&Subscriber::default(), 1000)).await;
    assert!(
        agent.apply(Duration::ZERO, &first),
        "the member's life is known before any host is"
    );
    let pull = agent.pull(&Subscriber::default(), 1000);
    let waits = {
        let shared = shared.clone();
        tokio::spawn(async move { answer(&shared, &pull).await })
    };
    tokio::task::yield_now().await;
    assert!(!waits.is_finished());
    let asked = tokio::time::Instant::now();
    assert!(feed.call(&call("i", 1)));
    let news = waits.await.unwrap();
    assert_eq!(asked.elapsed(), Duration::ZERO);
    assert!(!news.origins[0].complete);
    assert_eq!(news.origins[0].hosts[0].id, "i");
}

#[tokio::test(start_paused = true)]
async fn a_pull_without_news_is_answered_after_its_wait() {
    let shared = SharedMirror::new(Mirror::new(7, BEAT));
    let asked = tokio::time::Instant::now();
    let news = answer(
        &shared,
        &Mirror::new(0, BEAT).pull(&Subscriber::default(), 1000),
    )
    .await;
    assert!(news.is_empty());
    assert_eq!(
        (news.member, asked.elapsed()),
        (7, Duration::from_millis(1000))
    );
}

#[tokio::test(start_paused = true)]
async fn a_host_that_moves_is_dropped_here() {
    let shared = SharedMirror::new(Mirror::new(7, BEAT));
    let feed = RegistryPublisher::new(7, 1, BEAT, shared.clone());
    feed.call(&call("i", 1));
    let other = SharedMirror::new(Mirror::new(8, BEAT));
    RegistryPublisher::new(8, 1, BEAT, other.clone()).call(&call("i", 4));
    tokio::time::advance(BEAT * 3).await;
    let news = other
        .update(|m, now| m.news_for(now, &m_pull(&shared)))
        .unwrap();
    shared.update(|m, now| m.apply(now, &news));
    feed.tick();
    assert_eq!(shared.snapshot().hosts["i"].call_seq, 4);
    assert!(
        shared.update(|m, _| m.host_elsewhere(8, "i").is_none()),
        "only the other has it"
    );
}

fn m_pull(shared: &SharedMirror) -> replication::Pull {
    shared.update(|m, _| m.pull(&Subscriber::default(), 0))
}

#[tokio::test(start_paused = true)]
async fn who_is_gone_elsewhere_stays_gone() {
    let shared = SharedMirror::new(Mirror::new(7, BEAT));
    let feed = RegistryPublisher::new(7, 1, BEAT, shared.clone());
    let mark = OriginVersion {
        member_id: 8,
        incarnation: 1,
        sequence: 1,
    };
    let hosts = vec![protocol::HostRecord {
        id: "i".into(),
        phase: phase::GONE,
        ..Default::default()
    }];
    let source = protocol::OriginUpdate {
        version: mark,
        complete: true,
        hosts,
        coordinators: vec![],
    };
    shared.update(|m, now| {
        m.apply(
            now,
            &Update {
                origins: vec![source],
                ..Update::default()
            },
        )
    });
    feed.call(&call("i", 3));
    assert_eq!(shared.snapshot().hosts["i"].phase, phase::GONE);
}

#[tokio::test(start_paused = true)]
async fn coordinators_report_what_they_have_in_force() {
    let shared = SharedMirror::new(Mirror::new(7, BEAT));
    let feed = RegistryPublisher::new(7, 1, BEAT, shared.clone());
    for (name, version) in [("a", 4), ("b", 3)] {
        feed.pulled(&Subscriber {
            name: name.into(),
            configuration_version: version,
            ..Subscriber::default()
        });
    }
    assert_eq!(
        (feed.in_force(), shared.snapshot().coordinators.len()),
        ((3, 2), 2)
    );
    tokio::time::advance(Duration::from_secs(3)).await;
    feed.tick();
    assert_eq!(shared.snapshot().coordinators.len(), 0);
}
