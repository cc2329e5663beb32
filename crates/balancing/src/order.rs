//! Rendezvous hashing: an order of hosts for each prompt that all proxies agree on without talk.

use crate::random::mix;
use crate::types::PromptPart;

/// A host's place in the hash space. FNV-1a, as all proxies must come to the same number.
pub(crate) fn place(id: &str) -> u64 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// A host's weight for a key: the heaviest is the key's home, the next takes over when it is gone.
pub(crate) fn weight(key: u64, place: u64) -> u64 {
    mix(mix(key) ^ place)
}

/// What a prompt is placed by: its last shared part, or its only part. `None` without parts.
pub(crate) fn key(parts: &[PromptPart]) -> Option<u64> {
    match parts {
        [] => None,
        [only] => Some(only.id),
        [.., shared, _own] => Some(shared.id),
    }
}
