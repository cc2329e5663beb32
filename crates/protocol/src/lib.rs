//! Messages between the system's own processes: a frame is its length (u32, little endian), the format's
//! version (u8) and one [`Message`] in `binrw`'s form. No I/O.
//!
//! ```
//! use protocol::{decode, encode, Message};
//! let frame = encode(&Message::ReleaseLease { epoch: 7 });
//! assert_eq!(decode(&frame).unwrap(), Some((Message::ReleaseLease { epoch: 7 }, frame.len())));
//! assert_eq!(decode(&frame[..3]).unwrap(), None, "more bytes are needed");
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod hints;
mod ledger;
mod membership;
mod message;
mod news;
mod wire;

pub use hints::{Part, Placement};
pub use ledger::{AppliedRequest, Change, Command, LogPosition, Record, Snapshot};
pub use membership::{Addr, ControlPlaneInfo, MemberInfo, MembershipConfig};
pub use message::Message;
pub use news::{
    ConfigurationUpdate, CoordinatorRecord, HostRecord, OriginUpdate, OriginVersion, Subscriber,
};
pub use wire::{
    decode, decode_record, encode, encode_record, DecodeError, FRAME_VERSION, MAX_FRAME_BYTES,
};
