//! Members on loopback with real sockets and directories; requests go to any of them.

mod http_client;

use append_log::AppendLog;
use configuration::ProcessSettings;
use control_plane::runtime::identity::StartContext;
use control_plane::runtime::{run, RuntimeSettings};
use http_client::{call, call_until, Answer};
use protocol::{Message, Record, Subscriber};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::timeout;

const CONFIGURATION: &str = r#"{"version":3,"routes":[{"name":"r","hostname":"h.example","path_prefix":"/a/","route_class":"pure","deadline_ms":1000,"service":"s"}],"services":[{"name":"s","health_path":"/health","conn_limit":10}],"limits":{}}"#;

/// The members of a control plane on loopback.
struct TestControlPlane {
    dirs: Vec<PathBuf>,
    ips: Vec<Ipv4Addr>,
    /// The peer port and the control port, which are the same for all members.
    ports: (u16, u16),
    settings: RuntimeSettings,
    /// The sender that stops each running member when it is dropped, and the member's task.
    running: Vec<Option<(oneshot::Sender<()>, JoinHandle<()>)>>,
}

impl TestControlPlane {
    fn new(subnet: u8, root: &Path) -> Self {
        Self::with_members(3, subnet, root)
    }

    fn with_members(count: u8, subnet: u8, root: &Path) -> Self {
        let ips: Vec<Ipv4Addr> = (1..=count)
            .map(|n| Ipv4Addr::new(127, 0, subnet, n))
            .collect();
        let free_port = || {
            TcpListener::bind((ips[0], 0))
                .unwrap()
                .local_addr()
                .unwrap()
                .port()
        };
        let dirs = (1..=count).map(|n| root.join(n.to_string())).collect();
        let ports = (free_port(), free_port());
        Self {
            dirs,
            ips,
            ports,
            settings: RuntimeSettings::default(),
            running: (0..count).map(|_| None).collect(),
        }
    }

    /// The control address of a member.
    fn addr(&self, n: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ips[n], self.ports.1)
    }

    fn start(&mut self, n: usize, bootstrap: bool) {
        std::fs::create_dir_all(&self.dirs[n]).unwrap();
        self.start_without_state_dir(n, bootstrap);
    }

    /// Starts the member without creating its state directory.
    fn start_without_state_dir(&mut self, n: usize, bootstrap: bool) {
        let seeds: Vec<_> = (0..3).map(|n| self.addr(n).to_string()).collect();
        let process = serde_json::json!({
            "node_name": format!("core-{n}"), "role": "core", "ip_addr": self.ips[n], "zone": format!("z{n}"),
            "region": "r", "bind": {"control": self.addr(n).to_string()},
            "port_range": [self.ports.0, self.ports.0], "seed_nodes": seeds, "bootstrap": bootstrap,
            "state_dir": self.dirs[n], "fault_budget": {"machine_losses": 1},
        });
        let process = ProcessSettings::read(&process.to_string()).unwrap();
        let (stop, stopped) = oneshot::channel();
        let settings = self.settings;
        let done = spawn_local(async move {
            let (_sender, seeds) = watch::channel(process.seed_nodes.clone());
            run(process, settings, seeds, async { drop(stopped.await) })
                .await
                .unwrap();
        });
        self.running[n] = Some((stop, done));
    }

    async fn stop(&mut self, n: usize) {
        let (stop, done) = self.running[n].take().unwrap();
        drop(stop);
        done.await.unwrap();
    }

    /// Ends the member without a graceful shutdown.
    fn kill(&mut self, n: usize) {
        self.running[n].take().unwrap().1.abort();
    }

    async fn member_id(&self, n: usize) -> serde_json::Value {
        let status = call(self.addr(n), "GET", "/fennelpin/status", &[], "")
            .await
            .unwrap();
        serde_json::from_str::<serde_json::Value>(&status.body).unwrap()["id"].clone()
    }
}

