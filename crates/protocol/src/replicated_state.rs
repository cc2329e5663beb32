//! Replicated state: its changes, snapshots and the commands that result in changes.

use crate::codec::{
    read_bool, read_bytes, read_list, read_string, read_strings, read_trailing_option, write_bool,
    write_bytes, write_list, write_string, write_strings, write_trailing_option,
};
use crate::coordination::{CoordinationChange, CoordinationRequest, CoordinationSnapshot};
use binrw::binrw;

/// Position of the last entry in a replica's log.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct LogPosition {
    /// Epoch of the membership configuration under which the log was last written.
    pub epoch: u64,
    /// Index of the last change.
    pub index: u64,
}

/// Configuration request that was applied. It is kept so that a repeated request is recognized and has no further
/// effect.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct AppliedRequest {
    /// Configuration version on which the request was based.
    pub base_version: u64,
    /// Configuration version that resulted from the request.
    pub version: u64,
    /// SHA-256 digest of the request's kind and content.
    pub digest: [u8; 32],
}

/// Complete replicated state.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Snapshot {
    /// Index of the last change.
    pub index: u64,
    /// Operators' configuration as JSON; empty if there is none yet.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub configuration: String,
    /// Most recently applied configuration requests.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub applied_requests: Vec<AppliedRequest>,
    /// Ids of the hosts that are draining or gone, oldest first.
    #[br(parse_with = read_strings)]
    #[bw(write_with = write_strings)]
    pub drains: Vec<String>,
    /// Locks, counters and cells; `None` if there never were any. Must stay the last field: `None` is encoded as no
    /// bytes.
    #[br(parse_with = read_trailing_option)]
    #[bw(write_with = write_trailing_option)]
    pub coordination: Option<CoordinationSnapshot>,
}

/// Change of the replicated state.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Configuration request of an operator.
    #[brw(magic(1u8))]
    Configure {
        /// Configuration version on which the request is based.
        base_version: u64,
        /// Whether the body amends the configuration; otherwise it replaces it.
        #[br(parse_with = read_bool)]
        #[bw(write_with = write_bool)]
        is_amendment: bool,
        /// Body of the request as JSON, byte for byte as received.
        #[br(parse_with = read_bytes)]
        #[bw(write_with = write_bytes)]
        body: Vec<u8>,
    },
    /// A host is draining or gone.
    #[brw(magic(2u8))]
    Drain {
        /// Id of the host.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        host: String,
    },
    /// Hosts that drained were gone long enough that no record of them is kept.
    #[brw(magic(3u8))]
    Forget {
        /// Ids of the hosts.
        #[br(parse_with = read_strings)]
        #[bw(write_with = write_strings)]
        hosts: Vec<String>,
    },
    /// A lock, a counter or a cell has changed.
    #[brw(magic(4u8))]
    Coordinate {
        /// Change of the coordination state.
        change: CoordinationChange,
    },
}

/// Call of a host, an operator or an application, forwarded to the primary.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Replaces or amends the configuration.
    #[brw(magic(1u8))]
    Configure {
        /// Configuration version on which the request is based.
        base: u64,
        /// Whether the body amends the configuration; otherwise it replaces it.
        #[br(parse_with = read_bool)]
        #[bw(write_with = write_bool)]
        amend: bool,
        /// Body of the request as JSON, byte for byte as received.
        #[br(parse_with = read_bytes)]
        #[bw(write_with = write_bytes)]
        body: Vec<u8>,
    },
    /// Reads the latest configuration.
    #[brw(magic(2u8))]
    Read {
        /// Always 0. Kept so that the variant's encoding doesn't change.
        reserved: u8,
    },
    /// A host is draining or gone.
    #[brw(magic(3u8))]
    Drain {
        /// Id of the host.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        host: String,
    },
    /// Call that concerns locks, counters or cells.
    #[brw(magic(4u8))]
    Coordinate {
        /// Request of the application or operator.
        request: CoordinationRequest,
    },
}
