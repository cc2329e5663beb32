//! Sources of client connections: a listener, or a thread that accepts connections for several cores.

use crate::ops::hot_restart::RestartRole;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// A connection that another thread has accepted.
pub struct AcceptedConnection {
    /// The socket, in non-blocking mode.
    pub stream: std::net::TcpStream,
    /// The client's address.
    pub from: SocketAddr,
    /// A guard that counts the connection; it is dropped when the connection ends.
    pub guard: ConnectionGuard,
}

/// A value that is dropped when its connection ends.
pub type ConnectionGuard = Box<dyn std::any::Any + Send>;

/// A listener that stops accepting while another process replaces this one.
pub struct GatedListener {
    /// The listener.
    pub listener: TcpListener,
    /// The role of this process in a hot restart.
    pub restart_role: watch::Receiver<RestartRole>,
}

impl GatedListener {
    /// Accepts the next connection, once this process is not being replaced.
    ///
    /// # Errors
    /// If accepting fails, for example because file descriptors have run out.
    pub async fn accept(&mut self) -> std::io::Result<(TcpStream, SocketAddr)> {
        loop {
            // The sender of the role is dropped only if there is never another process.
            if self
                .restart_role
                .wait_for(|b| *b != RestartRole::Replaced)
                .await
                .is_err()
            {
                return self.listener.accept().await;
            }
            tokio::select! {
                accepted = self.listener.accept() => return accepted,
                changed = self.restart_role.changed() => if changed.is_err() { return self.listener.accept().await },
            }
        }
    }
}

/// A source of client connections.
pub enum Incoming {
    /// A listener of this server.
    Listener(GatedListener),
    /// The channel from a thread that accepts connections for several servers.
    Channel(mpsc::UnboundedReceiver<AcceptedConnection>),
}

impl Incoming {
    pub(super) async fn accept(
        &mut self,
    ) -> std::io::Result<(TcpStream, SocketAddr, Option<ConnectionGuard>)> {
        match self {
            Self::Listener(l) => l.accept().await.map(|(stream, from)| (stream, from, None)),
            Self::Channel(mail) => match mail.recv().await {
                Some(h) => Ok((TcpStream::from_std(h.stream)?, h.from, Some(h.guard))),
                // The accepting thread has ended, so no more connections will arrive.
                None => std::future::pending().await,
            },
        }
    }
}