async fn run_with_three_members<F: std::future::Future<Output = ()>>(
    subnet: u8,
    test: impl FnOnce(TestControlPlane) -> F,
) {
    let root = tempfile::tempdir().unwrap();
    let control_plane = TestControlPlane::new(subnet, root.path());
    let tasks = LocalSet::new();
    timeout(
        Duration::from_secs(60),
        tasks.run_until(test(control_plane)),
    )
    .await
    .expect("the test didn't end within 60 s");
}

async fn replace(to: SocketAddrV4, base: &str, body: &str) -> Answer {
    let headers = [("Fennelpin-Base-Version", base)];
    call_until(
        to,
        "POST",
        "/fennelpin/Configuration.Replace",
        &headers,
        body,
        |a| a.status < 500,
    )
    .await
}

async fn read(from: SocketAddrV4) -> Answer {
    call_until(from, "GET", "/fennelpin/Configuration.Read", &[], "", |a| {
        a.status == 200
    })
    .await
}

#[tokio::test]
async fn configuration_when_all_members_restart_is_kept() {
    run_with_three_members(61, |mut control_plane| async move {
        (0..3).for_each(|n| control_plane.start(n, true));
        let replaced = replace(control_plane.addr(1), "0", CONFIGURATION).await;
        assert_eq!(
            (replaced.status, &*replaced.body),
            (200, r#"{"code":0,"reason":"done"}"#)
        );
        assert_eq!(
            replace(control_plane.addr(2), "0", CONFIGURATION)
                .await
                .status,
            200,
            "the same request again"
        );
        let other = CONFIGURATION.replace(":3,", ":4,");
        assert_eq!(
            replace(control_plane.addr(0), "1", &other).await.status,
            412
        );
        assert_eq!(replace(control_plane.addr(0), "3", "{").await.status, 400);
        for n in 0..3 {
            assert_eq!(read(control_plane.addr(n)).await.body, CONFIGURATION);
        }
        let before = control_plane.member_id(1).await;
        for n in 0..3 {
            control_plane.stop(n).await;
        }
        (0..3).for_each(|n| control_plane.start(n, false));
        assert_eq!(read(control_plane.addr(2)).await.body, CONFIGURATION);
        assert_eq!(control_plane.member_id(1).await, before);
    })
    .await;
}

/// Guards against initial voters that don't vote after a power loss during the first election, when their disks hold
/// identities and promises but no membership configuration.
#[tokio::test]
async fn initial_voters_when_they_have_promised_without_a_membership_still_vote() {
    run_with_three_members(99, |mut control_plane| async move {
        for n in 0..3 {
            std::fs::create_dir_all(&control_plane.dirs[n]).unwrap();
            let start_context = StartContext {
                control: control_plane.addr(n),
                seeds: (0..3).map(|n| control_plane.addr(n)).collect(),
                port: control_plane.ports.0,
                bootstrap: true,
                random: 1,
                clock_ms: 1,
            };
            let identity = protocol::encode_record(&start_context.identity(None));
            AppendLog::open(&control_plane.dirs[n], "identity")
                .unwrap()
                .0
                .append(&[&identity])
                .unwrap();
            let promised = protocol::encode_record(&Record::Promised { epoch: 1 << 20 });
            AppendLog::open(&control_plane.dirs[n], "ledger")
                .unwrap()
                .0
                .append(&[&promised])
                .unwrap();
        }
        (0..3).for_each(|n| control_plane.start(n, false));
        assert_eq!(
            replace(control_plane.addr(1), "0", CONFIGURATION)
                .await
                .status,
            200
        );
        assert_eq!(read(control_plane.addr(2)).await.body, CONFIGURATION);
    })
    .await;
}

/// Sends all bodies concurrently, to the members in turn. Returns the statuses in the order of the bodies.
async fn replace_at_once(
    control_plane: &TestControlPlane,
    base: &'static str,
    bodies: &[String],
) -> Vec<u16> {
    let sent: Vec<JoinHandle<Answer>> = bodies
        .iter()
        .enumerate()
        .map(|(n, body)| {
            let (to, body) = (control_plane.addr(n % 3), body.clone());
            spawn_local(async move { replace(to, base, &body).await })
        })
        .collect();
    let mut statuses = Vec::new();
    for answer in sent {
        statuses.push(answer.await.unwrap().status);
    }
    statuses
}

/// Eight operators concurrently send different configurations with the same base version: exactly one is confirmed.
/// Each repeated request gets the same reply, from any member, before and after all members are restarted.
#[tokio::test]
async fn requests_when_eight_compete_confirm_one_and_repeat_their_replies() {
    run_with_three_members(67, |mut control_plane| async move {
        (0..3).for_each(|n| control_plane.start(n, true));
        assert_eq!(
            replace(control_plane.addr(0), "0", CONFIGURATION)
                .await
                .status,
            200
        );
        let bodies: Vec<String> = (0..8)
            .map(|n| {
                CONFIGURATION
                    .replace(":3,", ":4,")
                    .replace("/a/", &format!("/a{n}/"))
            })
            .collect();
        let statuses = replace_at_once(&control_plane, "3", &bodies).await;
        assert_eq!(
            statuses.iter().filter(|s| **s == 200).count(),
            1,
            "{statuses:?}"
        );
        assert_eq!(
            statuses.iter().filter(|s| **s == 412).count(),
            7,
            "{statuses:?}"
        );
        for incarnation in 0..2 {
            for (n, body) in bodies.iter().enumerate() {
                let again = replace(control_plane.addr((n + 1 + incarnation) % 3), "3", body).await;
                assert_eq!(
                    again.status, statuses[n],
                    "request {n} in incarnation {incarnation}"
                );
            }
            for n in 0..3 {
                control_plane.stop(n).await;
            }
            (0..3).for_each(|n| control_plane.start(n, false));
        }
        // The replies are still known after a later change.
        let later = CONFIGURATION.replace(":3,", ":9,");
        assert_eq!(
            replace(control_plane.addr(0), "4", &later).await.status,
            200
        );
        let winner = statuses.iter().position(|s| *s == 200).unwrap();
        assert_eq!(
            replace(control_plane.addr(1), "3", &bodies[winner])
                .await
                .status,
            200
        );
        assert_eq!(read(control_plane.addr(2)).await.body, later);
    })
    .await;
}

#[tokio::test]
async fn control_plane_when_one_member_shuts_down_keeps_serving() {
    run_with_three_members(62, |mut control_plane| async move {
        (0..3).for_each(|n| control_plane.start(n, true));
        assert_eq!(
            replace(control_plane.addr(0), "0", CONFIGURATION)
                .await
                .status,
            200
        );
        for n in 0..3 {
            control_plane.stop(n).await;
            assert_eq!(
                read(control_plane.addr((n + 1) % 3)).await.body,
                CONFIGURATION
            );
            control_plane.start(n, false);
            assert_eq!(read(control_plane.addr(n)).await.body, CONFIGURATION);
        }
    })
    .await;
}

#[tokio::test]
async fn host_when_it_calls_any_member_is_acknowledged() {
    run_with_three_members(63, |mut control_plane| async move {
        (0..3).for_each(|n| control_plane.start(n, true));
        let heartbeat = |phase: &str, seq: u32| {
            serde_json::json!({"service": "s", "address": "10.0.0.9:80", "zone": "z0", "version": "v1",
                "capacity": 4, "phase": phase, "cold_left_ms": 0, "call_seq": seq})
            .to_string()
        };
        let at = "/fennelpin/Hosts.Heartbeat/i-1";
        // A ready heartbeat needs only the member that receives it, once that member has read its identity from its
        // disk.
        let has_identity = |a: &Answer| !(a.status == 503 && a.body.contains("204"));
        let ready = call_until(control_plane.addr(0), "POST", at, &[], &heartbeat("ready", 1), has_identity).await;
        assert_eq!(ready.status, 200, "{}", ready.body);
        // A drain also has to be replicated to other members.
        call_until(control_plane.addr(1), "POST", at, &[], &heartbeat("draining", 2), |a| a.status == 200).await;
        let gone = "/fennelpin/Hosts.Depart/i-1";
        call_until(control_plane.addr(2), "POST", gone, &[], "{}", |a| a.status == 200).await;
        let bad = call(control_plane.addr(0), "POST", at, &[], "{}").await.unwrap();
        assert_eq!(bad.status, 400);
    })
    .await;
}

/// With more members than may be voters, the others only mirror the state and forward requests.
#[tokio::test]
async fn member_when_it_is_no_voter_forwards_to_the_primary() {
    let root = tempfile::tempdir().unwrap();
    let mut control_plane = TestControlPlane::with_members(11, 66, root.path());
    let scenario = async {
        (0..11).for_each(|n| control_plane.start(n, true));
        assert_eq!(
            replace(control_plane.addr(0), "0", CONFIGURATION)
                .await
                .status,
            200
        );
        for n in 0..11 {
            assert_eq!(read(control_plane.addr(n)).await.body, CONFIGURATION);
        }
        let heartbeat =
            serde_json::json!({"service": "s", "address": "10.0.0.9:80", "zone": "z0", "version": "v1",
            "capacity": 4, "phase": "draining", "cold_left_ms": 0, "call_seq": 1})
            .to_string();
        for n in 0..11 {
            let at = format!("/fennelpin/Hosts.Heartbeat/i-{n}");
            call_until(control_plane.addr(n), "POST", &at, &[], &heartbeat, |a| {
                a.status == 200
            })
            .await;
        }
    };
    timeout(Duration::from_secs(60), LocalSet::new().run_until(scenario))
        .await
        .expect("the test didn't end within 60 s");
}

#[tokio::test]
async fn requests_when_the_disk_is_missing_are_answered() {
    run_with_three_members(64, |mut control_plane| async move {
        // A file in place of the directory: nothing can be opened.
        std::fs::write(&control_plane.dirs[0], "").unwrap();
        control_plane.start_without_state_dir(0, true);
        let at = control_plane.addr(0);
        let answer = call_until(at, "GET", "/fennelpin/Configuration.Read", &[], "", |_| {
            true
        })
        .await;
        assert_eq!(answer.status, 503);
        assert!(answer.body.contains(r#""code":204"#), "{}", answer.body);
        let status = call(at, "GET", "/fennelpin/status", &[], "").await.unwrap();
        assert!(status.body.contains(r#""opening":true"#), "{}", status.body);
        std::fs::remove_file(&control_plane.dirs[0]).unwrap();
        std::fs::create_dir(&control_plane.dirs[0]).unwrap();
        call_until(at, "GET", "/fennelpin/status", &[], "", |a| {
            a.body.contains(r#""opening":false"#)
        })
        .await;
    })
    .await;
}

#[tokio::test]
async fn history_when_versions_were_in_force_has_their_configurations() {
    run_with_three_members(65, |mut control_plane| async move {
        (0..3).for_each(|n| control_plane.start(n, true));
        assert_eq!(
            replace(control_plane.addr(0), "0", CONFIGURATION)
                .await
                .status,
            200
        );
        let second = CONFIGURATION.replace(":3,", ":8,");
        assert_eq!(
            replace(control_plane.addr(1), "3", &second).await.status,
            200
        );
        // The primary has seen both versions, the other members at least the newest.
        let mut complete_histories = 0;
        for n in 0..3 {
            let list = "/fennelpin/Configuration.History";
            let has_newest = |a: &Answer| a.body.contains(r#""version":8"#);
            let history = call_until(control_plane.addr(n), "GET", list, &[], "", has_newest).await;
            if history.body.contains(r#""version":3"#) {
                let old = call(control_plane.addr(n), "GET", &format!("{list}/3"), &[], "")
                    .await
                    .unwrap();
                assert_eq!((old.status, &*old.body), (200, CONFIGURATION));
                complete_histories += 1;
            }
            let none = call(control_plane.addr(n), "GET", &format!("{list}/5"), &[], "")
                .await
                .unwrap();
            assert_eq!(none.status, 404);
        }
        assert!(complete_histories > 0);
    })
    .await;
}

/// A member without a vote stays connected for longer than any time-out, and then replaces a lost voter.
#[tokio::test]
async fn spare_member_when_a_voter_is_lost_takes_its_place() {
    let root = tempfile::tempdir().unwrap();
    let mut control_plane = TestControlPlane::with_members(10, 67, root.path());
    control_plane.settings.lease_duration = Duration::from_millis(300);
    let scenario = async {
        (0..10).for_each(|n| control_plane.start(n, true));
        assert_eq!(
            replace(control_plane.addr(0), "0", CONFIGURATION)
                .await
                .status,
            200
        );
        let voters = |a: &Answer| {
            let status: serde_json::Value = serde_json::from_str(&a.body).unwrap_or_default();
            let voters = status["member"]["view"]["voters"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            voters
                .iter()
                .filter_map(|v| v["name"].as_str().map(str::to_owned))
                .collect::<Vec<_>>()
        };
        let status = "/fennelpin/status";
        let has_nine_voters = |a: &Answer| voters(a).len() == 9;
        let nine_voters = call_until(
            control_plane.addr(0),
            "GET",
            status,
            &[],
            "",
            has_nine_voters,
        )
        .await;
        let initial_voters = voters(&nine_voters);

        let spare = (0..10)
            .map(|n| format!("core-{n}"))
            .find(|name| !initial_voters.contains(name))
            .unwrap();
        let lost = (1..10)
            .find(|n| initial_voters.contains(&format!("core-{n}")))
            .unwrap();
        control_plane.kill(lost);
        let has_spare_as_voter = |a: &Answer| voters(a).contains(&spare);
        call_until(
            control_plane.addr(0),
            "GET",
            status,
            &[],
            "",
            has_spare_as_voter,
        )
        .await;
    };
    timeout(Duration::from_secs(60), LocalSet::new().run_until(scenario))
        .await
        .expect("the test didn't end within 60 s");
}

/// Adds the path of each key in `value`. The items of a list share their paths.
fn key_paths(value: &serde_json::Value, path: &str, paths: &mut BTreeSet<String>) {
    match value {
        serde_json::Value::Object(fields) => {
            for (key, value) in fields {
                let path = format!("{path}.{key}");
                key_paths(value, &path, paths);
                paths.insert(path);
            }
        }
        serde_json::Value::Array(items) => {
            for item in items {
                key_paths(item, &format!("{path}[]"), paths);
            }
        }
        _ => {}
    }
}

/// Keys of the status page, which operators' tools read.
const STATUS_KEYS: &[&str] = &[
    ".coordinators",
    ".coordinators[].behind_ms",
    ".coordinators[].gone",
    ".coordinators[].name",
    ".coordinators[].pulled_ms_ago",
    ".coordinators[].region",
    ".coordinators[].version",
    ".coordinators[].zone",
    ".fleet",
    ".fleet.epoch",
    ".fleet.members",
    ".fleet.primary",
    ".hosts",
    ".hosts[].address",
    ".hosts[].capacity",
    ".hosts[].id",
    ".hosts[].phase",
    ".hosts[].service",
    ".hosts[].silent",
    ".hosts[].zone",
    ".id",
    ".in_force",
    ".in_force.coordinators_here",
    ".in_force.lowest_version",
    ".leaving",
    ".ledger",
    ".ledger.drains",
    ".ledger.routes",
    ".ledger.seq",
    ".ledger.services",
    ".ledger.version",
    ".life",
    ".links",
    ".links.down",
    ".links.dropped",
    ".links.sent",
    ".links.up",
    ".member",
    ".member.acts",
    ".member.age_ms",
    ".member.disk_fit",
    ".member.primary",
    ".member.promised",
    ".member.view",
    ".member.view.epoch",
    ".member.view.primary",
    ".member.view.replicas",
    ".member.view.settled",
    ".member.view.voters",
    ".member.view.voters[].control",
    ".member.view.voters[].id",
    ".member.view.voters[].name",
    ".member.view.voters[].region",
    ".member.view.voters[].zone",
    ".members",
    ".members[].control",
    ".members[].id",
    ".members[].name",
    ".members[].region",
    ".members[].zone",
    ".node",
    ".opening",
    ".quotas",
    ".region",
    ".zone",
];

/// Time without a reply after which a message is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(50);

/// A proxy as the members see it: a socket that sends quota requests.
struct TestProxy {
    socket: tokio::net::UdpSocket,
    number: u64,
}

impl TestProxy {
    async fn new(number: u64) -> Self {
        let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
        Self { socket, number }
    }

    /// Sends a message until its reply arrives, because the member may not listen yet. Skips replies to messages that
    /// were sent before: a reply that was only late comes twice, as its message was sent again.
    async fn exchange<T>(
        &self,
        message: &Message,
        to: SocketAddrV4,
        read_reply: impl Fn(Message) -> Option<T>,
    ) -> T {
        loop {
            self.socket
                .send_to(&protocol::encode(message), to)
                .await
                .unwrap();
            let reply = self.receive_reply(&read_reply);
            if let Ok(reply) = timeout(RESEND_INTERVAL, reply).await {
                return reply;
            }
        }
    }

    async fn receive_reply<T>(&self, read_reply: impl Fn(Message) -> Option<T>) -> T {
        let mut buffer = [0; 2048];
        loop {
            let (length, _) = self.socket.recv_from(&mut buffer).await.unwrap();
            let (message, _) = protocol::decode(&buffer[..length]).unwrap().unwrap();
            if let Some(reply) = read_reply(message) {
                return reply;
            }
        }
    }

    async fn announce(&self, to: SocketAddrV4) -> u64 {
        let announcement = Message::QuotaPresence {
            proxy: self.number,
            unused_ms: 0,
            unreachable: Vec::new(),
        };
        let read_reply = |reply| match reply {
            Message::QuotaPresenceReply { member } => Some(member),
            Message::QuotaReply { .. } => None,
            other => panic!("{other:?}"),
        };
        self.exchange(&announcement, to, read_reply).await
    }

    /// Requests one unit of quota. Returns whether it was granted.
    async fn request_unit(&self, sequence: u64, to: SocketAddrV4) -> bool {
        let request = Message::QuotaRequest {
            proxy: self.number,
            sequence,
            tenant: "acme".into(),
            configuration_version: 3,
            rate_per_s: 0.001,
            burst_size: 1.0,
            cost: 1.0,
            max_wait_ms: 0,
        };
        let read_reply = |reply| match reply {
            Message::QuotaReply {
                sequence: answered,
                granted,
                ..
            } if answered >= sequence => {
                assert_eq!(answered, sequence);
                Some(granted)
            }
            Message::QuotaReply { .. } | Message::QuotaPresenceReply { .. } => None,
            other => panic!("{other:?}"),
        };
        self.exchange(&request, to, read_reply).await
    }
}

#[tokio::test]
async fn tenant_home_when_asked_then_grants_within_the_limit_and_the_status_page_shows_it() {
    run_with_three_members(70, |mut control_plane| async move {
        (0..3).for_each(|n| control_plane.start(n, true));
        let proxy = TestProxy::new(5).await;
        let quota_port = control_plane.ports.0 + 3;
        let mut homes = std::collections::BTreeMap::new();
        for ip in control_plane.ips.clone() {
            let addr = SocketAddrV4::new(ip, quota_port);
            homes.insert(proxy.announce(addr).await, addr);
        }
        assert_eq!(homes.len(), 3, "each member reports its own id");
        let tenants = r#","tenants":[{"name":"acme","credentials":["k"],"rate_per_s":0.001,"burst_size":1}]}"#;
        let body = CONFIGURATION.replace(r#","limits":{}}"#, tenants);
        assert_eq!(replace(control_plane.addr(0), "0", &body).await.status, 200);
        let members: Vec<u64> = homes.keys().copied().collect();
        let home = homes[&quota::ranking("acme", &members)[0]];
        // The tenant's home member refuses until it knows the members. Then one request is granted, as the bucket
        // isn't in debt, and the next ones would wait for minutes.
        let mut sequence = 1;
        while !proxy.request_unit(sequence, home).await {
            proxy.announce(home).await;
            sequence += 1;
        }
        assert!(proxy.request_unit(sequence, home).await, "the same request again");
        assert!(!proxy.request_unit(sequence + 1, home).await);
        let n = control_plane.ips.iter().position(|ip| ip == home.ip()).unwrap();
        let status = call(control_plane.addr(n), "GET", "/fennelpin/status", &[], "")
            .await
            .unwrap();
        let status: serde_json::Value = serde_json::from_str(&status.body).unwrap();
        let tenant = &status["quotas"][0];
        assert_eq!((&tenant["tenant"], &tenant["granted"]), (&"acme".into(), &1.into()));
        assert!(tenant["refused"].as_u64() > Some(0), "{tenant}");
    })
    .await;
}

#[tokio::test]
async fn status_page_when_all_is_known_has_these_keys() {
    run_with_three_members(68, |mut control_plane| async move {
        (0..3).for_each(|n| control_plane.start(n, true));
        let replaced = replace(control_plane.addr(0), "0", CONFIGURATION).await;
        assert_eq!(replaced.status, 200);
        let heartbeat = serde_json::json!({"service": "s", "address": "10.0.0.9:80", "zone": "z0",
            "version": "v1", "capacity": 4, "phase": "ready", "cold_left_ms": 0, "call_seq": 1})
        .to_string();
        let path = "/fennelpin/Hosts.Heartbeat/i-1";
        let done = |a: &Answer| a.status == 200;
        call_until(control_plane.addr(0), "POST", path, &[], &heartbeat, done).await;
        let pull = protocol::encode(&Message::Pull {
            subscriber: Subscriber {
                name: "proxy-1".into(),
                configuration_version: 1,
                ..Subscriber::default()
            },
            wait_ms: 0,
            index: 0,
            configuration_version: 0,
            control_plane_version: 0,
            origins: Vec::new(),
        });
        let mut subscriber = TcpStream::connect((control_plane.ips[0], control_plane.ports.0))
            .await
            .unwrap();
        subscriber.write_all(&pull).await.unwrap();
        let is_complete = |a: &Answer| {
            let status: serde_json::Value = serde_json::from_str(&a.body).unwrap_or_default();
            let is_present = |list: &str| status[list].as_array().is_some_and(|l| !l.is_empty());
            is_present("hosts")
                && is_present("coordinators")
                && is_present("members")
                && status["member"]["primary"].is_string()
                && status["member"]["age_ms"].is_u64()
        };
        let status = call_until(
            control_plane.addr(0),
            "GET",
            "/fennelpin/status",
            &[],
            "",
            is_complete,
        )
        .await;
        let mut paths = BTreeSet::new();
        key_paths(&serde_json::from_str(&status.body).unwrap(), "", &mut paths);
        assert_eq!(paths.iter().collect::<Vec<_>>(), STATUS_KEYS);
    })
    .await;
}
