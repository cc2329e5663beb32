//! Clients: bounds on what they send, and what they are told.

mod common;
use common::*;
use rstest::rstest;

const LIMITS: &str = r#""limits":{"max_header_bytes":1024,"max_body_bytes":100,"header_timeout_ms":60,"idle_timeout_ms":120}"#;

/// A proxy with narrow bounds.
async fn narrow(host: &Host) -> Proxy {
    let proxy = Proxy::blank().await;
    let text =
        format!(r#"{{"version":1,"routes":[{ROUTES}],"services":[{{"name":"s"}}],{LIMITS}}}"#);
    let document = configuration::Configuration::read(text.as_bytes(), 0).unwrap();
    proxy.know(document.into(), vec![host.info.clone()]).await;
    proxy
}

#[rstest]
#[case::no_http("BREW /pure/ COFFEE/1.1\r\n\r\n".into(), 400)]
#[case::two_framings(head("Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"), 400)]
#[case::no_length(head("Content-Length: two\r\n"), 400)]
#[case::bad_chunk(head("Transfer-Encoding: chunked\r\n") + "zz\r\n", 400)]
#[case::no_id("GET /pure/ HTTP/1.1\r\nHost: x.example\r\n\r\n".into(), 400)]
#[case::long_body(head("Content-Length: 101\r\n"), 413)]
#[case::endless_body(head("Content-Length: 99999999999999999999999\r\n"), 413)]
#[case::long_chunks(head("Transfer-Encoding: chunked\r\n") + "65\r\n" + &"a".repeat(101), 413)]
#[case::long_head(head(&format!("X: {}\r\n", "a".repeat(1100))), 431)]
#[case::slow_head("GET /pure/ HTTP/1.1\r\nHost:".into(), 408)]
#[case::slow_body(head("Content-Length: 2\r\n") + "h", 408)]
#[case::no_route("GET /nowhere/ HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: one\r\n\r\n".into(), 404)]
#[case::other_host("GET /pure/ HTTP/1.1\r\nHost: y.example\r\nFennelpin-Attempt-Id: one\r\n\r\n".into(), 404)]
fn a_request_beyond_the_bounds_is_told_so(#[case] text: String, #[case] status: u16) {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = narrow(&host).await;
        let mut client = proxy.client().await;
        client.send(&text).await;
        let answer = client.message().await.expect("an answer");
        assert_eq!(answer.status(), status);
        assert!(answer.whole && host.unasked());
        if status != 404 && !text.starts_with("GET /pure/ HTTP/1.1\r\nHost: x.example") {
            assert_eq!(answer.field("connection"), Some("close"));
            client.closed().await;
        }
    });
}

fn head(fields: &str) -> String {
    format!("POST /pure/a HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: one\r\n{fields}\r\n")
}

#[test]
fn a_connection_that_stands_idle_is_closed_without_a_word() {
    story(async {
        let host = Host::new("h1", "s").await;
        let proxy = narrow(&host).await;
        let mut client = proxy.client().await;
        assert_eq!(client.message().await, None);
    });
}

#[test]
fn a_body_in_chunks_arrives_whole_with_its_length() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.client().await;
        client
            .send(&(head("Transfer-Encoding: chunked\r\n") + "3\r\nhel\r\n"))
            .await;
        client.send("2\r\nlo\r\n0\r\n\r\n").await;
        let asked = host.conn().await.answer("done").await;
        assert_eq!(
            (asked.body.as_str(), asked.field("content-length")),
            ("hello", Some("5"))
        );
        assert_eq!(asked.field("transfer-encoding"), None);
        assert_eq!(client.message().await.unwrap().body, "done");
    });
}

#[test]
fn a_client_that_waits_for_100_is_told_to_go_on() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.client().await;
        client
            .send(&head("Expect: 100-continue\r\nContent-Length: 2\r\n"))
            .await;
        assert!(client.head().await.unwrap().starts_with("HTTP/1.1 100 "));
        client.send("hi").await;
        let asked = host.conn().await.answer("done").await;
        assert_eq!((asked.body.as_str(), asked.field("expect")), ("hi", None));
        assert_eq!(client.message().await.unwrap().body, "done");
    });
}

