//! Valid requests are never denied: without a configuration the proxy asks clients to come back.

mod common;
use common::*;
use rstest::rstest;

/// Longer than any head or body that is allowed while no configuration says otherwise.
const LONG_HEAD_BYTES: usize = 20_000;
const LONG_BODY_BYTES: usize = 5 << 20;

/// Bounds wider than those that stand before a configuration is known.
const WIDE_LIMITS: &str = r#""limits":{"max_header_bytes":32768,"max_body_bytes":8388608}"#;

fn post(fields: &str) -> String {
    format!("POST /pure/a HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: one\r\n{fields}\r\n")
}

/// Requests that some configuration allows, with what is sent of them at once.
#[rstest]
#[case::plain(post("Content-Length: 2\r\n") + "hi")]
#[case::nowhere(request("/nowhere/", "one", ""))]
#[case::long_head(post(&format!("X-Long: {}\r\nContent-Length: 2\r\n", "a".repeat(LONG_HEAD_BYTES))) + "hi")]
#[case::long_body(post(&format!("Content-Length: {LONG_BODY_BYTES}\r\n")))]
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

/// The bounds that are in force are those of the configuration that is known when the request comes.
#[test]
fn new_limits_apply_to_open_connections() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::without_configuration().await;
        let mut client = proxy.client().await;
        client.send(&request("/pure/a", "one", "")).await;
        assert_eq!(client.read_message().await.unwrap().status(), 503);
        let text = format!(
            r#"{{"version":1,"routes":[{ROUTES}],"services":[{{"name":"s"}}],{WIDE_LIMITS}}}"#
        );
        let document = configuration::Configuration::read(text.as_bytes(), 0).unwrap();
        proxy
            .apply_fleet(document.into(), vec![host.info.clone()])
            .await;
        let long = format!(
            "X-Long: {}\r\nContent-Length: {LONG_BODY_BYTES}\r\n",
            "a".repeat(LONG_HEAD_BYTES)
        );
        let body = "b".repeat(LONG_BODY_BYTES);
        let text = post(&long) + &body;
        let send = client.send(&text);
        let play = async {
            let asked = host.accept().await.respond_ok("done").await;
            assert_eq!(asked.body.len(), LONG_BODY_BYTES);
        };
        tokio::join!(send, play);
        assert_eq!(client.read_message().await.unwrap().body, "done");
    });
}
