//! Socket for quota requests: announces this proxy to the members periodically, and receives their datagrams.

use crate::state::ProxyState;
use configuration::ProcessSettings;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Time between two rounds of announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a socket error, which may otherwise recur immediately.
const ERROR_BACKOFF: Duration = Duration::from_millis(20);
/// Offset of the socket's port from the first port of the process's range. If that port can't be bound, an ephemeral
/// one is used.
const QUOTA_PORT_OFFSET: u16 = 4;
/// Maximum size of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Binds the socket and returns a future that announces and receives over it. `None` if no socket can be bound; the
/// proxy then decides locally.
pub(crate) async fn start(
    state: &Rc<ProxyState>,
    settings: &ProcessSettings,
) -> Option<impl std::future::Future<Output = ()> + 'static> {
    let socket = Rc::new(bind(settings).await?);
    state.quotas.set_socket(socket.clone());
    let state = state.clone();
    Some(async move {
        tokio::join!(announce(&state), receive(&state, &socket));
    })
}

async fn bind(settings: &ProcessSettings) -> Option<UdpSocket> {
    let (first_port, last_port) = settings.port_range;
    let port = first_port
        .checked_add(QUOTA_PORT_OFFSET)
        .filter(|port| *port <= last_port);
    let ip = settings.ip_addr;
    if let Some(port) = port {
        if let Ok(socket) = UdpSocket::bind(SocketAddrV4::new(ip, port)).await {
            return Some(socket);
        }
    }
    match UdpSocket::bind(SocketAddrV4::new(ip, 0)).await {
        Ok(socket) => Some(socket),
        Err(error) => {
            log::warn!(error:%; "no socket for quota requests; quotas are decided locally");
            None
        }
    }
}

async fn announce(state: &ProxyState) {
    loop {
        if state.quotas.has_limits() {
            state.quotas.begin_announcement_round(state.now());
        }
        sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn receive(state: &ProxyState, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            // An ICMP error for a datagram sent to a member that no longer runs, or a persistent error.
            sleep(ERROR_BACKOFF).await;
            continue;
        };
        let known = match protocol::decode(&buffer[..length]) {
            Ok(Some((message, _))) => state.quotas.on_message(state.now(), message),
            _ => false,
        };
        if !known {
            state.counters.add(|c| c.invalid_quota_replies += 1);
        }
    }
}
