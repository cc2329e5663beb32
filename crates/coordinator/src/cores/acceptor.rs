//! Accepts connections and assigns each to a core.

use crate::net::http::{AcceptedConnection, GatedListener};
use multi_core::core_dispatch::CoreDispatcher;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Pause after a failed accept, such as for lack of descriptors, until some may have been released.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Counts a connection on its core until this is dropped.
struct ConnectionGuard {
    dispatcher: Arc<CoreDispatcher>,
    core: usize,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.dispatcher.connection_closed(self.core);
    }
}

/// The task that accepts connections for all cores.
pub(super) struct Acceptor {
    pub(super) listener: GatedListener,
    pub(super) dispatcher: Arc<CoreDispatcher>,
    /// The channel that each core receives its connections from, by core.
    pub(super) cores: Vec<mpsc::UnboundedSender<AcceptedConnection>>,
    /// The instant that the dispatcher's times are relative to.
    pub(super) origin: Instant,
}

impl Acceptor {
    /// Accepts connections without end.
    pub(super) async fn run(mut self) {
        loop {
            match self.listener.accept().await {
                Ok((stream, from)) => {
                    if let Ok(stream) = stream.into_std() {
                        self.dispatch(stream, from);
                    }
                }
                Err(e) => {
                    log::warn!(error:% = e; "accept failed; retrying");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Assigns a connection to a core. If a core is ending and refuses it, the other cores are tried in order.
    fn dispatch(&self, stream: TcpStream, from: SocketAddr) {
        let now_us = self.origin.elapsed().as_micros() as u64;
        let preferred = self.dispatcher.core_for_connection(now_us);
        let mut rejected = Some(stream);
        for core in preferred.into_iter().chain(0..self.cores.len()) {
            let Some(stream) = rejected.take() else {
                return;
            };
            self.dispatcher.connection_opened(core);
            let guard = ConnectionGuard {
                dispatcher: self.dispatcher.clone(),
                core,
            };
            let handed = AcceptedConnection {
                stream,
                from,
                guard: Box::new(guard),
            };
            if let Err(mpsc::error::SendError(handed)) = self.cores[core].send(handed) {
                rejected = Some(handed.stream);
            }
        }
    }
}
