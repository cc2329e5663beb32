//! Updates from fake members to the agent, and from there to a proxy's mirror.

use configuration::{Configuration, ProcessSettings};
use protocol::{Addr, HostRecord, MemberInfo, OriginUpdate, OriginVersion};
use replication::{client, Mirror, Puller, SharedMirror, Snapshot, Update};
use std::future::Future;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A member's listener on a port whose successor is free for the agent.
async fn listen_with_free_next_port(ip: &str) -> (TcpListener, u16) {
    loop {
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        let port = listener.local_addr().unwrap().port();
        if port < u16::MAX && TcpListener::bind(("127.0.0.1", port + 1)).await.is_ok() {
            return (listener, port);
        }
    }
}

fn settings(port: u16, seeds: &[&str]) -> ProcessSettings {
    let seeds: Vec<String> = seeds.iter().map(|ip| format!("{ip}:9")).collect();
    let json = serde_json::json!({
        "node_name": "edge-1", "role": "agent", "ip_addr": "127.0.0.9", "zone": "z", "region": "r",
        "port_range": [port, port + 15], "seed_nodes": seeds, "beat_period_ms": 1200,
    });
    ProcessSettings::read(&json.to_string()).unwrap()
}

fn configuration(version: u64) -> Arc<Configuration> {
    let text = format!(
        r#"{{"version":{version},"routes":[{{"name":"a","hostname":"h","path_prefix":"/","route_class":"pure",
        "deadline_ms":{version}000,"service":"s"}}],"services":[{{"name":"s"}}],"limits":{{}}}}"#
    );
    Arc::new(Configuration::read(text.as_bytes(), 0).unwrap())
}

fn host(id: &str, call_seq: u64) -> HostRecord {
    let addr = Addr {
        ip: 1,
        port: id.bytes().map(u16::from).sum(),
    };
    HostRecord {
        id: id.into(),
        service: "s".into(),
        addr,
        capacity: 1,
        call_seq,
        ..HostRecord::default()
    }
}

fn origin_update(id: u64, sequence_number: u64, hosts: Vec<HostRecord>) -> Update {
    let origin_version = OriginVersion {
        member_id: id,
        incarnation: 1,
        sequence: sequence_number,
    };
    Update {
        origins: vec![OriginUpdate {
            version: origin_version,
            complete: sequence_number == 1,
            hosts,
            coordinators: vec![],
        }],
        ..Update::default()
    }
}

async fn wait_until(
    snapshots: &mut watch::Receiver<Arc<Snapshot>>,
    condition: impl Fn(&Snapshot) -> bool,
) {
    timeout(TEST_TIMEOUT, snapshots.wait_for(|state| condition(state)))
        .await
        .expect("the condition was not met in time")
        .unwrap();
}

struct FakeMember {
    shared: Arc<SharedMirror>,
    recorded_callers: Arc<Mutex<Vec<(String, u64)>>>,
    caller_recorded: Arc<tokio::sync::Notify>,
}

fn start_fake_member(id: u64, listener: TcpListener) -> FakeMember {
    let shared = SharedMirror::new(Mirror::new(id, Duration::from_millis(1200)));
    let recorded_callers: Arc<Mutex<Vec<(String, u64)>>> = Arc::default();
    let caller_recorded = Arc::new(tokio::sync::Notify::new());
    let fake = FakeMember {
        shared: shared.clone(),
        recorded_callers: recorded_callers.clone(),
        caller_recorded: caller_recorded.clone(),
    };
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let (recorded_callers, caller_recorded) =
                (recorded_callers.clone(), caller_recorded.clone());
            tokio::spawn(replication::serve(
                stream,
                Vec::new(),
                shared.clone(),
                move |caller| {
                    recorded_callers
                        .lock()
                        .unwrap()
                        .push((caller.name.clone(), caller.configuration_version));
                    caller_recorded.notify_one();
                },
            ));
        }
    });
    fake
}

fn start_proxy_mirror(
    settings: &ProcessSettings,
) -> (
    Arc<SharedMirror>,
    mpsc::UnboundedSender<client::ClientCommand>,
) {
    let shared = SharedMirror::new(Mirror::new(0, Duration::from_millis(1200)).without_history());
    let (control, control_receiver) = mpsc::unbounded_channel();
    let mut puller = Puller::new(&settings.node_name, 1, None).seeds_only();
    puller.set_seeds(&[replication::agent_addr(settings)]);
    tokio::spawn(client::run(
        puller,
        replication::non_member_info(settings),
        replication::subscriber(settings, 0),
        shared.clone(),
        control_receiver,
    ));
    (shared, control)
}

/// Runs the agent with the seeds of its settings.
fn run_agent<S: Future<Output = ()>>(
    settings: &ProcessSettings,
    shutdown: S,
) -> impl Future<Output = Result<(), agent::Error>> {
    let (sender, seeds) = watch::channel(settings.seed_nodes.clone());
    let running = agent::run(settings.clone(), seeds, shutdown);
    async move {
        let _sender = sender;
        running.await
    }
}

