//! HTTP/1.1 over a [`BufferedStream`](super::buffered_stream::BufferedStream), as [`http1`] reads it: a server for the fronts, and what
//! clients of this program need to read.

mod client;
mod client_liveness;
mod connection_slots;
mod incoming;
mod message;
mod read;
mod server;

pub use incoming::{Gated, Guard, Handed, Incoming};
pub use message::{Headers, HttpError, Request, Response};
pub use read::{response_head, Body};
pub use server::serve;

use crate::ops::hot_restart::RestartRole;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;
use tokio::sync::watch;

/// Largest body that is taken.
pub const MOST_BODY: usize = 64 * 1024;
/// Ring for what comes in; a head must fit into it.
pub const INPUT: usize = 16 * 1024;
const OUTPUT: usize = 16 * 1024;
/// When all seats are taken, a connection that has been asking for so long without a whole request (of
/// clients), or standing idle for so long, goes for a new one: its client can come back, one turned away is
/// not served.
pub const PATIENCE: Duration = Duration::from_millis(100);

/// An answer on its way.
pub type Answering = Pin<Box<dyn Future<Output = Response> + Send>>;

/// What answers requests. A dropped answer means that its client has gone.
pub trait Service: Send + Sync + 'static {
    /// Answers one request.
    fn answer(&self, request: Request) -> Answering;
    /// Words an error that the server itself finds.
    fn error(&self, status: u16, reason: &str) -> Response;
    /// Refuses a request at the cap on clients.
    fn non_member_info(&self, _request: &Request) -> Response {
        self.error(503, "too many clients")
    }
}

/// Limits of a server.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Clients that are served.
    pub clients: usize,
    /// Clients beyond that are still told so; above this sum they are let go.
    pub most: usize,
    /// Once told to stop, requests are served for so long, as clients keep the connections they have.
    pub serve_on: Duration,
    /// By then all of them must be answered.
    pub answer_by: Duration,
    /// When all seats are taken, a connection that has been asking for so long makes room.
    pub patience: Duration,
    /// Whether a connection is for one request alone.
    pub one_call: bool,
    /// How this process stands to another: both have half of the seats, and one that is replaced takes no
    /// new connections and closes each with its next answer.
    pub beside: watch::Receiver<RestartRole>,
}

impl Limits {
    fn replaced(&self) -> bool {
        *self.beside.borrow() == RestartRole::Replaced
    }

    fn clients(&self) -> usize {
        self.beside.borrow().share_of(self.clients)
    }

    fn most(&self) -> usize {
        self.beside.borrow().share_of(self.most)
    }
}
