//! Listens on an address that an earlier process may still hold.

use crate::runtime::{ListenSnafu, RuntimeError};
use snafu::ResultExt;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, Instant};

/// Longest wait for a listener's port.
const BIND_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two attempts to listen on a port that is in use.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Listens, once the port is free: the incarnation before may not be gone quite yet.
pub(super) async fn listen(addr: SocketAddrV4) -> Result<TcpListener, RuntimeError> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    loop {
        match TcpListener::bind(addr).await {
            Err(error)
                if error.kind() == std::io::ErrorKind::AddrInUse && Instant::now() < deadline =>
            {
                sleep(BIND_RETRY_INTERVAL).await;
            }
            bound => return bound.context(ListenSnafu { addr }),
        }
    }
}
