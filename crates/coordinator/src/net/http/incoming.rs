//! Where connections come from: a listener, or a thread that accepts for several.

use crate::ops::hot_restart::RestartRole;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// A connection that another thread has accepted; `guard` is dropped with it.
pub struct AcceptedConnection {
    /// The socket, set to non-blocking.
    pub stream: std::net::TcpStream,
    /// Where it comes from.
    pub from: SocketAddr,
    /// Counts it for as long as it lives.
    pub guard: Guard,
}

/// Something that lives as long as a connection.
pub type Guard = Box<dyn std::any::Any + Send>;

/// A listener that is left alone once another process has taken over.
pub struct GatedListener {
    /// The listener.
    pub listener: TcpListener,
    /// How this process stands to another.
    pub restart_role: watch::Receiver<RestartRole>,
}

impl GatedListener {
    /// The next connection.
    ///
    /// # Errors
    /// If the system has none to give, as descriptors have run out.
    pub async fn accept(&mut self) -> std::io::Result<(TcpStream, SocketAddr)> {
        loop {
            // The other end of the watch goes only where there is never another process.
            if self
                .restart_role
                .wait_for(|b| *b != RestartRole::Replaced)
                .await
                .is_err()
            {
                return self.listener.accept().await;
            }
            tokio::select! {
                came = self.listener.accept() => return came,
                changed = self.restart_role.changed() => if changed.is_err() { return self.listener.accept().await },
            }
        }
    }
}

/// Where connections come from.
pub enum Incoming {
    /// A listener of one's own.
    Listener(GatedListener),
    /// A thread that accepts for several.
    Channel(mpsc::UnboundedReceiver<AcceptedConnection>),
}

impl Incoming {
    pub(super) async fn accept(
        &mut self,
    ) -> std::io::Result<(TcpStream, SocketAddr, Option<Guard>)> {
        match self {
            Self::Listener(l) => l.accept().await.map(|(stream, from)| (stream, from, None)),
            Self::Channel(mail) => match mail.recv().await {
                Some(h) => Ok((TcpStream::from_std(h.stream)?, h.from, Some(h.guard))),
                // The one that accepts has ended: no more will come.
                None => std::future::pending().await,
            },
        }
    }
}
