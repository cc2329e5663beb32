//! What pulls bring: hosts and coordinators by their sources, and the configuration.

use crate::membership::Addr;
use crate::wire::{flag, list, put_flag, put_list, put_text, put_texts, text, texts};
use binrw::binrw;

/// How much of a source somebody has.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct OriginVersion {
    /// The member that is the source.
    pub member_id: u64,
    /// Which of the member's lives.
    pub incarnation: u64,
    /// Number of its latest change.
    pub sequence: u64,
}

/// What a host said of itself.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct HostRecord {
    /// Its identity, new with every start.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub id: String,
    /// Its service.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub service: String,
    /// Where it takes requests.
    pub addr: Addr,
    /// Its zone.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub zone: String,
    /// Requests that it works on at once.
    pub capacity: u32,
    /// 0 ready, 1 draining, 2 gone.
    pub phase: u8,
    /// Whether its heartbeats have stopped.
    #[br(parse_with = flag)]
    #[bw(write_with = put_flag)]
    pub heartbeat_expired: bool,
    /// Number of its latest call.
    pub call_seq: u64,
    /// How much longer it is slow from its start.
    pub slow_start_remaining_ms: u32,
}

/// What a member knows of a coordinator that pulls from it.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct CoordinatorRecord {
    /// Name of its machine.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub name: String,
    /// Its zone.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub zone: String,
    /// Its region.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub region: String,
    /// Where its proxy takes the other proxies' hints; port 0 where it takes none.
    pub hints_addr: Addr,
    /// Whether it has stopped pulling.
    #[br(parse_with = flag)]
    #[bw(write_with = put_flag)]
    pub gone: bool,
    /// Version of the configuration that it has in force.
    pub configuration_version: u64,
}

/// What a source has to say beyond a mark.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct OriginUpdate {
    /// How far this goes.
    pub version: OriginVersion,
    /// Whether it stands for all that the source has; else it adds to what came before.
    #[br(parse_with = flag)]
    #[bw(write_with = put_flag)]
    pub complete: bool,
    /// Hosts whose records changed.
    #[br(parse_with = list)]
    #[bw(write_with = put_list)]
    pub hosts: Vec<HostRecord>,
    /// Coordinators whose records changed.
    #[br(parse_with = list)]
    #[bw(write_with = put_list)]
    pub coordinators: Vec<CoordinatorRecord>,
}

/// Configuration and drains beyond a mark.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct ConfigurationUpdate {
    /// Number of the ledger's last change.
    pub index: u64,
    /// Version of the configuration that the items add to; 0 where they are the whole of it.
    pub base_version: u64,
    /// Version that they lead to; 0 where there is none yet.
    pub version: u64,
    /// Routes set, as JSON.
    #[br(parse_with = texts)]
    #[bw(write_with = put_texts)]
    pub routes: Vec<String>,
    /// Services set, as JSON.
    #[br(parse_with = texts)]
    #[bw(write_with = put_texts)]
    pub services: Vec<String>,
    /// Routes that went.
    #[br(parse_with = texts)]
    #[bw(write_with = put_texts)]
    pub removed_routes: Vec<String>,
    /// Services that went.
    #[br(parse_with = texts)]
    #[bw(write_with = put_texts)]
    pub removed_services: Vec<String>,
    /// The limits as JSON, where they changed: none or one.
    #[br(parse_with = texts)]
    #[bw(write_with = put_texts)]
    pub limits: Vec<String>,
    /// Number of the ledger's change that the drains add to; 0 where they are all of them.
    pub drains_base_index: u64,
    /// Hosts that are leaving or gone.
    #[br(parse_with = texts)]
    #[bw(write_with = put_texts)]
    pub drains: Vec<String>,
    /// Hosts that were leaving or gone and are no longer spoken of.
    #[br(parse_with = texts)]
    #[bw(write_with = put_texts)]
    pub removed_drains: Vec<String>,
}

/// Who pulls.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Subscriber {
    /// Name of its machine.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub name: String,
    /// Its zone.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub zone: String,
    /// Its region.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub region: String,
    /// Where its proxy takes the other proxies' hints; port 0 where it takes none.
    pub hints_addr: Addr,
    /// Its identity where it is a member, else 0.
    pub member_id: u64,
    /// Version of the configuration that it has in force.
    pub configuration_version: u64,
}

impl Copy for OriginVersion {}
