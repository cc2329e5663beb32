//! The memory of configuration orders that were taken. It is part of the ledger: replicas write it with each
//! change, and snapshots, takeovers, rewrites of the file and members that join carry it along.
//!
//! Versions only rise, so at most one order was ever taken on top of a given version. An order is therefore
//! looked up by the version that it builds on, and compared whole with the one that was taken there.

use protocol::AcceptedCall;
use serde_json::{Number, Value};
use sha2::{Digest, Sha256};
use std::collections::VecDeque;
use std::sync::Arc;

/// Orders in a chunk. Ledgers that follow one another share their full chunks.
const CHUNK_ORDERS: usize = 64;
/// Orders that are remembered at least; beyond these, the oldest chunk goes as a whole.
pub const MIN_REMEMBERED_ORDERS: usize = 4096;
const MAX_CHUNKS: usize = MIN_REMEMBERED_ORDERS / CHUNK_ORDERS;
/// Whole numbers up to here are the same whether they are written with a fraction or without.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

/// The latest orders that were taken, oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AcceptedOrders {
    full: VecDeque<Arc<[AcceptedCall]>>,
    tail: Vec<AcceptedCall>,
}

impl AcceptedOrders {
    /// Adds an order that builds on a newer version than all before it.
    pub fn push(&mut self, order: AcceptedCall) {
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
    pub fn iter(&self) -> impl Iterator<Item = &AcceptedCall> {
        self.full.iter().flat_map(|chunk| chunk.iter()).chain(&self.tail)
    }

    /// The order that was taken on top of a version, where it is remembered.
    pub fn on(&self, base: u64) -> Option<&AcceptedCall> {
        let later = self.full.partition_point(|chunk| chunk[CHUNK_ORDERS - 1].base < base);
        let chunk = self.full.get(later).map_or(&self.tail[..], |chunk| &chunk[..]);
        chunk.binary_search_by_key(&base, |order| order.base).ok().map(|at| &chunk[at])
    }

    /// The version that the oldest remembered order builds on.
    pub fn oldest_base(&self) -> Option<u64> {
        self.iter().next().map(|order| order.base)
    }
}

impl FromIterator<AcceptedCall> for AcceptedOrders {
    fn from_iter<I: IntoIterator<Item = AcceptedCall>>(orders: I) -> Self {
        let mut accepted = Self::default();
        orders.into_iter().for_each(|order| accepted.push(order));
        accepted
    }
}

/// What tells an order from all others: the version that it builds on, the one that it brings (0 where the body
/// names none), and SHA-256 over the kind of the call and its content.
///
/// The content is the body's JSON value: the order of keys, white space and escapes make no difference. A body
/// that is no JSON is taken byte by byte.
pub fn fingerprint(base: u64, amend: bool, body: &[u8]) -> AcceptedCall {
    let mut hash = Sha256::new();
    hash.update([u8::from(amend)]);
    let value: Option<Value> = serde_json::from_slice(body).ok();
    match &value {
        Some(value) => hash_value(value, &mut hash),
        None => hash_part(b'x', body, &mut hash),
    }
    let version = value.as_ref().and_then(|v| v.get("version")).and_then(Value::as_u64).unwrap_or(0);
    AcceptedCall { base, version, digest: hash.finalize().into() }
}

fn hash_value(value: &Value, hash: &mut Sha256) {
    match value {
        Value::Null => hash_part(b'z', b"", hash),
        Value::Bool(value) => hash_part(b'b', &[u8::from(*value)], hash),
        Value::Number(number) => hash_part(b'n', number_text(number).as_bytes(), hash),
        Value::String(text) => hash_part(b's', text.as_bytes(), hash),
        Value::Array(values) => {
            hash_length(b'a', values.len(), hash);
            values.iter().for_each(|value| hash_value(value, hash));
        }
        Value::Object(fields) => {
            hash_length(b'o', fields.len(), hash);
            let mut fields: Vec<(&String, &Value)> = fields.iter().collect();
            fields.sort_unstable_by_key(|field| field.0);
            for (name, value) in fields {
                hash_part(b'k', name.as_bytes(), hash);
                hash_value(value, hash);
            }
        }
    }
}

fn number_text(number: &Number) -> String {
    match number.as_f64() {
        Some(value) if number.is_f64() && value.fract() == 0.0 && value.abs() < MAX_EXACT_INTEGER => {
            (value as i64).to_string()
        }
        _ => number.to_string(),
    }
}

/// A part with its kind and length, so that no two sequences of parts have the same bytes.
fn hash_part(kind: u8, bytes: &[u8], hash: &mut Sha256) {
    hash_length(kind, bytes.len(), hash);
    hash.update(bytes);
}

fn hash_length(kind: u8, length: usize, hash: &mut Sha256) {
    hash.update([kind]);
    hash.update((length as u64).to_le_bytes());
}
