//! Accepts client connections, up to the process's limit.

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

/// Number of connections over the limit that still get a rejection; further ones are closed immediately.
const MAX_REJECTED_CONNECTIONS: usize = 200;
/// Pause after a failed accept, which may otherwise fail again immediately.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Interval at which the number of open connections is checked while new ones are accepted during a shutdown.
const OPEN_COUNT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Phase of a graceful shutdown, as it affects client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub(crate) enum DrainPhase {
    /// All connections are served; no shutdown has begun, or it still grants full service.
    Serving,
    /// Idle connections are closed.
    ClosingIdle,
    /// Requests whose response has not begun get a local reply.
    EndingUnanswered,
    /// All connections are closed; responses that have begun are truncated.
    ClosingAll,
}

/// Counts a connection as open until the guard is dropped.
struct OpenConnectionGuard(Rc<Cell<usize>>);

impl OpenConnectionGuard {
    fn new(open_count: &Rc<Cell<usize>>) -> Self {
        open_count.set(open_count.get() + 1);
        Self(open_count.clone())
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// All client connections of the process.
pub(crate) struct ClientConnections {
    state: Rc<ProxyState>,
    open_count: Rc<Cell<usize>>,
    phase: watch::Sender<DrainPhase>,
}

impl ClientConnections {
    /// Creates the set of client connections, with none open.
    pub(crate) fn new(state: Rc<ProxyState>) -> Self {
        Self {
            state,
            open_count: Rc::default(),
            phase: watch::Sender::new(DrainPhase::Serving),
        }
    }

    /// Returns the number of open connections, including those over the limit.
    pub(crate) fn open_count(&self) -> usize {
        self.open_count.get()
    }

    /// Notifies all connections of the next phase of a shutdown.
    pub(crate) fn set_phase(&self, phase: DrainPhase) {
        self.phase.send_replace(phase);
    }

    /// Accepts connections until `stop` resolves.
    pub(crate) async fn accept_until(&self, listener: &TcpListener, stop: impl Future) {
        tokio::pin!(stop);
        loop {
            tokio::select! {
                _ = &mut stop => return,
                accepted = listener.accept() => self.handle_accepted(accepted).await,
            }
        }
    }

    /// Accepts connections until none is open, at the latest until `deadline`.
    pub(crate) async fn accept_until_idle(&self, listener: &TcpListener, deadline: Instant) {
        while Instant::now() < deadline && self.open_count.get() > 0 {
            let next_poll = deadline.min(Instant::now() + OPEN_COUNT_POLL_INTERVAL);
            tokio::select! {
                () = sleep_until(next_poll) => {}
                accepted = listener.accept() => self.handle_accepted(accepted).await,
            }
        }
    }

    /// Accepts the connections that the kernel has already established, as closing the listener would reset them.
    pub(crate) async fn accept_pending(&self, listener: &TcpListener) {
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            self.serve(stream);
        }
    }

    async fn handle_accepted(&self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok((stream, _)) => self.serve(stream),
            // Probably out of file descriptors. Connections that close meanwhile free some.
            Err(e) => {
                log::warn!("front: accept failed, retrying after a pause: {e}");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }

    /// Serves a connection on a task of its own.
    fn serve(&self, stream: TcpStream) {
        self.state.counters.add(|c| c.client_connections += 1);
        let max_clients = self.state.max_clients;
        let at_limit = self.open_count.get() >= max_clients;
        // Evicting an idle client is better than a rejection: it can reconnect, while a rejected client is not served.
        let over_limit = at_limit && !self.state.idle_clients.borrow_mut().evict_oldest();
        if self.open_count.get() >= max_clients + MAX_REJECTED_CONNECTIONS {
            return;
        }
        let open_guard = OpenConnectionGuard::new(&self.open_count);
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
