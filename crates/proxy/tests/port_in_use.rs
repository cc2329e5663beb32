//! Start of a proxy while the previous process still has the port.

mod common;
use common::unused_address;
use configuration::ProcessSettings;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Guards against a start that fails because the previous process hasn't released its port yet.
#[test]
fn start_waits_for_a_port_in_use() {
    common::run_async_test(async {
        let (front, readiness) = (unused_address().await, unused_address().await);
        let text = format!(
            r#"{{"node_name":"n","role":"r","ip_addr":"127.0.0.1","zone":"a","port_range":[7000,7001],
                "bind":{{"front":"{front}","readiness":"{readiness}"}}}}"#
        );
        let previous_listener = TcpListener::bind(SocketAddr::V4(front)).await.unwrap();
        let (_fleet, fleet_updates) = watch::channel(None);
        let stop = std::future::pending::<()>();
        let serving = tokio::task::spawn_local(proxy::serve(
            ProcessSettings::read(&text).unwrap(),
            fleet_updates,
            stop,
        ));
        // The proxy has tried to listen by then.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        drop(previous_listener);
        while TcpStream::connect(SocketAddr::V4(readiness)).await.is_err() {
            assert!(
                !serving.is_finished(),
                "the proxy has ended: {:?}",
                serving.await
            );
            tokio::task::yield_now().await;
        }
        assert!(TcpStream::connect(SocketAddr::V4(front)).await.is_ok());
        serving.abort();
    });
}
