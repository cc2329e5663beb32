//! Listens on a TCP port that the process before may not have released yet.
//!
//! A process that is started again right after it was killed may find its port in use for some moments. Members, agents
//! and proxies wait for it with [`bind`] rather than end.
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

/// How long a port in use is waited for.
pub const BIND_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two attempts to bind.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Listens on an address, as soon as its port is free.
///
/// # Errors
/// What the system answers: [`ErrorKind::AddrInUse`] after [`BIND_TIMEOUT`], anything else at once.
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
