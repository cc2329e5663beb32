//! Rendezvous hashing (highest random weight): each pair of key and candidate has a weight, and a key is assigned to
//! the candidate with the highest weight. Adding or removing a candidate reassigns only the keys of that candidate.
//!
//! ```
//! let members = [1u64, 2, 3];
//! let ranking = rendezvous::ranked("tenant-7", members, |id| id.to_be_bytes().to_vec());
//! let others: Vec<u64> = ranking[1..].to_vec();
//! assert_eq!(rendezvous::ranked("tenant-7", others.clone(), |id| id.to_be_bytes().to_vec()), others);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Computes the weight of `candidate` for `key`. All processes compute the same weight.
pub fn rendezvous_weight(key: &str, candidate: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(key.as_bytes());
    hasher.write(&[0xff]);
    hasher.write(candidate);
    hasher.finish()
}

/// Sorts the candidates by descending weight for `key`. `bytes` returns the bytes of a candidate that are hashed.
pub fn ranked<T: Ord>(
    key: &str,
    candidates: impl IntoIterator<Item = T>,
    bytes: impl Fn(&T) -> Vec<u8>,
) -> Vec<T> {
    let mut all: Vec<(u64, T)> = candidates
        .into_iter()
        .map(|c| (rendezvous_weight(key, &bytes(&c)), c))
        .collect();
    all.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
    all.into_iter().map(|(_, c)| c).collect()
}
