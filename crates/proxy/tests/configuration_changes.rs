//! A configuration that changes: requests that are under way are answered as the one before said.

mod common;
use common::*;
use configuration::Configuration;
use rstest::rstest;
use std::sync::Arc;

/// What the next configuration says.
fn next(routes: &str, limits: &str) -> Arc<Configuration> {
    let services = r#"[{"name":"s"},{"name":"t"}]"#;
    let text = format!(
        r#"{{"version":2,"routes":[{routes}],"services":{services},"limits":{{{limits}}}}}"#
    );
    Configuration::read(text.as_bytes(), 1).unwrap().into()
}

/// Changes that take away what the requests under way rest on.
fn dropped() -> Arc<Configuration> {
    next("", "")
}

fn moved() -> Arc<Configuration> {
    next(&ROUTES.replace(r#""service":"s""#, r#""service":"t""#), "")
}

fn hasty() -> Arc<Configuration> {
    next(
        &ROUTES.replace(r#""deadline_ms":8000"#, r#""deadline_ms":1"#),
        "",
    )
}

fn narrow() -> Arc<Configuration> {
    next(
        ROUTES,
        r#""max_header_bytes":64,"max_body_bytes":1,"header_timeout_ms":1,"idle_timeout_ms":1000"#,
    )
}

#[rstest]
fn what_is_at_a_host_is_answered(
    #[values(dropped(), moved(), hasty(), narrow())] next: Arc<Configuration>,
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &str,
) {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.ask(path).await;
        let mut conn = host.conn().await;
        conn.message().await.unwrap();
        proxy.know(next, vec![host.info.clone()]).await;
        conn.send(&good("one", "done")).await;
        let answer = client.message().await.unwrap();
        assert_eq!(
            (answer.status(), answer.whole, answer.body.as_str()),
            (200, true, "done")
        );
        let counted = proxy.counters.get();
        assert_eq!(
            (
                counted.responses,
                counted.truncated_responses,
                counted.local_errors,
                counted.local_rejections
            ),
            (1, 0, 0, 0)
        );
    });
}

#[rstest]
fn a_stream_goes_on(
    #[values(dropped(), moved(), hasty(), narrow())] next: Arc<Configuration>,
    #[values("/live/a", "/more/a")] path: &str,
) {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.ask(path).await;
        let mut conn = host.conn().await;
        conn.begin("seal", &[1]).await;
        client.until("piece 1\n\n").await;
        proxy.know(next, vec![host.info.clone()]).await;
        conn.events(&[2]).await;
        conn.send("0\r\n\r\n").await;
        let answer = client.message().await.unwrap();
        assert_eq!((answer.whole, answer.body), (true, events([1, 2])));
    });
}

/// A body that has begun under wider bounds is read to its end under them.
#[test]
fn a_request_that_is_half_read_is_served() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.client().await;
        let head = "POST /pure/a HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: one\r\n\
                    Expect: 100-continue\r\nContent-Length: 10\r\n\r\n";
        client.send(head).await;
        assert!(client.head().await.unwrap().starts_with("HTTP/1.1 100 "));
        proxy.know(narrow(), vec![host.info.clone()]).await;
        client.send("0123456789").await;
        assert_eq!(host.conn().await.answer("done").await.body, "0123456789");
        assert_eq!(client.message().await.unwrap().body, "done");
    });
}

/// The connection of a client outlives the change, and its next request goes by the new routes.
#[test]
fn the_next_request_on_a_connection_goes_by_the_new_routes() {
    story(async {
        let (mut old, mut new) = (Host::new("h1", "s").await, Host::new("h2", "t").await);
        let proxy = Proxy::new(&[&old, &new]).await;
        let mut client = proxy.ask("/once/a").await;
        old.conn().await.answer("old").await;
        assert_eq!(client.message().await.unwrap().body, "old");
        proxy
            .know(moved(), vec![old.info.clone(), new.info.clone()])
            .await;
        client.send(&request("/once/a", "two", "")).await;
        new.conn().await.answer("new").await;
        assert_eq!(client.message().await.unwrap().body, "new");
        assert!(old.unasked());
    });
}
