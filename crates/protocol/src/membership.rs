//! Members of the control plane, and the membership configurations that they agree on (`docs/design/system.md`).

use crate::codec::{read_list, read_string, write_list, write_string};
use binrw::binrw;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

/// IPv4 address and port.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Addr {
    /// IPv4 address with the first octet in the most significant byte.
    pub ip: u32,
    /// Port number.
    pub port: u16,
}

/// Member of the control plane: a process with persistent storage.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct MemberInfo {
    /// Member id, drawn at random when its disk is first used. A member that lost its disk returns with another id. 0
    /// stands for a process that is not a member.
    pub id: u64,
    /// Name of its machine.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    /// Address on which it accepts messages of the system's other processes.
    pub addr: Addr,
    /// Address on which it accepts the HTTP calls of hosts and operators.
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

/// Membership configuration: the primary, replicas and voters of one epoch. It takes effect once a quorum of the voters
/// has accepted it.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct MembershipConfig {
    /// Epoch number, unique to this membership configuration.
    pub epoch: u64,
    /// Id of the member that accepts changes.
    pub primary: u64,
    /// Ids of the members that hold the replicated state, including the primary. A change is acknowledged once all of
    /// them have it on disk.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub replicas: Vec<u64>,
    /// Members that vote on the next membership configuration.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub voters: Vec<MemberInfo>,
    /// Voters of the preceding membership configuration. While they differ from `voters`, a quorum needs a majority of
    /// each group (joint quorum).
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub previous_voters: Vec<MemberInfo>,
}

/// Control plane membership as published to subscribers.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct ControlPlaneInfo {
    /// Version number, raised with each change of the content.
    pub version: u64,
    /// Epoch of the membership configuration.
    pub epoch: u64,
    /// Id of the primary of that configuration; 0 if unknown.
    pub primary: u64,
    /// Members, voters first.
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
    /// Returns the voter with this id.
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

    /// Whether the members for which `is_counted` returns true form a majority of the voters and a majority of the
    /// previous voters.
    pub fn has_quorum(&self, is_counted: impl Fn(u64) -> bool) -> bool {
        is_majority(&self.voters, &is_counted) && is_majority(&self.previous_voters, &is_counted)
    }

    /// Whether voters and previous voters are the same members, that is, no membership change is in progress.
    pub fn is_stable(&self) -> bool {
        member_ids(&self.voters) == member_ids(&self.previous_voters)
    }
}

fn is_majority(members: &[MemberInfo], is_counted: impl Fn(u64) -> bool) -> bool {
    let count = members
        .iter()
        .filter(|member| is_counted(member.id))
        .count();
    2 * count > members.len()
}

fn member_ids(members: &[MemberInfo]) -> BTreeSet<u64> {
    members.iter().map(|member| member.id).collect()
}
