//! The ledger: its changes, its snapshots, what a member keeps of it on disk, and the commands that lead to changes.

use crate::membership::MembershipConfig;
use crate::wire::{
    bytes, flag, list, option, put_bytes, put_flag, put_list, put_option, put_text, put_texts,
    text, texts,
};
use binrw::binrw;

/// How far a ledger goes.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct LogPosition {
    /// The view under which it was last written.
    pub epoch: u64,
    /// Number of its last change.
    pub index: u64,
}

/// A configuration call that was taken: the same call again gets the same answer.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct AppliedRequest {
    /// The version that it built on.
    pub base: u64,
    /// The version that it led to.
    pub version: u64,
    /// SHA-256 over its kind and content.
    pub digest: [u8; 32],
}

/// A whole ledger.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Snapshot {
    /// Number of its last change.
    pub index: u64,
    /// The configuration as JSON; empty where there is none yet.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub configuration: String,
    /// The latest calls that were taken.
    #[br(parse_with = list)]
    #[bw(write_with = put_list)]
    pub applied_requests: Vec<AppliedRequest>,
    /// Hosts that are leaving or gone, oldest first.
    #[br(parse_with = texts)]
    #[bw(write_with = put_texts)]
    pub drains: Vec<String>,
}

/// A change of the ledger.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A configuration call.
    #[brw(magic(1u8))]
    Configure {
        /// The version it builds on.
        base: u64,
        /// Whether it amends; else it replaces.
        #[br(parse_with = flag)]
        #[bw(write_with = put_flag)]
        amend: bool,
        /// The body as sent.
        #[br(parse_with = bytes)]
        #[bw(write_with = put_bytes)]
        body: Vec<u8>,
    },
    /// A host is leaving or gone.
    #[brw(magic(2u8))]
    Drain {
        /// Its identity.
        #[br(parse_with = text)]
        #[bw(write_with = put_text)]
        host: String,
    },
    /// Hosts that were leaving are long gone.
    #[brw(magic(3u8))]
    Forget {
        /// Their identities.
        #[br(parse_with = texts)]
        #[bw(write_with = put_texts)]
        hosts: Vec<String>,
    },
}

/// A call of hosts or operators, to be run elsewhere.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Takes a configuration.
    #[brw(magic(1u8))]
    Configure {
        /// The version it builds on.
        base: u64,
        /// Whether it amends; else it replaces.
        #[br(parse_with = flag)]
        #[bw(write_with = put_flag)]
        amend: bool,
        /// The body as sent.
        #[br(parse_with = bytes)]
        #[bw(write_with = put_bytes)]
        body: Vec<u8>,
    },
    /// Asks for the newest configuration.
    #[brw(magic(2u8))]
    Read {
        /// 0.
        reserved: u8,
    },
    /// A host is leaving or gone.
    #[brw(magic(3u8))]
    Drain {
        /// Its identity.
        #[br(parse_with = text)]
        #[bw(write_with = put_text)]
        host: String,
    },
}

/// What a member keeps on disk.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// No lower epoch is followed any more.
    #[brw(magic(1u8))]
    Promised {
        /// The epoch.
        epoch: u64,
    },
    /// A view, with the ledger at its start where the member holds it.
    #[brw(magic(2u8))]
    Accepted {
        /// The view.
        membership: MembershipConfig,
        /// The ledger.
        #[br(parse_with = option)]
        #[bw(write_with = put_option)]
        snapshot: Option<Snapshot>,
    },
    /// A change of the ledger.
    #[brw(magic(3u8))]
    Change {
        /// Epoch of the view.
        epoch: u64,
        /// Number of the change.
        index: u64,
        /// The change.
        change: Change,
    },
    /// All changes up to this one were acknowledged.
    #[brw(magic(4u8))]
    Committed {
        /// Number of the change.
        index: u64,
    },
}

impl Copy for LogPosition {}
