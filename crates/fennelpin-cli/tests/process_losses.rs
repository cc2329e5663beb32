//! Three members and two proxies with their agents, killed, frozen and wiped while configurations are applied. What was
//! acknowledged is read back: none is lost, and none is applied beside another.

mod harness;

use fennelpin_cli::control_client::ControlCall;
use fennelpin_cli::local::cluster::Program;
use harness::callers::{call_until_conclusive, configuration, READ};
use harness::cluster::TestCluster;
use harness::{wait_until, CALL_TIMEOUT, TIMEOUT};
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::Instant;

const ALL: [u8; 3] = [1, 2, 3];
/// Configurations that are acknowledged at least.
const MIN_ACKNOWLEDGED: usize = 300;
/// Acknowledgements that come while a member is frozen.
const WHILE_FROZEN: usize = 5;
/// Short leases, so that takeovers are quick.
const SETTINGS: [(&str, &str); 2] = [("LEASE_MS", "300"), ("STALL_MS", "250")];

/// A configuration whose route tells its version.
fn whole(version: u64) -> String {
    configuration(version, "v")
}

/// An amendment to the configuration of this version.
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

/// Sends one configuration after the other, each on top of the one before, and reports the acknowledged versions.
fn send_changes(mut members: Vec<SocketAddr>, stop: &AtomicBool, acknowledged: &Sender<u64>) {
    let (mut version, mut count) = (0, 0);
    while !stop.load(Ordering::Relaxed) {
        let next = version + 1 + count % 3;
        let (name, body) = match count % 4 {
            3 => ("Configuration.Amend", amendment(next)),
            _ => ("Configuration.Replace", whole(next)),
        };
        let call = ControlCall {
            name,
            base_version: Some(version),
            body: Some(body.as_bytes()),
        };
        let answer = call_until_conclusive(&mut members, &call);
        assert_eq!(
            answer.status,
            200,
            "{next} on {version}: {:?}",
            answer.result()
        );
        if count % 10 == 0 {
            members.rotate_left(1);
            assert_applied_once(&mut members, &call, &whole(next + 1));
        }
        version = next;
        count += 1;
        if acknowledged.send(version).is_err() {
            return;
        }
    }
}

/// Another change on the same base comes too late, at whichever member. The same one has been applied already.
fn assert_applied_once(members: &mut [SocketAddr], applied: &ControlCall, other: &str) {
    let other = ControlCall {
        body: Some(other.as_bytes()),
        ..applied.clone()
    };
    assert_eq!(call_until_conclusive(members, &other).status, 412);
    assert_eq!(call_until_conclusive(members, applied).status, 200);
}

/// What happens to a member.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Killed,
    Frozen,
    Wiped,
}

struct Run {
    cluster: TestCluster,
    /// Versions as they are acknowledged.
    events: Receiver<u64>,
    acknowledged: Vec<u64>,
}

impl Run {
    /// Waits for one more acknowledgement.
    fn wait_for_change(&mut self) {
        let version = self
            .events
            .recv_timeout(TIMEOUT)
            .expect("configurations are taken");
        self.acknowledged.push(version);
    }

