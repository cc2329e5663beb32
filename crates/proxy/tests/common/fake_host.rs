//! Fake hosts, whose connections are served by the test.

use super::{v4, TestConnection};
use balancing::HostInfo;
use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::JoinHandle;

/// The start of the health check of a service without a health path.
const HEALTH_CHECK_START: &[u8] = b"GET / ";

/// How a host reacts to a health check.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum HealthCheckReaction {
    /// Answers it with its id.
    #[default]
    Answer,
    /// Answers it with the id of another host that has its address now.
    AnswerAsAnotherHost,
    /// Keeps the connection and answers nothing.
    StaySilent,
    /// Resets the connection, and goes on listening.
    Reset,
    /// Stops listening and then resets the connection, as the kernel does for a process that is ending.
    EndProcess,
}

/// Listening host without any logic but for health checks. The test accepts the connections and responds on them.
pub struct FakeHost {
    pub info: HostInfo,
    accepted: mpsc::UnboundedReceiver<TcpStream>,
    shared: Rc<SharedHost>,
    accept_task: JoinHandle<()>,
}

/// What a host shares with the tasks of its connections.
struct SharedHost {
    id: String,
    accepted: mpsc::UnboundedSender<TcpStream>,
    /// Connections on which nothing has arrived so far.
    silent_count: Cell<usize>,
    health_check_reaction: Cell<HealthCheckReaction>,
    process_end: Notify,
    listens: Cell<bool>,
}

impl FakeHost {
    pub async fn new(id: &str, service: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = v4(listener.local_addr().unwrap());
        let (accepted_sender, accepted) = mpsc::unbounded_channel();
        let shared = Rc::new(SharedHost {
            id: id.to_owned(),
            accepted: accepted_sender,
            silent_count: Cell::default(),
            health_check_reaction: Cell::default(),
            process_end: Notify::new(),
            listens: Cell::new(true),
        });
        let accept_task = tokio::task::spawn_local(accept_connections(listener, shared.clone()));
        Self {
            info: host_info(id, service, addr),
            accepted,
            shared,
            accept_task,
        }
    }

    /// Sets how the host reacts to health checks.
    pub fn react_to_health_checks(&self, reaction: HealthCheckReaction) {
        self.shared.health_check_reaction.set(reaction);
    }

    /// Waits for the next connection on which the proxy sends a request that is no health check.
    pub async fn accept(&mut self) -> TestConnection {
        TestConnection::new(self.accepted.recv().await.unwrap())
    }

    /// Returns whether the proxy has opened no connection that isn't accepted yet, but for health checks.
    pub fn has_no_connection(&mut self) -> bool {
        self.accepted.try_recv().is_err() && self.shared.silent_count.get() == 0
    }

    /// Refuses connections from now on, as the address of a process that has ended does.
    pub async fn stop_listening(&mut self) {
        self.accept_task.abort();
        while !self.accept_task.is_finished() {
            tokio::task::yield_now().await;
        }
    }
}

async fn accept_connections(listener: TcpListener, host: Rc<SharedHost>) {
    loop {
        tokio::select! {
            connection = listener.accept() => {
                let Ok((stream, _)) = connection else {
                    break;
                };
                let _ = stream.set_nodelay(true);
                host.silent_count.set(host.silent_count.get() + 1);
                tokio::task::spawn_local(on_connection(stream, host.clone()));
            }
            () = host.process_end.notified() => break,
        }
    }
    drop(listener);
    host.listens.set(false);
}

async fn on_connection(stream: TcpStream, host: Rc<SharedHost>) {
    let mut start = [0; HEALTH_CHECK_START.len()];
    let length = stream.peek(&mut start).await.unwrap_or(0);
    host.silent_count.set(host.silent_count.get() - 1);
    if start == HEALTH_CHECK_START {
        on_health_check(TestConnection::new(stream), &host).await;
    } else if length > 0 {
        let _ = host.accepted.send(stream);
    }
}

async fn on_health_check(mut conn: TestConnection, host: &SharedHost) {
    let id = match host.health_check_reaction.get() {
        HealthCheckReaction::Answer => host.id.as_str(),
        HealthCheckReaction::AnswerAsAnotherHost => "another",
        HealthCheckReaction::StaySilent => return conn.wait_until_closed().await,
        HealthCheckReaction::Reset => return conn.reset(),
        HealthCheckReaction::EndProcess => {
            host.process_end.notify_one();
            while host.listens.get() {
                tokio::task::yield_now().await;
            }
            return conn.reset();
        }
    };
    let text = format!("HTTP/1.1 200 OK\r\nFennelpin-Host-Id: {id}\r\nContent-Length: 0\r\n\r\n");
    let _ = conn.stream.write_all(text.as_bytes()).await;
    conn.wait_until_closed().await;
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
