//! A cluster of real processes, at addresses of its own, and what the processes report of themselves.

use super::callers::TestOperator;
use super::relay::{Partitions, Relay};
use super::{CALL_TIMEOUT, TIMEOUT};
use fennelpin_cli::control_client::{call_member, ControlCall};
use fennelpin_cli::local::cluster::{ClusterPlan, LocalCluster, Program};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Second number of all addresses.
pub const NET: u8 = 18;
/// First ports of clusters. They are outside the range of ephemeral ports.
const PORTS: std::ops::Range<u16> = 28_000..29_000;
/// Last lines of each log that a failing test shows.
const LINES: usize = 40;
/// Third number of the addresses at which members behind a relay listen.
const BEHIND_RELAY: u8 = 3;
/// Short time-outs, so that takeovers are quick.
const SHORT_TIMEOUTS: [(&str, &str); 3] = [
    ("LEASE_MS", "300"),
    ("STALL_MS", "250"),
    ("PATIENCE_MS", "1000"),
];
/// Number of ports of one cluster.
const PORTS_PER_CLUSTER: u16 = 10;

/// The first of some ports that no other running test uses. The listener reserves them while it lives.
pub fn reserve_ports() -> (u16, TcpListener) {
    let blocks = (PORTS.end - PORTS.start) / PORTS_PER_CLUSTER;
    let first = std::process::id() as u16 % blocks;
    let tries = (0..blocks).map(|n| PORTS.start + (first + n) % blocks * PORTS_PER_CLUSTER);
    let free = |port| {
        Some((
            port,
            TcpListener::bind((Ipv4Addr::new(127, NET, 255, 254), port)).ok()?,
        ))
    };
    tries.filter_map(free).next().expect("free ports")
}

/// Role of a member in a cluster of three.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MemberRole {
    Primary,
    Backup,
    Witness,
}

/// A running cluster. Its processes are killed when this is dropped.
pub struct TestCluster {
    pub processes: LocalCluster,
    /// The partitions between members that are behind a relay.
    pub partitions: Arc<Partitions>,
    relays: Vec<Relay>,
    _dir: tempfile::TempDir,
    _reserved_ports: TcpListener,
}

impl TestCluster {
    /// A cluster with short leases, so that takeovers are quick.
    pub fn new(members: u8, proxies: u8) -> Self {
        Self::with_settings(members, proxies, &SHORT_TIMEOUTS, |_| ())
    }

    /// As [`TestCluster::new`], with each member behind a relay.
    pub fn relayed(members: u8, proxies: u8) -> Self {
        let partitions = Arc::new(Partitions::default());
        let mut relays = Vec::new();
        let behind_relay = |processes: &mut LocalCluster| {
            for n in 1..=members {
                let port = processes.plan().port;
                let outside = SocketAddrV4::new(*processes.plan().control(n).ip(), port);
                let inside = SocketAddrV4::new(Ipv4Addr::new(127, NET, BEHIND_RELAY, n), port);
                let listener = TcpListener::bind(outside).unwrap();
                relays.push(Relay::start(
                    listener,
                    format!("core-{n}"),
                    inside.into(),
                    partitions.clone(),
                ));
                processes.set_listener(n, inside);
            }
        };
        let mut cluster = Self::with_settings(members, proxies, &SHORT_TIMEOUTS, behind_relay);
        (cluster.partitions, cluster.relays) = (partitions, relays);
        cluster
    }

    /// A cluster with the default settings, for tests that check how long something takes.
    pub fn with_default_settings(members: u8, proxies: u8) -> Self {
        Self::with_settings(members, proxies, &[], |_| ())
    }

    pub fn with_settings(
        members: u8,
        proxies: u8,
        settings: &[(&str, &str)],
        prepare: impl FnOnce(&mut LocalCluster),
    ) -> Self {
        let program = env!("CARGO_BIN_EXE_fennelpin-cli").into();
        Self::with_program(program, members, proxies, settings, prepare)
    }

    /// As [`TestCluster::with_settings`], with processes of this binary.
    pub fn with_program(
        program: PathBuf,
        members: u8,
        proxies: u8,
        settings: &[(&str, &str)],
        prepare: impl FnOnce(&mut LocalCluster),
    ) -> Self {
        let dir = tempfile::tempdir().unwrap();
        let (port, reservation) = reserve_ports();
        let plan = ClusterPlan {
            program,
            dir: dir.path().into(),
            net: NET,
            port,
            members,
            proxies,
        };
        let mut processes = LocalCluster::new(plan).unwrap();
        for (key, value) in settings {
            processes.env(&format!("FENNELPIN_CLI_{key}"), value);
        }
        prepare(&mut processes);
        processes.start_all().unwrap();
        Self {
            processes,
            partitions: Arc::default(),
            relays: Vec::new(),
            _dir: dir,
            _reserved_ports: reservation,
        }
    }

    pub fn control(&self, n: u8) -> SocketAddr {
        self.processes.plan().control(n).into()
    }

