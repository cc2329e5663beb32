//! HTTP/1.1 over a [`BufferedStream`](super::buffered_stream::BufferedStream), parsed by [`http1`]: a server for the
//! front ends, and the reading of responses for this program's own clients.

mod client;
mod client_liveness;
mod connection_slots;
mod incoming;
mod message;
mod read;
mod server;

pub use incoming::{AcceptedConnection, ConnectionGuard, GatedListener, Incoming};
pub use message::{Headers, HttpError, Request, Response};
pub use read::{response_head, Body};
pub use server::serve;

use crate::ops::hot_restart::RestartRole;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;
use tokio::sync::watch;

/// Largest body accepted, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Size of a connection's input buffer in bytes. The head of a message must fit into it.
pub const INPUT_BUFFER_BYTES: usize = 16 * 1024;
/// Size of a connection's output buffer in bytes.
const OUTPUT_BUFFER_BYTES: usize = 16 * 1024;
/// Time for a complete request when all slots are taken. A connection that takes longer is closed in favor of a new
/// one: its client can connect again, while a rejected client is not served.
pub const REQUEST_TIMEOUT_WHEN_FULL: Duration = Duration::from_millis(100);

/// The future of a response.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response> + Send>>;

/// A service that answers requests. Its future is dropped if the client disconnects.
pub trait Service: Send + Sync + 'static {
    /// Answers one request.
    fn answer(&self, request: Request) -> ResponseFuture;
    /// Creates the response for an error that the server itself detects.
    fn error(&self, status: u16, reason: &str) -> Response;
    /// Creates the response to a request that is refused at the limit on clients.
    fn no_slot(&self, _request: &Request) -> Response {
        self.error(503, "too many clients")
    }
}

/// Limits and timeouts of a server.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Number of clients that are served at once.
    pub max_clients: usize,
    /// Number of connections that are kept at once. Clients beyond `max_clients` get a response that there are too
    /// many; connections beyond `max_connections` are closed at once.
    pub max_connections: usize,
    /// Time for which requests are still served after the stop, as clients keep using open connections.
    pub serve_on: Duration,
    /// Time after the stop within which all requests must be answered.
    pub answer_within: Duration,
    /// Time for a complete request when all slots are taken; a connection that takes longer makes room for a new one.
    pub request_timeout_when_full: Duration,
    /// Whether each connection is closed after one request.
    pub one_request_per_connection: bool,
    /// The role of this process in a hot restart. While there are two processes, each has half of the slots. A process
    /// that is being replaced accepts no connections, and closes each open one with its next response.
    pub restart_role: watch::Receiver<RestartRole>,
}

impl Limits {
    fn replaced(&self) -> bool {
        *self.restart_role.borrow() == RestartRole::Replaced
    }

    fn clients(&self) -> usize {
        self.restart_role.borrow().share_of(self.max_clients)
    }

    fn connections(&self) -> usize {
        self.restart_role.borrow().share_of(self.max_connections)
    }
}
