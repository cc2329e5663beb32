//! The listening sockets of a coordinator, bound by this process or taken over from an old one.

use crate::config::Config;
use crate::ops::hot_restart::{self, TakenOverState};
use crate::ops::manual_ejection::ManualEjections;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket, UnixStream};

/// Limit on the connections that wait to be accepted, for a socket that is bound here.
const LISTEN_BACKLOG: u32 = 1024;

/// The listening sockets of a coordinator.
pub struct Listeners {
    /// The socket for clients.
    pub clients: TcpListener,
    /// The socket for operators, if an operator's address is configured.
    pub operator: Option<std::net::TcpListener>,
    /// The state received with the clients' socket, if it was taken over from an old process.
    pub taken_over: Option<TakenOver>,
}

/// The state taken over from an old process together with the clients' socket.
pub struct TakenOver {
    /// The host list and its manual ejections.
    pub ejections: ManualEjections,
    /// The link to the old process.
    pub link: UnixStream,
}

impl Listeners {
    /// Binds the configured addresses. With an operator's address, the clients' socket is taken over from a running
    /// process of this coordinator, if there is one.
    ///
    /// # Errors
    /// If an address can't be bound.
    pub(super) async fn open(config: &Config) -> std::io::Result<Self> {
        let (clients, taken_over) = if config.operator_address.is_some() {
            take_over_or_bind(config).await?
        } else {
            (TcpListener::bind(&config.listen).await?, None)
        };
        log::info!("listening on {}", clients.local_addr()?);
        let operator_address = config.operator_address.as_deref();
        Ok(Self {
            clients,
            operator: operator_address.map(bind_operator).transpose()?,
            taken_over,
        })
    }
}

fn bind_operator(address: &str) -> std::io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)
        .map_err(|e| std::io::Error::new(e.kind(), format!("operator's address {address}: {e}")))?;
    log::info!("operator's address on {}", listener.local_addr()?);
    Ok(listener)
}

/// Takes over the clients' socket and state of a running process of this coordinator. Without one, binds a socket with
/// `SO_REUSEPORT`, so that another process can bind the address too.
async fn take_over_or_bind(config: &Config) -> std::io::Result<(TcpListener, Option<TakenOver>)> {
    if let Some(path) = hot_restart::socket_path(&config.name).filter(|path| path.exists()) {
        match hot_restart::take_over(&path, &config.name, &config.listen).await {
            Ok(TakenOverState {
                listener,
                ejections,
                link,
            }) => {
                log::info!(out = ejections.ejected().count(), hosts = ejections.endpoints().len(); "hot restart: taken over");
                let taken_over = TakenOver { ejections, link };
                return Ok((TcpListener::from_std(listener)?, Some(taken_over)));
            }
            Err(e) => {
                log::warn!(path:% = path.display(), error:% = e; "hot restart: nothing taken over");
            }
        }
    }
    let mut last_error = std::io::ErrorKind::AddrNotAvailable.into();
    for address in tokio::net::lookup_host(&config.listen).await? {
        match bind_shared(address) {
            Ok(listener) => return Ok((listener, None)),
            Err(e) => last_error = e,
        }
    }
    Err(last_error)
}

/// Binds an address with `SO_REUSEPORT`, so that other processes can bind it too.
fn bind_shared(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
