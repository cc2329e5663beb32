//! Replication of the control plane's published state, from members to agents, proxies and other members.
//!
//! A [`Mirror`] is the copy that one process holds. A [`Puller`] decides from which members the copy is updated. Both
//! are state machines without I/O; [`client`] and [`serve`] run them over TCP, and a [`SharedMirror`] publishes the
//! mirror's changes within a process.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
mod frame_reader;
mod mirror;
mod puller;
mod serve;
mod shared_mirror;
mod timing;
pub mod transitions;
mod update;

pub use frame_reader::{FrameReader, Step};
pub use mirror::{Mirror, Snapshot, VisibleVersion};
pub use puller::{Action, PullSummary, Puller};
pub use serve::{answer, serve};
pub use shared_mirror::{SharedMirror, Traffic};
pub use timing::{
    UpdatePause, ANSWER_SLACK, CONFIRMATION_TIMEOUT, CONNECT_TIMEOUT, MEMBERS_PER_AGENT,
    PULL_WAIT_MS, STALE_AGE_MS, STANDBY_POLL_INTERVAL, UPDATE_PAUSE,
};
pub use update::{Pull, Update, AGE_UNKNOWN};

use configuration::ProcessSettings;
use protocol::{Addr, MemberInfo, Subscriber};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Values of [`protocol::HostRecord::phase`].
pub mod phase {
    /// Accepts requests.
    pub const READY: u8 = 0;
    /// Draining: accepts no new requests and ends soon.
    pub const DRAINING: u8 = 1;
    /// Has ended.
    pub const GONE: u8 = 2;
    /// Tombstone: the origin no longer has a record of the host.
    pub const FORGOTTEN: u8 = 3;
}

/// Offset of the port for quota requests from the port for the system's own messages.
const QUOTA_PORT_OFFSET: u16 = 3;

/// Returns the address on which a member accepts the system's own messages, given its `control` address.
pub fn member_addr(settings: &ProcessSettings, control: &SocketAddrV4) -> Addr {
    Addr {
        ip: u32::from(*control.ip()),
        port: settings.port_range.0,
    }
}

/// Returns the addresses on which the configured seed nodes accept the system's own messages.
pub fn seed_addrs(settings: &ProcessSettings) -> Vec<Addr> {
    settings
        .seed_nodes
        .iter()
        .map(|seed| member_addr(settings, seed))
        .collect()
}

/// Returns the address on which a machine's agent listens for its proxy: by default the second port of the range, on
/// the loopback address. Several machines simulated on one host for a test have different loopback addresses.
pub fn agent_addr(settings: &ProcessSettings) -> Addr {
    let ip = if settings.ip_addr.is_loopback() {
        settings.ip_addr
    } else {
        Ipv4Addr::LOCALHOST
    };
    let default = SocketAddrV4::new(ip, settings.port_range.0.saturating_add(1));
    settings.bind.agent.unwrap_or(default).into()
}

/// Returns the address on which a machine's proxy accepts prompt placements from other proxies. The port is 0 if the
/// port range is too short.
pub fn hints_addr(settings: &ProcessSettings) -> Addr {
    let port = settings.port_range.0.saturating_add(2);
    Addr {
        ip: u32::from(settings.ip_addr),
        port: if port <= settings.port_range.1 {
            port
        } else {
            0
        },
    }
}

/// Returns the address on which a member accepts quota requests as datagrams: the fourth port of the range. `member` is
/// its address for the system's own messages.
pub fn quota_addr(member: &Addr) -> Addr {
    Addr {
        port: member.port.saturating_add(QUOTA_PORT_OFFSET),
        ..*member
    }
}

/// Returns this process's description as a subscriber. `member_id` is 0 if it is not a member.
pub fn subscriber(settings: &ProcessSettings, member_id: u64) -> Subscriber {
    Subscriber {
        name: settings.node_name.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        hints_addr: hints_addr(settings),
        member_id,
        configuration_version: 0,
    }
}

/// Returns the sender for the first frame of a process that is not a member.
pub fn non_member_info(settings: &ProcessSettings) -> MemberInfo {
    MemberInfo {
        id: 0,
        name: settings.node_name.clone(),
        addr: Addr {
            ip: u32::from(settings.ip_addr),
            port: 0,
        },
        control_addr: Addr::default(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
    }
}
