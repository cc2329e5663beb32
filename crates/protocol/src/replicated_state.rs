//! The replicated state: its changes and snapshots, and the commands that lead to changes.

use crate::codec::{
    read_bool, read_bytes, read_list, read_string, read_strings, read_trailing, write_bool,
    write_bytes, write_list, write_string, write_strings, write_trailing,
};
use crate::coordination::{CoordinationChange, CoordinationRequest, CoordinationSnapshot};
use binrw::binrw;

/// How far a replica's log goes.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct LogPosition {
    /// Epoch of the membership configuration under which it was last written.
    pub epoch: u64,
    /// Index of its last change.
    pub index: u64,
}

/// A configuration request that was applied. It makes a repetition of the request idempotent.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct AppliedRequest {
    /// The configuration version that it was based on.
    pub base_version: u64,
    /// The configuration version that it led to.
    pub version: u64,
    /// SHA-256 of its kind and content.
    pub digest: [u8; 32],
}

/// The whole replicated state.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Snapshot {
    /// Index of its last change.
    pub index: u64,
    /// The operators' configuration as JSON; empty if there is none yet.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub configuration: String,
    /// The configuration requests applied last.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub applied_requests: Vec<AppliedRequest>,
    /// Ids of the hosts that are draining or gone, oldest first.
    #[br(parse_with = read_strings)]
    #[bw(write_with = write_strings)]
    pub drains: Vec<String>,
    /// Locks, numbers and cells; none if there never were any. The last field: it has no bytes if there is none.
    #[br(parse_with = read_trailing)]
    #[bw(write_with = write_trailing)]
    pub coordination: Option<CoordinationSnapshot>,
}

/// One step of the replicated state.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// An operator's configuration request.
    #[brw(magic(1u8))]
    Configure {
        /// The configuration version that it is based on.
        base_version: u64,
        /// Whether the body amends the configuration; else it replaces it.
        #[br(parse_with = read_bool)]
        #[bw(write_with = write_bool)]
        is_amendment: bool,
        /// The request's body as it was sent, JSON.
        #[br(parse_with = read_bytes)]
        #[bw(write_with = write_bytes)]
        body: Vec<u8>,
    },
    /// A host is draining or gone.
    #[brw(magic(2u8))]
    Drain {
        /// The host's id.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        host: String,
    },
    /// Hosts that drained have been gone for so long that nothing of them is kept.
    #[brw(magic(3u8))]
    Forget {
        /// The hosts' ids.
        #[br(parse_with = read_strings)]
        #[bw(write_with = write_strings)]
        hosts: Vec<String>,
    },
    /// A lock, a number or a cell has changed.
    #[brw(magic(4u8))]
    Coordinate {
        /// The change.
        change: CoordinationChange,
    },
}

/// A call of a host, an operator or an application, forwarded to the primary.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Replaces or amends the configuration.
    #[brw(magic(1u8))]
    Configure {
        /// The configuration version that it is based on.
        base: u64,
        /// Whether the body amends the configuration; else it replaces it.
        #[br(parse_with = read_bool)]
        #[bw(write_with = write_bool)]
        amend: bool,
        /// The request's body as it was sent, JSON.
        #[br(parse_with = read_bytes)]
        #[bw(write_with = write_bytes)]
        body: Vec<u8>,
    },
    /// Reads the newest configuration.
    #[brw(magic(2u8))]
    Read {
        /// Always 0; keeps the variant's form in bytes.
        reserved: u8,
    },
    /// A host is draining or gone.
    #[brw(magic(3u8))]
    Drain {
        /// The host's id.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        host: String,
    },
    /// A call for locks, numbers or cells.
    #[brw(magic(4u8))]
    Coordinate {
        /// The call.
        request: CoordinationRequest,
    },
}
