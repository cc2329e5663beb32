//! Configuration changes: requests in flight complete under the configuration that was in force when they arrived.

mod common;
use common::*;
use configuration::Configuration;
use rstest::rstest;
use std::sync::Arc;

/// Returns the second version of the configuration, with these routes and limits.
fn next_configuration(routes: &str, limits: &str) -> Arc<Configuration> {
    let services = r#"[{"name":"s"},{"name":"t"}]"#;
    let text = format!(
        r#"{{"version":2,"routes":[{routes}],"services":{services},"limits":{{{limits}}}}}"#
    );
    Configuration::read(text.as_bytes(), 1).unwrap().into()
}

/// Returns a configuration that lacks the routes of the requests in flight.
fn without_routes() -> Arc<Configuration> {
    next_configuration("", "")
}

fn with_routes_to_another_service() -> Arc<Configuration> {
    next_configuration(&ROUTES.replace(r#""service":"s""#, r#""service":"t""#), "")
}

fn with_short_deadlines() -> Arc<Configuration> {
    next_configuration(
        &ROUTES.replace(r#""deadline_ms":8000"#, r#""deadline_ms":1"#),
        "",
    )
}

fn with_small_limits() -> Arc<Configuration> {
    next_configuration(
        ROUTES,
        r#""max_header_bytes":64,"max_body_bytes":1,"header_timeout_ms":1,"idle_timeout_ms":1000"#,
    )
}

#[rstest]
fn request_in_flight_survives_a_configuration_change(
    #[values(
        without_routes(),
        with_routes_to_another_service(),
        with_short_deadlines(),
        with_small_limits()
    )]
    next: Arc<Configuration>,
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &str,
) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.send_request(path).await;
        let mut conn = host.accept().await;
        conn.read_message().await.unwrap();
        proxy.apply_fleet(next, vec![host.info.clone()]).await;
        conn.send(&ok_response("one", "done")).await;
        let response = client.read_message().await.unwrap();
        assert_eq!(
            (response.status(), response.complete, response.body.as_str()),
            (200, true, "done")
        );
        let counters = proxy.counters.get();
        assert_eq!(
            (
                counters.responses,
                counters.truncated_responses,
                counters.local_errors,
                counters.local_rejections
            ),
            (1, 0, 0, 0)
        );
    });
}

#[rstest]
fn stream_survives_a_configuration_change(
    #[values(
        without_routes(),
        with_routes_to_another_service(),
        with_short_deadlines(),
        with_small_limits()
    )]
    next: Arc<Configuration>,
    #[values("/live/a", "/more/a")] path: &str,
) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.send_request(path).await;
        let mut conn = host.accept().await;
        conn.start_stream("seal", &[1]).await;
        client.read_until("piece 1\n\n").await;
        proxy.apply_fleet(next, vec![host.info.clone()]).await;
        conn.send_events(&[2]).await;
        conn.send("0\r\n\r\n").await;
        let response = client.read_message().await.unwrap();
        assert_eq!((response.complete, response.body), (true, events([1, 2])));
    });
}

/// A body whose head was read under larger limits is read to its end under those.
#[test]
fn half_read_request_is_served_after_a_configuration_change() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.client().await;
        let head = "POST /pure/a HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: one\r\n\
                    Expect: 100-continue\r\nContent-Length: 10\r\n\r\n";
        client.send(head).await;
        assert!(client
            .read_head()
            .await
            .unwrap()
            .starts_with("HTTP/1.1 100 "));
        proxy
            .apply_fleet(with_small_limits(), vec![host.info.clone()])
            .await;
        client.send("0123456789").await;
        assert_eq!(
            host.accept().await.respond_ok("done").await.body,
            "0123456789"
        );
        assert_eq!(client.read_message().await.unwrap().body, "done");
    });
}

/// The client's connection stays open, and its next request is routed by the new configuration.
#[test]
fn next_request_on_a_connection_uses_the_new_routes() {
    run_async_test(async {
        let (mut old, mut new) = (
            FakeHost::new("h1", "s").await,
            FakeHost::new("h2", "t").await,
        );
        let proxy = Proxy::new(&[&old, &new]).await;
        let mut client = proxy.send_request("/once/a").await;
        old.accept().await.respond_ok("old").await;
        assert_eq!(client.read_message().await.unwrap().body, "old");
        proxy
            .apply_fleet(
                with_routes_to_another_service(),
                vec![old.info.clone(), new.info.clone()],
            )
            .await;
        client.send(&request("/once/a", "two", "")).await;
        new.accept().await.respond_ok("new").await;
        assert_eq!(client.read_message().await.unwrap().body, "new");
        assert!(old.has_no_connection());
    });
}
