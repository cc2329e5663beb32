//! Connections to hosts: taken from the pool or opened, and put back.

use crate::core::Core;
use crate::hostlink::Link;
use crate::pool;
use http1::ResponseHead;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// Why no connection could be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoLink {
    /// This process has as many to the host as it may.
    Full,
    /// It did not come up.
    Unreached,
}

/// An idle connection to the host, or a new one.
pub(crate) async fn get(
    core: &Core,
    id: &Arc<str>,
    addr: SocketAddrV4,
    most: usize,
    until: Instant,
) -> Result<Link, NoLink> {
    loop {
        let idle = core.pool.borrow_mut().take(core.now(), id);
        match idle {
            Some(link) if link.quiet() => return Ok(link),
            Some(_) => {}
            None => return open(core, id, addr, most, until).await,
        }
    }
}

/// A new connection.
pub(crate) async fn open(
    core: &Core,
    id: &Arc<str>,
    addr: SocketAddrV4,
    most: usize,
    until: Instant,
) -> Result<Link, NoLink> {
    let ticket = core.pool.borrow_mut().room(id, most).ok_or(NoLink::Full)?;
    core.tally.add(|c| c.connects += 1);
    match timeout_at(until, TcpStream::connect(SocketAddr::V4(addr))).await {
        Ok(Ok(stream)) => {
            let _ = stream.set_nodelay(true);
            Ok(Link::new(stream, ticket, core.at(Duration::ZERO)))
        }
        _ => {
            core.tally.add(|c| c.unreached += 1);
            Err(NoLink::Unreached)
        }
    }
}

/// Keeps a connection for the next request, after a whole answer with this head, where another may follow on it.
pub(crate) fn keep(core: &Core, id: &str, link: Link, head: &ResponseHead) {
    let until = core.now() + pool::idle(head.fields.get_str("keep-alive"));
    if let Some(link) = link.rested(head) {
        core.pool.borrow_mut().put(id, link, until);
    }
}
