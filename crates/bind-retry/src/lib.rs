//! Binding of a TCP port that a previous process may not have released yet.
//!
//! A process that is restarted right after it was killed may find its port still in use for a short time. Members,
//! agents and proxies use [`bind`] to wait for the port instead of failing to start.
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
//! let listener = bind_retry::bind("127.0.0.1:0".parse().unwrap()).await?;
//! assert_ne!(listener.local_addr()?.port(), 0);
//! # std::io::Result::Ok(())
//! # }).unwrap();
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::io::{ErrorKind, Result};
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, Instant};

/// Longest time to wait for a port in use.
pub const BIND_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between attempts to bind.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Binds a listener to an address. Retries while the port is in use, for up to [`BIND_TIMEOUT`].
///
/// # Errors
/// [`ErrorKind::AddrInUse`] if the port is still in use after [`BIND_TIMEOUT`]; any other I/O error at once.
pub async fn bind(addr: SocketAddrV4) -> Result<TcpListener> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    loop {
        match TcpListener::bind(addr).await {
            Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < deadline => {
                sleep(BIND_RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}
