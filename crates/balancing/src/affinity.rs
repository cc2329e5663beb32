//! Affinity of prompts to hosts, by rendezvous hashing: all proxies derive the same order of hosts for each prompt
//! without communicating with each other.

use crate::random::mix;
use crate::types::PromptPart;

/// Offset basis of 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Hashes a host's identity with FNV-1a, a fixed function: all proxies must compute the same value.
pub(crate) fn host_hash(id: &str) -> u64 {
    id.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Computes the weight of a host for a prompt. The host with the highest weight is the prompt's affinity host; if it is
/// gone, the one with the next highest weight replaces it.
pub(crate) fn host_weight(affinity_key: u64, host_hash: u64) -> u64 {
    mix(mix(affinity_key) ^ host_hash)
}

/// Returns the key that assigns a prompt to a host: the id of its last shared part, or of its only part. `None` if the
/// prompt has no parts.
pub(crate) fn affinity_key(parts: &[PromptPart]) -> Option<u64> {
    match parts {
        [] => None,
        [only] => Some(only.id),
        [.., last_shared, _own] => Some(last_shared.id),
    }
}
