//! The messages between the two processes of a hot restart, as JSON. Both may be of different releases: the names
//! of fields and variants on the wire must stay.

use crate::ops::manual_ejection::ManualEjections;
use serde::{Deserialize, Serialize};

/// The version of the messages. A process ignores the state of another version.
pub(super) const VERSION: u32 = 1;
/// Limit on the bytes of a message: a list has some thousand lines at most.
pub(super) const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// The state that the old process sends first, behind its length in four bytes, together with the descriptor of
/// the clients' listening socket.
#[derive(Serialize, Deserialize)]
pub(super) struct StateMessage {
    pub(super) version: u32,
    /// The coordinator's name.
    pub(super) name: String,
    /// The clients' address, as configured.
    pub(super) listen: String,
    #[serde(rename = "bans")]
    pub(super) ejections: ManualEjections,
}

/// What either process sends while both run, one message a line.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum LinkMessage {
    /// The new process serves.
    Ready,
    /// A host is to be ejected or restored.
    Order {
        number: u64,
        host: String,
        #[serde(rename = "offline")]
        ejected: bool,
    },
    /// The order of this number is in force at the sender.
    Done { number: u64 },
}

impl LinkMessage {
    /// The message as a line.
    pub(super) fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}