    /// A member's address for the system's own messages.
    pub fn message_address(&self, n: u8) -> SocketAddr {
        let port = self.processes.plan().port;
        (self.control(n).ip(), port).into()
    }

    pub fn operator(&self, members: &[u8]) -> TestOperator {
        TestOperator::new(members.iter().map(|n| self.control(*n)).collect())
    }

    /// The same operator, who calls only these members.
    pub fn with_members(&self, operator: TestOperator, members: &[u8]) -> TestOperator {
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
        let pid = Pid::from_raw(self.processes.pid(name).unwrap() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Waits for the end of a program that was asked to end.
    pub fn await_end(&mut self, name: &str) {
        assert!(
            self.processes.wait_for_end(name, TIMEOUT),
            "{name} doesn't end"
        );
    }

    /// Stops a member until [`thaw`](Self::thaw).
    pub fn freeze(&self, n: u8) {
        self.signal(n, Signal::STOP);
    }

    pub fn thaw(&self, n: u8) {
        self.signal(n, Signal::CONT);
    }

    /// Asks a member to end, and waits for its end.
    pub fn shut_down(&mut self, n: u8) {
        self.signal(n, Signal::TERM);
        self.await_end(&Self::name(n));
    }

    pub fn kill(&mut self, n: u8) {
        self.processes.kill(&Self::name(n));
    }

    /// Kills a member and deletes its disk.
    pub fn wipe(&mut self, n: u8) {
        self.kill(n);
        std::fs::remove_dir_all(self.processes.plan().disk(n)).unwrap();
    }

    pub fn start(&mut self, n: u8) {
        self.processes
            .start(Program::ControlPlane, n, false)
            .unwrap();
    }

    /// A member's status; `None` where it doesn't answer.
    pub fn status(&self, n: u8) -> Option<Value> {
        let answer = call_member(
            self.control(n),
            &ControlCall {
                name: "status",
                ..ControlCall::default()
            },
            CALL_TIMEOUT,
        )
        .ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// The member that reports to be the primary.
    pub fn primary(&self, members: &[u8]) -> Option<u8> {
        members
            .iter()
            .copied()
            .find(|n| self.status(*n).is_some_and(|s| s["member"]["acts"] == true))
    }

    /// Waits until these members, and no others, are the voters of a stable membership configuration that all of them
    /// have, with two replicas among them. Returns the primary.
    pub fn wait_until_stable(&self, members: &[u8]) -> u8 {
        let end = Instant::now() + TIMEOUT;
        loop {
            if let Some(primary) = self.stable_primary(members) {
                return primary;
            }
            assert!(
                Instant::now() < end,
                "not settled: {}",
                self.describe(members)
            );
            std::thread::yield_now();
        }
    }

    /// Statuses of members, and the last lines of their logs.
    pub fn describe(&self, members: &[u8]) -> String {
        let of = |n: &u8| {
            let status = self.status(*n).unwrap_or_default();
            let file = self
                .processes
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

    /// The last lines of the logs of a machine's programs.
    pub fn logs(&self, machine: &str) -> String {
        let of = |program: &str| {
            let file = self
                .processes
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

    /// As [`wait_until_stable`](Self::wait_until_stable), without waiting.
    pub fn stable_primary(&self, members: &[u8]) -> Option<u8> {
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

    /// The replicas but the primary.
    pub fn backups(&self, members: &[u8], primary: u8) -> Vec<u8> {
        let view = self.status(primary).unwrap()["member"]["view"].clone();
        let replicas = view["replicas"].as_array().unwrap();
        let others = members.iter().copied().filter(|n| *n != primary);
        others
            .filter(|n| replicas.contains(&self.status(*n).unwrap()["id"]))
            .collect()
    }

    /// The one of three members that has this role, once the membership is stable.
    pub fn member_with_role(&self, members: &[u8; 3], role: MemberRole) -> u8 {
        let primary = self.wait_until_stable(members);
        let backup = self.backups(members, primary)[0];
        match role {
            MemberRole::Primary => primary,
            MemberRole::Backup => backup,
            MemberRole::Witness => members.iter().sum::<u8>() - primary - backup,
        }
    }

    /// The versions that a machine's proxy has had in force, in order, by its log.
    pub fn versions_in_force(&self, edge: u8) -> Vec<u64> {
        self.versions_in_force_at(edge)
            .into_iter()
            .map(|came| came.1)
            .collect()
    }

    /// The same with the Unix time at which each came in force.
    pub fn versions_in_force_at(&self, edge: u8) -> Vec<(Duration, u64)> {
        let file = self
            .processes
            .plan()
            .dir
            .join(format!("edge-{edge}-proxy.log"));
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

impl Drop for TestCluster {
    /// Where a test fails, statuses and logs help to find the cause.
    fn drop(&mut self) {
        if std::thread::panicking() {
            let members: Vec<u8> = (1..=self.processes.plan().members).collect();
            eprintln!("{}", self.describe(&members));
            (1..=self.processes.plan().proxies)
                .for_each(|n| eprintln!("{}", self.logs(&format!("edge-{n}"))));
        }
    }
}
