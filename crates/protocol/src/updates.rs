//! Updates for subscribers: hosts and coordinators by origin, and the configuration.

use crate::codec::{
    read_bool, read_list, read_string, read_strings, write_bool, write_list, write_string,
    write_strings,
};
use crate::membership::Addr;
use binrw::binrw;

/// Entry of a version vector: the version of one origin's records that a process holds.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct OriginVersion {
    /// Id of the member whose registry the records come from.
    pub member_id: u64,
    /// Incarnation of the member.
    pub incarnation: u64,
    /// Sequence number of the latest change within the incarnation.
    pub sequence: u64,
}

/// Host state, as known to an origin from the host's own calls.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct HostRecord {
    /// Id of the host, new with each start.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub id: String,
    /// Name of the service that it runs.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub service: String,
    /// Address on which it accepts requests.
    pub addr: Addr,
    /// Its zone.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub zone: String,
    /// Number of requests that it processes concurrently.
    pub capacity: u32,
    /// Lifecycle phase: 0 ready, 1 draining, 2 gone, 3 tombstone (`replication::phase`).
    pub phase: u8,
    /// Whether its next heartbeat is overdue.
    #[br(parse_with = read_bool)]
    #[bw(write_with = write_bool)]
    pub heartbeat_expired: bool,
    /// Sequence number of its latest call.
    pub call_seq: u64,
    /// Remaining time of its slow start, in ms; 0 if it is over.
    pub slow_start_remaining_ms: u32,
}

/// Coordinator state, as known to an origin from which the coordinator pulls.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct CoordinatorRecord {
    /// Name of its machine.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    /// Its zone.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub zone: String,
    /// Its region.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub region: String,
    /// Address on which its proxy accepts prompt placements from other proxies; port 0 if it accepts none.
    pub hints_addr: Addr,
    /// Whether it has stopped pulling.
    #[br(parse_with = read_bool)]
    #[bw(write_with = write_bool)]
    pub gone: bool,
    /// Version of the configuration in force on its machine.
    pub configuration_version: u64,
}

/// Records of one origin that a subscriber lacks.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct OriginUpdate {
    /// Version of the origin once these records are applied.
    pub version: OriginVersion,
    /// Whether these are all records of the origin; otherwise they extend earlier ones.
    #[br(parse_with = read_bool)]
    #[bw(write_with = write_bool)]
    pub complete: bool,
    /// Hosts whose records changed.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub hosts: Vec<HostRecord>,
    /// Coordinators whose records changed.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub coordinators: Vec<CoordinatorRecord>,
}

/// Changes of the configuration and of the draining hosts that a subscriber lacks.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct ConfigurationUpdate {
    /// Index of the last change of the replicated state.
    pub index: u64,
    /// Configuration version that the items extend; 0 if they are the whole configuration.
    pub base_version: u64,
    /// Configuration version that results from them; 0 if there is none yet.
    pub version: u64,
    /// Routes that were added or changed, each as JSON.
    #[br(parse_with = read_strings)]
    #[bw(write_with = write_strings)]
    pub routes: Vec<String>,
    /// Services that were added or changed, each as JSON.
    #[br(parse_with = read_strings)]
    #[bw(write_with = write_strings)]
    pub services: Vec<String>,
    /// Names of routes that were removed.
    #[br(parse_with = read_strings)]
    #[bw(write_with = write_strings)]
    pub removed_routes: Vec<String>,
    /// Names of services that were removed.
    #[br(parse_with = read_strings)]
    #[bw(write_with = write_strings)]
    pub removed_services: Vec<String>,
    /// Client limits as JSON if they changed: one item or none.
    #[br(parse_with = read_strings)]
    #[bw(write_with = write_strings)]
    pub limits: Vec<String>,
    /// Index of the change that `drains` extends; 0 if `drains` holds all draining hosts.
    pub drains_base_index: u64,
    /// Ids of hosts that are draining or gone.
    #[br(parse_with = read_strings)]
    #[bw(write_with = write_strings)]
    pub drains: Vec<String>,
    /// Ids of hosts that are no longer listed as draining or gone.
    #[br(parse_with = read_strings)]
    #[bw(write_with = write_strings)]
    pub removed_drains: Vec<String>,
}

/// Changes of the tenants that a subscriber lacks. Belongs to the [`ConfigurationUpdate`] sent with it.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct TenantsUpdate {
    /// Whether the configuration has a list of tenants at all.
    #[br(parse_with = read_bool)]
    #[bw(write_with = write_bool)]
    pub present: bool,
    /// Tenants that were added or changed, each as JSON.
    #[br(parse_with = read_strings)]
    #[bw(write_with = write_strings)]
    pub tenants: Vec<String>,
    /// Names of tenants that were removed.
    #[br(parse_with = read_strings)]
    #[bw(write_with = write_strings)]
    pub removed: Vec<String>,
}

/// Process that pulls updates.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Subscriber {
    /// Name of its machine.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    /// Its zone.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub zone: String,
    /// Its region.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub region: String,
    /// Address on which its proxy accepts prompt placements from other proxies; port 0 if it accepts none.
    pub hints_addr: Addr,
    /// Member id; 0 if it is not a member.
    pub member_id: u64,
    /// Version of the configuration in force on its machine.
    pub configuration_version: u64,
}
