//! Protocols that clients speak, one file each: how a query is worded and what an answer says.

mod opensearch;
mod platform;

pub use opensearch::OpenSearch;
pub use platform::Platform;

use crate::plan::Planned;
use crate::scenario::{FrontName, Scenario};
use fake_hosts::ledger::{mark, Ref};

/// A try of a query.
pub struct Ask<'a> {
    /// The query.
    pub planned: &'a Planned,
    /// Its number and the try's.
    pub reference: Ref,
    /// The try's name, new with each.
    pub name: &'a str,
    /// The booking's key, the same for all tries.
    pub key: &'a str,
    /// How long the client waits.
    pub wait_ms: u64,
}

impl Ask<'_> {
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
pub enum Said {
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
    fn request(&self, ask: &Ask, out: &mut Vec<u8>);
    /// Reads an answer.
    fn read(&self, ask: &Ask, status: u16, body: &[u8]) -> Said;
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
fn not_served(status: u16) -> Said {
    match status {
        429 | 503 => Said::Refused,
        other => Said::Failed(other),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::path::Path;

    #[test]
    fn answers_of_both_fronts_are_read_for_what_they_claim() {
        let text = "name = 'x'\nlength_s = 5\n[traffic]\nfronts = ['platform', 'opensearch']\n\
                    [[traffic.shape]]\nkind = 'steady'\nrate = 100\n";
        let s = Scenario::parse(text, Path::new("x.toml")).unwrap();
        let mut planned = crate::plan::Mixer::new(&s).query(0, Some(1), Some(2), Some(3));
        planned.parts.truncate(2);
        let (a, b) = (planned.parts[0].shard, planned.parts[1].shard);
        let ask = Ask {
            planned: &planned,
            reference: Ref {
                query: 7,
                attempt: 1,
            },
            name: "n1",
            key: "k1",
            wait_ms: 900,
        };
        let drivers = of(&s);
        let mut out = Vec::new();
        drivers[0].request(&ask, &mut out);
        let asked = String::from_utf8(out).unwrap();
        assert!(
            asked.starts_with("POST /fleet-report HTTP/1.1\r\n") && asked.contains("lab:7.1:"),
            "{asked}"
        );
        assert!(
            asked.contains("Req-Owner: coop-hay-hassani\r\n")
                && asked.contains("Req-Deadline-Ms: 900\r\n")
        );
        let body = format!(
            "{{\"full\":false,\"pieces\":[{{\"tablet\":{a},\"cell\":\"000000000000002a\"}}]}}"
        );
        let said = drivers[0].read(&ask, 200, body.as_bytes());
        assert_eq!(
            said,
            Said::Served {
                full: false,
                shards: vec![a],
                values: vec![42]
            }
        );
        assert_eq!(drivers[0].read(&ask, 503, b""), Said::Refused);
        assert_eq!(drivers[0].read(&ask, 504, b""), Said::Failed(504));
        assert_eq!(
            drivers[0].read(&ask, 200, b"{\"full\":tr"),
            Said::Unreadable
        );

        let mut out = Vec::new();
        drivers[1].request(&ask, &mut out);
        let asked = String::from_utf8(out).unwrap();
        assert!(
            asked.starts_with("POST /fleet-report/_search?timeout=900ms"),
            "{asked}"
        );
        let hit = "{\"_id\":\"000000000000002a-3\"}";
        let fail = format!("{{\"shard\":{b},\"reason\":{{}}}}");
        let body = format!(
            "{{\"timed_out\":false,\"_shards\":{{\"total\":2,\"successful\":1,\"failed\":1,\"failures\":[{fail}]}},\
             \"hits\":{{\"hits\":[{hit},{hit}]}}}}"
        );
        let said = drivers[1].read(&ask, 200, body.as_bytes());
        assert_eq!(
            said,
            Said::Served {
                full: false,
                shards: vec![a],
                values: vec![42]
            }
        );
        let lying = body.replace("\"successful\":1", "\"successful\":2");
        assert_eq!(
            drivers[1].read(&ask, 200, lying.as_bytes()),
            Said::Unreadable,
            "its counts don't add up"
        );
    }
}
