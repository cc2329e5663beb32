//! What is proper is never denied: a proxy that knows no configuration yet says "come back", and nothing else.

mod common;
use common::*;
use rstest::rstest;

/// Longer than any head or body that is allowed while no configuration says otherwise.
const LONG_HEAD: usize = 20_000;
const LONG_BODY: usize = 5 << 20;

/// Bounds wider than those that stand before a configuration is known.
const WIDE: &str = r#""limits":{"max_header_bytes":32768,"max_body_bytes":8388608}"#;

fn post(fields: &str) -> String {
    format!("POST /pure/a HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: one\r\n{fields}\r\n")
}

/// Requests that some configuration allows, with what is sent of them at once.
#[rstest]
#[case::plain(post("Content-Length: 2\r\n") + "hi")]
#[case::nowhere(request("/nowhere/", "one", ""))]
#[case::long_head(post(&format!("X-Long: {}\r\nContent-Length: 2\r\n", "a".repeat(LONG_HEAD))) + "hi")]
#[case::long_body(post(&format!("Content-Length: {LONG_BODY}\r\n")))]
fn before_a_configuration_is_known_all_are_told_to_come_back(#[case] text: String) {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::blank().await;
        let mut client = proxy.client().await;
        client.send(&text).await;
        let answer = client.message().await.unwrap();
        assert_eq!(answer.status(), 503, "{}", answer.head);
        assert!(answer.field("retry-after").is_some(), "{}", answer.head);
        assert!(host.unasked());
    });
}

/// The bounds that are in force are those of the configuration that is known when the request comes.
#[test]
fn what_the_newest_configuration_allows_is_served_on_a_connection_from_before_it() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::blank().await;
        let mut client = proxy.client().await;
        client.send(&request("/pure/a", "one", "")).await;
        assert_eq!(client.message().await.unwrap().status(), 503);
        let text =
            format!(r#"{{"version":1,"routes":[{ROUTES}],"services":[{{"name":"s"}}],{WIDE}}}"#);
        let document = configuration::Configuration::read(text.as_bytes(), 0).unwrap();
        proxy.know(document.into(), vec![host.info.clone()]).await;
        let long = format!(
            "X-Long: {}\r\nContent-Length: {LONG_BODY}\r\n",
            "a".repeat(LONG_HEAD)
        );
        let body = "b".repeat(LONG_BODY);
        let text = post(&long) + &body;
        let send = client.send(&text);
        let play = async {
            let asked = host.conn().await.answer("done").await;
            assert_eq!(asked.body.len(), LONG_BODY);
        };
        tokio::join!(send, play);
        assert_eq!(client.message().await.unwrap().body, "done");
    });
}
