//! The content of a configuration request's body: the meaning of its JSON, regardless of its notation.
//!
//! A separate visitor reads it instead of `serde_json::Value`, which keeps only the last of several values of a key,
//! so that two different bodies would count as one request.

use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt;

/// Integers below this bound (2^53) are equal whether they are written with a fraction or without.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

/// A JSON value in which no object repeats a key.
#[derive(Debug)]
pub(crate) enum Content {
    Null,
    Bool(bool),
    /// A number's canonical text.
    Number(String),
    Text(String),
    List(Vec<Content>),
    Object(BTreeMap<String, Content>),
}

impl Content {
    /// The content of a body; `None` if it isn't JSON or repeats a key.
    pub(crate) fn parse(body: &[u8]) -> Option<Content> {
        serde_json::from_slice(body).ok()
    }

    /// The integer at a key of an object.
    pub(crate) fn integer(&self, key: &str) -> Option<u64> {
        match self {
            Content::Object(fields) => match fields.get(key)? {
                Content::Number(text) => text.parse().ok(),
                _ => None,
            },
            _ => None,
        }
    }

    /// Adds the content to a hash.
    pub(crate) fn hash(&self, hash: &mut Sha256) {
        match self {
            Content::Null => hash_part(b'z', b"", hash),
            Content::Bool(value) => hash_part(b'b', &[u8::from(*value)], hash),
            Content::Number(text) => hash_part(b'n', text.as_bytes(), hash),
            Content::Text(text) => hash_part(b's', text.as_bytes(), hash),
            Content::List(values) => {
                hash_length(b'a', values.len(), hash);
                values.iter().for_each(|value| value.hash(hash));
            }
            Content::Object(fields) => {
                hash_length(b'o', fields.len(), hash);
                for (name, value) in fields {
                    hash_part(b'k', name.as_bytes(), hash);
                    value.hash(hash);
                }
            }
        }
    }
}

/// Adds a part with its kind and length to a hash, so that no two sequences of parts have the same bytes.
pub(crate) fn hash_part(kind: u8, bytes: &[u8], hash: &mut Sha256) {
    hash_length(kind, bytes.len(), hash);
    hash.update(bytes);
}

fn hash_length(kind: u8, length: usize, hash: &mut Sha256) {
    hash.update([kind]);
    hash.update((length as u64).to_le_bytes());
}

impl<'de> Deserialize<'de> for Content {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ContentVisitor)
    }
}

struct ContentVisitor;

impl<'de> Visitor<'de> for ContentVisitor {
    type Value = Content;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a JSON value without repeated keys")
    }

    fn visit_unit<E: Error>(self) -> Result<Content, E> {
        Ok(Content::Null)
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Content, E> {
        Ok(Content::Bool(value))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Content, E> {
        Ok(Content::Number(value.to_string()))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Content, E> {
        Ok(Content::Number(value.to_string()))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Content, E> {
        let whole = value.fract() == 0.0 && value.abs() < MAX_EXACT_INTEGER;
        Ok(Content::Number(if whole {
            (value as i64).to_string()
        } else {
            format!("{value:e}")
        }))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Content, E> {
        Ok(Content::Text(text.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Content, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = items.next_element()? {
            list.push(item);
        }
        Ok(Content::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Content, A::Error> {
        let mut fields = BTreeMap::new();
        while let Some((key, value)) = entries.next_entry::<String, Content>()? {
            if fields.insert(key, value).is_some() {
                return Err(A::Error::custom("a key is repeated"));
            }
        }
        Ok(Content::Object(fields))
    }
}
