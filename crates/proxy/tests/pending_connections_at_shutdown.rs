//! Test of connections that the kernel has accepted but the proxy has not, at the time when a stopping process has
//! nothing left to wait for.

mod common;
use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc;
use std::time::Duration;

/// A little longer than the full service, after which a process without open connections exits.
const BLOCKED_TIME: Duration = Duration::from_millis(2600);
/// Number of proxies at once, as the order in which events of one turn of the event loop are handled is random.
const PROXY_COUNT: usize = 10;

#[test]
fn request_on_a_pending_connection_is_served_or_rejected_before_a_host_has_it() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let mut proxies = Vec::new();
        for _ in 0..PROXY_COUNT {
            let proxy = Proxy::with_grace(8.0, &host).await;
            // With an open host connection a request is forwarded in the same turn in which it is read.
            let mut early = proxy.send_request("/quick/a").await;
            let mut conn = host.accept().await;
            conn.respond_ok("early").await;
            early.read_message().await.unwrap();
            tokio::task::spawn_local(async move {
                conn.respond_ok("done").await;
                conn.wait_until_closed().await;
            });
            proxies.push(proxy);
        }
        proxies.iter_mut().for_each(Proxy::signal_stop);
        for proxy in &proxies {
            while proxy.readiness_status().await == 200 {}
        }
        let mut clients = Vec::new();
        for proxy in &proxies {
            // A blocking call, so that the proxy can't accept the connection yet.
            let mut client = TcpStream::connect(proxy.client_address).unwrap();
            client
                .write_all(request("/pure/a", "one", "").as_bytes())
                .unwrap();
            client.set_nonblocking(true).unwrap();
            clients.push(client);
        }
        // Blocks this thread, so that the proxies find the end of full service and the pending connections in one turn.
        let (_sender, receiver) = mpsc::channel::<()>();
        assert!(receiver.recv_timeout(BLOCKED_TIME).is_err());
        for client in clients {
            let mut client = TestConnection::new(tokio::net::TcpStream::from_std(client).unwrap());
            let response = client
                .read_message()
                .await
                .expect("a response or a rejection");
            assert!([200, 503].contains(&response.status()), "{}", response.head);
        }
    });
}
