//! Listens on an address that an earlier process may still hold.

use crate::runtime::{ListenSnafu, RuntimeError};
use snafu::ResultExt;
use std::net::SocketAddrV4;
use tokio::net::TcpListener;

/// Listens, once the port is free: the incarnation before may not be gone quite yet.
pub(super) async fn listen(addr: SocketAddrV4) -> Result<TcpListener, RuntimeError> {
    bind_retry::bind(addr).await.context(ListenSnafu { addr })
}
