//! Tests of streams requested late in a shutdown: none is started that the end of the process would truncate.

mod common;
use common::*;
use rstest::rstest;
use std::time::{Duration, Instant};

/// Longer than the full service after the signal, so that a request can arrive after its end.
const GRACE_S: f64 = 5.5;

/// Returns the response to a request with a deadline of `deadline_ms` that is sent after full service has ended.
async fn request_stream_late(path: &str, deadline_ms: u64) -> Message {
    let mut host = FakeHost::new("h1", "s").await;
    let mut proxy = Proxy::with_grace(GRACE_S, &host).await;
    // A request in flight keeps the process running until the late request is sent.
    let mut busy = proxy.send_request("/once/a").await;
    let mut conn = host.accept().await;
    conn.read_message().await.unwrap();
    let signalled_at = Instant::now();
    proxy.signal_stop();
    let deadline = format!("Fennelpin-Deadline-Ms: {deadline_ms}\r\n");
    loop {
        let is_late = signalled_at.elapsed() > Duration::from_millis(3100);
        let mut client = proxy.client().await;
        let path = if is_late { path } else { "/quick/a" };
        client.send(&request(path, "late", &deadline)).await;
        let response = tokio::select! {
            mut conn = host.accept() => {
                if is_late {
                    conn.start_stream("seal", &[1]).await;
                    conn.send("0\r\n\r\n").await;
                } else {
                    conn.respond_ok("early").await;
                }
                client.read_message().await.unwrap()
            }
            response = client.read_message() => response.unwrap(),
        };
        if is_late {
            conn.send(&ok_response("one", "busy")).await;
            assert_eq!(busy.read_message().await.unwrap().body, "busy");
            assert!(response.status() == 200 || host.has_no_connection());
            return response;
        }
    }
}

#[rstest]
#[case::may_outlast_the_process("/live/a", 8000, 503)]
#[case::resumable("/more/a", 8000, 503)]
#[case::ends_before_the_process("/live/a", 500, 200)]
#[case::not_a_stream("/pure/a", 8000, 200)]
fn late_stream_that_may_outlast_the_process_is_rejected(
    #[case] path: &str,
    #[case] deadline_ms: u64,
    #[case] status: u16,
) {
    run_async_test(async {
        let response = request_stream_late(path, deadline_ms).await;
        assert_eq!(response.status(), status, "{}", response.head);
        assert_eq!(response.field("connection"), Some("close"));
        assert_eq!(response.field("retry-after").is_some(), status == 503);
    });
}
