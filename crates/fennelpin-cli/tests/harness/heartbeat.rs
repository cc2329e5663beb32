//! Heartbeats by which hosts register with the members.

use super::CALL_TIMEOUT;
use fennelpin_cli::control_client::{call_member, ControlAnswer, ControlCall};
use serde_json::{json, Value};
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
        controls
            .iter()
            .any(|control| self.call(phase, sequence, *control).is_some())
    }

    /// Sends a heartbeat to a member that has to acknowledge it. The member that later ones should go to, if it names one.
    pub fn heartbeat_target(&self, sequence: u64, control: SocketAddr) -> Option<SocketAddr> {
        let answer = self.call(HostPhase::Ready, sequence, control);
        let body = answer.expect("each member acknowledges heartbeats").body;
        let body: Value = serde_json::from_slice(&body).unwrap();
        body["beat_target"]
            .as_str()
            .map(|target| target.parse().unwrap())
    }

    /// A member's answer, if it acknowledges the heartbeat.
    fn call(&self, phase: HostPhase, sequence: u64, control: SocketAddr) -> Option<ControlAnswer> {
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
        let answer = call_member(control, &call, CALL_TIMEOUT).ok()?;
        (answer.status == 200).then_some(answer)
    }
}
