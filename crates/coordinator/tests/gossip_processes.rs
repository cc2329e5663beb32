//! Tests of the gossip between several coordinator processes, with network faults and killed processes.

mod support;

use fake_hosts::relay::{Faults, Relay};
use serde_json::json;
use std::fs::File;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use support::*;

/// A coordinator process, which is killed at the end of its test. Its log goes to a file.
struct Process {
    child: Child,
    addr: String,
}

/// Number of processes started so far.
static STARTED: AtomicU32 = AtomicU32::new(0);

/// Returns the binary of the next process: alternately this build and the one named by `FENNELPIN_OTHER_COORDINATOR`,
/// if that is set.
fn next_binary() -> PathBuf {
    let this_build = PathBuf::from(env!("CARGO_BIN_EXE_fennelpin"));
    let other_build = std::env::var_os("FENNELPIN_OTHER_COORDINATOR");
    match other_build {
        Some(other) if STARTED.fetch_add(1, Ordering::Relaxed) % 2 == 1 => other.into(),
        _ => this_build,
    }
}

impl Process {
    fn start(config: &PathBuf, log: &PathBuf) -> Self {
        let child = Command::new(next_binary())
            .args(["serve", "--log", "info"])
            .envs([("PROXY_CONFIG", config)])
            .env_remove("PROXY_OPERATOR")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(log).unwrap())
            .spawn()
            .unwrap();
        let mut process = Self {
            child,
            addr: String::new(),
        };
        until("it listens", || {
            let log_text = std::fs::read_to_string(log).unwrap_or_default();
            let line = log_text
                .lines()
                .find_map(|l| Some(l.split_once("listening on ")?.1.trim().to_owned()));
            process.addr = line.unwrap_or_default();
            !process.addr.is_empty()
        });
        process
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn count(&self, name: &str) -> u64 {
        let (_, _, text) = Client::new(&self.addr).ask("GET", "/_counters", "", "");
        let line = text.lines().find_map(|l| {
            l.strip_prefix(name)?
                .trim_start_matches(['=', ' '])
                .parse()
                .ok()
        });
        line.unwrap_or(0)
    }

