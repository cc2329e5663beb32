//! The platform's protocol: `POST /<class>` with the parts in JSON.

use super::{not_served, post, Driver, ParsedAnswer, RequestContext};
use crate::scenario::{RepeatName, Scenario};
use serde::Deserialize;
use std::fmt::Write;

/// The platform's protocol.
pub struct Platform {
    classes: Vec<(String, bool)>,
    tenants: Vec<String>,
}

#[derive(Deserialize)]
struct Answer<'a> {
    full: bool,
    #[serde(borrow)]
    pieces: Vec<Piece<'a>>,
}

#[derive(Deserialize)]
struct Piece<'a> {
    tablet: u32,
    cell: &'a str,
}

impl Platform {
    /// For a scenario's classes and tenants.
    pub fn new(s: &Scenario) -> Self {
        let classes = s
            .classes
            .iter()
            .map(|c| (c.name.clone(), c.repeat == RepeatName::Keyed))
            .collect();
        Self {
            classes,
            tenants: s.tenants.iter().map(|t| t.name.clone()).collect(),
        }
    }
}

impl Driver for Platform {
    fn request(&self, ask: &RequestContext, out: &mut Vec<u8>) {
        let q = ask.planned;
        let (class, keyed) = &self.classes[usize::from(q.class)];
        let mut headers = format!(
            "Req-Id: {}\r\nReq-Kind: {class}\r\nReq-Owner: {}\r\nReq-Key: {:016x}\r\nReq-Deadline-Ms: {}\r\n",
            ask.name,
            self.tenants[usize::from(q.tenant)],
            q.key,
            ask.wait_ms
        );
        if *keyed {
            let _ = write!(headers, "Idempotency-Key: {}\r\n", ask.key);
        }
        let mut body = String::from("{\"tablets\":[");
        for (n, p) in q.parts.iter().enumerate() {
            let comma = if n > 0 { "," } else { "" };
            let _ = write!(
                body,
                "{comma}{{\"tablet\":{},\"fraction\":{:.6}}}",
                p.shard,
                p.weight.max(1e-6)
            );
        }
        let _ = write!(body, "],\"statement\":\"{}\"}}", ask.mark());
        post(out, &format!("/{class}"), &headers, &body);
    }

    fn read(&self, _ask: &RequestContext, status: u16, body: &[u8]) -> ParsedAnswer {
        if status != 200 {
            return not_served(status);
        }
        let Ok(answer) = serde_json::from_slice::<Answer>(body) else {
            return ParsedAnswer::Unreadable;
        };
        let values: Option<Vec<u64>> = answer
            .pieces
            .iter()
            .map(|p| u64::from_str_radix(p.cell, 16).ok())
            .collect();
        match values {
            Some(values) => {
                let shards = answer.pieces.iter().map(|p| p.tablet).collect();
                ParsedAnswer::Served {
                    full: answer.full,
                    shards,
                    values,
                }
            }
            None => ParsedAnswer::Unreadable,
        }
    }
}