#[tokio::test]
async fn agent_and_proxy_follow_changes_of_members() {
    let (listener, port) = listen_with_free_next_port("127.0.0.2").await;
    let first = start_fake_member(11, listener);
    let second = start_fake_member(12, TcpListener::bind(("127.0.0.3", port)).await.unwrap());
    let settings = settings(port, &["127.0.0.2"]);
    tokio::spawn(run_agent(&settings, std::future::pending()));
    let (shared, control) = start_proxy_mirror(&settings);
    let mut snapshots = shared.subscribe();

    first.shared.update(|mirror, now| {
        mirror.record_primary_contact(now);
        mirror.set_replicated_state(1, configuration(1), &[]);
        mirror.apply(now, &origin_update(11, 1, vec![host("i-1", 1)]))
    });
    wait_until(&mut snapshots, |state| {
        state.configuration.version == 1 && state.hosts.contains_key("i-1")
    })
    .await;

    // A new configuration version, and a drain of a host.
    first.shared.update(|mirror, now| {
        mirror.set_replicated_state(2, configuration(4), &["i-1".to_owned()]);
        mirror.apply(now, &origin_update(11, 2, vec![host("i-2", 1)]))
    });
    wait_until(&mut snapshots, |state| {
        state.configuration.version == 4 && state.hosts.len() == 2 && state.hosts["i-1"].phase == 1
    })
    .await;
    assert_eq!(
        snapshots.borrow().configuration.routes[0].value.deadline_ms,
        4000.0
    );

    // The agent reports the proxy's version to the member.
    control
        .send(client::ClientCommand::SetConfigurationVersion(4))
        .unwrap();
    timeout(TEST_TIMEOUT, async {
        while !first
            .recorded_callers
            .lock()
            .unwrap()
            .contains(&("edge-1".into(), 4))
        {
            first.caller_recorded.notified().await;
        }
    })
    .await
    .expect("the proxy's version was not reported in time");

    // The agent also pulls from a member that is not a seed, once it has learnt its address.
    let info = |id, ip: &str| {
        let addr = SocketAddrV4::new(ip.parse().unwrap(), port).into();
        MemberInfo {
            id,
            name: format!("m{id}"),
            addr,
            ..MemberInfo::default()
        }
    };
    first.shared.update(|mirror, _| {
        mirror.set_control_plane(1, 11, vec![info(11, "127.0.0.2"), info(12, "127.0.0.3")])
    });
    second
        .shared
        .update(|mirror, now| mirror.apply(now, &origin_update(12, 1, vec![host("i-3", 1)])));
    wait_until(&mut snapshots, |state| state.hosts.contains_key("i-3")).await;
}

/// The seeds change from one member to another, and only the latter has the second version. Changes of seeds in the
/// settings file are tested in `fennelpin-cli`.
#[tokio::test]
async fn agent_pulls_from_new_seeds() {
    let (listener, port) = listen_with_free_next_port("127.0.0.4").await;
    let first = start_fake_member(11, listener);
    let second = start_fake_member(12, TcpListener::bind(("127.0.0.5", port)).await.unwrap());
    first
        .shared
        .update(|mirror, _| mirror.set_replicated_state(1, configuration(1), &[]));
    second
        .shared
        .update(|mirror, _| mirror.set_replicated_state(2, configuration(2), &[]));
    let settings = settings(port, &["127.0.0.4"]);
    let (sender, seeds) = watch::channel(settings.seed_nodes.clone());
    tokio::spawn(agent::run(settings.clone(), seeds, std::future::pending()));
    let (shared, _control) = start_proxy_mirror(&settings);
    let mut snapshots = shared.subscribe();
    wait_until(&mut snapshots, |state| state.configuration.version == 1).await;
    sender.send(vec!["127.0.0.5:9".parse().unwrap()]).unwrap();
    wait_until(&mut snapshots, |state| state.configuration.version == 2).await;
}

#[tokio::test]
async fn agent_ends_on_shutdown() {
    let (_listener, port) = listen_with_free_next_port("127.0.0.6").await;
    run_agent(&settings(port, &["127.0.0.6"]), std::future::ready(()))
        .await
        .unwrap();
}

#[tokio::test]
async fn start_fails_if_address_stays_in_use() {
    let (_listener, port) = listen_with_free_next_port("127.0.0.7").await;
    let _other_listener = TcpListener::bind(("127.0.0.9", port + 1)).await.unwrap();
    let result = run_agent(&settings(port, &["127.0.0.7"]), std::future::pending()).await;
    assert!(result
        .unwrap_err()
        .to_string()
        .contains(&format!("127.0.0.9:{}", port + 1)));
}
