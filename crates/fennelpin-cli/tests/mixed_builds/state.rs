//! What a fleet has acknowledged, and checks that members of either build still have it.

use crate::harness::callers::{call_until_conclusive, READ};
use crate::harness::cluster::TestCluster;
use crate::harness::heartbeat::{HostPhase, HostRecord};
use crate::harness::wait_until;
use fennelpin_cli::control_client::{ControlAnswer, ControlCall};
use serde_json::{json, Value};
use std::net::SocketAddr;

pub const MEMBERS: [u8; 3] = [1, 2, 3];
/// API key of a tenant without a limit.
pub const UNLIMITED_KEY: &str = "key-unlimited";
/// API key of a tenant whose quota is used up by its first requests.
pub const LIMITED_KEY: &str = "key-limited";
/// Time for which the lock is held without a renewal, in ms: longer than a test takes.
const HOLD_MS: u32 = 120_000;
/// Number of the host that drains, in the addresses of the cluster.
const DRAINING_HOST: u8 = 9;

/// Everything that the fleet has acknowledged to an operator, a host or an application.
pub struct AcknowledgedState {
    members: Vec<SocketAddr>,
    configuration: Value,
    pub version: u64,
    drains: u64,
    fence: u64,
    last_number: u64,
    pub cell_value: String,
    pub cell_revision: u64,
}

impl AcknowledgedState {
    /// Applies a configuration, drains a host, takes a lock and a number, and puts a cell.
    pub fn create(cluster: &TestCluster) -> Self {
        let mut state = Self {
            members: MEMBERS.iter().map(|n| cluster.control(*n)).collect(),
            configuration: Value::Null,
            version: 0,
            drains: 0,
            fence: 0,
            last_number: 0,
            cell_value: String::new(),
            cell_revision: 0,
        };
        state.apply_configuration();
        state.drain_host(cluster);
        let lock = json!({"holder": "a", "hold_ms": HOLD_MS});
        state.fence = state.post_ok("Locks.Begin/lock", lock)["fence"]
            .as_u64()
            .unwrap();
        state.take_number();
        state.put_cell();
        state
    }

    pub fn call(&mut self, name: &str, body: Option<Value>) -> ControlAnswer {
        let text = body.map(|body| body.to_string());
        let call = ControlCall {
            name,
            base_version: None,
            body: text.as_deref().map(str::as_bytes),
        };
        call_until_conclusive(&mut self.members, &call)
    }

    fn post_ok(&mut self, name: &str, body: Value) -> Value {
        let answer = self.call(name, Some(body));
        assert_eq!(answer.status, 200, "{name}: {:?}", answer.result());
        serde_json::from_slice(&answer.body).unwrap()
    }

    /// Applies the next configuration: its only difference is a route whose path names the version.
    pub fn apply_configuration(&mut self) {
        let next = configuration(self.version + 1);
        let text = next.to_string();
        let call = ControlCall {
            name: "Configuration.Replace",
            base_version: Some(self.version),
            body: Some(text.as_bytes()),
        };
        let answer = call_until_conclusive(&mut self.members, &call);
        assert_eq!(answer.status, 200, "{:?}", answer.result());
        self.version += 1;
        self.configuration = next;
    }

    /// Registers a host and drains it: the drain is acknowledged.
    fn drain_host(&mut self, cluster: &TestCluster) {
        let host = HostRecord {
            id: "draining-host".into(),
            address: cluster.processes.plan().host(DRAINING_HOST),
            zone: "zone-1".into(),
            capacity: 8,
        };
        let members = self.members.clone();
        wait_until("a member acknowledges the host", || {
            host.send_heartbeat(HostPhase::Ready, 1, &members)
                .then_some(())
        });
        wait_until("a member acknowledges the drain", || {
            host.send_heartbeat(HostPhase::Draining, 2, &members)
                .then_some(())
        });
        self.drains = 1;
    }

    /// Takes the next number, which has to be above all numbers before it.
    pub fn take_number(&mut self) {
        let value = self.post_ok("numbers/number", json!({}))["value"]
            .as_u64()
            .unwrap();
        assert!(
            value > self.last_number,
            "{value} after {}",
            self.last_number
        );
        self.last_number = value;
    }

    /// Puts the next value of the cell, on top of its latest revision.
    pub fn put_cell(&mut self) {
        let value = format!("after-{}", self.cell_revision);
        let body = json!({"value": value, "enabled": self.cell_revision});
        let revision = self.post_ok("Cells.Replace/group.cell", body)["revision"]
            .as_u64()
            .unwrap();
        assert!(revision > self.cell_revision);
        (self.cell_value, self.cell_revision) = (value, revision);
    }

    /// Checks the configuration at each member, and the drain, the lock, the number and the cell.
    pub fn assert_kept(&mut self, cluster: &TestCluster) {
        for member in self.members.clone() {
            let answer = call_until_conclusive(&mut [member], &READ);
            let read: Value = serde_json::from_slice(&answer.body).unwrap();
            assert_eq!(read, self.configuration, "read back at {member}");
        }
        let primary = cluster.wait_until_stable(&MEMBERS);
        let status = cluster.status(primary).unwrap();
        assert_eq!(status["ledger"]["drains"], self.drains, "{status}");
        self.assert_lock_held();
        self.take_number();
        let cell: Value =
            serde_json::from_slice(&self.call("Cells.Read/group.cell", None).body).unwrap();
        assert_eq!(cell["value"], self.cell_value.as_str());
        assert_eq!(cell["revision"], self.cell_revision);
    }

    /// Checks that the holder can renew its lock, and that nobody else can take it.
    pub fn assert_lock_held(&mut self) {
        let renewal = json!({"holder": "a", "fence": self.fence, "hold_ms": HOLD_MS});
        let renewed = self.call("Locks.Heartbeat/lock", Some(renewal));
        assert_eq!(renewed.status, 200, "{:?}", renewed.result());
        let other = json!({"holder": "b", "hold_ms": HOLD_MS});
        let refused = self.call("Locks.Begin/lock", Some(other));
        assert_eq!(refused.status, 409, "{:?}", refused.result());
    }
}

/// A configuration with a mutating and a pure route, a route for the version, and two tenants.
fn configuration(version: u64) -> Value {
    let route = |name: &str, path: &str, class: &str| {
        json!({"name": name, "hostname": "h.example", "path_prefix": format!("/{path}/"),
            "route_class": class, "deadline_ms": 5000, "service": "s", "max_tries": 2})
    };
    let routes = [
        route("once", "once", "mutating"),
        route("pure", "pure", "pure"),
        route("version", &format!("v{version}"), "pure"),
    ];
    let tenants = [
        json!({"name": "unlimited", "credentials": [UNLIMITED_KEY]}),
        json!({"name": "limited", "credentials": [LIMITED_KEY], "unit": "requests",
            "rate_per_s": 0.01, "burst_size": 1}),
    ];
    json!({"version": version, "routes": routes, "tenants": tenants,
        "services": [{"name": "s", "health_path": "/health", "conn_limit": 64}]})
}
