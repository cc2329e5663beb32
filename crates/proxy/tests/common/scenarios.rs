//! Scenarios that several test files play.

use super::{first_connection, FakeHost, Message, Proxy, ProxyOptions, TestConnection, ROUTES};
use configuration::Configuration;
use std::sync::Arc;

/// Length of the body of [`large_request`] in bytes, more than the buffers of a connection hold.
pub const LARGE_BODY_BYTES: usize = 8_000_000;

/// Returns a configuration with [`ROUTES`] that allows large bodies.
pub fn configuration_with_wide_limits() -> Arc<Configuration> {
    let text = format!(
        r#"{{"version":1,"routes":[{ROUTES}],"services":[{{"name":"s"}}],"limits":{{"max_body_bytes":9000000}}}}"#
    );
    Configuration::read(text.as_bytes(), 0).unwrap().into()
}

/// Starts a proxy that accepts large bodies, so that a host can respond before the request is written completely.
pub async fn proxy_with_wide_limits(options: ProxyOptions, hosts: &[&FakeHost]) -> Proxy {
    let proxy = Proxy::with_options(options).await;
    proxy
        .apply_fleet(
            configuration_with_wide_limits(),
            hosts.iter().map(|h| h.info.clone()).collect(),
        )
        .await;
    proxy
}

/// Returns a request to a path with a body of [`LARGE_BODY_BYTES`].
pub fn large_request(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: one\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n{}",
        "a".repeat(LARGE_BODY_BYTES)
    )
}

/// Sends a request to a proxy with two hosts, runs `first_host` on the connection that gets it, and lets the other host
/// respond if `second_host_responds`. Returns the client's response, and checks that the other host got no further
/// connection.
pub async fn request_with_two_hosts(
    path: &str,
    first_host: impl AsyncFnOnce(TestConnection),
    second_host_responds: bool,
) -> Message {
    let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
    let mut client = proxy.send_request(path).await;
    let (first, other) = first_connection(&mut host_1, &mut host_2).await;
    first_host(first).await;
    if second_host_responds {
        other.accept().await.respond_ok("second").await;
    }
    let response = client.read_message().await.expect("a response");
    assert!(other.has_no_connection());
    response
}
