//! Wire format of a load update: a version of one byte, a checksum of two bytes, and the fields in `postcard`
//! encoding.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Longest datagram in bytes, a limit of the platform.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Version of the wire format.
const VERSION: u8 = 1;
/// Number of bytes before the fields: the version and the checksum.
const HEADER_BYTES: usize = 3;
/// Smallest number of bytes that a host takes in an update.
const MIN_HOST_BYTES: usize = 4;

/// A short identifier of a host: 24 bits of its name's hash. Two hosts of one list may share a tag (probability 1 in
/// 800 for 200 hosts); updates for a shared tag are then ignored.
pub type HostTag = [u8; 3];

/// Returns the tag of a host's name, which is the same in every process.
pub fn host_tag(name: &str) -> HostTag {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    let hash = hasher.finish().to_be_bytes();
    [hash[0], hash[1], hash[2]]
}

/// An update of one coordinator to its peers. The order of the fields is their order on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// Incarnation of the sender's process. A larger one supersedes a smaller one.
    pub incarnation: u64,
    /// Sequence number of the update within the incarnation.
    pub sequence: u32,
    /// The sender's own parts in flight at each host.
    pub in_flight: Vec<(HostTag, u16)>,
}

/// An encoded update of at most [`MAX_DATAGRAM_BYTES`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram(Vec<u8>);

impl Datagram {
    /// Returns the bytes to send.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

/// The reason for which a datagram can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpdateError {
    /// The datagram has no fields or is longer than allowed.
    #[error("the datagram has an invalid length")]
    Length,
    /// The datagram has another version.
    #[error("the datagram has an unsupported version")]
    Version,
    /// The checksum is wrong, or the fields can't be decoded.
    #[error("the datagram is corrupt")]
    Garbled,
}

fn checksum(body: &[u8]) -> [u8; 2] {
    let mut hasher = SipHasher13::new();
    hasher.write(body);
    let hash = hasher.finish().to_be_bytes();
    [hash[0], hash[1]]
}

impl LoadUpdate {
    /// Encodes the update. Returns the datagram and the number of hosts in it, which are the first of `in_flight`.
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
            // A host takes at most six bytes, so few iterations are needed.
            hosts -= 1;
        }
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// If the datagram has an invalid length or another version, or is corrupt.
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
