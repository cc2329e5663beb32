//! Parsers of a request's parameters, JSON body and scroll keep-alive time.

use super::answer::Failure;
use super::{dsl, illegal_argument, scroll};
use crate::net::http::Request;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::Duration;

/// Parses a body as a JSON object; an empty body is an empty object.
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

/// Parses a scroll's keep-alive time, of at most [`scroll::MAX_KEEP_ALIVE`].
pub(super) fn keep_alive(text: &str) -> Result<Duration, Failure> {
    let keep_alive = dsl::parse_time("scroll", text)?;
    if keep_alive > scroll::MAX_KEEP_ALIVE {
        let limit = scroll::MAX_KEEP_ALIVE.as_secs();
        return Err(illegal_argument(format!(
            "Keep alive for request ({text}) is too large. It must be less than ({limit}s)"
        )));
    }
    Ok(keep_alive)
}

/// The query parameters of a request; unknown ones are refused.
pub(super) struct Params(BTreeMap<String, String>);

impl Params {
    /// Parses the parameters; all must be among `known`.
    pub(super) fn read(request: &Request, known: &[&str]) -> Result<Self, Failure> {
        let all: BTreeMap<String, String> = form_urlencoded::parse(request.query.as_bytes())
            .into_owned()
            .collect();
        match all.keys().find(|k| !known.contains(&k.as_str())) {
            Some(key) => {
                let path = &request.path;
                Err(illegal_argument(format!(
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
