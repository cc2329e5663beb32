//! Callers of the control API: one that repeats a call, one that hangs up, one whose call waits at a frozen member, and an
//! operator that sends one change after the other.

use super::{CALL_TIMEOUT, TIMEOUT};
use fennelpin_cli::control_client::{call_member, ControlAnswer, ControlCall};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A configuration with one route that tells who sent it.
pub fn configuration(version: u64, sender: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","hostname":"h.example","path_prefix":"/{sender}{version}/","route_class":"pure","deadline_ms":1000,"service":"s"}}],"services":[{{"name":"s"}}]}}"#
    )
}

/// A request to put a configuration on top of a version.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeRequest {
    pub base: u64,
    pub version: u64,
    pub body: String,
}

impl ChangeRequest {
    pub fn new(base: u64, version: u64, sender: &str) -> Self {
        Self {
            base,
            version,
            body: configuration(version, sender),
        }
    }

    pub fn call(&self) -> ControlCall<'_> {
        ControlCall {
            name: "Configuration.Replace",
            base_version: Some(self.base),
            body: Some(self.body.as_bytes()),
        }
    }
}

pub const READ: ControlCall = ControlCall {
    name: "Configuration.Read",
    base_version: None,
    body: None,
};

/// Version of the configuration in an answer.
pub fn configuration_version(answer: &ControlAnswer) -> u64 {
    let document: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    document["version"].as_u64().unwrap()
}

/// Calls one member after the other until there is a conclusive answer. The member that gave it is the first one the
/// next time.
pub fn call_until_conclusive(members: &mut [SocketAddr], call: &ControlCall) -> ControlAnswer {
    let end = Instant::now() + TIMEOUT;
    while Instant::now() < end {
        match call_member(members[0], call, CALL_TIMEOUT) {
            Ok(answer) if answer.status < 500 => return answer,
            _ => members.rotate_left(1),
        }
    }
    panic!("no clear answer to {call:?}");
}

/// A call as HTTP.
pub fn request_bytes(call: &ControlCall, close: bool) -> Vec<u8> {
    let method = if call.body.is_some() { "POST" } else { "GET" };
    let body = call.body.unwrap_or_default();
    let base = call
        .base_version
        .map_or_else(String::new, |b| format!("Fennelpin-Base-Version: {b}\r\n"));
    let close = if close { "Connection: close\r\n" } else { "" };
    let head = format!(
        "{method} /fennelpin/{} HTTP/1.1\r\nHost: control\r\n{close}Content-Length: {}\r\n{base}\r\n",
        call.name,
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Sends a call, and closes the connection without reading an answer.
pub fn call_and_hang_up(to: SocketAddr, call: &ControlCall) {
    // A member that can't be reached doesn't get it.
    let Ok(mut stream) = TcpStream::connect_timeout(&to, CALL_TIMEOUT) else {
        return;
    };
    let _ = stream.write_all(&request_bytes(call, false));
}

/// A call that waits in a socket while the member is frozen.
pub struct PendingCall {
    stream: TcpStream,
}

impl PendingCall {
    pub fn at(to: SocketAddr, call: &ControlCall) -> Self {
        let mut stream = TcpStream::connect_timeout(&to, CALL_TIMEOUT).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.write_all(&request_bytes(call, true)).unwrap();
        Self { stream }
    }

    /// The answer, once the member is thawed.
    pub fn answer(mut self) -> ControlAnswer {
        let mut text = Vec::new();
        self.stream.read_to_end(&mut text).unwrap();
        ControlAnswer::read(&text)
            .unwrap_or_else(|| panic!("no whole answer: {}", String::from_utf8_lossy(&text)))
    }
}

/// Sends one change after the other, each on top of the one before.
pub struct TestOperator {
    members: Vec<SocketAddr>,
    acknowledged: Vec<ChangeRequest>,
    /// When each was acknowledged.
    times: Vec<Instant>,
    /// Longest time from a change to its acknowledgement.
    pub longest: Duration,
}

impl TestOperator {
    pub fn new(members: Vec<SocketAddr>) -> Self {
        Self {
            members,
            acknowledged: Vec::new(),
            times: Vec::new(),
            longest: Duration::ZERO,
        }
    }

    /// The same operator, who calls other members.
    pub fn at(self, members: Vec<SocketAddr>) -> Self {
        Self { members, ..self }
    }

    /// The next change.
    pub fn next(&self) -> ChangeRequest {
        let base = self.newest();
        ChangeRequest::new(base, base + 1, "v")
    }

    /// Sends this many changes one after the other.
    pub fn apply_changes(&mut self, count: usize) {
        (0..count).for_each(|_| self.apply_next());
    }

    /// Sends the next change, and waits for its acknowledgement.
    pub fn apply_next(&mut self) {
        let next = self.next();
        self.send(next);
    }

    pub fn send(&mut self, order: ChangeRequest) {
        let start = Instant::now();
        let answer = call_until_conclusive(&mut self.members, &order.call());
        assert_eq!(
            answer.status,
            200,
            "{} on {}: {:?}",
            order.version,
            order.base,
            answer.result()
        );
        self.longest = self.longest.max(start.elapsed());
        self.acknowledged.push(order);
        self.times.push(Instant::now());
    }

    /// The newest acknowledged version.
    pub fn newest(&self) -> u64 {
        self.acknowledged.last().map_or(0, |o| o.version)
    }

    /// The newest acknowledged change.
    pub fn last(&self) -> &ChangeRequest {
        self.acknowledged.last().unwrap()
    }

    /// When a version was acknowledged at the latest.
    pub fn acknowledged(&self, version: u64) -> Option<Instant> {
        let at = self
            .acknowledged
            .iter()
            .position(|o| o.version == version)?;
        Some(self.times[at])
    }

    /// The newest version that was acknowledged before a moment.
    pub fn newest_at(&self, moment: Instant) -> u64 {
        let acknowledged = self.times.partition_point(|at| *at <= moment);
        acknowledged
            .checked_sub(1)
            .map_or(0, |last| self.acknowledged[last].version)
    }

    /// Number of acknowledged changes.
    pub fn count(&self) -> usize {
        self.acknowledged.len()
    }

    /// Checks that a member has the newest acknowledged configuration.
    pub fn assert_reads_back(&self, member: SocketAddr) {
        let answer = call_until_conclusive(&mut [member], &READ);
        let read = String::from_utf8(answer.body).unwrap();
        assert_eq!(read, self.last().body, "read back at {member}");
    }
}
