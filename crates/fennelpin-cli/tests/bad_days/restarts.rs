//! Agents and proxies that are started again while requests are under way: none is lost or sent twice, and the newest
//! configuration is in force afterwards.

use crate::callers::{until_clear, Order};
use crate::hosts::{self, Text, Turn};
use crate::stage::{until, Stage};
use fennelpin_cli::local::cluster::Program;
use rustix::process::Signal;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Instant;

const ALL: [u8; 3] = [1, 2, 3];
/// Clients at once, over both proxies.
const CLIENTS: usize = 4;
/// Answers that come between two events.
const SOME: usize = 200;

/// A configuration that keeps the routes and tells its version by one more.
fn configuration(version: u64) -> Order {
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
    Order {
        base: version - 1,
        version,
        body,
    }
}

/// What became of a client's tries.
#[derive(Debug, Default)]
struct Tally {
    served: usize,
    /// Refused with the promise that they haven't run.
    refused: Vec<String>,
    /// Without an answer.
    unanswered: Vec<String>,
}

/// Clients that send one request after the other until they are told to stop.
#[derive(Default)]
struct Traffic {
    stop: AtomicBool,
    served: AtomicUsize,
    /// Refused, or without an answer.
    troubled: AtomicUsize,
}

impl Traffic {
    /// Waits until so many more requests are served.
    fn flows(&self) {
        let before = self.served.load(Ordering::Relaxed);
        until("requests are served", || {
            (self.served.load(Ordering::Relaxed) >= before + SOME).then_some(())
        });
    }

    /// One client, over connections that are kept.
    fn client(&self, front: SocketAddrV4, number: usize) -> Tally {
        let route = if number % 3 == 2 { "pure" } else { "once" };
        let mut tally = Tally::default();
        let mut kept = None;
        for n in 0.. {
            if self.stop.load(Ordering::Relaxed) {
                break;
            }
            let body = format!("{route}-{number}-{n}");
            // A proxy that is about to start is waited for.
            let (mut stream, mut buffer) = kept
                .take()
                .unwrap_or_else(|| (until("a proxy", || hosts::connect(front)), Vec::new()));
            let sent = hosts::send(&mut stream, route, &body);
            let Some(answer) = sent.and_then(|()| Text::read(&mut stream, &mut buffer)) else {
                tally.unanswered.push(body);
                self.troubled.fetch_add(1, Ordering::Relaxed);
                continue;
            };
            match answer.status() {
                200 => {
                    assert_eq!(answer.body, body, "another caller's answer: {answer:?}");
                    tally.served += 1;
                    self.served.fetch_add(1, Ordering::Relaxed);
                }
                503 => {
                    tally.refused.push(body);
                    self.troubled.fetch_add(1, Ordering::Relaxed);
                }
                _ => panic!("neither an answer nor a promise: {answer:?}"),
            }
            if answer.field("connection") != Some("close") {
                kept = Some((stream, buffer));
            }
        }
        tally
    }
}

/// How a machine's programs are started again.
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

    fn run(self, stage: &mut Stage, edge: u8) {
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
            stage.signal_program(&name(program), self.signal);
        }
        for program in self.programs {
            stage.await_end(&name(program));
            stage.fleet.start(*program, edge, false).unwrap();
        }
    }
}

#[test]
fn agents_and_proxies_that_are_started_again_lose_no_request_and_send_none_twice() {
    let mut stage = Stage::new(3, 2);
    let fronts = stage.fleet.plan().fronts();
    let mut controls: Vec<SocketAddr> = ALL.iter().map(|n| stage.control(*n)).collect();
    let mut version = 1;
    let mut order = |version: u64| {
        let answer = until_clear(&mut controls, &configuration(version).call());
        assert_eq!(answer.status, 200, "{:?}", answer.result());
    };
    order(version);
    let addrs: Vec<SocketAddrV4> = (1..=4).map(|n| stage.fleet.plan().host(n)).collect();
    let beats: Vec<SocketAddr> = ALL.iter().map(|n| stage.control(*n)).collect();
    let hosts = hosts::start(&addrs, &beats, &[Turn::Answer]);
    for front in &fronts {
        until("the proxy knows the hosts", || {
            hosts::served(*front).then_some(())
        });
    }

    let traffic = Traffic::default();
    let tallies: Vec<Tally> = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let (front, traffic) = (fronts[n % fronts.len()], &traffic);
                scope.spawn(move || traffic.client(front, n))
            })
            .collect();
        for (n, restart) in Restart::ALL.into_iter().enumerate() {
            traffic.flows();
            let edge = 1 + (n % 2) as u8;
            let start = Instant::now();
            let before = traffic.troubled.load(Ordering::Relaxed);
            restart.run(&mut stage, edge);
            // While it starts the configuration changes.
            version += 1;
            order(version);
            for edge in [1, 2] {
                until("the newest is in force", || {
                    (stage.in_force(edge).last() == Some(&version)).then_some(())
                });
            }
            println!("in force at both proxies after {:?}", start.elapsed());
            traffic.flows();
            let troubled = traffic.troubled.load(Ordering::Relaxed);
            let takes_requests = restart.programs.contains(&Program::Proxy);
            assert!(
                takes_requests || troubled == before,
                "an agent's end costs no request: {troubled} have trouble"
            );
        }
        traffic.stop.store(true, Ordering::Relaxed);
        clients.into_iter().map(|c| c.join().unwrap()).collect()
    });

    let heard = hosts.heard.lock().unwrap();
    for (body, times) in heard.iter().filter(|h| h.0.starts_with("once")) {
        assert_eq!(*times, 1, "{body} was sent {times} times");
    }
    let sum = |of: fn(&Tally) -> usize| tallies.iter().map(of).sum::<usize>();
    println!(
        "{} served, {} refused, {} unread",
        sum(|t| t.served),
        sum(|t| t.refused.len()),
        sum(|t| t.unanswered.len())
    );
    for tally in &tallies {
        for body in &tally.refused {
            assert!(
                !heard.contains_key(body),
                "refused, though a host has run it: {body}"
            );
        }
        for body in &tally.unanswered {
            assert!(
                !heard.contains_key(body),
                "lost, though a host has run it: {body}"
            );
        }
    }
}
