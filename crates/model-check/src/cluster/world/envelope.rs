//! Messages on their way.

use protocol::{MemberInfo, Message};

/// A message on its way.
#[derive(Clone, Debug)]
pub(super) struct Envelope {
    pub(super) from: MemberInfo,
    pub(super) from_machine: usize,
    pub(super) to: usize,
    /// The process that it is for: a connection ends with it.
    pub(super) to_incarnation: u32,
    pub(super) message: Message,
    pub(super) hash: u64,
}
