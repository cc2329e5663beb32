//! The records of a member's log on disk.

use crate::codec::{read_option, write_option};
use crate::membership::MembershipConfig;
use crate::replicated_state::{Change, Snapshot};
use binrw::binrw;

/// A record of a member's log. Replaying the records in order gives the member's state.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The member promised to follow no lower epoch.
    #[brw(magic(1u8))]
    Promised {
        /// The promised epoch.
        epoch: u64,
    },
    /// The member accepted a membership configuration.
    #[brw(magic(2u8))]
    Accepted {
        /// The configuration.
        membership: MembershipConfig,
        /// The replicated state at its start, if the member is a replica.
        #[br(parse_with = read_option)]
        #[bw(write_with = write_option)]
        snapshot: Option<Snapshot>,
    },
    /// The member appended a change.
    #[brw(magic(3u8))]
    Change {
        /// Epoch of the membership configuration.
        epoch: u64,
        /// Index of the change.
        index: u64,
        /// The change.
        change: Change,
    },
    /// All changes up to this one are committed.
    #[brw(magic(4u8))]
    Committed {
        /// Index of the change.
        index: u64,
    },
}
