//! Heartbeats by which hosts register with the members.

use super::CALL_TIMEOUT;
use fennelpin_cli::control_client::{call_member, ControlCall};
use serde_json::json;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

/// Time between heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// What a host says of its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostPhase {
    Ready,
    /// It takes no new requests soon.
    Draining,
}

impl HostPhase {
    fn name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
        }
    }
}

/// What a host says of itself.
#[derive(Clone, Debug)]
pub struct HostRecord {
    pub id: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub capacity: u32,
}

impl HostRecord {
    /// Sends a heartbeat to one member after the other until one acknowledges it. Whether one did.
    pub fn send_heartbeat(&self, phase: HostPhase, sequence: u64, controls: &[SocketAddr]) -> bool {
        let name = format!("Hosts.Heartbeat/{}", self.id);
        let body =
            json!({"service": "s", "address": self.address, "zone": self.zone, "version": "v1",
            "capacity": self.capacity, "phase": phase.name(), "cold_left_ms": 0, "call_seq": sequence})
            .to_string();
        let call = ControlCall {
            name: &name,
            base_version: None,
            body: Some(body.as_bytes()),
        };
        controls.iter().any(|control| {
            call_member(*control, &call, CALL_TIMEOUT).is_ok_and(|answer| answer.status == 200)
        })
    }
}
