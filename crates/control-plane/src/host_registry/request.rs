//! Requests of hosts: decoded from path and body, handled elsewhere.

use configuration::ResultCode;
use protocol::Addr;
use serde::Deserialize;
use std::net::SocketAddrV4;

/// Longest id of a host, in bytes.
const MAX_HOST_ID_BYTES: usize = 256;

/// What a heartbeat says.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The host's service.
    pub service: String,
    /// Where the host takes requests.
    pub addr: Addr,
    /// The host's zone.
    pub zone: String,
    /// Requests that the host works on at once.
    pub capacity: u32,
    /// Whether the host is draining.
    pub draining: bool,
    /// How much longer the host warms up, in ms.
    pub slow_start_remaining_ms: u32,
    /// Number of the request; rises with each one of this host.
    pub call_seq: u64,
}

/// A request of a host.
#[derive(Clone, Debug, PartialEq)]
pub enum HostRequest {
    /// The host is there.
    Heartbeat {
        /// The host's id.
        host: String,
        /// What it says.
        heartbeat: Heartbeat,
    },
    /// The host ends.
    Depart {
        /// The host's id.
        host: String,
    },
}

#[derive(Deserialize)]
struct HeartbeatBody {
    service: String,
    address: SocketAddrV4,
    #[serde(default)]
    zone: String,
    capacity: u32,
    phase: Phase,
    #[serde(default)]
    cold_left_ms: f64,
    call_seq: u64,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Phase {
    Ready,
    Draining,
}

impl HostRequest {
    /// Decodes a request from its path and body.
    ///
    /// # Errors
    /// [`ResultCode::NoSuchCall`] if the path is no host's request; [`ResultCode::Unreadable`] if it names no host, or
    /// the body lacks what the request needs.
    pub fn decode(path: &str, body: &[u8]) -> Result<HostRequest, ResultCode> {
        let (operation, host) = path
            .strip_prefix("/fennelpin/")
            .and_then(|rest| rest.split_once('/'))
            .ok_or(ResultCode::NoSuchCall)?;
        match operation {
            "Hosts.Heartbeat" => Ok(HostRequest::Heartbeat {
                host: host_id(host)?,
                heartbeat: Heartbeat::decode(body)?,
            }),
            "Hosts.Depart" => Ok(HostRequest::Depart {
                host: host_id(host)?,
            }),
            _ => Err(ResultCode::NoSuchCall),
        }
    }

    /// Id of the host that sent it.
    pub fn host(&self) -> &str {
        match self {
            HostRequest::Heartbeat { host, .. } | HostRequest::Depart { host } => host,
        }
    }

    /// What it says, unless it tells the host's end.
    pub fn heartbeat(&self) -> Option<&Heartbeat> {
        match self {
            HostRequest::Heartbeat { heartbeat, .. } => Some(heartbeat),
            HostRequest::Depart { .. } => None,
        }
    }

    /// Whether the host says that it is draining or gone.
    pub fn is_leaving(&self) -> bool {
        match self {
            HostRequest::Heartbeat { heartbeat, .. } => heartbeat.draining,
            HostRequest::Depart { .. } => true,
        }
    }
}

impl Heartbeat {
    fn decode(body: &[u8]) -> Result<Self, ResultCode> {
        let body: HeartbeatBody =
            serde_json::from_slice(body).map_err(|_| ResultCode::Unreadable)?;
        if body.service.is_empty() {
            return Err(ResultCode::Unreadable);
        }
        Ok(Heartbeat {
            service: body.service,
            addr: body.address.into(),
            zone: body.zone,
            capacity: body.capacity,
            draining: body.phase == Phase::Draining,
            slow_start_remaining_ms: body.cold_left_ms as u32,
            call_seq: body.call_seq,
        })
    }
}

fn host_id(text: &str) -> Result<String, ResultCode> {
    if text.is_empty() || text.contains(['/', '?']) || text.len() > MAX_HOST_ID_BYTES {
        return Err(ResultCode::Unreadable);
    }
    Ok(text.to_owned())
}
