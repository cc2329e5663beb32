//! What is played: sizes, lengths, addresses, settings.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;

/// First port of the members' range; the addresses differ.
pub const PORT: u16 = 7660;
const CONTROL: u16 = 8146;

/// Sizes and lengths of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Real members of the control plane, each a process.
    pub members: usize,
    /// Real agents, each a process, with a hollow proxy's mirror behind it.
    pub agents: usize,
    /// Hollow coordinators.
    pub coordinators: usize,
    /// Hollow hosts.
    pub hosts: usize,
    /// Routes in the configuration.
    pub routes: usize,
    /// Zones, in regions of two.
    pub zones: usize,
    /// Time between a host's heartbeats.
    pub beat: Duration,
    /// Time between changes of the configuration.
    pub change: Duration,
    /// Time between hosts that leave and are replaced.
    pub churn: Duration,
    /// Time in which the hollow ones start, one after the other.
    pub ramp: Duration,
    /// Length of each phase.
    pub phase: Duration,
    /// How long a majority of the core is frozen.
    pub freeze: Duration,
    /// Whether hollow coordinators wait for news at all members that they watch, as they once did.
    pub thrice: bool,
    /// Folder for disks, settings and logs of the processes.
    pub dir: PathBuf,
    /// The program that plays members and agents.
    pub program: PathBuf,
    /// Second part of all addresses, so that runs side by side don't meet.
    pub net: u8,
}

impl Plan {
    /// Name of a zone by number.
    pub fn zone(&self, n: usize) -> String {
        format!("z{}", n % self.zones.max(1))
    }

    /// Name of the region of a zone by number.
    pub fn region(&self, n: usize) -> String {
        format!("r{}", n % self.zones.max(1) / 2)
    }

    /// Where the member with this number is.
    pub fn member(&self, n: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 1, n as u8 + 1)
    }

    /// Where the real agent with this number is.
    pub fn agent(&self, n: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 2, n as u8 + 1)
    }

    /// Where the member with this number takes calls.
    pub fn control(&self, n: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.member(n), CONTROL)
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
            "zones": zones, "port_range": [PORT, PORT + 15], "seed_nodes": seeds, "bootstrap": false,
            "limits": {"fd_limit": 4096, "memory_mb": 256, "cpu_fraction": 1.0, "disk_mb": 128},
            "beat_period_ms": self.beat.as_millis() as u64,
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

    /// Settings of a hollow coordinator.
    pub fn coordinator_settings(&self, n: usize) -> Value {
        self.settings(format!("edge-{n}"), n, Ipv4Addr::LOCALHOST)
    }

    /// The first configuration.
    pub fn configuration(&self) -> Value {
        let routes: Vec<Value> = (0..self.routes).map(|n| self.route(n, 4000)).collect();
        let services: Vec<Value> = (0..3)
            .map(|n| {
                json!({"name": format!("model-{n}"), "health_path": "/health", "conn_limit": 400,
                "protocol": "h1", "encryption": false})
            })
            .collect();
        json!({"version": 1, "routes": routes, "services": services, "limits": {}})
    }

    /// A route with a deadline of its own.
    pub fn route(&self, n: usize, deadline_ms: u64) -> Value {
        json!({"name": format!("tenant-{n}"), "hostname": format!("t{n}.example"), "path_prefix": "/generate/",
            "route_class": "streaming", "deadline_ms": deadline_ms, "target_ms": 600, "rank": n % 3,
            "service": format!("model-{}", n % 3), "max_tries": 2, "affine": true, "resumable": true,
            "gap_aim_ms": 300})
    }
}