    /// Waits, while changes go on, until all members are back. Returns the primary.
    fn wait_until_stable(&mut self) -> u8 {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            self.wait_for_change();
            if let Some(primary) = self.cluster.stable_primary(&ALL) {
                return primary;
            }
            assert!(
                Instant::now() < deadline,
                "not all members come back: {}",
                self.cluster.describe(&ALL)
            );
        }
    }

    /// Waits until all agents and proxies listen. Members do, as they apply configurations.
    fn wait_until_all_listen(&self) {
        let plan = self.cluster.processes.plan();
        for front in plan.fronts() {
            let agent = SocketAddrV4::new(*front.ip(), plan.port + 1);
            for addr in [front, agent] {
                wait_until(&format!("somebody listens at {addr}"), || {
                    TcpStream::connect(addr).ok()
                });
            }
        }
    }

    /// Tells all programs that their settings have changed.
    fn hang_up_all(&self) {
        let processes = &self.cluster.processes;
        for name in processes.process_names() {
            self.cluster.signal_program(name, Signal::HUP);
        }
    }

    fn inject(&mut self, fault: Fault, n: u8) {
        match fault {
            Fault::Killed => {
                self.cluster.kill(n);
                self.cluster.start(n);
            }
            Fault::Frozen => {
                self.cluster.freeze(n);
                (0..WHILE_FROZEN).for_each(|_| self.wait_for_change());
                self.cluster.thaw(n);
            }
            Fault::Wiped => {
                self.cluster.wipe(n);
                self.cluster.start(n);
            }
        }
    }

    /// Each fault hits the primary and another member.
    fn inject_all(&mut self) {
        for (round, fault) in [Fault::Killed, Fault::Frozen, Fault::Wiped]
            .into_iter()
            .flat_map(|fault| [fault, fault])
            .enumerate()
        {
            let primary = self.wait_until_stable();
            if round == 0 {
                // A process that was just created has no handler for the signal yet.
                self.wait_until_all_listen();
                self.hang_up_all();
            }
            let target = if round % 2 == 0 {
                primary
            } else {
                primary % 3 + 1
            };
            self.inject(fault, target);
            let processes = &mut self.cluster.processes;
            match round {
                1 => processes.start(Program::Agent, 1, false).unwrap(),
                3 => processes.start(Program::Proxy, 2, false).unwrap(),
                _ => {}
            }
        }
    }

    /// Kills all members at the same moment, and starts them again.
    fn restart_all(&mut self) {
        ALL.iter().for_each(|n| self.cluster.kill(*n));
        ALL.iter().for_each(|n| self.cluster.start(*n));
    }
}

/// The status of a request at a proxy.
fn status_of(front: SocketAddrV4, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: h.example\r\nFennelpin-Attempt-Id: 1\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.split(' ').nth(1)?.parse().ok()
}

/// A proxy gets the newest version in force, and no other.
fn assert_in_force(front: SocketAddrV4, acknowledged: &[u64]) {
    let [.., old, newest] = acknowledged else {
        panic!("two versions at least")
    };
    wait_until(&format!("{front} has version {newest}"), || {
        // The route is there, its service has no host.
        (status_of(front, &format!("/v{newest}/")) == Some(503)).then_some(())
    });
    assert_eq!(status_of(front, &format!("/v{old}/")), Some(404));
}

#[test]
fn acknowledged_configurations_when_processes_are_lost_then_none_is_lost() {
    let cluster = TestCluster::with_settings(3, 2, &SETTINGS, |_| ());
    let control: Vec<SocketAddr> = ALL.iter().map(|n| cluster.control(*n)).collect();
    let (acknowledged, events) = channel();
    let stop = Arc::new(AtomicBool::new(false));
    let sender = {
        let (stop, control) = (stop.clone(), control.clone());
        std::thread::spawn(move || send_changes(control, &stop, &acknowledged))
    };
    let mut run = Run {
        cluster,
        events,
        acknowledged: Vec::new(),
    };
    run.inject_all();
    run.wait_until_stable();
    while run.acknowledged.len() < MIN_ACKNOWLEDGED {
        run.wait_for_change();
    }
    stop.store(true, Ordering::Relaxed);
    sender.join().unwrap();
    run.acknowledged.extend(run.events.try_iter());
    println!("{} configurations acknowledged", run.acknowledged.len());
    assert!(
        run.acknowledged.windows(2).all(|w| w[0] < w[1]),
        "each is taken once, in order"
    );

    let newest = *run.acknowledged.last().unwrap();
    for front in run.cluster.processes.plan().fronts() {
        assert_in_force(front, &run.acknowledged);
    }
    run.restart_all();
    for member in control {
        let answer = call_until_conclusive(&mut [member], &READ);
        assert_eq!(
            String::from_utf8(answer.body).unwrap(),
            whole(newest),
            "read back at {member}"
        );
    }
}
