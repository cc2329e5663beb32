//! Agents and proxies that restart while requests are in flight: none is lost or sent twice, and the newest configuration
//! is in force afterwards.

use crate::harness::callers::{call_until_conclusive, ChangeRequest};
use crate::harness::cluster::TestCluster;
use crate::harness::faulty_hosts::{self, HostBehaviour, HttpMessage};
use crate::harness::wait_until;
use fennelpin_cli::local::cluster::Program;
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Instant;

const ALL: [u8; 3] = [1, 2, 3];
/// Concurrent clients, over both proxies.
const CLIENTS: usize = 4;
/// Answers that come between two restarts.
const CHANGES: usize = 200;

/// A configuration with the same routes and one more whose path tells the version.
fn configuration(version: u64) -> ChangeRequest {
    let route = |name: &str, path: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","hostname":"h.example","path_prefix":"/{path}/","route_class":"{kind}","deadline_ms":5000,"service":"s","max_tries":2}}"#
        )
    };
    let routes = [
        route("once", "once", "mutating"),
        route("pure", "pure", "pure"),
        route("told", &format!("v{version}"), "pure"),
    ];
    let body = format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"s","health_path":"/health","conn_limit":64}}]}}"#,
        routes.join(",")
    );
    ChangeRequest {
        base: version - 1,
        version,
        body,
    }
}

/// Outcomes of a client's requests.
#[derive(Debug, Default)]
struct ClientResult {
    served: usize,
    /// Rejected with the promise that they have not run.
    refused: Vec<String>,
    /// Bodies of requests without an answer.
    unanswered: Vec<String>,
}

/// Clients that send one request after the other until they are asked to stop.
#[derive(Default)]
struct Traffic {
    stop: AtomicBool,
    served: AtomicUsize,
    /// Requests that were rejected or had no answer.
    unserved: AtomicUsize,
}

impl Traffic {
    /// Waits until more requests are served.
    fn wait_until_served(&self) {
        let before = self.served.load(Ordering::Relaxed);
        wait_until("requests are served", || {
            (self.served.load(Ordering::Relaxed) >= before + CHANGES).then_some(())
        });
    }

    /// Runs one client, over connections that are kept.
    fn client(&self, front: SocketAddrV4, number: usize) -> ClientResult {
        let route = if number % 3 == 2 { "pure" } else { "once" };
        let mut result = ClientResult::default();
        let mut kept = None;
        for n in 0.. {
            if self.stop.load(Ordering::Relaxed) {
                break;
            }
            let body = format!("{route}-{number}-{n}");
            // The proxy may be starting.
            let (mut stream, mut buffer) = kept.take().unwrap_or_else(|| {
                (
                    wait_until("a proxy", || faulty_hosts::connect(front)),
                    Vec::new(),
                )
            });
            let sent = faulty_hosts::send(&mut stream, route, &body);
            let Some(answer) = sent.and_then(|()| HttpMessage::read(&mut stream, &mut buffer))
            else {
                result.unanswered.push(body);
                self.unserved.fetch_add(1, Ordering::Relaxed);
                continue;
            };
            match answer.status() {
                200 => {
                    assert_eq!(answer.body, body, "another caller's answer: {answer:?}");
                    result.served += 1;
                    self.served.fetch_add(1, Ordering::Relaxed);
                }
                503 => {
                    result.refused.push(body);
                    self.unserved.fetch_add(1, Ordering::Relaxed);
                }
                _ => panic!("neither an answer nor a promise: {answer:?}"),
            }
            if answer.field("connection") != Some("close") {
                kept = Some((stream, buffer));
            }
        }
        result
    }
}

/// A restart of a machine's programs.
#[derive(Clone, Copy, Debug)]
struct Restart {
    programs: &'static [Program],
    signal: Signal,
}

impl Restart {
    const ALL: [Restart; 4] = [
        Restart {
            programs: &[Program::Agent],
            signal: Signal::TERM,
        },
        Restart {
            programs: &[Program::Agent],
            signal: Signal::KILL,
        },
        Restart {
            programs: &[Program::Proxy],
            signal: Signal::TERM,
        },
        Restart {
            programs: &[Program::Agent, Program::Proxy],
            signal: Signal::TERM,
        },
    ];

