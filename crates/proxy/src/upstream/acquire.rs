//! Connections to hosts: taken from the pool or opened, and put back.

use crate::state::ProxyState;
use crate::upstream::connection::UpstreamConnection;
use crate::upstream::pool;
use http1::ResponseHead;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// Why no connection could be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcquireError {
    /// This process has as many to the host as it may.
    Full,
    /// It did not come up.
    Unreached,
}

/// An idle connection to the host, or a new one.
pub(crate) async fn get(
    state: &ProxyState,
    id: &Arc<str>,
    addr: SocketAddrV4,
    most: usize,
    until: Instant,
) -> Result<UpstreamConnection, AcquireError> {
    loop {
        let idle = state.pool.borrow_mut().take_idle(state.now(), id);
        match idle {
            Some(connection) if connection.quiet() => return Ok(connection),
            Some(_) => {}
            None => return open(state, id, addr, most, until).await,
        }
    }
}

/// A new connection.
pub(crate) async fn open(
    state: &ProxyState,
    id: &Arc<str>,
    addr: SocketAddrV4,
    most: usize,
    until: Instant,
) -> Result<UpstreamConnection, AcquireError> {
    let ticket = state
        .pool
        .borrow_mut()
        .try_open(id, most)
        .ok_or(AcquireError::Full)?;
    state.counters.add(|c| c.connects += 1);
    match timeout_at(until, TcpStream::connect(SocketAddr::V4(addr))).await {
        Ok(Ok(stream)) => {
            let _ = stream.set_nodelay(true);
            Ok(UpstreamConnection::new(
                stream,
                ticket,
                state.at(Duration::ZERO),
            ))
        }
        _ => {
            state.counters.add(|c| c.unreached += 1);
            Err(AcquireError::Unreached)
        }
    }
}

/// Keeps a connection for the next request, after a whole answer with this head, where another may follow on it.
pub(crate) fn keep(
    state: &ProxyState,
    id: &str,
    connection: UpstreamConnection,
    head: &ResponseHead,
) {
    let until = state.now() + pool::idle_timeout(head.fields.get_str("keep-alive"));
    if let Some(connection) = connection.rested(head) {
        state.pool.borrow_mut().put_idle(id, connection, until);
    }
}
