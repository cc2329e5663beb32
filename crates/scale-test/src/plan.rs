//! Sizes, durations, addresses and settings of a run.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;

/// First port of each member's range. The members have different addresses.
pub const PORT: u16 = 7660;
/// Port of each member for calls.
const CONTROL_PORT: u16 = 8146;
/// Ports of the range after the first one.
const PORT_RANGE: u16 = 15;
/// Services of the configuration.
const SERVICES: usize = 3;
/// Deadline of the routes in the first configuration.
const DEADLINE_MS: u64 = 4000;

/// Sizes and durations of a run.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// Number of real members of the control plane, each a process.
    pub members: usize,
    /// Number of real agents, each a process, with a simulated proxy's mirror behind it.
    pub agents: usize,
    /// Number of simulated coordinators.
    pub coordinators: usize,
    /// Number of simulated hosts.
    pub hosts: usize,
    /// Number of routes in the configuration.
    pub routes: usize,
    /// Number of zones; two make a region.
    pub zones: usize,
    /// Time between a host's heartbeats.
    pub heartbeat_interval: Duration,
    /// Time between changes of the configuration.
    pub change_interval: Duration,
    /// Time between two hosts that leave and are replaced.
    pub churn_interval: Duration,
    /// Time over which the simulated coordinators and hosts start.
    pub ramp: Duration,
    /// Duration of each phase.
    pub phase: Duration,
    /// Time for which a majority of the members is frozen.
    pub freeze: Duration,
    /// Whether coordinators pull from all members that they watch, not from one.
    pub pull_from_all: bool,
    /// Folder for the processes' disks, settings and logs.
    pub dir: PathBuf,
    /// The program that runs members and agents.
    pub program: PathBuf,
    /// Second number of all addresses, so that runs at the same time don't collide.
    pub net: u8,
}

impl RunPlan {
    /// Name of a zone by number.
    pub fn zone(&self, n: usize) -> String {
        format!("z{}", n % self.zones.max(1))
    }

    /// Name of the region of a zone by number.
    pub fn region(&self, n: usize) -> String {
        format!("r{}", n % self.zones.max(1) / 2)
    }

    /// Address of the member with this number.
    pub fn member(&self, n: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 1, n as u8 + 1)
    }

    /// Address of the real agent with this number.
    pub fn agent(&self, n: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 2, n as u8 + 1)
    }

    /// Address of the member with this number for calls.
    pub fn control(&self, n: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.member(n), CONTROL_PORT)
    }

    fn settings(&self, name: String, n: usize, ip: Ipv4Addr) -> Value {
        let zones: BTreeMap<String, String> = (0..self.zones)
            .map(|z| (self.zone(z), self.region(z)))
            .collect();
        let seeds: Vec<String> = (0..self.members.min(3))
            .map(|m| self.control(m).to_string())
            .collect();
        json!({
            "node_name": name, "role": "role", "ip_addr": ip, "zone": self.zone(n), "region": self.region(n),
            "zones": zones, "port_range": [PORT, PORT + PORT_RANGE], "seed_nodes": seeds, "bootstrap": false,
            "limits": {"fd_limit": 4096, "memory_mb": 256, "cpu_fraction": 1.0, "disk_mb": 128},
            "beat_period_ms": self.heartbeat_interval.as_millis() as u64,
            "fault_budget": {"machine_losses": 1, "zones": 1, "region_losses": 0},
        })
    }

    /// Settings of a member.
    pub fn member_settings(&self, n: usize, bootstrap: bool) -> Value {
        let mut settings = self.settings(format!("core-{n}"), n, self.member(n));
        settings["bootstrap"] = bootstrap.into();
        settings["bind"] = json!({"control": self.control(n)});
        settings["state_dir"] = json!(self.dir.join(format!("core-{n}-disk")));
        settings
    }

    /// Settings of an agent and the proxy behind it.
    pub fn agent_settings(&self, n: usize) -> Value {
        self.settings(format!("edge-real-{n}"), n, self.agent(n))
    }

    /// Settings of a simulated coordinator.
    pub fn coordinator_settings(&self, n: usize) -> Value {
        self.settings(format!("edge-{n}"), n, Ipv4Addr::LOCALHOST)
    }

    /// The first configuration.
    pub fn configuration(&self) -> Value {
        let routes: Vec<Value> = (0..self.routes)
            .map(|n| self.route(n, DEADLINE_MS))
            .collect();
        let services: Vec<Value> = (0..SERVICES)
            .map(|n| {
                json!({"name": format!("model-{n}"), "health_path": "/health", "conn_limit": 400,
                "protocol": "h1", "encryption": false})
            })
            .collect();
        json!({"version": 1, "routes": routes, "services": services, "limits": {}})
    }

    /// The route with this number, with a deadline of its own.
    pub fn route(&self, n: usize, deadline_ms: u64) -> Value {
        json!({"name": format!("tenant-{n}"), "hostname": format!("t{n}.example"), "path_prefix": "/generate/",
            "route_class": "streaming", "deadline_ms": deadline_ms, "target_ms": 600, "rank": n % 3,
            "service": format!("model-{}", n % SERVICES), "max_tries": 2, "affine": true, "resumable": true,
            "gap_aim_ms": 300})
    }
}
