//! A load update on the wire: a version in one byte, a checksum in two, and then the fields as `postcard` writes
//! them.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Longest datagram, by the platform's rule.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The version of the format.
const VERSION: u8 = 1;
/// Bytes before the fields: the version and the checksum.
const HEADER_BYTES: usize = 3;
/// Fewest bytes that a host takes in an update.
const MIN_HOST_BYTES: usize = 4;

/// A host in an update: 24 bits of its name's hash. Two hosts of one list may share a tag (1 in 800 for 200
/// hosts); what is told of either then counts for none.
pub type HostTag = [u8; 3];

/// The tag of a host's name, the same in every process.
pub fn host_tag(name: &str) -> HostTag {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    let hash = hasher.finish().to_be_bytes();
    [hash[0], hash[1], hash[2]]
}

/// What one coordinator tells its peers at a time. The order of the fields is the order on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// The incarnation of the sender's process. A later one supersedes an earlier one.
    pub incarnation: u64,
    /// The number of the update within the incarnation.
    pub sequence: u32,
    /// The sender's own parts in flight, by host.
    pub in_flight: Vec<(HostTag, u16)>,
}

/// The bytes of an update: at most [`MAX_DATAGRAM_BYTES`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram(Vec<u8>);

impl Datagram {
    /// The bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpdateError {
    /// It is empty or longer than allowed.
    #[error("of a length that no word has")]
    Length,
    /// It is of another version.
    #[error("of another version")]
    Version,
    /// The checksum is wrong, or the fields can't be read.
    #[error("garbled")]
    Garbled,
}

fn checksum(body: &[u8]) -> [u8; 2] {
    let mut hasher = SipHasher13::new();
    hasher.write(body);
    let hash = hasher.finish().to_be_bytes();
    [hash[0], hash[1]]
}

impl LoadUpdate {
    /// Encodes the update. Returns the datagram and how many hosts fit into it, from the first on.
    pub fn encode(&self) -> (Datagram, usize) {
        let mut hosts = self
            .in_flight
            .len()
            .min(MAX_DATAGRAM_BYTES / MIN_HOST_BYTES);
        loop {
            let update = LoadUpdate {
                in_flight: self.in_flight[..hosts].to_vec(),
                ..*self
            };
            let body = postcard::to_allocvec(&update).unwrap_or_default();
            if HEADER_BYTES + body.len() <= MAX_DATAGRAM_BYTES || hosts == 0 {
                let datagram = [&[VERSION], &checksum(&body)[..], &body[..]].concat();
                return (Datagram(datagram), hosts);
            }
            // A host takes six bytes at most, so this ends soon.
            hosts -= 1;
        }
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// If the datagram is of a wrong length, of another version, or garbled.
    pub fn decode(bytes: &[u8]) -> Result<Self, UpdateError> {
        if bytes.len() <= HEADER_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(UpdateError::Length);
        }
        if bytes[0] != VERSION {
            return Err(UpdateError::Version);
        }
        let (header, body) = bytes.split_at(HEADER_BYTES);
        if header[1..] != checksum(body) {
            return Err(UpdateError::Garbled);
        }
        match postcard::take_from_bytes(body) {
            Ok((update, [])) => Ok(update),
            _ => Err(UpdateError::Garbled),
        }
    }
}
