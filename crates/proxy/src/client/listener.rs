//! Accepts clients' connections, up to the process's limit.

use super::connection::ClientConnection;
use crate::state::ProxyState;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Connections over the limit that still get a rejection; more are closed at once.
const MAX_REJECTED_CONNECTIONS: usize = 200;
/// Pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// How often it is looked whether connections are still open while new ones are accepted.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How far a graceful shutdown has come, for connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub(crate) enum DrainPhase {
    /// All connections are served.
    Serving,
    /// Idle connections are closed.
    ClosingIdle,
    /// Requests whose response has not begun get a local reply.
    EndingUnanswered,
    /// All connections are closed; responses that have begun are truncated.
    ClosingAll,
}

/// Counts a connection as open until it is dropped.
struct OpenGuard(Rc<Cell<usize>>);

impl OpenGuard {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// The clients' connections.
pub(crate) struct ClientConnections {
    state: Rc<ProxyState>,
    open: Rc<Cell<usize>>,
    phase: watch::Sender<DrainPhase>,
}

impl ClientConnections {
    /// No connections yet.
    pub(crate) fn new(state: Rc<ProxyState>) -> Self {
        Self {
            state,
            open: Rc::default(),
            phase: watch::Sender::new(DrainPhase::Serving),
        }
    }

    /// Number of open connections, those over the limit included.
    pub(crate) fn open_count(&self) -> usize {
        self.open.get()
    }

    /// Tells all connections of the next phase of a shutdown.
    pub(crate) fn set_phase(&self, phase: DrainPhase) {
        self.phase.send_replace(phase);
    }

    /// Accepts connections until `until` resolves.
    pub(crate) async fn accept_until(&self, listener: &TcpListener, until: impl Future) {
        tokio::pin!(until);
        loop {
            tokio::select! {
                _ = &mut until => return,
                accepted = listener.accept() => self.handle_accepted(accepted).await,
            }
        }
    }

    /// Accepts connections until none is open, at most until `until`.
    pub(crate) async fn accept_until_idle(&self, listener: &TcpListener, until: Instant) {
        while Instant::now() < until && self.open.get() > 0 {
            let next_poll = until.min(Instant::now() + IDLE_POLL_INTERVAL);
            tokio::select! {
                () = sleep_until(next_poll) => {}
                accepted = listener.accept() => self.handle_accepted(accepted).await,
            }
        }
    }

    /// Accepts the connections that the kernel has completed. Closing the listener would reset them.
    pub(crate) async fn accept_pending(&self, listener: &TcpListener) {
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            self.serve(stream);
        }
    }

    async fn handle_accepted(&self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok((stream, _)) => self.serve(stream),
            // Out of file descriptors: those in use will be closed.
            Err(e) => {
                log::warn!("front: {e}");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }

    /// Serves a connection on a task of its own.
    fn serve(&self, stream: TcpStream) {
        self.state.counters.add(|c| c.client_connections += 1);
        let max_clients = self.state.max_clients;
        let at_limit = self.open.get() >= max_clients;
        // An idle client can come back. One that is rejected is not served.
        let over_limit = at_limit && !self.state.idle_clients.borrow_mut().evict_oldest();
        if self.open.get() >= max_clients + MAX_REJECTED_CONNECTIONS {
            return;
        }
        let open_guard = OpenGuard::new(&self.open);
        let state = self.state.clone();
        let phase = self.phase.subscribe();
        tokio::task::spawn_local(async move {
            let _open_guard = open_guard;
            let _ = stream.set_nodelay(true);
            ClientConnection::new(&state, &stream, over_limit, phase)
                .serve()
                .await;
        });
    }
}
