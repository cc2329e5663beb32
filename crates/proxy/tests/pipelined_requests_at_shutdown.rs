//! Tests of pipelined requests when the process is signalled to stop: each gets a response.

mod common;
use common::*;

#[test]
fn requests_pipelined_before_the_signal_are_all_answered() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let mut proxy = Proxy::with_grace(4.0, &host).await;
        let mut client = proxy.client().await;
        let (request_1, request_2) = (request("/once/a", "one", ""), request("/once/b", "two", ""));
        client.send(&format!("{request_1}{request_2}")).await;
        let mut conn = host.accept().await;
        let first = conn.read_message().await.unwrap();
        assert_eq!(first.field("fennelpin-attempt-id"), Some("one"));
        proxy.signal_stop();
        while proxy.readiness_status().await == 200 {}
        conn.send(&ok_response("one", "first")).await;
        let response = client.read_message().await.unwrap();
        assert_eq!(response.body, "first");
        assert_eq!(
            response.field("connection"),
            None,
            "another response follows"
        );
        conn.respond_ok("second").await;
        let response = client.read_message().await.expect("the second response");
        assert_eq!(response.body, "second");
        assert_eq!(response.field("connection"), Some("close"));
        client.wait_until_closed().await;
    });
}

#[test]
fn request_pipelined_after_one_that_the_shutdown_interrupts_is_rejected() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let mut proxy = Proxy::with_grace(1.2, &host).await;
        let mut client = proxy.client().await;
        let (request_1, request_2) = (request("/once/a", "one", ""), request("/once/b", "two", ""));
        client.send(&format!("{request_1}{request_2}")).await;
        let mut conn = host.accept().await;
        conn.read_message().await.unwrap();
        proxy.signal_stop();
        let response = client.read_message().await.unwrap();
        assert_eq!(response.status(), 502, "it may have run");
        let response = client.read_message().await.expect("a rejection");
        assert_eq!(response.status(), 503);
        assert_eq!(response.field("fennelpin-attempt-id"), Some("two"));
        assert_eq!(response.field("connection"), Some("close"));
        assert!(host.has_no_connection());
        proxy.serving.await.unwrap().unwrap();
    });
}
