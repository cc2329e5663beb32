//! Hosts that the test plays.

use super::{v4, TestConnection};
use balancing::HostInfo;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// A host. The test accepts its connections and responds on them.
pub struct FakeHost {
    pub info: HostInfo,
    conns: mpsc::UnboundedReceiver<TcpStream>,
}

impl FakeHost {
    pub async fn new(id: &str, service: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = v4(listener.local_addr().unwrap());
        let (send, conns) = mpsc::unbounded_channel();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                if send.send(stream).is_err() {
                    return;
                }
            }
        });
        Self {
            info: host_info(id, service, addr),
            conns,
        }
    }

    /// The next connection that the proxy opens.
    pub async fn accept(&mut self) -> TestConnection {
        TestConnection::new(self.conns.recv().await.unwrap())
    }

    /// Whether the proxy has opened no further connection.
    pub fn has_no_connection(&mut self) -> bool {
        self.conns.try_recv().is_err()
    }
}

/// A healthy host in the proxy's zone.
pub fn host_info(id: &str, service: &str, addr: SocketAddrV4) -> HostInfo {
    HostInfo {
        id: id.into(),
        service: service.into(),
        addr,
        zone: "a".into(),
        capacity: 4,
        draining: false,
        heartbeat_expired: false,
        slow_start_remaining: Duration::ZERO,
    }
}

/// The first connection to either host, and the other host.
pub async fn first_connection<'a>(
    one: &'a mut FakeHost,
    two: &'a mut FakeHost,
) -> (TestConnection, &'a mut FakeHost) {
    tokio::select! {
        stream = one.conns.recv() => (TestConnection::new(stream.unwrap()), two),
        stream = two.conns.recv() => (TestConnection::new(stream.unwrap()), one),
    }
}

/// The next connection to any of these hosts.
pub async fn next_connection(hosts: &mut [&mut FakeHost]) -> TestConnection {
    std::future::poll_fn(|cx| {
        for host in hosts.iter_mut() {
            if let std::task::Poll::Ready(Some(stream)) = host.conns.poll_recv(cx) {
                return std::task::Poll::Ready(TestConnection::new(stream));
            }
        }
        std::task::Poll::Pending
    })
    .await
}
