//! Streams that come when the process has long been told to stop: none is begun that its end would cut.

mod common;
use common::*;
use rstest::rstest;
use std::time::{Duration, Instant};

/// Longer than streams are still taken, and then some.
const GRACE_S: f64 = 5.5;

/// What a client gets that asks for a stream of at most `deadline_ms` once streams aren't taken any more.
async fn ask_late(path: &str, deadline_ms: u64) -> Message {
    let mut host = Host::new("h1", "s").await;
    let mut proxy = Proxy::set_up(Setup {
        grace_s: GRACE_S,
        ..Setup::default()
    })
    .await;
    proxy
        .know(document(1, ROUTES), vec![host.info.clone()])
        .await;
    // A request that is out keeps the process there; the idle connection's end shows that time has passed.
    let mut busy = proxy.ask("/once/a").await;
    let mut conn = host.conn().await;
    conn.message().await.unwrap();
    let told = Instant::now();
    proxy.tell_to_stop();
    let deadline = format!("Fennelpin-Deadline-Ms: {deadline_ms}\r\n");
    loop {
        let late = told.elapsed() > Duration::from_millis(3100);
        let mut client = proxy.client().await;
        let path = if late { path } else { "/quick/a" };
        client.send(&request(path, "late", &deadline)).await;
        let answer = tokio::select! {
            mut conn = host.conn() => {
                if late {
                    conn.begin("seal", &[1]).await;
                    conn.send("0\r\n\r\n").await;
                } else {
                    conn.answer("early").await;
                }
                client.message().await.unwrap()
            }
            answer = client.message() => answer.unwrap(),
        };
        if late {
            conn.send(&good("one", "busy")).await;
            assert_eq!(busy.message().await.unwrap().body, "busy");
            assert!(answer.status() == 200 || host.unasked());
            return answer;
        }
    }
}

#[rstest]
#[case::may_outlast_the_process("/live/a", 8000, 503)]
#[case::may_go_on_elsewhere("/more/a", 8000, 503)]
#[case::ends_before_it("/live/a", 500, 200)]
#[case::no_stream("/pure/a", 8000, 200)]
fn a_stream_that_may_outlast_the_process_goes_elsewhere(
    #[case] path: &str,
    #[case] deadline_ms: u64,
    #[case] status: u16,
) {
    story(async {
        let answer = ask_late(path, deadline_ms).await;
        assert_eq!(answer.status(), status, "{}", answer.head);
        assert_eq!(answer.field("connection"), Some("close"));
        assert_eq!(answer.field("retry-after").is_some(), status == 503);
    });
}
