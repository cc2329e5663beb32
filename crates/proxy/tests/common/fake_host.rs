//! Fake hosts, whose connections are served by the test.

use super::{v4, TestConnection};
use balancing::HostInfo;
use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Listening host without any logic. The test accepts the connections and responds on them.
pub struct FakeHost {
    pub info: HostInfo,
    accepted: mpsc::UnboundedReceiver<TcpStream>,
    /// Connections on which nothing has arrived so far.
    silent_count: Rc<Cell<usize>>,
    accept_task: JoinHandle<()>,
}

impl FakeHost {
    pub async fn new(id: &str, service: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = v4(listener.local_addr().unwrap());
        let (accepted_sender, accepted) = mpsc::unbounded_channel();
        let silent_count = Rc::<Cell<usize>>::default();
        let accept_task = tokio::task::spawn_local(accept_connections(
            listener,
            accepted_sender,
            silent_count.clone(),
        ));
        Self {
            info: host_info(id, service, addr),
            accepted,
            silent_count,
            accept_task,
        }
    }

    /// Waits for the next connection on which the proxy sends a request.
    pub async fn accept(&mut self) -> TestConnection {
        TestConnection::new(self.accepted.recv().await.unwrap())
    }

    /// Returns whether the proxy has opened no connection that isn't accepted yet, but for those that it closed again
    /// without a request.
    pub fn has_no_connection(&mut self) -> bool {
        self.accepted.try_recv().is_err() && self.silent_count.get() == 0
    }

    /// Refuses connections from now on, as the address of a process that has ended does.
    pub async fn stop_listening(&mut self) {
        self.accept_task.abort();
        while !self.accept_task.is_finished() {
            tokio::task::yield_now().await;
        }
    }
}

async fn accept_connections(
    listener: TcpListener,
    accepted: mpsc::UnboundedSender<TcpStream>,
    silent_count: Rc<Cell<usize>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        silent_count.set(silent_count.get() + 1);
        let (accepted, silent_count) = (accepted.clone(), silent_count.clone());
        tokio::task::spawn_local(async move {
            // The proxy closes a connection without a request after it has seen that the host accepts it.
            let has_request = !matches!(stream.peek(&mut [0]).await, Ok(0));
            silent_count.set(silent_count.get() - 1);
            if has_request {
                let _ = accepted.send(stream);
            }
        });
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
    let (conn, _, other) = first_connection_by_host(one, two).await;
    (conn, other)
}

/// Waits for the first connection to either host. Returns it together with its host and the other one.
pub async fn first_connection_by_host<'a>(
    one: &'a mut FakeHost,
    two: &'a mut FakeHost,
) -> (TestConnection, &'a mut FakeHost, &'a mut FakeHost) {
    tokio::select! {
        stream = one.accepted.recv() => (TestConnection::new(stream.unwrap()), one, two),
        stream = two.accepted.recv() => (TestConnection::new(stream.unwrap()), two, one),
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
