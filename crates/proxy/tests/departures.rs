//! Hosts that leave: what they have is answered, and nothing new reaches them, whether they say `draining` first or
//! depart without a word before.

mod common;
use balancing::HostInfo;
use common::*;
use rstest::rstest;

/// How a host leaves the roster.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaves {
    Drains,
    /// It departs and serves on: the roster has it no longer.
    Departs,
}

/// The hosts as the roster has them once the first has left.
fn without_first(hosts: [&HostInfo; 2], how: Leaves) -> Vec<HostInfo> {
    let draining = HostInfo {
        draining: true,
        ..hosts[0].clone()
    };
    match how {
        Leaves::Drains => vec![draining, hosts[1].clone()],
        Leaves::Departs => vec![hosts[1].clone()],
    }
}

#[rstest]
fn what_it_has_is_answered_and_nothing_new_reaches_it(
    #[values(Leaves::Drains, Leaves::Departs)] how: Leaves,
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &str,
) {
    story(async {
        let mut one = Host::new("h1", "s").await;
        let mut two = Host::new("h2", "s").await;
        let proxy = Proxy::new(&[&one]).await;
        // An idle connection, and one with a request.
        let mut idle_client = proxy.ask("/pure/a").await;
        let mut client = proxy.ask(path).await;
        let (mut idle, mut busy) = (one.conn().await, one.conn().await);
        let (first, second) = (idle.message().await.unwrap(), busy.message().await.unwrap());
        if second.head.starts_with("POST /pure/a") && !first.head.starts_with("POST /pure/a") {
            std::mem::swap(&mut idle, &mut busy);
        }
        idle.send(&good("one", "idle")).await;
        assert_eq!(idle_client.message().await.unwrap().body, "idle");

        let roster = without_first([&one.info, &two.info], how);
        proxy.know(document(1, ROUTES), roster).await;
        idle.closed().await;
        for n in 0..8 {
            let mut next = proxy.client().await;
            next.send(&request("/once/a", &format!("next-{n}"), ""))
                .await;
            let mut conn = two.conn().await;
            conn.reply(
                "200 OK\r\nFennelpin-Host-Seal: s\r\nConnection: close\r\nContent-Length: 4",
                "next",
            )
            .await;
            assert_eq!(next.message().await.unwrap().body, "next");
        }
        assert!(one.unasked());
        busy.send(&good("one", "late")).await;
        let answer = client.message().await.unwrap();
        assert_eq!((answer.whole, answer.body.as_str()), (true, "late"));
        if how == Leaves::Departs {
            // Its connection isn't kept either.
            busy.closed().await;
        }
    });
}

/// A host that departs while a stream runs there serves it to its end.
#[rstest]
fn a_stream_goes_on_to_its_end(
    #[values(Leaves::Drains, Leaves::Departs)] how: Leaves,
    #[values("/live/a", "/more/a")] path: &str,
) {
    story(async {
        let mut one = Host::new("h1", "s").await;
        let two = Host::new("h2", "s").await;
        let proxy = Proxy::new(&[&one]).await;
        let mut client = proxy.ask(path).await;
        let mut conn = one.conn().await;
        conn.begin("seal", &[1]).await;
        client.until("piece 1\n\n").await;
        let roster = without_first([&one.info, &two.info], how);
        proxy.know(document(1, ROUTES), roster).await;
        conn.events(&[2, 3]).await;
        conn.send("0\r\n\r\n").await;
        let answer = client.message().await.unwrap();
        assert_eq!((answer.whole, answer.body), (true, events([1, 2, 3])));
    });
}

/// Once it is off the roster a broken answer of its goes the usual way: on to another host, or to its end.
#[rstest]
#[case::pure("/pure/a", true)]
#[case::once("/once/a", false)]
fn one_that_breaks_off_after_its_departure(#[case] path: &str, #[case] again: bool) {
    story(async {
        let mut one = Host::new("h1", "s").await;
        let mut two = Host::new("h2", "s").await;
        let proxy = Proxy::new(&[&one]).await;
        let mut client = proxy.ask(path).await;
        let mut conn = one.conn().await;
        conn.message().await.unwrap();
        proxy
            .know(document(1, ROUTES), vec![two.info.clone()])
            .await;
        conn.reset();
        if again {
            two.conn().await.answer("again").await;
            assert_eq!(client.message().await.unwrap().body, "again");
        } else {
            assert_eq!(client.message().await.unwrap().status(), 502);
            assert!(two.unasked());
        }
    });
}
