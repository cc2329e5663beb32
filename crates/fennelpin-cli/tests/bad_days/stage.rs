//! The processes of a test, at addresses of their own, and what they say of themselves.

use crate::callers::{Operator, LONG, SECOND};
use crate::relay::{Cuts, Relay};
use fennelpin_cli::control_client::{call_member, ControlCall};
use fennelpin_cli::local::cluster::{ClusterPlan, LocalCluster, Program};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Second number of all addresses.
const NET: u8 = 18;
/// First ports: outside the range that connections get theirs from.
const PORTS: std::ops::Range<u16> = 28_000..29_000;
/// Lines of a log that are shown where a test fails.
const LINES: usize = 40;
/// Third number of the addresses at which members behind a relay listen.
const BEHIND_RELAY: u8 = 3;
/// Short waits, so that takeovers are quick.
const QUICK: [(&str, &str); 3] = [
    ("LEASE_MS", "300"),
    ("STALL_MS", "250"),
    ("PATIENCE_MS", "1000"),
];
/// Ports of one system.
const BLOCK: u16 = 10;

/// Ports that no other running test has: held by a listener for as long as the test runs.
fn ports() -> (u16, TcpListener) {
    let blocks = (PORTS.end - PORTS.start) / BLOCK;
    let first = std::process::id() as u16 % blocks;
    let tries = (0..blocks).map(|n| PORTS.start + (first + n) % blocks * BLOCK);
    let free = |port| {
        Some((
            port,
            TcpListener::bind((Ipv4Addr::new(127, NET, 255, 254), port)).ok()?,
        ))
    };
    tries.filter_map(free).next().expect("free ports")
}

/// A running system.
pub struct Stage {
    pub fleet: LocalCluster,
    /// What is cut between the members, where they are behind a relay.
    pub cuts: Arc<Cuts>,
    _relays: Vec<Relay>,
    _dir: tempfile::TempDir,
    _ports: TcpListener,
}

impl Stage {
    /// So many members and machines with agent and proxy. Leases are short, so that takeovers are.
    pub fn new(members: u8, proxies: u8) -> Self {
        Self::with(members, proxies, &QUICK, |_| ())
    }

    /// As [`Stage::new`], each member behind a relay.
    pub fn relayed(members: u8, proxies: u8) -> Self {
        let cuts = Arc::new(Cuts::default());
        let mut relays = Vec::new();
        let behind_relay = |fleet: &mut LocalCluster| {
            for n in 1..=members {
                let port = fleet.plan().port;
                let outside = SocketAddrV4::new(*fleet.plan().control(n).ip(), port);
                let inside = SocketAddrV4::new(Ipv4Addr::new(127, NET, BEHIND_RELAY, n), port);
                let listener = TcpListener::bind(outside).unwrap();
                relays.push(Relay::start(
                    listener,
                    format!("core-{n}"),
                    inside.into(),
                    cuts.clone(),
                ));
                fleet.set_listener(n, inside);
            }
        };
        let mut stage = Self::with(members, proxies, &QUICK, behind_relay);
        (stage.cuts, stage._relays) = (cuts, relays);
        stage
    }

    /// One with the settings that are in force in service, for tests that judge how long something takes.
    pub fn as_in_service(members: u8, proxies: u8) -> Self {
        Self::with(members, proxies, &[], |_| ())
    }

    fn with(
        members: u8,
        proxies: u8,
        settings: &[(&str, &str)],
        prepare: impl FnOnce(&mut LocalCluster),
    ) -> Self {
        let dir = tempfile::tempdir().unwrap();
        let (port, held) = ports();
        let program = env!("CARGO_BIN_EXE_fennelpin-cli").into();
        let plan = ClusterPlan {
            program,
            dir: dir.path().into(),
            net: NET,
            port,
            members,
            proxies,
        };
        let mut fleet = LocalCluster::new(plan).unwrap();
        for (key, value) in settings {
            fleet.env(&format!("FENNELPIN_CLI_{key}"), value);
        }
        prepare(&mut fleet);
        fleet.start_all().unwrap();
        Self {
            fleet,
            cuts: Arc::default(),
            _relays: Vec::new(),
            _dir: dir,
            _ports: held,
        }
    }

    pub fn control(&self, n: u8) -> SocketAddr {
        self.fleet.plan().control(n).into()
    }

    /// Where a member takes the system's own messages.
    pub fn inner(&self, n: u8) -> SocketAddr {
        let port = self.fleet.plan().port;
        (self.control(n).ip(), port).into()
    }

    pub fn operator(&self, members: &[u8]) -> Operator {
        Operator::new(members.iter().map(|n| self.control(*n)).collect())
    }

    /// The operator with these members on its list.
    pub fn only(&self, operator: Operator, members: &[u8]) -> Operator {
        operator.at(members.iter().map(|n| self.control(*n)).collect())
    }

    fn name(n: u8) -> String {
        format!("core-{n}/control-plane")
    }

    fn signal(&self, n: u8, signal: Signal) {
        self.signal_program(&Self::name(n), signal);
    }

