//! What a request says beside its query: parameters, the body's JSON, how long a scroll is kept.

use super::answer::Failure;
use super::{dsl, illegal, scroll};
use crate::net::http::Request;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::Duration;

pub(super) fn json_body(body: &[u8]) -> Result<Value, Failure> {
    if body.trim_ascii().is_empty() {
        return Ok(json!({}));
    }
    let value: Value = serde_json::from_slice(body)
        .map_err(|e| Failure::new(400, "parsing_exception", e.to_string()))?;
    if value.is_object() {
        Ok(value)
    } else {
        Err(Failure::new(
            400,
            "parsing_exception",
            "[request] must be an object",
        ))
    }
}

pub(super) fn keep_alive(text: &str) -> Result<Duration, Failure> {
    let keep = dsl::time("scroll", text)?;
    if keep > scroll::LONGEST {
        let most = scroll::LONGEST.as_secs();
        return Err(illegal(format!(
            "Keep alive for request ({text}) is too large. It must be less than ({most}s)"
        )));
    }
    Ok(keep)
}

/// The parameters after the '?': those that are known here, and no others.
pub(super) struct Params(BTreeMap<String, String>);

impl Params {
    pub(super) fn read(request: &Request, known: &[&str]) -> Result<Self, Failure> {
        let all: BTreeMap<String, String> = form_urlencoded::parse(request.query.as_bytes())
            .into_owned()
            .collect();
        match all.keys().find(|k| !known.contains(&k.as_str())) {
            Some(key) => {
                let path = &request.path;
                Err(illegal(format!(
                    "request [{path}] contains unrecognized parameter: [{key}]"
                )))
            }
            None => Ok(Self(all)),
        }
    }

    pub(super) fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }
}
