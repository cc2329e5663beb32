//! Publication of the host registry's changes to the mirror that other processes pull from.

use control_plane::host_registry::{Heartbeat, HostRequest};
use control_plane::registry_publisher::{RegistryPublisher, VersionsInForce};
use protocol::{Addr, OriginVersion, Subscriber};
use replication::{answer, phase, Mirror, SharedMirror, Update};
use std::time::Duration;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);

fn heartbeat_request(host: &str, call_seq: u64) -> HostRequest {
    let (service, addr, zone) = ("s".into(), Addr { ip: 1, port: 80 }, "z".into());
    let heartbeat = Heartbeat {
        service,
        addr,
        zone,
        capacity: 1,
        draining: false,
        slow_start_remaining_ms: 0,
        call_seq,
    };
    HostRequest::Heartbeat {
        host: host.into(),
        heartbeat,
    }
}

#[tokio::test(start_paused = true)]
async fn heartbeat_when_a_pull_waits_answers_it_at_once() {
    let shared = SharedMirror::new(Mirror::new(7, HEARTBEAT_INTERVAL));
    let publisher = RegistryPublisher::new(7, 1, HEARTBEAT_INTERVAL, shared.clone());
    let mut agent = Mirror::new(0, HEARTBEAT_INTERVAL);
    let first = answer(&shared, &agent.pull(&Subscriber::default(), 1000)).await;
    assert!(
        agent.apply(Duration::ZERO, &first),
        "the first update carries the member's incarnation before there is any host"
    );
    let pull = agent.pull(&Subscriber::default(), 1000);
    let waiting_answer = {
        let shared = shared.clone();
        tokio::spawn(async move { answer(&shared, &pull).await })
    };
    tokio::task::yield_now().await;
    assert!(!waiting_answer.is_finished());
    let asked_at = tokio::time::Instant::now();
    assert!(publisher.handle(&heartbeat_request("i", 1)));
    let update = waiting_answer.await.unwrap();
    assert_eq!(asked_at.elapsed(), Duration::ZERO);
    assert!(!update.origins[0].complete);
    assert_eq!(update.origins[0].hosts[0].id, "i");
}

#[tokio::test(start_paused = true)]
async fn pull_when_nothing_changes_is_answered_after_its_wait() {
    let shared = SharedMirror::new(Mirror::new(7, HEARTBEAT_INTERVAL));
    let asked_at = tokio::time::Instant::now();
    let update = answer(
        &shared,
        &Mirror::new(0, HEARTBEAT_INTERVAL).pull(&Subscriber::default(), 1000),
    )
    .await;
    assert!(update.is_empty());
    assert_eq!(
        (update.member, asked_at.elapsed()),
        (7, Duration::from_millis(1000))
    );
}

#[tokio::test(start_paused = true)]
async fn host_when_it_moves_to_another_member_is_dropped() {
    let shared = SharedMirror::new(Mirror::new(7, HEARTBEAT_INTERVAL));
    let publisher = RegistryPublisher::new(7, 1, HEARTBEAT_INTERVAL, shared.clone());
    publisher.handle(&heartbeat_request("i", 1));
    let other = SharedMirror::new(Mirror::new(8, HEARTBEAT_INTERVAL));
    RegistryPublisher::new(8, 1, HEARTBEAT_INTERVAL, other.clone())
        .handle(&heartbeat_request("i", 4));
    tokio::time::advance(HEARTBEAT_INTERVAL * 3).await;
    let update = other
        .update(|m, now| m.update_for(now, &pull_of(&shared)))
        .unwrap();
    shared.update(|m, now| m.apply(now, &update));
    publisher.tick();
    assert_eq!(shared.snapshot().hosts["i"].call_seq, 4);
    assert!(
        shared.update(|m, _| m.host_at_other_origins(8, "i").is_none()),
        "the record remains at the other member only"
    );
}

/// A pull request that asks for what a mirror doesn't have yet.
fn pull_of(shared: &SharedMirror) -> replication::Pull {
    shared.update(|m, _| m.pull(&Subscriber::default(), 0))
}

#[tokio::test(start_paused = true)]
async fn host_when_gone_elsewhere_stays_gone() {
    let shared = SharedMirror::new(Mirror::new(7, HEARTBEAT_INTERVAL));
    let publisher = RegistryPublisher::new(7, 1, HEARTBEAT_INTERVAL, shared.clone());
    let version = OriginVersion {
        member_id: 8,
        incarnation: 1,
        sequence: 1,
    };
    let hosts = vec![protocol::HostRecord {
        id: "i".into(),
        phase: phase::GONE,
        ..Default::default()
    }];
    let origin_update = protocol::OriginUpdate {
        version,
        complete: true,
        hosts,
        coordinators: vec![],
    };
    shared.update(|m, now| {
        m.apply(
            now,
            &Update {
                origins: vec![origin_update],
                ..Update::default()
            },
        )
    });
    publisher.handle(&heartbeat_request("i", 3));
    assert_eq!(shared.snapshot().hosts["i"].phase, phase::GONE);
}

#[tokio::test(start_paused = true)]
async fn coordinators_when_they_pull_report_their_version() {
    let shared = SharedMirror::new(Mirror::new(7, HEARTBEAT_INTERVAL));
    let publisher = RegistryPublisher::new(7, 1, HEARTBEAT_INTERVAL, shared.clone());
    for (name, version) in [("a", 4), ("b", 3)] {
        publisher.record_pull(&Subscriber {
            name: name.into(),
            configuration_version: version,
            ..Subscriber::default()
        });
    }
    assert_eq!(
        (
            publisher.versions_in_force(),
            shared.snapshot().coordinators.len()
        ),
        (
            VersionsInForce {
                lowest: 3,
                coordinators: 2
            },
            2
        )
    );
    tokio::time::advance(Duration::from_secs(3)).await;
    publisher.tick();
    assert_eq!(shared.snapshot().coordinators.len(), 0);
}
