//! A port in use is waited for, for a limited time.

use bind_retry::{bind, BIND_TIMEOUT};
use std::io::ErrorKind;
use std::net::{SocketAddr, SocketAddrV4};
use tokio::net::TcpListener;
use tokio::time::Instant;

async fn listener() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    match listener.local_addr().unwrap() {
        SocketAddr::V4(addr) => (listener, addr),
        SocketAddr::V6(addr) => panic!("{addr}"),
    }
}

#[tokio::test(flavor = "current_thread")]
async fn port_when_released_meanwhile_is_bound() {
    let (before, addr) = listener().await;
    let binding = tokio::spawn(bind(addr));
    // It has tried to bind by then.
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    assert!(!binding.is_finished());
    drop(before);
    let bound = binding.await.unwrap().unwrap();
    assert_eq!(bound.local_addr().unwrap(), SocketAddr::V4(addr));
}

#[tokio::test(flavor = "current_thread")]
async fn port_when_never_released_is_an_error_after_the_timeout() {
    let (_before, addr) = listener().await;
    let began_at = Instant::now();
    let error = bind(addr).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::AddrInUse);
    assert!(began_at.elapsed() >= BIND_TIMEOUT);
}

#[tokio::test(flavor = "current_thread")]
async fn address_when_not_of_this_machine_is_an_error_at_once() {
    let began_at = Instant::now();
    let error = bind("192.0.2.1:80".parse().unwrap()).await.unwrap_err();
    assert_ne!(error.kind(), ErrorKind::AddrInUse);
    assert!(began_at.elapsed() < BIND_TIMEOUT);
}
