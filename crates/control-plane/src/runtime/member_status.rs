//! The status that a member reports on its status page and publishes in the mirror.

use protocol::{MemberInfo, MembershipConfig};
use std::time::Duration;

/// The state machine's status for the status page.
#[derive(Debug)]
pub(super) struct MemberStatus {
    pub(super) membership: Option<MembershipConfig>,
    /// Whether the member is primary and has a lease.
    pub(super) is_acting_primary: bool,
    pub(super) primary: Option<MemberInfo>,
    pub(super) promised_epoch: u64,
    pub(super) is_disk_healthy: bool,
    /// Time since the latest contact with a primary; `None` before the first.
    pub(super) since_primary_contact: Option<Duration>,
}

/// The control plane's members as last published in the mirror.
#[derive(Default, PartialEq)]
pub(super) struct PublishedControlPlane {
    pub(super) epoch: u64,
    pub(super) primary: u64,
    pub(super) members: Vec<MemberInfo>,
}