#[test]
fn requests_sent_ahead_are_answered_in_order() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.client().await;
        client
            .send(&(request("/pure/a", "one", "") + &request("/once/b", "two", "")))
            .await;
        let mut conn = host.conn().await;
        assert_eq!(
            conn.answer("first").await.field("fennelpin-attempt-id"),
            Some("one")
        );
        assert_eq!(client.message().await.unwrap().body, "first");
        assert_eq!(
            conn.answer("second").await.field("fennelpin-attempt-id"),
            Some("two")
        );
        assert_eq!(client.message().await.unwrap().body, "second");
    });
}

#[test]
fn before_a_configuration_clients_are_told_when_to_come_back() {
    story(async {
        let mut proxy = Proxy::blank().await;
        assert_eq!(proxy.ready().await, 503);
        let answer = proxy.ask("/pure/a").await.message().await.unwrap();
        assert_eq!(answer.status(), 503);
        let after: f64 = answer.field("retry-after").unwrap().parse().unwrap();
        assert!(after > 0.0 && after <= 1.0);
        proxy.know(document(1, ROUTES), Vec::new()).await;
        assert_eq!(proxy.ready().await, 503, "no host is known");
        assert_eq!(
            proxy.ask("/pure/a").await.message().await.unwrap().status(),
            503
        );
        let mut host = Host::new("h1", "s").await;
        proxy
            .know(document(1, ROUTES), vec![host.info.clone()])
            .await;
        assert_eq!(proxy.ready().await, 200);
        let mut client = proxy.ask("/pure/a").await;
        host.conn().await.answer("done").await;
        assert_eq!(client.message().await.unwrap().status(), 200);
        proxy.tell_to_stop();
    });
}

#[test]
fn an_older_configuration_is_passed_over() {
    story(async {
        let host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        proxy
            .know(
                document(5, &ROUTES.replace("/once/", "/other/")),
                vec![host.info.clone()],
            )
            .await;
        assert_eq!(
            proxy.ask("/once/a").await.message().await.unwrap().status(),
            404
        );
        proxy
            .know(document(4, ROUTES), vec![host.info.clone()])
            .await;
        assert_eq!(
            proxy.ask("/once/a").await.message().await.unwrap().status(),
            404
        );
    });
}

#[test]
fn a_split_route_goes_to_the_services_by_weight() {
    story(async {
        let (mut s, mut t) = (Host::new("h1", "s").await, Host::new("h2", "t").await);
        let proxy = Proxy::blank().await;
        let split = |a, b| {
            format!(
                r#"{{"name":"w","hostname":"x.example","path_prefix":"/w/","route_class":"pure","deadline_ms":8000,
                    "weighted_split":[{{"service":"s","share":{a}}},{{"service":"t","share":{b}}}]}}"#
            )
        };
        let hosts = vec![s.info.clone(), t.info.clone()];
        proxy.know(document(1, &split(1, 0)), hosts.clone()).await;
        let mut client = proxy.ask("/w/a").await;
        s.conn().await.answer("s").await;
        assert_eq!(client.message().await.unwrap().body, "s");
        proxy.know(document(2, &split(0, 1)), hosts).await;
        let mut client = proxy.ask("/w/a").await;
        t.conn().await.answer("t").await;
        assert_eq!(client.message().await.unwrap().body, "t");
    });
}

#[rstest]
#[case("/quick/a")]
#[case("/once/a")]
#[case("/live/a")]
fn a_client_that_leaves_closes_its_host_s_connection(#[case] path: &str) {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let client = proxy.ask(path).await;
        let mut conn = host.conn().await;
        conn.message().await.unwrap();
        drop(client);
        conn.closed().await;
        assert_eq!(proxy.counters.get().client_disconnects, 1);
    });
}

#[test]
fn a_client_that_leaves_a_stream_closes_its_host_s_connection() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.ask("/more/a").await;
        let mut conn = host.conn().await;
        conn.begin("seal", &[1]).await;
        client.until("piece 1\n\n").await;
        drop(client);
        conn.closed().await;
    });
}

