//! Records of a member's log on disk.

use crate::codec::{read_option, write_option};
use crate::membership::MembershipConfig;
use crate::replicated_state::{Change, Snapshot};
use binrw::binrw;

/// Record of a member's log. Replaying all records in order restores the member's state.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The member promised to accept no lower epoch.
    #[brw(magic(1u8))]
    Promised {
        /// Promised epoch.
        epoch: u64,
    },
    /// The member accepted a membership configuration.
    #[brw(magic(2u8))]
    Accepted {
        /// Accepted membership configuration.
        membership: MembershipConfig,
        /// Replicated state at the start of the configuration, if the member is a replica.
        #[br(parse_with = read_option)]
        #[bw(write_with = write_option)]
        snapshot: Option<Snapshot>,
    },
    /// The member appended a change.
    #[brw(magic(3u8))]
    Change {
        /// Epoch of the membership configuration.
        epoch: u64,
        /// Index of the change in the log.
        index: u64,
        /// Appended change.
        change: Change,
    },
    /// All changes up to and including this one are committed.
    #[brw(magic(4u8))]
    Committed {
        /// Index of the change in the log.
        index: u64,
    },
}
