//! The JSON messages between the two processes of a hot restart. The processes may be of different releases, so the
//! names of fields and variants on the wire must not change.

use crate::ops::manual_ejection::ManualEjections;
use serde::{Deserialize, Serialize};

/// The version of the message format. A process ignores state sent in another version.
pub(super) const MESSAGE_VERSION: u32 = 1;
/// Limit on the size of a message, in bytes. A list has a few thousand entries at most.
pub(super) const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// The state that the old process sends first: four bytes of length, then this as JSON. The descriptor of the clients'
/// listening socket is attached.
#[derive(Serialize, Deserialize)]
pub(super) struct StateMessage {
    pub(super) version: u32,
    /// The coordinator's name.
    pub(super) name: String,
    /// The configured address for clients.
    pub(super) listen: String,
    #[serde(rename = "bans")]
    pub(super) ejections: ManualEjections,
}

/// A message that either process sends while both run; each is one line.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum LinkMessage {
    /// The new process serves clients.
    Ready,
    /// A forwarded order to eject or restore a host, with a number that is unique for its sender.
    Order {
        number: u64,
        host: String,
        #[serde(rename = "offline")]
        ejected: bool,
    },
    /// The receiver's order with this number is in force at the sender of this message.
    Done { number: u64 },
}

impl LinkMessage {
    /// The message as one line of JSON, with its line feed.
    pub(super) fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}
