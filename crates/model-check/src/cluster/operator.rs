//! The operators: orders at given times, sent again after an unclear answer.

use configuration::Configuration;
use protocol::Command;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

/// How often an order is sent at most.
pub(super) const MOST_ATTEMPTS: u64 = 4;
/// Tickets of one order.
const TICKETS_PER_ORDER: u64 = 16;
/// Pause before an order without a clear answer is sent again.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// What is asked of the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// A new configuration on the newest confirmed one.
    Change,
    /// Another content with the base and version of the latest change: the order of a second operator.
    Rival,
    /// An order on the version that the next change is going to lead to.
    Guess,
    /// The latest change once more, byte for byte.
    Repeat,
    /// The first change once more, after others.
    RepeatFirst,
    /// A host drains.
    Drain,
    /// The newest configuration is asked for.
    Read,
}

/// A request with its time, counted from the end of the members' start, and the member that takes it.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// When.
    pub at: Duration,
    /// The machine that is asked first.
    pub to: usize,
    /// What is asked.
    pub request: Request,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Result {
    Open,
    Confirmed,
    Refused,
}

#[derive(Clone, Debug)]
pub(super) struct Order {
    pub(super) command: Arc<Command>,
    /// Orders of one content are one order.
    pub(super) content: usize,
    pub(super) base: u64,
    pub(super) version: u64,
    /// What had been confirmed when it was sent first.
    pub(super) known: u64,
    pub(super) attempts: u64,
    /// The machine that has it now.
    pub(super) at: Option<usize>,
    pub(super) result: Result,
}

impl Hash for Order {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let place = (self.content, self.base, self.version, self.known);
        (place, self.attempts, self.at, self.result).hash(state);
    }
}

/// All orders so far.
#[derive(Clone, Debug, Default, Hash)]
pub(super) struct Operators {
    pub(super) orders: Vec<Order>,
}

fn body(version: u64, name: &str) -> Vec<u8> {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"{name}","hostname":"h.example","path_prefix":"/","route_class":"pure","deadline_ms":1000,"service":"s"}}],"services":[{{"name":"s"}}],"limits":{{}}}}"#
    )
    .into_bytes()
}

/// The version that a change which is order `number` leads to.
fn next_version(newest: u64, number: usize) -> u64 {
    newest + 10 + number as u64
}

impl Operators {
    /// Makes a request an order; its number.
    pub(super) fn make(&mut self, request: Request, newest: u64) -> usize {
        let number = self.orders.len();
        let latest = self
            .orders
            .iter()
            .rposition(|o| matches!(*o.command, Command::Configure { .. }));
        let latest = latest.map(|at| self.orders[at].clone());
        let first = self
            .orders
            .iter()
            .find(|o| matches!(*o.command, Command::Configure { .. }));
        let latest = first
            .cloned()
            .filter(|_| request == Request::RepeatFirst)
            .or(latest);
        let order = match (request, latest) {
            (Request::Read, _) => self.other(Command::Read { reserved: 0 }, newest),
            (Request::Drain, _) => self.other(
                Command::Drain {
                    host: format!("i-{number}"),
                },
                newest,
            ),
            (Request::Repeat | Request::RepeatFirst, Some(latest)) => Order {
                known: newest,
                attempts: 0,
                at: None,
                result: Result::Open,
                ..latest
            },
            (Request::Rival, Some(latest)) => self.change(latest.base, latest.version, newest),
            (Request::Guess, _) => {
                let base = next_version(newest, number + 1);
                self.change(base, next_version(base, number), newest)
            }
            _ => self.change(newest, next_version(newest, number), newest),
        };
        self.orders.push(order);
        number
    }

    fn other(&self, command: Command, known: u64) -> Order {
        let content = self.orders.len();
        let command = Arc::new(command);
        Order {
            command,
            content,
            base: 0,
            version: 0,
            known,
            attempts: 0,
            at: None,
            result: Result::Open,
        }
    }

    fn change(&self, base: u64, version: u64, known: u64) -> Order {
        let body = body(version, &format!("r{}", self.orders.len()));
        Order {
            base,
            version,
            ..self.other(
                Command::Configure {
                    base,
                    amend: false,
                    body,
                },
                known,
            )
        }
    }

    /// The ticket of an order's latest attempt.
    pub(super) fn ticket(number: usize, attempt: u64) -> u64 {
        number as u64 * TICKETS_PER_ORDER + attempt
    }

    /// The order that a ticket stands for.
    pub(super) fn order(ticket: u64) -> usize {
        (ticket / TICKETS_PER_ORDER) as usize
    }
}

impl Order {
    /// Its configuration as members show it.
    pub(super) fn json(&self) -> String {
        match &*self.command {
            Command::Configure { body, .. } => {
                Configuration::read(body, 0).map_or(String::new(), |d| d.to_json())
            }
            _ => String::new(),
        }
    }
}
