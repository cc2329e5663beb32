//! The system's processes on this machine: their settings, starts and ends. A process is killed when the
//! [`LocalCluster`] is dropped, and ends by itself when this process is killed.

use super::local_error;
use crate::error::CliError;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Pause between two checks whether a process has ended.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Third number of the machines' addresses, by kind.
const MEMBER_SUBNET: u8 = 0;
const PROXY_SUBNET: u8 = 1;
const HOST_SUBNET: u8 = 2;

/// Members that each program is told as seeds, at most.
const MAX_SEEDS: usize = 3;

/// Ports of a machine, as offsets from the first one. The system's own messages use those up to `LAST_MESSAGE_PORT`.
const AGENT_PORT: u16 = 1;
const LAST_MESSAGE_PORT: u16 = 5;
const CONTROL_PORT: u16 = 6;
const FRONT_PORT: u16 = 7;
const READINESS_PORT: u16 = 8;
const HOST_PORT: u16 = 9;

/// Which processes run, and at which addresses.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// The system's binary.
    pub program: PathBuf,
    /// Folder for settings, disks and logs.
    pub dir: PathBuf,
    /// Second number of all addresses: 127.NET.x.y.
    pub net: u8,
    /// First of the ports.
    pub port: u16,
    /// Number of the control plane's members: `core-1` and so on.
    pub members: u8,
    /// Number of machines with proxy and agent: `edge-1` and so on.
    pub proxies: u8,
}

/// One of the system's programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// A member of the control plane.
    ControlPlane,
    /// The agent of a machine.
    Agent,
    /// The proxy of a machine.
    Proxy,
}

impl Program {
    /// Its subcommand.
    pub fn name(self) -> &'static str {
        match self {
            Program::ControlPlane => "control-plane",
            Program::Agent => "agent",
            Program::Proxy => "proxy",
        }
    }
}

impl ClusterPlan {
    fn ip(&self, subnet: u8, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, subnet, n)
    }

    /// `control` address of member `n` (from 1 on).
    pub fn control(&self, n: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(MEMBER_SUBNET, n), self.port + CONTROL_PORT)
    }

    /// `control` addresses of all members.
    pub fn controls(&self) -> Vec<SocketAddrV4> {
        (1..=self.members).map(|n| self.control(n)).collect()
    }

    /// Addresses of all proxies for clients.
    pub fn fronts(&self) -> Vec<SocketAddrV4> {
        (1..=self.proxies)
            .map(|n| SocketAddrV4::new(self.ip(PROXY_SUBNET, n), self.port + FRONT_PORT))
            .collect()
    }

    /// The address for readiness of the proxy with this `front` address.
    pub fn readiness(&self, front: &SocketAddrV4) -> SocketAddrV4 {
        SocketAddrV4::new(*front.ip(), self.port + READINESS_PORT)
    }

    /// Address of host `n` (from 1 on).
    pub fn host(&self, n: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(HOST_SUBNET, n), self.port + HOST_PORT)
    }

    /// Zone of machine `n` (from 1 on) of each kind.
    pub fn zone(&self, n: u8) -> String {
        format!("zone-{}", (n.max(1) - 1) % 3 + 1)
    }

    /// Folder of member `n`'s disk.
    pub fn disk(&self, n: u8) -> PathBuf {
        self.dir.join(format!("core-{n}"))
    }

    /// Path of the settings file of a program on a machine of this name; its log lies beside it.
    pub fn settings_file(&self, program: Program, machine: &str) -> PathBuf {
        self.dir.join(format!("{machine}-{}.json", program.name()))
    }

    /// The settings of a program on machine `n`.
    fn settings(&self, program: Program, n: u8, bootstrap: bool) -> Value {
        let seeds: Vec<String> = self
            .controls()
            .iter()
            .take(MAX_SEEDS)
            .map(ToString::to_string)
            .collect();
        let mut settings = json!({"role": program.name(), "zone": self.zone(n), "region": "here",
            "port_range": (self.port, self.port + LAST_MESSAGE_PORT), "seed_nodes": seeds, "beat_period_ms": 1000,
            "zones": {"zone-1": "here", "zone-2": "here", "zone-3": "here"}});
        let own = match program {
            Program::ControlPlane => self.member_settings(n, bootstrap),
            Program::Agent | Program::Proxy => self.edge_settings(n),
        };
        if let (Value::Object(settings), Value::Object(own)) = (&mut settings, own) {
            settings.extend(own);
        }
        settings
    }

    fn member_settings(&self, n: u8, bootstrap: bool) -> Value {
        // One member may be lost, if that leaves a majority.
        let tolerated_losses = ((self.members.max(1) - 1) / 2).min(1);
        json!({"node_name": format!("core-{n}"), "machine_class": "core", "serves": ["control"],
            "ip_addr": self.ip(MEMBER_SUBNET, n), "bind": {"control": self.control(n)}, "state_dir": self.disk(n),
            "bootstrap": bootstrap, "loss_counted": true, "fault_budget": {"machine_losses": tolerated_losses}})
    }

    fn edge_settings(&self, n: u8) -> Value {
        let ip = self.ip(PROXY_SUBNET, n);
        let front = SocketAddrV4::new(ip, self.port + FRONT_PORT);
        let agent = SocketAddrV4::new(ip, self.port + AGENT_PORT);
        json!({"node_name": format!("edge-{n}"), "machine_class": "edge", "serves": ["edge"], "ip_addr": ip,
            "bind": {"front": front, "readiness": self.readiness(&front), "agent": agent}})
    }
}

