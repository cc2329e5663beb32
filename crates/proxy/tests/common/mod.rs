//! A proxy under test with hosts and clients that the test plays, in one process on 127.0.0.1.
#![allow(dead_code, reason = "each test file uses a part of this")]
#![allow(unused_imports, reason = "each test file uses a part of this")]

mod connection;
mod fake_host;
mod messages;
mod proxy_under_test;

pub use connection::{Message, TestConnection};
pub use fake_host::{first_connection, host_info, next_connection, FakeHost};
pub use messages::{event, events, ok_response, request};
pub use proxy_under_test::{configuration, Proxy, ProxyOptions, ROUTES};

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;

/// A test that takes longer has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test on one thread, with tasks that aren't `Send`.
pub fn run_async_test(work: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let guard = async {
        tokio::time::timeout(TEST_TIMEOUT, work)
            .await
            .expect("too long");
    };
    tokio::task::LocalSet::new().block_on(&runtime, guard);
}

/// The IPv4 address that a test uses throughout.
fn v4(addr: SocketAddr) -> SocketAddrV4 {
    match addr {
        SocketAddr::V4(addr) => addr,
        SocketAddr::V6(_) => unreachable!("only IPv4 here"),
    }
}

/// An address on which nothing listens, and nothing else will: each has an IP address of its own, so that no other test
/// gets its port before it is used.
pub async fn unused_address() -> SocketAddrV4 {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(
        127,
        high | 128,
        low,
        1 + NEXT.fetch_add(1, Ordering::Relaxed) % 254,
    );
    v4(TcpListener::bind((ip, 0))
        .await
        .unwrap()
        .local_addr()
        .unwrap())
}
