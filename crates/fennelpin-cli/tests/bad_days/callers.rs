//! Callers of the control API: one that is heard out, one that hangs up, one that calls in advance, and an operator
//! that sends one order after the other.

use fennelpin_cli::control_client::{call_member, ControlAnswer, ControlCall};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What doesn't happen within this time doesn't happen.
pub const LONG: Duration = Duration::from_secs(20);
/// An operator's wait for one member.
pub const SECOND: Duration = Duration::from_secs(1);

/// A configuration whose one route tells who sent it.
pub fn configuration(version: u64, sender: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","hostname":"h.example","path_prefix":"/{sender}{version}/","route_class":"pure","deadline_ms":1000,"service":"s"}}],"services":[{{"name":"s"}}]}}"#
    )
}

/// An order: a configuration on top of a version.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    pub base: u64,
    pub version: u64,
    pub body: String,
}

impl Order {
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

/// The version that an answer's configuration has.
pub fn version_of(answer: &ControlAnswer) -> u64 {
    let document: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    document["version"].as_u64().unwrap()
}

/// Makes a call of one member after the other, unchanged, until there is a clear answer. The member that gave it
/// is the first to be asked the next time.
pub fn until_clear(members: &mut [SocketAddr], call: &ControlCall) -> ControlAnswer {
    let end = Instant::now() + LONG;
    while Instant::now() < end {
        match call_member(members[0], call, SECOND) {
            Ok(answer) if answer.status < 500 => return answer,
            _ => members.rotate_left(1),
        }
    }
    panic!("no clear answer to {call:?}");
}

/// The text of a call.
pub fn text_of(call: &ControlCall, close: bool) -> Vec<u8> {
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

/// Makes a call and closes the connection before an answer can be read.
pub fn hang_up(to: SocketAddr, call: &ControlCall) {
    // One that can't be reached hears nothing.
    let Ok(mut stream) = TcpStream::connect_timeout(&to, SECOND) else {
        return;
    };
    let _ = stream.write_all(&text_of(call, false));
}

/// A call that waits in a member's sockets while the member stands still.
pub struct Waiting {
    stream: TcpStream,
}

impl Waiting {
    pub fn at(to: SocketAddr, call: &ControlCall) -> Self {
        let mut stream = TcpStream::connect_timeout(&to, SECOND).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream.write_all(&text_of(call, true)).unwrap();
        Self { stream }
    }

    /// The answer, once the member is awake.
    pub fn answer(mut self) -> ControlAnswer {
        let mut text = Vec::new();
        self.stream.read_to_end(&mut text).unwrap();
        ControlAnswer::read(&text)
            .unwrap_or_else(|| panic!("no whole answer: {}", String::from_utf8_lossy(&text)))
    }
}

/// Sends one order after the other, each on the one before.
pub struct Operator {
    members: Vec<SocketAddr>,
    taken: Vec<Order>,
    /// When the acknowledgement of each had come.
    times: Vec<Instant>,
    /// The longest that an order has waited for its acknowledgement.
    pub longest: Duration,
}

impl Operator {
    pub fn new(members: Vec<SocketAddr>) -> Self {
        Self {
            members,
            taken: Vec::new(),
            times: Vec::new(),
            longest: Duration::ZERO,
        }
    }

    /// The same operator with another list of members.
    pub fn at(self, members: Vec<SocketAddr>) -> Self {
        Self { members, ..self }
    }

    /// The order that comes next.
    pub fn next(&self) -> Order {
        let base = self.newest();
        Order::new(base, base + 1, "v")
    }

    /// Sends the next order and waits for its acknowledgement.
    pub fn order(&mut self) {
        let next = self.next();
        self.send(next);
    }

    pub fn send(&mut self, order: Order) {
        let start = Instant::now();
        let answer = until_clear(&mut self.members, &order.call());
        assert_eq!(
            answer.status,
            200,
            "{} on {}: {:?}",
            order.version,
            order.base,
            answer.result()
        );
        self.longest = self.longest.max(start.elapsed());
        self.taken.push(order);
        self.times.push(Instant::now());
    }

    /// The newest version acknowledged.
    pub fn newest(&self) -> u64 {
        self.taken.last().map_or(0, |o| o.version)
    }

    /// The newest order acknowledged.
    pub fn last(&self) -> &Order {
        self.taken.last().unwrap()
    }

    /// When the acknowledgement of a version had come, the latest.
    pub fn acknowledged(&self, version: u64) -> Option<Instant> {
        let at = self.taken.iter().position(|o| o.version == version)?;
        Some(self.times[at])
    }

    /// The newest version that was acknowledged at a moment.
    pub fn newest_at(&self, moment: Instant) -> u64 {
        let acknowledged = self.times.partition_point(|at| *at <= moment);
        acknowledged
            .checked_sub(1)
            .map_or(0, |last| self.taken[last].version)
    }

    /// How many were acknowledged.
    pub fn count(&self) -> usize {
        self.taken.len()
    }

    /// Reads the newest back at a member.
    pub fn read_back(&self, member: SocketAddr) {
        let answer = until_clear(&mut [member], &READ);
        let read = String::from_utf8(answer.body).unwrap();
        assert_eq!(read, self.last().body, "read back at {member}");
    }
}