/// The running processes. Names are those of machine and program: `core-1/control-plane`.
#[derive(Debug)]
pub struct LocalCluster {
    plan: ClusterPlan,
    children: BTreeMap<String, Child>,
    /// Variables of the environment for processes that are started.
    env: Vec<(String, String)>,
    /// By member: where it listens for messages, if others reach it at another address.
    listeners: BTreeMap<u8, SocketAddrV4>,
    /// `bounds` of all settings files; the programs' defaults if it is `null`.
    bounds: Value,
}

impl LocalCluster {
    /// A cluster without processes yet.
    ///
    /// # Errors
    /// Where the folder can't be created, or an address is in use.
    pub fn new(plan: ClusterPlan) -> Result<LocalCluster, CliError> {
        fs::create_dir_all(&plan.dir)
            .map_err(|e| local_error(format!("{}: {e}", plan.dir.display())))?;
        for addr in plan.controls().into_iter().chain(plan.fronts()) {
            // It is free again at once. Should another process take it, the programs' logs say so.
            TcpListener::bind(addr)
                .map_err(|e| local_error(format!("{addr}: {e}; another --net or --port helps")))?;
        }
        Ok(LocalCluster {
            plan,
            children: BTreeMap::new(),
            env: Vec::new(),
            listeners: BTreeMap::new(),
            bounds: Value::Null,
        })
    }

    /// Sets a variable of the environment for processes that are started from now on.
    pub fn env(&mut self, name: &str, value: &str) {
        self.env.push((name.to_owned(), value.to_owned()));
    }

    /// Lets member `n` listen at another address than the one at which others reach it, for a relay between them.
    pub fn set_listener(&mut self, n: u8, addr: SocketAddrV4) {
        self.listeners.insert(n, addr);
    }

    /// Sets the `bounds` of processes that are started from now on.
    pub fn set_bounds(&mut self, bounds: Value) {
        self.bounds = bounds;
    }

    /// The plan that the processes follow.
    pub fn plan(&self) -> &ClusterPlan {
        &self.plan
    }

    /// Names of the processes that were started.
    pub fn process_names(&self) -> Vec<&str> {
        self.children.keys().map(String::as_str).collect()
    }

    /// Starts all processes.
    ///
    /// # Errors
    /// Where one of them can't be started.
    pub fn start_all(&mut self) -> Result<(), CliError> {
        for n in 1..=self.plan.members {
            let bootstrap = !self.plan.disk(n).exists();
            self.start(Program::ControlPlane, n, bootstrap)?;
        }
        for n in 1..=self.plan.proxies {
            self.start(Program::Agent, n, false)?;
            self.start(Program::Proxy, n, false)?;
        }
        Ok(())
    }

    /// Starts a program on machine `n`. If it runs there already, it is killed before. The log is appended to
    /// `MACHINE-PROGRAM.log`.
    ///
    /// # Errors
    /// Where its files can't be written or the process can't be started.
    pub fn start(&mut self, program: Program, n: u8, bootstrap: bool) -> Result<(), CliError> {
        let mut settings = self.plan.settings(program, n, bootstrap);
        if let (Program::ControlPlane, Some(listener)) = (program, self.listeners.get(&n)) {
            settings["bind"]["member"] = json!(listener);
        }
        if !self.bounds.is_null() {
            settings["bounds"] = self.bounds.clone();
        }
        let machine = settings["node_name"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        let file = self.plan.settings_file(program, &machine);
        let failed = |e: std::io::Error| local_error(format!("{machine}: {e}"));
        fs::write(&file, settings.to_string()).map_err(failed)?;
        if program == Program::ControlPlane {
            fs::create_dir_all(self.plan.disk(n)).map_err(failed)?;
        }
        let name = format!("{machine}/{}", program.name());
        self.kill(&name);
        let log = File::options()
            .create(true)
            .append(true)
            .open(file.with_extension("log"))
            .map_err(failed)?;
        let child = Command::new(&self.plan.program)
            .arg(program.name())
            .args(["--until-input-ends", "--settings"])
            .arg(&file)
            .envs(self.env.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(failed)?;
        self.children.insert(name, child);
        Ok(())
    }

    /// The id of a process.
    pub fn pid(&self, name: &str) -> Option<u32> {
        self.children.get(name).map(Child::id)
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.children.remove(name) {
            kill_and_wait(&mut child);
        }
    }

    /// The status with which a process has ended; `None` while it runs. An ended process is no longer among the started
    /// ones afterwards.
    pub fn take_exit_status(&mut self, name: &str) -> Option<ExitStatus> {
        let status = self.children.get_mut(name)?.try_wait().ok()??;
        self.children.remove(name);
        Some(status)
    }

    /// Waits for the end of a process that was asked to end. Whether it came within `timeout`.
    pub fn wait_for_end(&mut self, name: &str, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while let Some(child) = self.children.get_mut(name) {
            match child.try_wait() {
                Ok(Some(_)) => drop(self.children.remove(name)),
                _ if Instant::now() >= deadline => return false,
                _ => std::thread::sleep(EXIT_CHECK_INTERVAL),
            }
        }
        true
    }

    /// Asks all processes to end, and kills those that haven't after `timeout`.
    pub fn stop(&mut self, timeout: Duration) {
        for child in self.children.values_mut() {
            drop(child.stdin.take());
        }
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline
            && self
                .children
                .values_mut()
                .any(|c| matches!(c.try_wait(), Ok(None)))
        {
            std::thread::sleep(EXIT_CHECK_INTERVAL);
        }
        self.children.values_mut().for_each(kill_and_wait);
        self.children.clear();
    }
}

impl Drop for LocalCluster {
    fn drop(&mut self) {
        self.children.values_mut().for_each(kill_and_wait);
    }
}

fn kill_and_wait(child: &mut Child) {
    // Fails where it has ended already.
    let _ = child.kill();
    let _ = child.wait();
}
