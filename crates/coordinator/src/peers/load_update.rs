//! A word on the wire: a version, a checksum, and what `postcard` makes of the rest.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// A longer datagram is against the platform's rule.
pub const MOST_BYTES: usize = 256;
const VERSION: u8 = 1;
const HEAD: usize = 3;

/// A host in a word: 24 bits of its name's hash. Two hosts of one list may share one, if seldom (1 in 800 for
/// 200 hosts); what is told of either then counts for none.
pub type HostTag = [u8; 3];

/// The tag of a host's name, the same in every process.
pub fn tag(name: &str) -> HostTag {
    let mut hash = SipHasher13::new();
    hash.write(name.as_bytes());
    let h = hash.finish().to_be_bytes();
    [h[0], h[1], h[2]]
}

/// What one coordinator says at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// Since when its process lives: a later life beats an earlier one.
    pub life: u64,
    /// Its number within that life.
    pub seq: u32,
    /// Own parts out, by host.
    pub hosts: Vec<(HostTag, u16)>,
}

/// Bytes that may go out: never more than [`MOST_BYTES`].
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
    /// Empty or longer than allowed.
    #[error("of a length that no word has")]
    Length,
    /// Of another version.
    #[error("of another version")]
    Version,
    /// Garbled.
    #[error("garbled")]
    Garbled,
}

fn sum(body: &[u8]) -> [u8; 2] {
    let mut hash = SipHasher13::new();
    hash.write(body);
    let h = hash.finish().to_be_bytes();
    [h[0], h[1]]
}

impl LoadUpdate {
    /// The word as a datagram, and how many of its hosts fit, from the first on.
    pub fn write(&self) -> (Datagram, usize) {
        // Six bytes for a host at most, so a cut to what fits ends soon.
        let mut fit = self.hosts.len().min(MOST_BYTES / 4);
        loop {
            let word = LoadUpdate {
                hosts: self.hosts[..fit].to_vec(),
                ..*self
            };
            let body = postcard::to_allocvec(&word).unwrap_or_default();
            if HEAD + body.len() <= MOST_BYTES || fit == 0 {
                let check = sum(&body);
                return (Datagram([&[VERSION], &check[..], &body[..]].concat()), fit);
            }
            fit -= 1;
        }
    }

    /// Reads what came.
    pub fn read(bytes: &[u8]) -> Result<Self, UpdateError> {
        if bytes.len() <= HEAD || bytes.len() > MOST_BYTES {
            return Err(UpdateError::Length);
        }
        if bytes[0] != VERSION {
            return Err(UpdateError::Version);
        }
        if bytes[1..HEAD] != sum(&bytes[HEAD..]) {
            return Err(UpdateError::Garbled);
        }
        match postcard::take_from_bytes(&bytes[HEAD..]) {
            Ok((word, [])) => Ok(word),
            _ => Err(UpdateError::Garbled),
        }
    }
}
