//! The memory of configuration orders that were taken. It is part of the ledger: replicas write it with each
//! change, and snapshots, takeovers, rewrites of the file and members that join carry it along.
//!
//! Versions only rise, so at most one order was ever taken on top of a given version. An order is therefore
//! looked up by the version that it builds on, and compared whole with the one that was taken there.

use crate::content::{hash_part, Content};
use protocol::AppliedRequest;
use sha2::{Digest, Sha256};
use std::collections::VecDeque;
use std::sync::Arc;

/// Orders in a chunk. Ledgers that follow one another share their full chunks.
const CHUNK_ORDERS: usize = 64;
/// Orders that are remembered at least; beyond these, the oldest chunk goes as a whole.
pub const MIN_REMEMBERED_ORDERS: usize = 4096;
const MAX_CHUNKS: usize = MIN_REMEMBERED_ORDERS / CHUNK_ORDERS;

/// The latest orders that were taken, oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AppliedRequests {
    full: VecDeque<Arc<[AppliedRequest]>>,
    tail: Vec<AppliedRequest>,
}

impl AppliedRequests {
    /// Adds an order that builds on a newer version than all before it.
    pub fn push(&mut self, order: AppliedRequest) {
        self.tail.push(order);
        if self.tail.len() < CHUNK_ORDERS {
            return;
        }
        self.full.push_back(std::mem::take(&mut self.tail).into());
        if self.full.len() > MAX_CHUNKS {
            self.full.pop_front();
        }
    }

    /// The orders, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &AppliedRequest> {
        self.full
            .iter()
            .flat_map(|chunk| chunk.iter())
            .chain(&self.tail)
    }

    /// The order that was taken on top of a version, where it is remembered.
    pub fn on(&self, base: u64) -> Option<&AppliedRequest> {
        let later = self
            .full
            .partition_point(|chunk| chunk[CHUNK_ORDERS - 1].base_version < base);
        let chunk = self
            .full
            .get(later)
            .map_or(&self.tail[..], |chunk| &chunk[..]);
        chunk
            .binary_search_by_key(&base, |order| order.base_version)
            .ok()
            .map(|at| &chunk[at])
    }

    /// The version that the oldest remembered order builds on.
    pub fn oldest_base(&self) -> Option<u64> {
        self.iter().next().map(|order| order.base_version)
    }
}

impl FromIterator<AppliedRequest> for AppliedRequests {
    fn from_iter<I: IntoIterator<Item = AppliedRequest>>(orders: I) -> Self {
        let mut accepted = Self::default();
        orders.into_iter().for_each(|order| accepted.push(order));
        accepted
    }
}

/// What tells an order from all others: the version that it builds on, the one that it brings (0 where the body
/// names none), and SHA-256 over the kind of the call and its content.
///
/// The content is what the body's JSON says: the order of keys, white space and escapes make no difference. A body
/// that is no JSON, or names a key of an object twice, is taken byte by byte.
pub fn fingerprint(base: u64, amend: bool, body: &[u8]) -> AppliedRequest {
    let mut hash = Sha256::new();
    hash.update([u8::from(amend)]);
    let content = Content::read(body);
    match &content {
        Some(content) => content.hash(&mut hash),
        None => hash_part(b'x', body, &mut hash),
    }
    let version = content
        .and_then(|content| content.whole_number("version"))
        .unwrap_or(0);
    AppliedRequest {
        base_version: base,
        version,
        digest: hash.finalize().into(),
    }
}
