//! The configuration requests that were applied. They make repeated requests idempotent. They are part of the
//! replicated state, so replicas, snapshots, rewritten files and joining members all have them.
//!
//! Versions only rise, so at most one request was ever applied to a given version. A request is therefore looked up by
//! its base version, and compared as a whole with the one that was applied to it.

use crate::content::{hash_part, Content};
use protocol::AppliedRequest;
use sha2::{Digest, Sha256};
use std::collections::VecDeque;
use std::sync::Arc;

/// Number of requests per chunk. Successive states share their full chunks.
const CHUNK_REQUESTS: usize = 64;
/// Minimum number of requests that are retained. Beyond it, the oldest chunk is dropped as a whole.
pub const MIN_RETAINED_REQUESTS: usize = 4096;
const MAX_CHUNKS: usize = MIN_RETAINED_REQUESTS / CHUNK_REQUESTS;

/// The latest requests that were applied, oldest first. The cost of a copy doesn't depend on their number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AppliedRequests {
    full: Arc<VecDeque<Arc<[AppliedRequest]>>>,
    tail: Arc<Vec<AppliedRequest>>,
}

impl AppliedRequests {
    /// Adds a request whose base version is newer than those of all requests before it.
    pub fn push(&mut self, request: AppliedRequest) {
        let tail = Arc::make_mut(&mut self.tail);
        tail.push(request);
        if tail.len() < CHUNK_REQUESTS {
            return;
        }
        let full = Arc::make_mut(&mut self.full);
        full.push_back(std::mem::take(tail).into());
        if full.len() > MAX_CHUNKS {
            full.pop_front();
        }
    }

    /// The requests, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &AppliedRequest> {
        self.full
            .iter()
            .flat_map(|chunk| chunk.iter())
            .chain(self.tail.iter())
    }

    /// The request that was applied to a version, if it is retained.
    pub fn applied_to(&self, base: u64) -> Option<&AppliedRequest> {
        let position = self
            .full
            .partition_point(|chunk| chunk[CHUNK_REQUESTS - 1].base_version < base);
        let chunk = match self.full.get(position) {
            Some(chunk) => &chunk[..],
            None => &self.tail[..],
        };
        let found = chunk.binary_search_by_key(&base, |request| request.base_version);
        found.ok().map(|position| &chunk[position])
    }

    /// The base version of the oldest retained request.
    pub fn oldest_base(&self) -> Option<u64> {
        self.iter().next().map(|request| request.base_version)
    }
}

impl FromIterator<AppliedRequest> for AppliedRequests {
    fn from_iter<I: IntoIterator<Item = AppliedRequest>>(requests: I) -> Self {
        let mut applied = Self::default();
        for request in requests {
            applied.push(request);
        }
        applied
    }
}

/// The identity of a configuration request: its base version, the version that its body names (0 if none), and the
/// SHA-256 digest of its kind and content.
///
/// The content is the meaning of the body's JSON: the order of keys, white space and escapes make no difference. A
/// body that isn't JSON, or that repeats a key of an object, is hashed byte by byte.
pub fn request_fingerprint(base: u64, amend: bool, body: &[u8]) -> AppliedRequest {
    let mut hash = Sha256::new();
    hash.update([u8::from(amend)]);
    let content = Content::parse(body);
    match &content {
        Some(content) => content.hash(&mut hash),
        None => hash_part(b'x', body, &mut hash),
    }
    let version = content.and_then(|content| content.integer("version"));
    AppliedRequest {
        base_version: base,
        version: version.unwrap_or(0),
        digest: hash.finalize().into(),
    }
}
