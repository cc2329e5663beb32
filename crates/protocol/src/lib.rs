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

mod message;
mod wire;

pub use message::*;
pub use wire::{decode, encode, read_one, write_one, Broken, MOST, VERSION};
