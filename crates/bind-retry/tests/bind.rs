//! `bind` waits for a port in use, for a limited time.

use bind_retry::{bind, BIND_TIMEOUT};
use std::io::ErrorKind;
use std::net::{SocketAddr, SocketAddrV4};
use tokio::net::TcpListener;
use tokio::time::Instant;

async fn listener_on_free_port() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    match listener.local_addr().unwrap() {
        SocketAddr::V4(addr) => (listener, addr),
        SocketAddr::V6(addr) => panic!("unexpected IPv6 address {addr}"),
    }
}

#[tokio::test(flavor = "current_thread")]
async fn released_port_is_bound() {
    let (previous_listener, addr) = listener_on_free_port().await;
    let binding = tokio::spawn(bind(addr));
    // Lets the task try to bind at least once.
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    assert!(!binding.is_finished());
    drop(previous_listener);
    let bound = binding.await.unwrap().unwrap();
    assert_eq!(bound.local_addr().unwrap(), SocketAddr::V4(addr));
}

#[tokio::test(flavor = "current_thread")]
async fn port_in_use_is_an_error_after_the_timeout() {
    let (_previous_listener, addr) = listener_on_free_port().await;
    let started_at = Instant::now();
    let error = bind(addr).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::AddrInUse);
    assert!(started_at.elapsed() >= BIND_TIMEOUT);
}

#[tokio::test(flavor = "current_thread")]
async fn address_of_another_machine_is_an_error_at_once() {
    let started_at = Instant::now();
    let error = bind("192.0.2.1:80".parse().unwrap()).await.unwrap_err();
    assert_ne!(error.kind(), ErrorKind::AddrInUse);
    assert!(started_at.elapsed() < BIND_TIMEOUT);
}