    fn run(self, cluster: &mut TestCluster, edge: u8) {
        println!("{self:?} at edge-{edge}");
        let name = |p: &Program| {
            format!(
                "edge-{edge}/{}",
                if *p == Program::Agent {
                    "agent"
                } else {
                    "proxy"
                }
            )
        };
        for program in self.programs {
            cluster.signal_program(&name(program), self.signal);
        }
        for program in self.programs {
            cluster.await_end(&name(program));
            cluster.processes.start(*program, edge, false).unwrap();
        }
    }
}

/// Sends configurations one after the other.
struct Configurator {
    controls: Vec<SocketAddr>,
    version: u64,
}

impl Configurator {
    fn apply_next(&mut self) {
        self.version += 1;
        let change = configuration(self.version);
        let answer = call_until_conclusive(&mut self.controls, &change.call());
        assert_eq!(answer.status, 200, "{:?}", answer.result());
    }
}

#[test]
fn requests_when_agents_and_proxies_restart_then_none_is_lost_or_sent_twice() {
    let mut cluster = TestCluster::new(3, 2);
    let fronts = cluster.processes.plan().fronts();
    let controls: Vec<SocketAddr> = ALL.iter().map(|n| cluster.control(*n)).collect();
    let mut configurator = Configurator {
        controls: controls.clone(),
        version: 0,
    };
    configurator.apply_next();
    let addrs: Vec<SocketAddrV4> = (1..=4).map(|n| cluster.processes.plan().host(n)).collect();
    let hosts = faulty_hosts::start(&addrs, &controls, &[HostBehaviour::Answer]);
    for front in &fronts {
        wait_until("the proxy knows the hosts", || {
            faulty_hosts::served(*front).then_some(())
        });
    }

    let traffic = Traffic::default();
    let results: Vec<ClientResult> = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let (front, traffic) = (fronts[n % fronts.len()], &traffic);
                scope.spawn(move || traffic.client(front, n))
            })
            .collect();
        for (n, restart) in Restart::ALL.into_iter().enumerate() {
            let edge = 1 + (n % 2) as u8;
            restart_under_traffic(&mut cluster, restart, edge, &traffic, &mut configurator);
        }
        traffic.stop.store(true, Ordering::Relaxed);
        clients.into_iter().map(|c| c.join().unwrap()).collect()
    });
    assert_none_lost_or_sent_twice(&results, &hosts.received.lock().unwrap());
}

/// Restarts programs of a machine while requests and a change of the configuration are under way.
fn restart_under_traffic(
    cluster: &mut TestCluster,
    restart: Restart,
    edge: u8,
    traffic: &Traffic,
    configurator: &mut Configurator,
) {
    traffic.wait_until_served();
    let start = Instant::now();
    let before = traffic.unserved.load(Ordering::Relaxed);
    restart.run(cluster, edge);
    // The configuration changes while the programs start.
    configurator.apply_next();
    let version = configurator.version;
    for edge in [1, 2] {
        wait_until("the newest is in force", || {
            (cluster.versions_in_force(edge).last() == Some(&version)).then_some(())
        });
    }
    println!("in force at both proxies after {:?}", start.elapsed());
    traffic.wait_until_served();
    let unserved = traffic.unserved.load(Ordering::Relaxed);
    let takes_requests = restart.programs.contains(&Program::Proxy);
    assert!(
        takes_requests || unserved == before,
        "an agent's end costs no request: {unserved} have trouble"
    );
}

fn assert_none_lost_or_sent_twice(results: &[ClientResult], received: &BTreeMap<String, usize>) {
    for (body, times) in received.iter().filter(|h| h.0.starts_with("once")) {
        assert_eq!(*times, 1, "{body} was sent {times} times");
    }
    let sum = |of: fn(&ClientResult) -> usize| results.iter().map(of).sum::<usize>();
    println!(
        "{} served, {} refused, {} unread",
        sum(|t| t.served),
        sum(|t| t.refused.len()),
        sum(|t| t.unanswered.len())
    );
    for result in results {
        for body in &result.refused {
            assert!(
                !received.contains_key(body),
                "refused, though a host has run it: {body}"
            );
        }
        for body in &result.unanswered {
            assert!(
                !received.contains_key(body),
                "lost, though a host has run it: {body}"
            );
        }
    }
}
