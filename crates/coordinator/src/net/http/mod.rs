//! HTTP/1.1 over a [`BufferedStream`](super::buffered_stream::BufferedStream), as [`http1`] reads it: a server for the fronts, and what
//! clients of this program need to read.

mod client;
mod client_liveness;
mod connection_slots;
mod incoming;
mod message;
mod read;
mod server;

pub use incoming::{AcceptedConnection, GatedListener, Guard, Incoming};
pub use message::{Headers, HttpError, Request, Response};
pub use read::{response_head, Body};
pub use server::serve;

use crate::ops::hot_restart::RestartRole;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;
use tokio::sync::watch;

/// Largest body that is taken.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Ring for what comes in; a head must fit into it.
pub const INPUT: usize = 16 * 1024;
const OUTPUT: usize = 16 * 1024;
/// When all slots are taken, a client's connection that has not sent its request completely for so long is closed
/// for a new one: its client can come back, while one that is rejected is not served.
pub const REQUEST_TIMEOUT_WHEN_FULL: Duration = Duration::from_millis(100);

/// An answer on its way.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response> + Send>>;

/// What answers requests. A dropped answer means that its client has gone.
pub trait Service: Send + Sync + 'static {
    /// Answers one request.
    fn answer(&self, request: Request) -> ResponseFuture;
    /// Words an error that the server itself finds.
    fn error(&self, status: u16, reason: &str) -> Response;
    /// Refuses a request at the cap on clients.
    fn no_slot(&self, _request: &Request) -> Response {
        self.error(503, "too many clients")
    }
}

/// Limits of a server.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Clients that are served at once.
    pub max_clients: usize,
    /// Connections that are kept at once. Clients beyond `max_clients` get an answer that says that there are too
    /// many; connections beyond this are closed at once.
    pub max_connections: usize,
    /// How long requests are served after the stop, as clients keep the connections they have.
    pub serve_on: Duration,
    /// How long after the stop all of them must be answered.
    pub answer_within: Duration,
    /// When all slots are taken, a connection that has not sent its request for so long makes room.
    pub request_timeout_when_full: Duration,
    /// Whether a connection is for one request alone.
    pub one_request_per_connection: bool,
    /// The role of this process in a hot restart. While there are two processes each has half of the slots. A
    /// process that is replaced accepts no connections and closes each one with its next answer.
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