#[test]
fn idle_clients_make_room_before_anyone_is_turned_away() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::set_up(Setup {
            fd_limit: 260,
            ..Setup::default()
        })
        .await;
        proxy
            .know(document(1, ROUTES), vec![host.info.clone()])
            .await;
        // 60 in 100 of 16 descriptors: nine clients.
        let mut idle = Vec::new();
        for _ in 0..8 {
            idle.push(proxy.client().await);
        }
        let mut busy = proxy.ask("/pure/a").await;
        let mut conn = host.conn().await;
        conn.message().await.unwrap();
        let mut late = proxy.ask("/pure/a").await;
        idle.remove(0).closed().await;
        let mut other = host.conn().await;
        other.answer("late").await;
        assert_eq!(late.message().await.unwrap().body, "late");
        conn.send(&good("one", "busy")).await;
        assert_eq!(busy.message().await.unwrap().body, "busy");
        assert_eq!(proxy.counters.get().local_rejections, 0);
    });
}

#[test]
fn with_all_busy_one_more_is_told_to_come_back() {
    story(async {
        let host = Host::new("h1", "s").await;
        let proxy = Proxy::set_up(Setup {
            fd_limit: 260,
            ..Setup::default()
        })
        .await;
        proxy
            .know(document(1, ROUTES), vec![host.info.clone()])
            .await;
        let mut busy = Vec::new();
        for _ in 0..9 {
            let mut client = proxy.client().await;
            client
                .send(&head("Expect: 100-continue\r\nContent-Length: 2\r\n"))
                .await;
            client.head().await.unwrap();
            busy.push(client);
        }
        let answer = proxy.ask("/once/a").await.message().await.unwrap();
        assert_eq!(
            (answer.status(), answer.field("connection")),
            (503, Some("close"))
        );
        assert!(answer.field("retry-after").is_some());
    });
}

#[test]
fn bodies_beyond_the_memory_are_told_to_come_back() {
    story(async {
        let host = Host::new("h1", "s").await;
        let proxy = Proxy::set_up(Setup {
            memory_mb: 0,
            ..Setup::default()
        })
        .await;
        proxy
            .know(document(1, ROUTES), vec![host.info.clone()])
            .await;
        let answer = proxy.ask("/once/a").await.message().await.unwrap();
        assert_eq!(
            (answer.status(), answer.field("fennelpin-attempt-id")),
            (503, Some("one"))
        );
    });
}

#[test]
fn an_answer_to_head_has_no_body() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.client().await;
        let head = |path: &str| {
            format!("HEAD {path} HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: one\r\n\r\n")
        };
        client
            .send(&(head("/nowhere/") + &head("/pure/a") + &request("/once/a", "two", "")))
            .await;
        assert!(client.head().await.unwrap().starts_with("HTTP/1.1 404 "));
        let mut conn = host.conn().await;
        conn.reply("200 OK\r\nFennelpin-Host-Seal: s\r\nContent-Length: 7", "")
            .await;
        let answer = client.head().await.unwrap();
        assert!(
            answer.starts_with("HTTP/1.1 200 ") && answer.contains("Content-Length: 7\r\n"),
            "{answer}"
        );
        conn.answer("body").await;
        assert_eq!(client.message().await.unwrap().body, "body");
    });
}

/// The body of a refused request may look like requests: it is none.
#[rstest]
#[case::too_large("Content-Length: 101\r\n", 413)]
#[case::no_length("Content-Length: x\r\n", 400)]
#[case::two_framings("Content-Length: 0\r\nTransfer-Encoding: chunked\r\n", 400)]
#[case::chunk_without_size("Transfer-Encoding: chunked\r\n", 400)]
fn what_follows_a_refused_request_is_not_run(#[case] fields: &str, #[case] status: u16) {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = narrow(&host).await;
        let mut client = proxy.client().await;
        client
            .send(&(head(fields) + &request("/once/a", "hidden", "")))
            .await;
        let answer = client.message().await.unwrap();
        assert_eq!(
            (answer.status(), answer.field("connection")),
            (status, Some("close"))
        );
        assert_eq!(client.message().await, None);
        assert!(host.unasked());
    });
}

#[test]
fn a_connection_stands_idle_for_as_long_as_the_operator_says() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = narrow(&host).await;
        let mut client = proxy.ask("/once/a").await;
        host.conn().await.answer("1").await;
        assert_eq!(client.message().await.unwrap().body, "1");
        let rested = std::time::Instant::now();
        assert_eq!(client.message().await, None);
        // The proxy's clock starts as its answer is written, the client's as it is read.
        assert!(
            rested.elapsed() >= std::time::Duration::from_millis(4 * 120 / 5),
            "{:?}",
            rested.elapsed()
        );
    });
}
