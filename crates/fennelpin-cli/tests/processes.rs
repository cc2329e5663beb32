//! Real processes: three members and two proxies with their agents, killed, stopped and wiped while
//! configurations are sent. What was acknowledged is read back, none lost, none taken beside another.

use fennelpin_cli::control_client::{call_member, ControlAnswer, ControlCall, ControlClient};
use fennelpin_cli::local::cluster::{ClusterPlan, LocalCluster, Program};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What doesn't happen within this time doesn't happen.
const LONG: Duration = Duration::from_secs(20);
/// An operator's wait for one member.
const SECOND: Duration = Duration::from_secs(1);
/// Configurations that are acknowledged at least.
const WANTED: usize = 300;

fn fleet(dir: &Path) -> LocalCluster {
    // Addresses and ports that other runs of this test don't use at the same time.
    let net = 100 + (std::process::id() % 100) as u8;
    let free = TcpListener::bind((std::net::Ipv4Addr::new(127, net, 0, 1), 0)).unwrap();
    let port = free.local_addr().unwrap().port().min(65_000);
    let program = env!("CARGO_BIN_EXE_fennelpin-cli").into();
    let plan = ClusterPlan {
        program,
        dir: dir.into(),
        net,
        port,
        members: 3,
        proxies: 2,
    };
    let mut fleet = LocalCluster::new(plan).unwrap();
    fleet.env("FENNELPIN_CLI_LEASE_MS", "300");
    fleet.env("FENNELPIN_CLI_STALL_MS", "250");
    fleet.start_all().unwrap();
    fleet
}

fn whole(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","hostname":"h.example","path_prefix":"/v{version}/","route_class":"pure","deadline_ms":1000,"service":"s"}}],"services":[{{"name":"s"}}]}}"#
    )
}

