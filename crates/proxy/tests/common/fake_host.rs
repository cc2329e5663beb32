//! Fake hosts, whose connections are served by the test.

use super::{v4, TestConnection};
use balancing::HostInfo;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Listening host without any logic. The test accepts the connections and responds on them.
pub struct FakeHost {
    pub info: HostInfo,
    accepted: mpsc::UnboundedReceiver<TcpStream>,
}

impl FakeHost {
    pub async fn new(id: &str, service: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = v4(listener.local_addr().unwrap());
        let (accepted_sender, accepted) = mpsc::unbounded_channel();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                if accepted_sender.send(stream).is_err() {
                    return;
                }
            }
        });
        Self {
            info: host_info(id, service, addr),
            accepted,
        }
    }

    /// Waits for the next connection that the proxy opens.
    pub async fn accept(&mut self) -> TestConnection {
        TestConnection::new(self.accepted.recv().await.unwrap())
    }

    /// Returns whether the proxy has opened no connection that isn't accepted yet.
    pub fn has_no_connection(&mut self) -> bool {
        self.accepted.try_recv().is_err()
    }
}

/// Returns the description of a healthy host in the proxy's zone.
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

/// Waits for the first connection to either host. Returns it together with the other host.
pub async fn first_connection<'a>(
    one: &'a mut FakeHost,
    two: &'a mut FakeHost,
) -> (TestConnection, &'a mut FakeHost) {
    tokio::select! {
        stream = one.accepted.recv() => (TestConnection::new(stream.unwrap()), two),
        stream = two.accepted.recv() => (TestConnection::new(stream.unwrap()), one),
    }
}

/// Waits for the next connection to any of these hosts.
pub async fn next_connection(hosts: &mut [&mut FakeHost]) -> TestConnection {
    std::future::poll_fn(|cx| {
        for host in hosts.iter_mut() {
            if let std::task::Poll::Ready(Some(stream)) = host.accepted.poll_recv(cx) {
                return std::task::Poll::Ready(TestConnection::new(stream));
            }
        }
        std::task::Poll::Pending
    })
    .await
}
