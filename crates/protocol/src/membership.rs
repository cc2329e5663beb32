//! Members of the control plane, and the membership configurations that they agree on (`docs/design/system.md`).

use crate::codec::{read_list, read_string, write_list, write_string};
use binrw::binrw;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

/// An IPv4 address with a port.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Addr {
    /// The address, its first byte in the highest bits.
    pub ip: u32,
    /// The port.
    pub port: u16,
}

/// A member of the control plane: a process with a disk.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct MemberInfo {
    /// Its id, drawn at random when its disk is first used. A member that lost its disk comes back with another id;
    /// 0 stands for a process that is no member.
    pub id: u64,
    /// Name of its machine.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    /// Where it takes messages of other processes of the system.
    pub addr: Addr,
    /// Where it takes the HTTP calls of hosts and operators.
    pub control_addr: Addr,
    /// Its zone.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub zone: String,
    /// Its region.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub region: String,
}

/// A membership configuration: the primary, replicas and voters of one epoch. A quorum of the voters has to accept it.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct MembershipConfig {
    /// Its number; never used for two membership configurations.
    pub epoch: u64,
    /// Id of the member that takes changes.
    pub primary: u64,
    /// Ids of the members that hold the replicated state, the primary among them. A change is acknowledged once it is
    /// on the disks of all of them.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub replicas: Vec<u64>,
    /// The members that vote on the next membership configuration.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub voters: Vec<MemberInfo>,
    /// The voters of the membership configuration before. While they differ from `voters`, a quorum is a majority of both
    /// (joint quorum).
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub previous_voters: Vec<MemberInfo>,
}

/// The control plane as subscribers are told of it.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct ControlPlaneInfo {
    /// Rises with each change of the content.
    pub version: u64,
    /// Epoch of the membership configuration.
    pub epoch: u64,
    /// Id of that configuration's primary; 0 if none is known.
    pub primary: u64,
    /// The members, voters first.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
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

impl MembershipConfig {
    /// The voter with this id.
    pub fn voter(&self, id: u64) -> Option<&MemberInfo> {
        self.voters.iter().find(|voter| voter.id == id)
    }

    /// Whether the member with this id is a voter or a previous voter.
    pub fn has_vote(&self, id: u64) -> bool {
        self.voters
            .iter()
            .chain(&self.previous_voters)
            .any(|voter| voter.id == id)
    }

    /// Whether the members that `has` accepts are a majority of the voters and a majority of the previous voters.
    pub fn has_quorum(&self, has: impl Fn(u64) -> bool) -> bool {
        is_majority(&self.voters, &has) && is_majority(&self.previous_voters, &has)
    }

    /// Whether voters and previous voters are the same members.
    pub fn is_stable(&self) -> bool {
        ids(&self.voters) == ids(&self.previous_voters)
    }
}

fn is_majority(members: &[MemberInfo], has: impl Fn(u64) -> bool) -> bool {
    let count = members.iter().filter(|member| has(member.id)).count();
    2 * count > members.len()
}

fn ids(members: &[MemberInfo]) -> BTreeSet<u64> {
    members.iter().map(|member| member.id).collect()
}
