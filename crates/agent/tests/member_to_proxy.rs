//! A fake member serves; the agent and the proxy's mirror behind it follow.

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

const LONG: Duration = Duration::from_secs(20);

/// A member's listener on a port whose next one is free for the agent.
async fn listen(ip: &str) -> (TcpListener, u16) {
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

fn document(version: u64) -> Arc<Configuration> {
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

fn origin_update(id: u64, seq: u64, hosts: Vec<HostRecord>) -> Update {
    let mark = OriginVersion {
        member_id: id,
        incarnation: 1,
        sequence: seq,
    };
    Update {
        origins: vec![OriginUpdate {
            version: mark,
            complete: seq == 1,
            hosts,
            coordinators: vec![],
        }],
        ..Update::default()
    }
}

async fn until(views: &mut watch::Receiver<Arc<Snapshot>>, what: impl Fn(&Snapshot) -> bool) {
    timeout(LONG, views.wait_for(|v| what(v)))
        .await
        .expect("it comes")
        .unwrap();
}

struct FakeMember {
    shared: Arc<SharedMirror>,
    callers: Arc<Mutex<Vec<(String, u64)>>>,
    heard: Arc<tokio::sync::Notify>,
}

fn member(id: u64, listener: TcpListener) -> FakeMember {
    let shared = SharedMirror::new(Mirror::new(id, Duration::from_millis(1200)));
    let callers: Arc<Mutex<Vec<(String, u64)>>> = Arc::default();
    let heard = Arc::new(tokio::sync::Notify::new());
    let fake = FakeMember {
        shared: shared.clone(),
        callers: callers.clone(),
        heard: heard.clone(),
    };
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let (callers, heard) = (callers.clone(), heard.clone());
            tokio::spawn(replication::serve(
                stream,
                Vec::new(),
                shared.clone(),
                move |caller| {
                    callers
                        .lock()
                        .unwrap()
                        .push((caller.name.clone(), caller.configuration_version));
                    heard.notify_one();
                },
            ));
        }
    });
    fake
}

fn proxy(
    settings: &ProcessSettings,
) -> (
    Arc<SharedMirror>,
    mpsc::UnboundedSender<client::ClientCommand>,
) {
    let shared = SharedMirror::new(Mirror::new(0, Duration::from_millis(1200)).without_history());
    let (control, told) = mpsc::unbounded_channel();
    let mut puller = Puller::new(&settings.node_name, 1, None).seeds_only();
    puller.set_seeds(&[replication::agent_addr(settings)]);
    tokio::spawn(client::run(
        puller,
        replication::non_member_info(settings),
        replication::subscriber(settings, 0),
        shared.clone(),
        told,
    ));
    (shared, control)
}

/// The agent with the seeds of its settings.
fn agent<S: Future<Output = ()>>(
    settings: &ProcessSettings,
    stop: S,
) -> impl Future<Output = Result<(), agent::Error>> {
    let (sender, seeds) = watch::channel(settings.seed_nodes.clone());
    let running = agent::run(settings.clone(), seeds, stop);
    async move {
        let _kept = sender;
        running.await
    }
}

#[tokio::test]
async fn members_when_they_change_then_agent_and_proxy_follow() {
    let (listener, port) = listen("127.0.0.2").await;
    let first = member(11, listener);
    let second = member(12, TcpListener::bind(("127.0.0.3", port)).await.unwrap());
    let settings = settings(port, &["127.0.0.2"]);
    tokio::spawn(agent(&settings, std::future::pending()));
    let (shared, control) = proxy(&settings);
    let mut views = shared.subscribe();

    first.shared.update(|m, now| {
        m.record_primary_contact(now);
        m.set_replicated_state(1, document(1), &[]);
        m.apply(now, &origin_update(11, 1, vec![host("i-1", 1)]))
    });
    until(&mut views, |v| {
        v.configuration.version == 1 && v.hosts.contains_key("i-1")
    })
    .await;

    // A change, and a drain.
    first.shared.update(|m, now| {
        m.set_replicated_state(2, document(4), &["i-1".to_owned()]);
        m.apply(now, &origin_update(11, 2, vec![host("i-2", 1)]))
    });
    until(&mut views, |v| {
        v.configuration.version == 4 && v.hosts.len() == 2 && v.hosts["i-1"].phase == 1
    })
    .await;
    assert_eq!(
        views.borrow().configuration.routes[0].value.deadline_ms,
        4000.0
    );

    // The proxy's version goes up through the agent.
    control
        .send(client::ClientCommand::SetConfigurationVersion(4))
        .unwrap();
    timeout(LONG, async {
        while !first
            .callers
            .lock()
            .unwrap()
            .contains(&("edge-1".into(), 4))
        {
            first.heard.notified().await;
        }
    })
    .await
    .expect("the version goes up");

    // A member that is learnt, not a seed, brings news too.
    let seat = |id, ip: &str| {
        let addr = SocketAddrV4::new(ip.parse().unwrap(), port).into();
        MemberInfo {
            id,
            name: format!("m{id}"),
            addr,
            ..MemberInfo::default()
        }
    };
    first.shared.update(|m, _| {
        m.set_control_plane(1, 11, vec![seat(11, "127.0.0.2"), seat(12, "127.0.0.3")])
    });
    second
        .shared
        .update(|m, now| m.apply(now, &origin_update(12, 1, vec![host("i-3", 1)])));
    until(&mut views, |v| v.hosts.contains_key("i-3")).await;
}

/// The seeds change from one member to another, which alone has the second version. (`fennelpin-cli`'s tests have
/// them change in the settings file.)
#[tokio::test]
async fn seeds_when_they_change_then_new_ones_are_pulled_from() {
    let (listener, port) = listen("127.0.0.4").await;
    let first = member(11, listener);
    let second = member(12, TcpListener::bind(("127.0.0.5", port)).await.unwrap());
    first
        .shared
        .update(|m, _| m.set_replicated_state(1, document(1), &[]));
    second
        .shared
        .update(|m, _| m.set_replicated_state(2, document(2), &[]));
    let settings = settings(port, &["127.0.0.4"]);
    let (sender, seeds) = watch::channel(settings.seed_nodes.clone());
    tokio::spawn(agent::run(settings.clone(), seeds, std::future::pending()));
    let (shared, _control) = proxy(&settings);
    let mut views = shared.subscribe();
    until(&mut views, |v| v.configuration.version == 1).await;
    sender.send(vec!["127.0.0.5:9".parse().unwrap()]).unwrap();
    until(&mut views, |v| v.configuration.version == 2).await;
}

#[tokio::test]
async fn shutdown_then_agent_ends() {
    let (_listener, port) = listen("127.0.0.6").await;
    agent(&settings(port, &["127.0.0.6"]), std::future::ready(()))
        .await
        .unwrap();
}

#[tokio::test]
async fn start_when_address_is_in_use_then_fails() {
    let (_listener, port) = listen("127.0.0.7").await;
    let _taken = TcpListener::bind(("127.0.0.9", port + 1)).await.unwrap();
    let ended = agent(&settings(port, &["127.0.0.7"]), std::future::pending()).await;
    assert!(ended
        .unwrap_err()
        .to_string()
        .contains(&format!("127.0.0.9:{}", port + 1)));
}
