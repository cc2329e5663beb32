//! Decodes the requests of hosts from path and body.

use configuration::ResultCode;
use protocol::Addr;
use serde::Deserialize;
use std::net::SocketAddrV4;

/// Largest length of a host id, in bytes.
const MAX_HOST_ID_BYTES: usize = 256;

/// The content of a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Name of the host's service.
    pub service: String,
    /// The address at which the host accepts requests.
    pub addr: Addr,
    /// The host's zone.
    pub zone: String,
    /// Number of requests that the host processes concurrently.
    pub capacity: u32,
    /// Whether the host is draining.
    pub draining: bool,
    /// Remaining time of the host's slow start, in ms.
    pub slow_start_remaining_ms: u32,
    /// Sequence number of the request; increases with each request of this host.
    pub call_seq: u64,
}

/// A request of a host.
#[derive(Clone, Debug, PartialEq)]
pub enum HostRequest {
    /// The host is alive.
    Heartbeat {
        /// The host's id.
        host: String,
        /// The content of the heartbeat.
        heartbeat: Heartbeat,
    },
    /// The host departs.
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
    /// [`ResultCode::NoSuchCall`] if the path is not that of a host request; [`ResultCode::Unreadable`] if the host id
    /// is invalid, the body can't be parsed or a field is missing.
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

    /// Returns the id of the host that the request is about.
    pub fn host(&self) -> &str {
        match self {
            HostRequest::Heartbeat { host, .. } | HostRequest::Depart { host } => host,
        }
    }

    /// Returns the content of a heartbeat, and `None` for a departure.
    pub fn heartbeat(&self) -> Option<&Heartbeat> {
        match self {
            HostRequest::Heartbeat { heartbeat, .. } => Some(heartbeat),
            HostRequest::Depart { .. } => None,
        }
    }

    /// Whether the host reports that it is draining or departs.
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
