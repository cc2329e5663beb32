//! Affinity of prompts to hosts, by rendezvous hashing: all proxies agree on an order of the hosts for each prompt
//! without talking to each other.

use crate::random::mix;
use crate::types::PromptPart;

/// FNV-1a's offset basis and prime for 64 bits.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Hash of a host's identity. FNV-1a, as all proxies have to come to the same number.
pub(crate) fn host_hash(id: &str) -> u64 {
    id.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Weight of a host for a prompt. The heaviest host is the prompt's affinity host; where that one is gone the next
/// heaviest takes over.
pub(crate) fn weight(affinity_key: u64, host_hash: u64) -> u64 {
    mix(mix(affinity_key) ^ host_hash)
}

/// What a prompt is placed by: the id of its last shared part, or of its only part. `None` without parts.
pub(crate) fn affinity_key(parts: &[PromptPart]) -> Option<u64> {
    match parts {
        [] => None,
        [only] => Some(only.id),
        [.., last_shared, _own] => Some(last_shared.id),
    }
}
