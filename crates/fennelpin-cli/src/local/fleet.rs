//! The system's processes on this machine: their settings, starts and ends. Whatever is started is killed at the
//! latest when the [`Fleet`] goes, and ends by itself where this process is killed.

use super::broken;
use crate::failure::Failure;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Pause between two looks whether a process has ended.
const LOOK: Duration = Duration::from_millis(20);

/// What runs where.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The system's binary.
    pub program: PathBuf,
    /// Folder for settings, disks and logs.
    pub dir: PathBuf,
    /// Second number of all addresses.
    pub net: u8,
    /// First of the ports.
    pub port: u16,
    /// Members of the control plane: `core-1` and so on.
    pub members: u8,
    /// Machines with proxy and agent: `edge-1` and so on.
    pub proxies: u8,
}

/// Which of a machine's programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// Member of the control plane.
    ControlPlane,
    /// Agent.
    Agent,
    /// Proxy.
    Proxy,
}

impl Program {
    fn name(self) -> &'static str {
        match self {
            Program::ControlPlane => "control-plane",
            Program::Agent => "agent",
            Program::Proxy => "proxy",
        }
    }
}

impl Plan {
    fn ip(&self, sort: u8, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, sort, n)
    }

    /// `control` address of member `n` (from 1 on).
    pub fn control(&self, n: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(0, n), self.port + 6)
    }

    /// `control` addresses of all members.
    pub fn controls(&self) -> Vec<SocketAddrV4> {
        (1..=self.members).map(|n| self.control(n)).collect()
    }

    /// Clients' addresses of all proxies.
    pub fn fronts(&self) -> Vec<SocketAddrV4> {
        (1..=self.proxies)
            .map(|n| SocketAddrV4::new(self.ip(1, n), self.port + 7))
            .collect()
    }

    /// The address for readiness beside a front.
    pub fn readiness(&self, front: &SocketAddrV4) -> SocketAddrV4 {
        SocketAddrV4::new(*front.ip(), self.port + 8)
    }

    /// Address of host `n` (from 1 on).
    pub fn host(&self, n: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(2, n), self.port + 9)
    }

    /// The zone of the `n`th machine of a sort.
    pub fn zone(&self, n: u8) -> String {
        format!("zone-{}", (n.max(1) - 1) % 3 + 1)
    }

    /// Folder of member `n`'s disk.
    pub fn disk(&self, n: u8) -> PathBuf {
        self.dir.join(format!("core-{n}"))
    }

    fn settings(&self, program: Program, n: u8, bootstrap: bool) -> Value {
        let seeds: Vec<_> = self
            .controls()
            .iter()
            .take(3)
            .map(ToString::to_string)
            .collect();
        let ports = (self.port, self.port + 5);
        let all = json!({"role": program.name(), "zone": self.zone(n), "region": "here", "port_range": ports,
            "seed_nodes": seeds, "beat_period_ms": 1000,
            "zones": {"zone-1": "here", "zone-2": "here", "zone-3": "here"}});
        let own = if program == Program::ControlPlane {
            // All but a few members may be lost only where there are enough of them.
            let losses = (self.members.max(1) - 1) / 2;
            json!({"node_name": format!("core-{n}"), "machine_class": "core", "serves": ["control"],
                "ip_addr": self.ip(0, n), "bind": {"control": self.control(n)}, "state_dir": self.disk(n),
                "bootstrap": bootstrap, "loss_counted": true, "fault_budget": {"machine_losses": losses.min(1)}})
        } else {
            let front = SocketAddrV4::new(self.ip(1, n), self.port + 7);
            let agent = SocketAddrV4::new(self.ip(1, n), self.port + 1);
            json!({"node_name": format!("edge-{n}"), "machine_class": "edge", "serves": ["edge"],
                "ip_addr": self.ip(1, n),
                "bind": {"front": front, "readiness": self.readiness(&front), "agent": agent}})
        };
        let fields = |v: Value| v.as_object().cloned().unwrap_or_default();
        Value::Object(fields(all).into_iter().chain(fields(own)).collect())
    }
}