    /// Sends a signal to a program, by machine and program: `edge-1/proxy`.
    pub fn signal_program(&self, name: &str, signal: Signal) {
        let pid = Pid::from_raw(self.fleet.pid(name).unwrap() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Waits until a program that was asked to end has done so.
    pub fn await_end(&mut self, name: &str) {
        assert!(self.fleet.wait_for_end(name, LONG), "{name} doesn't end");
    }

    /// The member stands still.
    pub fn freeze(&self, n: u8) {
        self.signal(n, Signal::STOP);
    }

    pub fn wake(&self, n: u8) {
        self.signal(n, Signal::CONT);
    }

    /// Asks a member to end and waits until it has.
    pub fn leave(&mut self, n: u8) {
        self.signal(n, Signal::TERM);
        self.await_end(&Self::name(n));
    }

    pub fn kill(&mut self, n: u8) {
        self.fleet.kill(&Self::name(n));
    }

    /// The member's disk is gone.
    pub fn wipe(&mut self, n: u8) {
        self.kill(n);
        std::fs::remove_dir_all(self.fleet.plan().disk(n)).unwrap();
    }

    pub fn start(&mut self, n: u8) {
        self.fleet.start(Program::ControlPlane, n, false).unwrap();
    }

    /// What a member says of itself, if it does.
    pub fn status(&self, n: u8) -> Option<Value> {
        let answer = call_member(
            self.control(n),
            &ControlCall {
                name: "status",
                ..ControlCall::default()
            },
            SECOND,
        )
        .ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// The member that acts, by its own word.
    pub fn acting(&self, members: &[u8]) -> Option<u8> {
        members
            .iter()
            .copied()
            .find(|n| self.status(*n).is_some_and(|s| s["member"]["acts"] == true))
    }

    /// The member that acts, once these members and no others are the voters of a settled view that all of them
    /// have, two of them its replicas.
    pub fn settled(&self, members: &[u8]) -> u8 {
        let end = Instant::now() + LONG;
        loop {
            if let Some(primary) = self.settled_now(members) {
                return primary;
            }
            assert!(Instant::now() < end, "not settled: {}", self.say(members));
            std::thread::yield_now();
        }
    }

    /// What members say of themselves, and the last lines of their logs.
    pub fn say(&self, members: &[u8]) -> String {
        let of = |n: &u8| {
            let status = self.status(*n).unwrap_or_default();
            let file = self
                .fleet
                .plan()
                .dir
                .join(format!("core-{n}-control-plane.log"));
            let log = std::fs::read_to_string(file).unwrap_or_default();
            let lines: Vec<&str> = log.lines().filter(|l| !l.contains("link ")).collect();
            let last = lines[lines.len().saturating_sub(LINES)..].join("\n");
            format!("core-{n}: {} {}\n{last}\n", status["id"], status["member"])
        };
        members.iter().map(of).collect()
    }

    /// The last lines of what a machine's programs have logged.
    pub fn logs(&self, machine: &str) -> String {
        let of = |program: &str| {
            let file = self
                .fleet
                .plan()
                .dir
                .join(format!("{machine}-{program}.log"));
            let log = std::fs::read_to_string(file).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            format!(
                "{machine}/{program}:\n{}\n",
                lines[lines.len().saturating_sub(LINES)..].join("\n")
            )
        };
        ["control-plane", "agent", "proxy"].map(of).concat()
    }

    fn settled_now(&self, members: &[u8]) -> Option<u8> {
        let statuses: Option<Vec<Value>> = members.iter().map(|n| self.status(*n)).collect();
        let statuses = statuses?;
        let primary = statuses.iter().position(|s| s["member"]["acts"] == true)?;
        let view = &statuses[primary]["member"]["view"];
        let ids: Vec<&Value> = statuses.iter().map(|s| &s["id"]).collect();
        let replicas = view["replicas"].as_array()?;
        let voters = view["voters"].as_array()?;
        let same = |s: &Value| {
            s["member"]["view"]["epoch"] == view["epoch"] && s["member"]["disk_fit"] == true
        };
        let all = view["settled"] == true
            && statuses.iter().all(same)
            && voters.len() == ids.len()
            && voters.iter().all(|v| ids.contains(&&v["id"]))
            && replicas.len() == 2
            && replicas.iter().all(|r| ids.contains(&r));
        all.then(|| members[primary])
    }

    /// The replicas of a settled view, the primary not among them.
    pub fn backups(&self, members: &[u8], primary: u8) -> Vec<u8> {
        let view = self.status(primary).unwrap()["member"]["view"].clone();
        let replicas = view["replicas"].as_array().unwrap();
        let others = members.iter().copied().filter(|n| *n != primary);
        others
            .filter(|n| replicas.contains(&self.status(*n).unwrap()["id"]))
            .collect()
    }

    /// The versions that a machine's proxy has had in force, in order, as its log tells.
    pub fn in_force(&self, edge: u8) -> Vec<u64> {
        self.came_in_force(edge)
            .into_iter()
            .map(|came| came.1)
            .collect()
    }

    /// When each of them came in force, since the epoch of the clock.
    pub fn came_in_force(&self, edge: u8) -> Vec<(Duration, u64)> {
        let file = self.fleet.plan().dir.join(format!("edge-{edge}-proxy.log"));
        let log = std::fs::read_to_string(file).unwrap_or_default();
        let came = |line: &str| {
            let (before, version) = line.split_once("configuration in force version=")?;
            let seconds = before.split(' ').next()?.parse().ok()?;
            Some((
                Duration::from_secs_f64(seconds),
                version.trim().parse().ok()?,
            ))
        };
        log.lines().filter_map(came).collect()
    }
}

impl Drop for Stage {
    /// Whatever a test fails for, the processes' own words help to find the cause.
    fn drop(&mut self) {
        if std::thread::panicking() {
            let members: Vec<u8> = (1..=self.fleet.plan().members).collect();
            eprintln!("{}", self.say(&members));
            (1..=self.fleet.plan().proxies)
                .for_each(|n| eprintln!("{}", self.logs(&format!("edge-{n}"))));
        }
    }
}

/// Waits until a condition holds.
pub fn until<T>(what: &str, mut holds: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + LONG;
    loop {
        if let Some(done) = holds() {
            return done;
        }
        assert!(Instant::now() < end, "not in time: {what}");
        std::thread::yield_now();
    }
}
