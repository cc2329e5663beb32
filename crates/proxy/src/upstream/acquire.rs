//! Acquires connections to hosts, from the pool or new ones, and releases them to the pool.

use crate::state::ProxyState;
use crate::upstream::pool;
use crate::upstream::UpstreamConnection;
use http1::ResponseHead;
use snafu::Snafu;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// The reason why no connection could be acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub(crate) enum AcquireError {
    /// This process has reached its limit of connections to the host.
    #[snafu(display("the limit of connections to the host is reached"))]
    AtLimit,
    /// Nothing listens at the host's address.
    #[snafu(display("the host refuses connections"))]
    ConnectionRefused,
    /// The connection could not be established before its deadline, or not for another reason.
    #[snafu(display("can't connect to the host"))]
    ConnectFailed,
}

/// A host to connect to.
#[derive(Clone, Debug)]
pub(crate) struct ConnectTarget {
    pub(crate) host: Arc<str>,
    pub(crate) address: SocketAddrV4,
    /// Largest number of connections to the host from this process.
    pub(crate) max_connections: usize,
    /// Instant by which a new connection has to be established.
    pub(crate) connect_deadline: Instant,
}

/// Takes an idle connection to the host from the pool, or opens a new one.
pub(crate) async fn acquire(
    state: &ProxyState,
    target: &ConnectTarget,
) -> Result<UpstreamConnection, AcquireError> {
    loop {
        let idle = state.pool.borrow_mut().take_idle(state.now(), &target.host);
        match idle {
            Some(connection) if connection.is_open_and_idle() => return Ok(connection),
            // The host has closed it, or has sent bytes that belong to no request.
            Some(_) => {}
            None => return connect(state, target).await,
        }
    }
}

/// Opens a new connection to the host.
pub(crate) async fn connect(
    state: &ProxyState,
    target: &ConnectTarget,
) -> Result<UpstreamConnection, AcquireError> {
    let permit = state
        .pool
        .borrow_mut()
        .try_open(&target.host, target.max_connections)
        .ok_or(AcquireError::AtLimit)?;
    state.counters.add(|c| c.host_connects += 1);
    let connecting = TcpStream::connect(SocketAddr::V4(target.address));
    let error = match timeout_at(target.connect_deadline, connecting).await {
        Ok(Ok(stream)) => {
            let _ = stream.set_nodelay(true);
            return Ok(UpstreamConnection::new(stream, permit, state.clock));
        }
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            AcquireError::ConnectionRefused
        }
        Ok(Err(_)) | Err(_) => AcquireError::ConnectFailed,
    };
    state.counters.add(|c| c.host_connect_failures += 1);
    Err(error)
}

/// Returns a connection to the pool after a complete response with this head, if the connection may be reused.
pub(crate) fn release(
    state: &ProxyState,
    host: &str,
    connection: UpstreamConnection,
    head: &ResponseHead,
) {
    let expires_at = state.now() + pool::idle_timeout(head.fields.get_str("keep-alive"));
    if let Some(connection) = connection.into_idle(head) {
        state
            .pool
            .borrow_mut()
            .put_idle(host, connection, expires_at);
    }
}
