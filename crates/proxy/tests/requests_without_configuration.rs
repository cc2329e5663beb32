//! Requests before the first configuration: no valid request fails for good, as the client is told to retry.

mod common;
use common::*;
use rstest::rstest;

/// Length of a head that exceeds the default limit.
const LONG_HEAD_BYTES: usize = 20_000;
/// Length of a body that exceeds the default limit.
const LONG_BODY_BYTES: usize = 5 << 20;

/// Limits larger than the defaults, which apply before the first configuration.
const LARGE_LIMITS: &str = r#""limits":{"max_header_bytes":32768,"max_body_bytes":8388608}"#;

fn post_head(fields: &str) -> String {
    format!("POST /pure/a HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: one\r\n{fields}\r\n")
}

/// Requests that some configuration could allow; of the long body only the head is sent.
#[rstest]
#[case::plain(post_head("Content-Length: 2\r\n") + "hi")]
#[case::unknown_path(request("/nowhere/", "one", ""))]
#[case::long_head(post_head(&format!("X-Long: {}\r\nContent-Length: 2\r\n", "a".repeat(LONG_HEAD_BYTES))) + "hi")]
#[case::long_body(post_head(&format!("Content-Length: {LONG_BODY_BYTES}\r\n")))]
fn any_valid_request_without_configuration_is_retryable(#[case] text: String) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::without_configuration().await;
        let mut client = proxy.client().await;
        client.send(&text).await;
        let response = client.read_message().await.unwrap();
        assert_eq!(response.status(), 503, "{}", response.head);
        assert!(response.field("retry-after").is_some(), "{}", response.head);
        assert!(host.has_no_connection());
    });
}

/// A request is subject to the limits of the configuration that is in force when it arrives.
#[test]
fn new_limits_apply_to_open_connections() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::without_configuration().await;
        let mut client = proxy.client().await;
        client.send(&request("/pure/a", "one", "")).await;
        assert_eq!(client.read_message().await.unwrap().status(), 503);
        let text = format!(
            r#"{{"version":1,"routes":[{ROUTES}],"services":[{{"name":"s"}}],{LARGE_LIMITS}}}"#
        );
        let document = configuration::Configuration::read(text.as_bytes(), 0).unwrap();
        proxy
            .apply_fleet(document.into(), vec![host.info.clone()])
            .await;
        let long_fields = format!(
            "X-Long: {}\r\nContent-Length: {LONG_BODY_BYTES}\r\n",
            "a".repeat(LONG_HEAD_BYTES)
        );
        let body = "b".repeat(LONG_BODY_BYTES);
        let text = post_head(&long_fields) + &body;
        let send = client.send(&text);
        let respond = async {
            let host_request = host.accept().await.respond_ok("done").await;
            assert_eq!(host_request.body.len(), LONG_BODY_BYTES);
        };
        tokio::join!(send, respond);
        assert_eq!(client.read_message().await.unwrap().body, "done");
    });
}
