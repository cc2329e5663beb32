//! Protocols that clients speak, one file each: how a query is worded and what an answer says.

mod opensearch;
mod platform;

pub use opensearch::OpenSearch;
pub use platform::Platform;

use crate::plan::Planned;
use crate::scenario::{FrontName, Scenario};
use fake_hosts::event_log::{mark, AttemptRef};

/// A try of a query.
pub struct RequestContext<'a> {
    /// The query.
    pub planned: &'a Planned,
    /// Its number and the try's.
    pub reference: AttemptRef,
    /// The try's name, new with each.
    pub name: &'a str,
    /// The booking's key, the same for all tries.
    pub key: &'a str,
    /// How long the client waits.
    pub wait_ms: u64,
}

impl RequestContext<'_> {
    /// The mark that goes into the query's text.
    pub fn mark(&self) -> String {
        mark(
            self.reference,
            self.planned.parts.iter().map(|p| (p.shard, p.work_us)),
        )
    }
}

/// What an answer says.
#[derive(Clone, Debug, PartialEq)]
pub enum ParsedAnswer {
    /// Served.
    Served {
        /// Whether it is marked whole.
        full: bool,
        /// The shards that it says are in.
        shards: Vec<u32>,
        /// Values of hosts in it, by the attempts that they belong to.
        values: Vec<u64>,
    },
    /// Turned away.
    Refused,
    /// Failed, with this status.
    Failed(u16),
    /// Not to be read.
    Unreadable,
}

/// A protocol.
pub trait Driver: Send + Sync {
    /// Writes the request.
    fn request(&self, ask: &RequestContext, out: &mut Vec<u8>);
    /// Reads an answer.
    fn read(&self, ask: &RequestContext, status: u16, body: &[u8]) -> ParsedAnswer;
}

/// The drivers of a scenario's fronts, in its order.
pub fn of(scenario: &Scenario) -> Vec<Box<dyn Driver>> {
    let one = |f: &FrontName| -> Box<dyn Driver> {
        match f {
            FrontName::Platform => Box::new(Platform::new(scenario)),
            FrontName::OpenSearch => Box::new(OpenSearch::new(scenario)),
        }
    };
    scenario.traffic.fronts.iter().map(one).collect()
}

/// A POST with a JSON body.
fn post(out: &mut Vec<u8>, target: &str, headers: &str, body: &str) {
    let head = format!(
        "POST {target} HTTP/1.1\r\nHost: lab\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body.as_bytes());
}

/// What any front's status says where it is not 200.
fn not_served(status: u16) -> ParsedAnswer {
    match status {
        429 | 503 => ParsedAnswer::Refused,
        other => ParsedAnswer::Failed(other),
    }
}
