//! The mirror of what the control plane says ([`Mirror`]), and the pulls that keep it fresh ([`Puller`]);
//! used by members, agents and proxies alike. [`client`] and [`serve`] are the thin shells round them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
mod frames;
mod mirror;
mod news;
mod puller;
mod rendezvous;
mod serve;
mod shared;
pub mod transitions;

pub use frames::{FrameReader, Step};
pub use mirror::{Mirror, Snapshot, CONFIRMATION_TIMEOUT};
pub use news::{Pull, Update, AGE_UNKNOWN};
pub use puller::{
    Action, Puller, ANSWER_SLACK, CONNECT_TIMEOUT, MEMBERS_PER_AGENT, PACE, PULL_WAIT_MS,
    STALE_AGE_MS, STANDBY_POLL_INTERVAL,
};
pub use rendezvous::{ranked, rendezvous_weight};
pub use serve::{answer, serve};
pub use shared::{SharedMirror, Traffic};

use configuration::ProcessSettings;
use protocol::{Addr, MemberInfo, Subscriber};
use std::net::{Ipv4Addr, SocketAddrV4};

/// What [`protocol::HostRecord::phase`] may hold.
pub mod phase {
    /// Takes requests.
    pub const READY: u8 = 0;
    /// Leaving: takes no new requests.
    pub const DRAINING: u8 = 1;
    /// Has ended.
    pub const GONE: u8 = 2;
    /// The source has nothing more to say of the host: a tombstone.
    pub const FORGOTTEN: u8 = 3;
}

/// Where members listen, given the `control` address of one.
pub fn member_addr(boot: &ProcessSettings, control: &SocketAddrV4) -> Addr {
    Addr {
        ip: u32::from(*control.ip()),
        port: boot.port_range.0,
    }
}

/// Where the seeds of the settings listen.
pub fn seed_addrs(boot: &ProcessSettings) -> Vec<Addr> {
    boot.seed_nodes
        .iter()
        .map(|s| member_addr(boot, s))
        .collect()
}

/// Where a machine's agent listens for its proxy: on the loopback address; several machines that are played on
/// one have addresses of their own there.
pub fn agent_addr(boot: &ProcessSettings) -> Addr {
    let ip = if boot.ip_addr.is_loopback() {
        boot.ip_addr
    } else {
        Ipv4Addr::LOCALHOST
    };
    let usual = SocketAddrV4::new(ip, boot.port_range.0.saturating_add(1));
    boot.bind.agent.unwrap_or(usual).into()
}

/// Where a machine's proxy takes the other proxies' hints; without enough ports, nowhere (port 0).
pub fn hints_addr(boot: &ProcessSettings) -> Addr {
    let port = boot.port_range.0.saturating_add(2);
    Addr {
        ip: u32::from(boot.ip_addr),
        port: if port <= boot.port_range.1 { port } else { 0 },
    }
}

/// This process as one that pulls; `member` is its identity, or 0 where it is no member.
pub fn subscriber(boot: &ProcessSettings, member: u64) -> Subscriber {
    Subscriber {
        name: boot.node_name.clone(),
        zone: boot.zone.clone(),
        region: boot.region.clone(),
        hints_addr: hints_addr(boot),
        member_id: member,
        configuration_version: 0,
    }
}

/// The first frame's seat of a process that is no member.
pub fn non_member_info(boot: &ProcessSettings) -> MemberInfo {
    MemberInfo {
        id: 0,
        name: boot.node_name.clone(),
        addr: Addr {
            ip: u32::from(boot.ip_addr),
            port: 0,
        },
        control_addr: Addr::default(),
        zone: boot.zone.clone(),
        region: boot.region.clone(),
    }
}
