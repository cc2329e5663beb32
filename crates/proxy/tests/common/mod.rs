//! Test environment: a proxy with fake hosts and clients that the test controls, in one process on 127.0.0.0/8.
#![allow(dead_code, reason = "each test file uses a part of this")]
#![allow(unused_imports, reason = "each test file uses a part of this")]

mod connection;
mod fake_host;
mod messages;
mod proxy_under_test;
mod scenarios;

pub use connection::{Message, TestConnection};
pub use fake_host::{
    first_connection, first_connection_by_host, host_info, next_connection, FakeHost,
    HealthCheckReaction,
};
pub use messages::{event, events, ok_response, request};
pub use proxy_under_test::{configuration, Proxy, ProxyOptions, ROUTES};
pub use scenarios::{
    configuration_with_wide_limits, large_request, proxy_with_wide_limits, request_with_two_hosts,
    LARGE_BODY_BYTES,
};

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;

/// Time after which a test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test on a single-threaded runtime that allows tasks that aren't `Send`.
pub fn run_async_test(test_body: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let test_with_timeout = async {
        tokio::time::timeout(TEST_TIMEOUT, test_body)
            .await
            .expect("test timed out");
    };
    tokio::task::LocalSet::new().block_on(&runtime, test_with_timeout);
}

/// Converts a socket address that has to be an IPv4 address.
fn v4(addr: SocketAddr) -> SocketAddrV4 {
    match addr {
        SocketAddr::V4(addr) => addr,
        SocketAddr::V6(_) => unreachable!("tests bind IPv4 addresses only"),
    }
}

/// Returns an address with a free port. Each call uses another IP address of 127.0.0.0/8, so that no other test can
/// bind the port before it is used.
pub async fn unused_address() -> SocketAddrV4 {
    static NEXT_HOST_NUMBER: AtomicU8 = AtomicU8::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(
        127,
        high | 128,
        low,
        1 + NEXT_HOST_NUMBER.fetch_add(1, Ordering::Relaxed) % 254,
    );
    v4(TcpListener::bind((ip, 0))
        .await
        .unwrap()
        .local_addr()
        .unwrap())
}
