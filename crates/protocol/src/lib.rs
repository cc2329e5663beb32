//! Messages between the system's own processes, and the records that control plane members store on disk. No I/O.
//!
//! [`Message`] lists all messages. On the wire each message is a frame, see [`encode`] and [`decode`]. Stored records
//! have no frame, see [`encode_record`] and [`decode_record`]. `tests/wire_format.rs` pins the bytes of both.
//!
//! ```
//! use protocol::{decode, encode, Message};
//! let frame = encode(&Message::ReleaseLease { epoch: 7 });
//! assert_eq!(decode(&frame).unwrap(), Some((Message::ReleaseLease { epoch: 7 }, frame.len())));
//! assert_eq!(decode(&frame[..3]).unwrap(), None, "more bytes are needed");
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod codec;
mod coordination;
mod error;
mod format;
mod frame;
mod membership;
mod message;
mod prompt_placement;
mod record;
mod replicated_state;
mod updates;

pub use codec::{decode_record, encode_record};
pub use coordination::{
    CellGroupRecord, CellRecord, CoordinationChange, CoordinationRequest, CoordinationSnapshot,
    LockRecord, NumberRecord,
};
pub use error::DecodeError;
pub use format::{FRAME_VERSION, MAX_FRAME_BYTES};
pub use frame::{decode, encode};
pub use membership::{Addr, ControlPlaneInfo, MemberInfo, MembershipConfig};
pub use message::Message;
pub use prompt_placement::{PromptPart, PromptPlacement};
pub use record::Record;
pub use replicated_state::{AppliedRequest, Change, Command, LogPosition, Snapshot};
pub use updates::{
    ConfigurationUpdate, CoordinatorRecord, HostRecord, OriginUpdate, OriginVersion, Subscriber,
    TenantsUpdate,
};
