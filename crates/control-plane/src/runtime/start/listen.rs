//! Binds an address that a previous process may still hold.

use crate::runtime::{ListenSnafu, RuntimeError};
use snafu::ResultExt;
use std::net::SocketAddrV4;
use tokio::net::TcpListener;

/// Listens on `addr`. Retries while the port is in use, as the process of the previous incarnation may not have exited.
pub(super) async fn listen(addr: SocketAddrV4) -> Result<TcpListener, RuntimeError> {
    bind_retry::bind(addr).await.context(ListenSnafu { addr })
}
