//! Members of the control plane and the views that they agree on. Identities of members are drawn when a disk is
//! first used (`docs/design/system.md`).

use crate::wire::{list, put_list, put_text, text};
use binrw::binrw;
use std::net::{Ipv4Addr, SocketAddrV4};

/// An IPv4 address with a port.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Addr {
    /// The address.
    pub ip: u32,
    /// The port.
    pub port: u16,
}

/// A member of the control plane: a process with a disk.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct MemberInfo {
    /// Its identity; a member that lost its disk comes back with another one.
    pub id: u64,
    /// Name of its machine.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub name: String,
    /// Where it takes the system's own messages.
    pub addr: Addr,
    /// Where hosts and the operator call it.
    pub control: Addr,
    /// Its zone.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub zone: String,
    /// Its region.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub region: String,
}

/// Who acts: agreed on by a majority of the voters, under an epoch that is never used twice.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct MembershipConfig {
    /// The epoch.
    pub epoch: u64,
    /// The one that takes changes.
    pub primary: u64,
    /// Those that hold the ledger, the primary among them: each has a change on disk before it is acknowledged.
    #[br(parse_with = list)]
    #[bw(write_with = put_list)]
    pub replicas: Vec<u64>,
    /// All that have a say in the next view.
    #[br(parse_with = list)]
    #[bw(write_with = put_list)]
    pub voters: Vec<MemberInfo>,
    /// The voters of the view that it followed: while these differ, the next view needs a majority of both.
    #[br(parse_with = list)]
    #[bw(write_with = put_list)]
    pub previous_voters: Vec<MemberInfo>,
}

/// The control plane as a member sees it.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct ControlPlaneInfo {
    /// Changes with the content.
    pub version: u64,
    /// Epoch of its view.
    pub epoch: u64,
    /// The primary in that view; 0 where none is known.
    pub primary: u64,
    /// The members, voters first.
    #[br(parse_with = list)]
    #[bw(write_with = put_list)]
    pub members: Vec<MemberInfo>,
}

impl From<SocketAddrV4> for Addr {
    fn from(addr: SocketAddrV4) -> Self {
        Self {
            ip: u32::from(*addr.ip()),
            port: addr.port(),
        }
    }
}

impl From<&Addr> for SocketAddrV4 {
    fn from(addr: &Addr) -> Self {
        Self::new(Ipv4Addr::from(addr.ip), addr.port)
    }
}

impl Copy for Addr {}

impl MembershipConfig {
    /// The seat of a voter.
    pub fn voter(&self, id: u64) -> Option<&MemberInfo> {
        self.voters.iter().find(|s| s.id == id)
    }

    /// Whether an identity counts for a majority: a voter, or one of those before.
    pub fn has_vote(&self, id: u64) -> bool {
        self.voters
            .iter()
            .chain(&self.previous_voters)
            .any(|s| s.id == id)
    }

    /// Whether those that `has` names are a majority of the voters, and of the voters before.
    pub fn has_quorum(&self, has: impl Fn(u64) -> bool) -> bool {
        let most =
            |seats: &[MemberInfo]| 2 * seats.iter().filter(|s| has(s.id)).count() > seats.len();
        most(&self.voters) && most(&self.previous_voters)
    }

    /// Whether its voters are those of the view before.
    pub fn is_stable(&self) -> bool {
        let ids = |seats: &[MemberInfo]| {
            seats
                .iter()
                .map(|s| s.id)
                .collect::<std::collections::BTreeSet<_>>()
        };
        ids(&self.voters) == ids(&self.previous_voters)
    }
}
