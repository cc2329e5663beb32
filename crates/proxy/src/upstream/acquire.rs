//! Takes connections to hosts from the pool or opens them, and puts them back.

use crate::state::ProxyState;
use crate::upstream::pool;
use crate::upstream::UpstreamConnection;
use http1::ResponseHead;
use snafu::Snafu;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub(crate) enum AcquireError {
    /// This process has as many connections to the host as it may.
    #[snafu(display("no more connections allowed to the host"))]
    AtLimit,
    /// The connection did not come up in time.
    #[snafu(display("the host can't be reached"))]
    ConnectFailed,
}

/// A host to connect to.
#[derive(Clone, Debug)]
pub(crate) struct ConnectTarget {
    pub(crate) host: Arc<str>,
    pub(crate) address: SocketAddrV4,
    /// Connections that the host takes from this process.
    pub(crate) max_connections: usize,
    /// When a new connection has to be up.
    pub(crate) connect_deadline: Instant,
}

/// An idle connection to the host, or a new one.
pub(crate) async fn acquire(
    state: &ProxyState,
    target: &ConnectTarget,
) -> Result<UpstreamConnection, AcquireError> {
    loop {
        let idle = state.pool.borrow_mut().take_idle(state.now(), &target.host);
        match idle {
            Some(connection) if connection.is_open_and_idle() => return Ok(connection),
            // The host has closed it, or sent what nobody asked for.
            Some(_) => {}
            None => return connect(state, target).await,
        }
    }
}

/// A new connection to the host.
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
    if let Ok(Ok(stream)) = timeout_at(target.connect_deadline, connecting).await {
        let _ = stream.set_nodelay(true);
        return Ok(UpstreamConnection::new(stream, permit, state.clock));
    }
    state.counters.add(|c| c.host_connect_failures += 1);
    Err(AcquireError::ConnectFailed)
}

/// Puts a connection back after a complete response with this head, if another request may follow on it.
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
