//! A start while the process before still has the port.

mod common;
use common::unused_address;
use configuration::ProcessSettings;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Whoever listened there before may not be gone quite yet.
#[test]
fn port_in_use_is_waited_for() {
    common::run_async_test(async {
        let (front, readiness) = (unused_address().await, unused_address().await);
        let text = format!(
            r#"{{"node_name":"n","role":"r","ip_addr":"127.0.0.1","zone":"a","port_range":[7000,7001],
                "bind":{{"front":"{front}","readiness":"{readiness}"}}}}"#
        );
        let before = TcpListener::bind(SocketAddr::V4(front)).await.unwrap();
        let (_world, news) = watch::channel(None);
        let stop = std::future::pending::<()>();
        let serving = tokio::task::spawn_local(proxy::serve(
            ProcessSettings::read(&text).unwrap(),
            news,
            stop,
        ));
        // It has tried to listen by then.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        drop(before);
        while TcpStream::connect(SocketAddr::V4(readiness)).await.is_err() {
            assert!(!serving.is_finished(), "it has ended: {:?}", serving.await);
            tokio::task::yield_now().await;
        }
        assert!(TcpStream::connect(SocketAddr::V4(front)).await.is_ok());
        serving.abort();
    });
}