fn amendment(version: u64) -> String {
    let whole = whole(version);
    let routes = whole
        .split("\"routes\":")
        .nth(1)
        .unwrap()
        .split(",\"services\"")
        .next()
        .unwrap();
    format!(r#"{{"version":{version},"upsert":{{"routes":{routes}}}}}"#)
}

/// Makes a call of one member after the other, unchanged, until there is a clear answer. The member that gave it
/// is the first to be asked the next time.
fn until_clear(members: &mut [SocketAddr], call: &ControlCall) -> ControlAnswer {
    let end = Instant::now() + LONG;
    while Instant::now() < end {
        match call_member(members[0], call, SECOND) {
            Ok(answer) if answer.status < 500 => return answer,
            _ => members.rotate_left(1),
        }
    }
    panic!("no clear answer to {call:?}");
}

/// Sends one configuration after the other, each on the one before, and tells the acknowledged versions.
fn send(mut members: Vec<SocketAddr>, stop: &AtomicBool, acknowledged: &Sender<u64>) {
    let (mut version, mut count) = (0, 0);
    while !stop.load(Ordering::Relaxed) {
        let next = version + 1 + count % 3;
        let (name, body) = match count % 4 {
            3 => ("Configuration.Amend", amendment(next)),
            _ => ("Configuration.Replace", whole(next)),
        };
        let answer = until_clear(
            &mut members,
            &ControlCall {
                name,
                base_version: Some(version),
                body: Some(body.as_bytes()),
            },
        );
        assert_eq!(
            answer.status,
            200,
            "{next} on {version}: {:?}",
            answer.result()
        );
        if count % 10 == 0 {
            // Another one on the same base comes too late, wherever it goes in; the same one is done already.
            members.rotate_left(1);
            let other = whole(next + 1);
            let call = ControlCall {
                name,
                base_version: Some(version),
                body: Some(other.as_bytes()),
            };
            assert_eq!(until_clear(&mut members, &call).status, 412);
            let call = ControlCall {
                name,
                base_version: Some(version),
                body: Some(body.as_bytes()),
            };
            assert_eq!(until_clear(&mut members, &call).status, 200);
        }
        version = next;
        count += 1;
        if acknowledged.send(version).is_err() {
            return;
        }
    }
}

/// The member that acts, and whether all three are back: voters of a settled view, the replicas among them.
fn membership_state(members: &ControlClient) -> (Option<u8>, bool) {
    let Ok(statuses) = members.member_statuses() else {
        return (None, false);
    };
    let Some(acting) = statuses.iter().find(|s| s["member"]["acts"] == true) else {
        return (None, false);
    };
    let view = &acting["member"]["view"];
    let ids: Vec<&Value> = statuses.iter().map(|s| &s["id"]).collect();
    let named = |list: &Value, of: fn(&Value) -> &Value| {
        list.as_array()
            .unwrap()
            .iter()
            .all(|x| ids.contains(&of(x)))
    };
    let all = ids.len() == 3
        && statuses.iter().all(|s| {
            s["member"]["view"]["epoch"] == view["epoch"] && s["member"]["disk_fit"] == true
        })
        && view["settled"] == true
        && view["voters"].as_array().unwrap().len() == 3
        && named(&view["voters"], |v| &v["id"])
        && view["replicas"].as_array().unwrap().len() == 2
        && named(&view["replicas"], |c| c);
    let number = acting["node"]
        .as_str()
        .and_then(|n| n.strip_prefix("core-")?.parse().ok());
    (number, all)
}

struct Story {
    fleet: LocalCluster,
    members: ControlClient,
    events: Receiver<u64>,
    acknowledged: Vec<u64>,
}

impl Story {
    /// Waits for one more acknowledgement.
    fn event(&mut self) {
        let version = self
            .events
            .recv_timeout(LONG)
            .expect("configurations are taken");
        self.acknowledged.push(version);
    }

    /// Waits until all members are back; the number of the one that acts.
    fn settled(&mut self) -> u8 {
        let end = Instant::now() + LONG;
        loop {
            self.event();
            if let (Some(primary), true) = membership_state(&self.members) {
                return primary;
            }
            assert!(
                Instant::now() < end,
                "not all members come back: {:?}",
                self.members.member_statuses()
            );
        }
    }

    /// Waits until all agents and proxies listen; members do, as they take configurations.
    fn all_listen(&self) {
        let plan = self.fleet.plan();
        let end = Instant::now() + LONG;
        for front in plan.fronts() {
            let agent = SocketAddrV4::new(*front.ip(), plan.port + 1);
            for addr in [front, agent] {
                while TcpStream::connect(addr).is_err() {
                    assert!(Instant::now() < end, "nobody listens at {addr}");
                    std::thread::yield_now();
                }
            }
        }
    }

    fn signal(&self, name: &str, signal: Signal) {
        let pid = Pid::from_raw(self.fleet.pid(name).unwrap() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Something befalls member `n`.
    fn befall(&mut self, what: usize, n: u8) {
        let name = format!("core-{n}/control-plane");
        match what {
            0 => {
                self.fleet.kill(&name);
                self.fleet.start(Program::ControlPlane, n, false).unwrap();
            }
            1 => {
                self.signal(&name, Signal::STOP);
                (0..5).for_each(|_| self.event());
                self.signal(&name, Signal::CONT);
            }
            _ => {
                self.fleet.kill(&name);
                std::fs::remove_dir_all(self.fleet.plan().disk(n)).unwrap();
                self.fleet.start(Program::ControlPlane, n, false).unwrap();
            }
        }
    }
}

fn status_of(front: SocketAddrV4, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(SECOND)).ok()?;
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: h.example\r\nFennelpin-Attempt-Id: 1\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.split(' ').nth(1)?.parse().ok()
}

/// The proxy has the newest version in force, and no other.
fn in_force(front: SocketAddrV4, acknowledged: &[u64]) {
    let [.., old, newest] = acknowledged else {
        panic!("two versions at least")
    };
    let end = Instant::now() + LONG;
    // The route is there, its service has no host.
    while status_of(front, &format!("/v{newest}/")) != Some(503) {
        assert!(Instant::now() < end, "{front} hasn't version {newest}");
        std::thread::yield_now();
    }
    assert_eq!(status_of(front, &format!("/v{old}/")), Some(404));
}

#[test]
fn nothing_acknowledged_is_lost_whatever_befalls_the_processes() {
    let dir = tempfile::tempdir().unwrap();
    let fleet = fleet(dir.path());
    let control: Vec<SocketAddr> = fleet
        .plan()
        .controls()
        .into_iter()
        .map(Into::into)
        .collect();
    let members = ControlClient {
        addresses: control.clone(),
        timeout: SECOND,
    };
    let (acknowledged, events) = channel();
    let stop = Arc::new(AtomicBool::new(false));
    let sender = {
        let (stop, control) = (stop.clone(), control.clone());
        std::thread::spawn(move || send(control, &stop, &acknowledged))
    };
    let mut story = Story {
        fleet,
        members,
        events,
        acknowledged: Vec::new(),
    };

    // Each trouble at the primary and at another member.
    for round in 0..6 {
        let primary = story.settled();
        if round == 0 {
            // Changed settings: all go on. (One that the system has only just made doesn't take signals yet.)
            story.all_listen();
            let names: Vec<String> = story
                .fleet
                .process_names()
                .into_iter()
                .map(str::to_owned)
                .collect();
            names
                .iter()
                .for_each(|name| story.signal(name, Signal::HUP));
        }
        let target = if round % 2 == 0 {
            primary
        } else {
            primary % 3 + 1
        };
        story.befall(round / 2, target);
        match round {
            1 => story.fleet.start(Program::Agent, 1, false).unwrap(),
            3 => story.fleet.start(Program::Proxy, 2, false).unwrap(),
            _ => {}
        }
    }
    story.settled();
    while story.acknowledged.len() < WANTED {
        story.event();
    }
    stop.store(true, Ordering::Relaxed);
    sender.join().unwrap();
    story.acknowledged.extend(story.events.try_iter());
    println!("{} configurations acknowledged", story.acknowledged.len());
    assert!(
        story.acknowledged.windows(2).all(|w| w[0] < w[1]),
        "each is taken once, in order"
    );

    let newest = *story.acknowledged.last().unwrap();
    for front in story.fleet.plan().fronts() {
        in_force(front, &story.acknowledged);
    }
    // All members at the same moment.
    for n in 1..=3 {
        story.fleet.kill(&format!("core-{n}/control-plane"));
    }
    for n in 1..=3 {
        story.fleet.start(Program::ControlPlane, n, false).unwrap();
    }
    for member in control {
        let read = ControlCall {
            name: "Configuration.Read",
            ..ControlCall::default()
        };
        let answer = until_clear(&mut [member], &read);
        assert_eq!(
            String::from_utf8(answer.body).unwrap(),
            whole(newest),
            "read back at {member}"
        );
    }
}
