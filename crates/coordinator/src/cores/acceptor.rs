//! Accepts connections and gives each to a core.

use crate::net::http::{AcceptedConnection, GatedListener};
use multi_core::core_dispatch::CoreDispatcher;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Pause after a failed accept: out of descriptors, until some that are in use come back.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Counts a connection on its core for as long as it lives.
struct ConnectionGuard {
    dispatcher: Arc<CoreDispatcher>,
    core: usize,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.dispatcher.connection_closed(self.core);
    }
}

/// Accepts connections for the cores.
pub(super) struct Acceptor {
    pub(super) listener: GatedListener,
    pub(super) dispatcher: Arc<CoreDispatcher>,
    /// Where each core takes its connections from.
    pub(super) cores: Vec<mpsc::UnboundedSender<AcceptedConnection>>,
    /// The origin of the dispatcher's times.
    pub(super) origin: Instant,
}

impl Acceptor {
    /// Accepts for ever.
    pub(super) async fn run(mut self) {
        loop {
            match self.listener.accept().await {
                Ok((stream, from)) => {
                    if let Ok(stream) = stream.into_std() {
                        self.dispatch(stream, from);
                    }
                }
                Err(e) => {
                    log::warn!(error:% = e; "accept");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Gives a connection to a core. A core that is ending takes no more; another one may.
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