    fn ask(&self, id: &str) -> u16 {
        let mut client = Client::new(&self.addr);
        client.query("near", id, 3000, &[0]);
        client.read().0
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A tier of coordinators with two hosts: both have shard 0, only host 1 has shard 1, and only host 0 has shard 2. Both
/// hosts delay the answers to queries named `hold`.
struct Tier {
    relay: Relay,
    processes: Vec<Process>,
    files: Vec<(PathBuf, PathBuf)>,
    listens: Vec<SocketAddr>,
    ledger: Ledger,
    asked: AtomicU32,
}

impl Tier {
    fn start(name: &str, n: usize) -> Self {
        let ledger = Ledger::default();
        let hosts: Vec<Host> = (0..2)
            .map(|h| {
                host(h, false, &ledger, move |s| {
                    // Constant answer times, so that no host appears slow because of noise in short times.
                    std::thread::sleep(if s.id.starts_with("hold") {
                        ms(300)
                    } else {
                        ms(10)
                    });
                    Act::Serve("v".into())
                })
            })
            .collect();
        let members: Vec<_> = hosts
            .iter()
            .enumerate()
            .map(|(h, host)| member(h, &host.addr, h as u32, "Ready"))
            .collect();
        // The system chooses the ports. They are released for the coordinators, which retry binding if necessary.
        let free = |_| UdpSocket::bind("127.0.0.1:0").unwrap();
        let sockets: Vec<UdpSocket> = (0..n).map(free).collect();
        let listens: Vec<SocketAddr> = sockets.iter().map(|s| s.local_addr().unwrap()).collect();
        drop(sockets);
        let relay = Relay::start(listens.clone(), 7).unwrap();
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let (mut files, mut processes) = (Vec::new(), Vec::new());
        for (rank, listen) in listens.iter().enumerate() {
            let mut ours = settings();
            ours["balancers"] = json!(n);
            ours["rank"] = json!(rank);
            ours["caps"]["may_tell"] = json!(true);
            // No cost of gossip, as the budget would limit it at one query per 200 ms.
            ours["costs"] = json!({"peer": 0.0});
            ours["family_info"]["sets"] = json!(3);
            ours["family_info"]["width"] = json!(2);
            let text = config("127.0.0.1:0", &members, &ours, None);
            let mut text: serde_json::Value = serde_json::from_str(&text).unwrap();
            text["peers"] = json!(relay.known[rank]
                .iter()
                .map(std::string::ToString::to_string)
                .collect::<Vec<_>>());
            text["peer_listen"] = json!(listen.to_string());
            let file = |end: &str| dir.join(format!("{}-{name}-{rank}.{end}", std::process::id()));
            std::fs::write(file("json"), text.to_string()).unwrap();
            processes.push(Process::start(&file("json"), &file("log")));
            files.push((file("json"), file("log")));
        }
        let tier = Self {
            relay,
            processes,
            files,
            listens,
            ledger,
            asked: AtomicU32::new(0),
        };
        tier.wait_for_first_updates();
        tier
    }

    /// Waits until every coordinator has received an update from another one.
    fn wait_for_first_updates(&self) {
        for p in &self.processes {
            until("a word arrives", || {
                for p in &self.processes {
                    assert_eq!(p.ask(&self.name("warm")), 200);
                }
                p.count("peers.taken") > 0
            });
        }
    }

    /// Returns the gossip counters of each coordinator, for messages of failed checks.
    fn gossip_counters(&self) -> String {
        let count = |p: &Process| ["sent", "taken", "old"].map(|n| p.count(&format!("peers.{n}")));
        format!(
            "sent, taken, old: {:?}",
            self.processes.iter().map(count).collect::<Vec<_>>()
        )
    }

    fn name(&self, kind: &str) -> String {
        format!("{kind}{}", self.asked.fetch_add(1, Ordering::Relaxed))
    }

    /// While coordinator 1 has a part in flight at a host, sends a query to coordinator 0. Returns whether it was sent
    /// to the same host, or `None` if the part in flight ended before that.
    fn uses_occupied_host(&self, at: usize) -> Option<bool> {
        let held = self.name("hold");
        let mut client = Client::new(&self.processes[1].addr);
        client.query("near", &held, 3000, &[if at == 0 { 2 } else { 1 }]);
        let seen = |id: &str| {
            self.ledger
                .all()
                .into_iter()
                .find(|s| s.id.starts_with(&format!("{id}.")))
        };
        until("the part is at its host", || {
            seen(&held).is_some_and(|s| s.host == at)
        });
        // Longer than the interval between two updates.
        std::thread::sleep(ms(120));
        let id = self.name("q");
        assert_eq!(self.processes[0].ask(&id), 200);
        assert_eq!(client.read().0, 200);
        let (asked, held) = (
            seen(&id).expect("it was asked"),
            seen(&held).expect("it was held"),
        );
        held.over
            .is_some_and(|over| over > asked.at)
            .then_some(asked.host == at)
    }

    /// Runs twenty rounds with alternating hosts, and returns the number in which coordinator 0 used the host at which
    /// the other one had a part in flight. A choice without knowledge of that part gives ten on average.
    fn count_uses_of_occupied_host(&self) -> usize {
        let valid: Vec<bool> = (0..60)
            .filter_map(|n| self.uses_occupied_host(n % 2))
            .take(20)
            .collect();
        assert_eq!(valid.len(), 20, "rounds that could be used");
        valid.into_iter().filter(|to| *to).count()
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        self.processes.clear();
        // The logs are kept after a failure.
        if !std::thread::panicking() {
            self.files
                .iter()
                .for_each(|(a, b)| drop((std::fs::remove_file(a), std::fs::remove_file(b))));
        }
    }
}

/// A single part of a peer decides the choice of a host, as the hosts here report no load. If all updates are lost, the
/// choice does not know of it. The updates of a process that was killed and restarted are accepted again.
#[test]
fn coordinators_leave_a_host_to_the_one_that_has_a_part_there() {
    let mut tier = Tier::start("choice", 2);
    let to = tier.count_uses_of_occupied_host();
    assert!(to <= 4, "{to} of 20 went to the host that was taken");

    tier.relay.set(Faults {
        lose: 1.0,
        ..Faults::default()
    });
    std::thread::sleep(ms(2100));
    let to = tier.count_uses_of_occupied_host();
    assert!(to >= 5, "{to} of 20 with nothing told");

    tier.relay.set(Faults::default());
    tier.processes[1].kill();
    let (config, log) = tier.files[1].clone();
    tier.processes[1] = Process::start(&config, &log);
    tier.wait_for_first_updates();
    let to = tier.count_uses_of_occupied_host();
    assert!(
        to <= 4,
        "{to} of 20 after the restart: {}",
        tier.gossip_counters()
    );
}

/// Updates are lost, duplicated, delayed and reordered, and one coordinator receives updates but its own are lost:
/// every query is answered, and outdated updates are dropped.
#[test]
fn faults_between_coordinators_cost_no_answer() {
    let tier = Tier::start("faults", 3);
    for cut in [
        vec![],
        vec![(2, 0), (2, 1)],
        vec![(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)],
    ] {
        let cut = cut.into_iter().collect();
        tier.relay.set(Faults {
            lose: 0.2,
            double: 0.5,
            delay: ms(150),
            cut,
        });
        for n in 0..60 {
            assert_eq!(tier.processes[n % 3].ask(&tier.name("q")), 200);
            std::thread::sleep(ms(10));
        }
    }
    assert!(
        tier.processes.iter().any(|p| p.count("peers.old") > 0),
        "none came late"
    );
    assert!(tier.relay.passed() > 0);
}

/// Datagrams from unknown senders, corrupt ones from a peer's address, another version, and a flood are counted by
/// reason, and queries are still answered.
#[test]
fn bad_datagrams_are_counted_and_cost_nothing() {
    let tier = Tier::start("bad", 2);
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    let p = &tier.processes[0];
    until("a stranger's is counted", || {
        stranger.send_to(b"hello", tier.listens[0]).unwrap();
        p.count("peers.stranger") > 0
    });
    for (bytes, name) in [
        (vec![1; 40], "peers.unreadable"),
        (vec![1; 300], "peers.unreadable"),
        (vec![9; 40], "peers.other_version"),
    ] {
        let before = p.count(name);
        until(name, || {
            tier.relay.forge(1, 0, &bytes).unwrap();
            p.count(name) > before
        });
    }
    until("a flood is cut", || {
        (0..300).for_each(|_| drop(tier.relay.forge(1, 0, &[1; 40])));
        p.count("peers.flood") > 0
    });
    assert_eq!(p.ask(&tier.name("q")), 200);
}
