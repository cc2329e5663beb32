//! Hosts that drain or are removed from the fleet: their requests in flight are finished, and they get no new ones.

mod common;
use balancing::HostInfo;
use common::*;
use rstest::rstest;

/// Way in which a host leaves service.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DepartureKind {
    /// The host is marked as draining.
    Drained,
    /// The host is removed from the list of hosts while it still serves.
    Removed,
}

/// Returns the list of hosts after the first one has left service.
fn hosts_after_departure(hosts: [&HostInfo; 2], kind: DepartureKind) -> Vec<HostInfo> {
    let draining = HostInfo {
        draining: true,
        ..hosts[0].clone()
    };
    match kind {
        DepartureKind::Drained => vec![draining, hosts[1].clone()],
        DepartureKind::Removed => vec![hosts[1].clone()],
    }
}

#[rstest]
fn departing_host_finishes_its_requests_and_gets_no_new_ones(
    #[values(DepartureKind::Drained, DepartureKind::Removed)] kind: DepartureKind,
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &str,
) {
    run_async_test(async {
        let mut one = FakeHost::new("h1", "s").await;
        let mut two = FakeHost::new("h2", "s").await;
        let proxy = Proxy::new(&[&one]).await;
        // One connection is idle, and one has a request in flight.
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

        let hosts = hosts_after_departure([&one.info, &two.info], kind);
        proxy.apply_fleet(configuration(1, ROUTES), hosts).await;
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
        if kind == DepartureKind::Removed {
            // Its connection isn't kept for reuse either.
            busy.wait_until_closed().await;
        }
    });
}

/// A host that departs during a stream serves the stream to its end.
#[rstest]
fn departing_host_finishes_its_stream(
    #[values(DepartureKind::Drained, DepartureKind::Removed)] kind: DepartureKind,
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
        let hosts = hosts_after_departure([&one.info, &two.info], kind);
        proxy.apply_fleet(configuration(1, ROUTES), hosts).await;
        conn.send_events(&[2, 3]).await;
        conn.send("0\r\n\r\n").await;
        let response = client.read_message().await.unwrap();
        assert_eq!(
            (response.complete, response.body),
            (true, events([1, 2, 3]))
        );
    });
}

/// A broken response of a host that was removed is handled like any other: the request is retried on another host if it
/// is idempotent, and fails otherwise.
#[rstest]
#[case::pure("/pure/a", true)]
#[case::once("/once/a", false)]
fn request_broken_by_a_removed_host_is_retried_if_idempotent(
    #[case] path: &str,
    #[case] is_retried: bool,
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
        if is_retried {
            two.accept().await.respond_ok("again").await;
            assert_eq!(client.read_message().await.unwrap().body, "again");
        } else {
            assert_eq!(client.read_message().await.unwrap().status(), 502);
            assert!(two.has_no_connection());
        }
    });
}
