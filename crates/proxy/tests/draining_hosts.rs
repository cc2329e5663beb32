//! Hosts that drain or depart: their requests are answered, and no new ones reach them, whether they announce it or not.

mod common;
use balancing::HostInfo;
use common::*;
use rstest::rstest;

/// How a host leaves the roster.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DepartureKind {
    Drains,
    /// It departs and serves on: the roster has it no longer.
    Departs,
}

/// The hosts as the roster has them once the first has left.
fn hosts_after_departure(hosts: [&HostInfo; 2], how: DepartureKind) -> Vec<HostInfo> {
    let draining = HostInfo {
        draining: true,
        ..hosts[0].clone()
    };
    match how {
        DepartureKind::Drains => vec![draining, hosts[1].clone()],
        DepartureKind::Departs => vec![hosts[1].clone()],
    }
}

#[rstest]
fn draining_host_finishes_its_requests_and_gets_no_new_ones(
    #[values(DepartureKind::Drains, DepartureKind::Departs)] how: DepartureKind,
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &str,
) {
    run_async_test(async {
        let mut one = FakeHost::new("h1", "s").await;
        let mut two = FakeHost::new("h2", "s").await;
        let proxy = Proxy::new(&[&one]).await;
        // An idle connection, and one with a request.
        let mut idle_client = proxy.send_request("/pure/a").await;
        let mut client = proxy.send_request(path).await;
        let (mut idle, mut busy) = (one.accept().await, one.accept().await);
        let (first, second) = (
            idle.read_message().await.unwrap(),
            busy.read_message().await.unwrap(),
        );
        if second.head.starts_with("POST /pure/a") && !first.head.starts_with("POST /pure/a") {
            std::mem::swap(&mut idle, &mut busy);
        }
        idle.send(&ok_response("one", "idle")).await;
        assert_eq!(idle_client.read_message().await.unwrap().body, "idle");

        let roster = hosts_after_departure([&one.info, &two.info], how);
        proxy.apply_fleet(configuration(1, ROUTES), roster).await;
        idle.wait_until_closed().await;
        for n in 0..8 {
            let mut next = proxy.client().await;
            next.send(&request("/once/a", &format!("next-{n}"), ""))
                .await;
            let mut conn = two.accept().await;
            conn.respond(
                "200 OK\r\nFennelpin-Host-Seal: s\r\nConnection: close\r\nContent-Length: 4",
                "next",
            )
            .await;
            assert_eq!(next.read_message().await.unwrap().body, "next");
        }
        assert!(one.has_no_connection());
        busy.send(&ok_response("one", "late")).await;
        let response = client.read_message().await.unwrap();
        assert_eq!((response.complete, response.body.as_str()), (true, "late"));
        if how == DepartureKind::Departs {
            // Its connection isn't kept either.
            busy.wait_until_closed().await;
        }
    });
}

/// A host that departs while a stream runs there serves it to its end.
#[rstest]
fn draining_host_finishes_its_stream(
    #[values(DepartureKind::Drains, DepartureKind::Departs)] how: DepartureKind,
    #[values("/live/a", "/more/a")] path: &str,
) {
    run_async_test(async {
        let mut one = FakeHost::new("h1", "s").await;
        let two = FakeHost::new("h2", "s").await;
        let proxy = Proxy::new(&[&one]).await;
        let mut client = proxy.send_request(path).await;
        let mut conn = one.accept().await;
        conn.start_stream("seal", &[1]).await;
        client.read_until("piece 1\n\n").await;
        let roster = hosts_after_departure([&one.info, &two.info], how);
        proxy.apply_fleet(configuration(1, ROUTES), roster).await;
        conn.send_events(&[2, 3]).await;
        conn.send("0\r\n\r\n").await;
        let response = client.read_message().await.unwrap();
        assert_eq!(
            (response.complete, response.body),
            (true, events([1, 2, 3]))
        );
    });
}

/// Once it is off the roster a broken response of its goes the usual way: on to another host, or to its end.
#[rstest]
#[case::pure("/pure/a", true)]
#[case::once("/once/a", false)]
fn request_broken_by_a_departed_host_is_retried_if_idempotent(
    #[case] path: &str,
    #[case] again: bool,
) {
    run_async_test(async {
        let mut one = FakeHost::new("h1", "s").await;
        let mut two = FakeHost::new("h2", "s").await;
        let proxy = Proxy::new(&[&one]).await;
        let mut client = proxy.send_request(path).await;
        let mut conn = one.accept().await;
        conn.read_message().await.unwrap();
        proxy
            .apply_fleet(configuration(1, ROUTES), vec![two.info.clone()])
            .await;
        conn.reset();
        if again {
            two.accept().await.respond_ok("again").await;
            assert_eq!(client.read_message().await.unwrap().body, "again");
        } else {
            assert_eq!(client.read_message().await.unwrap().status(), 502);
            assert!(two.has_no_connection());
        }
    });
}