/// The running processes, by machine and program: `core-1/control-plane`.
#[derive(Debug)]
pub struct Fleet {
    plan: Plan,
    children: BTreeMap<String, Child>,
    env: Vec<(String, String)>,
    /// By member: where it listens for the system's own messages, if not where others reach it.
    listeners: BTreeMap<u8, SocketAddrV4>,
}

impl Fleet {
    /// No process yet.
    ///
    /// # Errors
    /// Where the folder can't be made, or an address is in use.
    pub fn new(plan: Plan) -> Result<Fleet, Failure> {
        fs::create_dir_all(&plan.dir)
            .map_err(|e| broken(format!("{}: {e}", plan.dir.display())))?;
        for addr in plan.controls().into_iter().chain(plan.fronts()) {
            // Freed at once; the programs themselves say where it is taken in between.
            TcpListener::bind(addr)
                .map_err(|e| broken(format!("{addr}: {e}; another --net or --port helps")))?;
        }
        Ok(Fleet {
            plan,
            children: BTreeMap::new(),
            env: Vec::new(),
            listeners: BTreeMap::new(),
        })
    }

    /// Sets a variable of the environment for what is started from now on.
    pub fn env(&mut self, name: &str, value: &str) {
        self.env.push((name.to_owned(), value.to_owned()));
    }

    /// Lets member `n` listen at another address than the one at which others reach it: through a relay.
    pub fn set_listener(&mut self, n: u8, addr: SocketAddrV4) {
        self.listeners.insert(n, addr);
    }

    /// The plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The processes that were started.
    pub fn names(&self) -> Vec<&str> {
        self.children.keys().map(String::as_str).collect()
    }

    /// Starts all.
    ///
    /// # Errors
    /// Where one doesn't start.
    pub fn start_all(&mut self) -> Result<(), Failure> {
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

    /// Starts a program on machine `n`, after the end of the one that may run there. Its log goes on in
    /// `MACHINE-PROGRAM.log`.
    ///
    /// # Errors
    /// Where that doesn't work.
    pub fn start(&mut self, program: Program, n: u8, bootstrap: bool) -> Result<(), Failure> {
        let mut settings = self.plan.settings(program, n, bootstrap);
        if let (Program::ControlPlane, Some(listener)) = (program, self.listeners.get(&n)) {
            settings["bind"]["member"] = json!(listener);
        }
        let machine = settings["node_name"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        let file = self
            .plan
            .dir
            .join(format!("{machine}-{}.json", program.name()));
        let failed = |e: std::io::Error| broken(format!("{machine}: {e}"));
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

    /// The identity of a process.
    pub fn pid(&self, name: &str) -> Option<u32> {
        self.children.get(name).map(Child::id)
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.children.remove(name) {
            end(&mut child);
        }
    }

    /// Waits until a process that was asked to end has done so; whether it has within `patience`.
    pub fn await_end(&mut self, name: &str, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        while let Some(child) = self.children.get_mut(name) {
            match child.try_wait() {
                Ok(Some(_)) => drop(self.children.remove(name)),
                _ if Instant::now() >= until => return false,
                _ => std::thread::sleep(LOOK),
            }
        }
        true
    }

    /// Asks all to end, proxies first, and kills what hasn't after `patience`.
    pub fn stop(&mut self, patience: Duration) {
        for child in self.children.values_mut() {
            drop(child.stdin.take());
        }
        let until = Instant::now() + patience;
        while Instant::now() < until
            && self
                .children
                .values_mut()
                .any(|c| matches!(c.try_wait(), Ok(None)))
        {
            std::thread::sleep(LOOK);
        }
        self.children.values_mut().for_each(end);
        self.children.clear();
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.children.values_mut().for_each(end);
    }
}

fn end(child: &mut Child) {
    // One that has ended can't be killed any more.
    let _ = child.kill();
    let _ = child.wait();
}
