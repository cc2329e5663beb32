//! Clients of the control plane: requests at given times, retried after an unclear answer.

use configuration::Configuration;
use protocol::Command;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

/// How often a request is sent at most.
pub(super) const MAX_ATTEMPTS: u64 = 4;
/// Number of tickets of one request.
const TICKETS_PER_REQUEST: u64 = 16;
/// Pause before a request without a definite answer is sent again.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(150);

/// What is asked of the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// A new configuration on the newest acknowledged one.
    Change,
    /// Another content with the base and version of the latest change: the request of a second client.
    Rival,
    /// A configuration on the version that the next change is going to lead to.
    OnNextVersion,
    /// The latest change once more, byte for byte.
    Repeat,
    /// The first change once more, after others.
    RepeatFirst,
    /// The drain of a host.
    Drain,
    /// A read of the newest configuration.
    Read,
}

/// A request with its time and the member that receives it.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledRequest {
    /// When it is sent, counted from the end of the members' start.
    pub at: Duration,
    /// The machine that is asked first.
    pub to: usize,
    /// What is asked.
    pub request: Request,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum RequestOutcome {
    /// No definite answer yet.
    Open,
    Acknowledged,
    Rejected,
}

/// A request that was sent.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) command: Arc<Command>,
    /// Requests with one content are the same request.
    pub(super) content: usize,
    pub(super) base: u64,
    pub(super) version: u64,
    /// Newest acknowledged version when it was sent first.
    pub(super) newest_at_send: u64,
    pub(super) attempts: u64,
    /// The machine that it was sent to last.
    pub(super) at: Option<usize>,
    pub(super) outcome: RequestOutcome,
}

impl Hash for PendingRequest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let identity = (self.content, self.base, self.version, self.newest_at_send);
        (identity, self.attempts, self.at, self.outcome).hash(state);
    }
}

/// All requests so far, by number.
#[derive(Clone, Debug, Default, Hash)]
pub(super) struct Clients {
    pub(super) requests: Vec<PendingRequest>,
}

fn body(version: u64, name: &str) -> Vec<u8> {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"{name}","hostname":"h.example","path_prefix":"/","route_class":"pure","deadline_ms":1000,"service":"s"}}],"services":[{{"name":"s"}}],"limits":{{}}}}"#
    )
    .into_bytes()
}

/// The version that a change leads to if it is request `number`.
fn next_version(newest: u64, number: usize) -> u64 {
    newest + 10 + number as u64
}

impl Clients {
    /// Creates a request; its number.
    pub(super) fn create(&mut self, request: Request, newest: u64) -> usize {
        let number = self.requests.len();
        let latest = self
            .requests
            .iter()
            .rposition(|o| matches!(*o.command, Command::Configure { .. }));
        let latest = latest.map(|at| self.requests[at].clone());
        let first = self
            .requests
            .iter()
            .find(|o| matches!(*o.command, Command::Configure { .. }));
        let latest = first
            .cloned()
            .filter(|_| request == Request::RepeatFirst)
            .or(latest);
        let created = match (request, latest) {
            (Request::Read, _) => self.without_version(Command::Read { reserved: 0 }, newest),
            (Request::Drain, _) => self.without_version(
                Command::Drain {
                    host: format!("i-{number}"),
                },
                newest,
            ),
            (Request::Repeat | Request::RepeatFirst, Some(latest)) => PendingRequest {
                newest_at_send: newest,
                attempts: 0,
                at: None,
                outcome: RequestOutcome::Open,
                ..latest
            },
            (Request::Rival, Some(latest)) => self.change(latest.base, latest.version, newest),
            (Request::OnNextVersion, _) => {
                let base = next_version(newest, number + 1);
                self.change(base, next_version(base, number), newest)
            }
            _ => self.change(newest, next_version(newest, number), newest),
        };
        self.requests.push(created);
        number
    }

    fn without_version(&self, command: Command, newest_at_send: u64) -> PendingRequest {
        let content = self.requests.len();
        let command = Arc::new(command);
        PendingRequest {
            command,
            content,
            base: 0,
            version: 0,
            newest_at_send,
            attempts: 0,
            at: None,
            outcome: RequestOutcome::Open,
        }
    }

    fn change(&self, base: u64, version: u64, newest_at_send: u64) -> PendingRequest {
        let body = body(version, &format!("r{}", self.requests.len()));
        PendingRequest {
            base,
            version,
            ..self.without_version(
                Command::Configure {
                    base,
                    amend: false,
                    body,
                },
                newest_at_send,
            )
        }
    }

    /// The ticket of an attempt of a request.
    pub(super) fn ticket(number: usize, attempt: u64) -> u64 {
        number as u64 * TICKETS_PER_REQUEST + attempt
    }

    /// The number of the request that a ticket belongs to.
    pub(super) fn number_of(ticket: u64) -> usize {
        (ticket / TICKETS_PER_REQUEST) as usize
    }
}

impl PendingRequest {
    /// Its configuration in the form that members publish.
    pub(super) fn json(&self) -> String {
        match &*self.command {
            Command::Configure { body, .. } => {
                Configuration::read(body, 0).map_or(String::new(), |d| d.to_json())
            }
            _ => String::new(),
        }
    }
}
