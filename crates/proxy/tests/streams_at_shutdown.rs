//! Streams in a graceful shutdown: one that is begun gets its end, and what the end of the process truncates is seen.

mod common;
use common::*;

/// Less than the routes' deadlines of 8 s.
const GRACE_S: f64 = 1.5;

async fn proxy_with_host(host: &FakeHost) -> Proxy {
    let proxy = Proxy::with_options(ProxyOptions {
        grace_s: GRACE_S,
        ..ProxyOptions::default()
    })
    .await;
    proxy
        .apply_fleet(configuration(1, ROUTES), vec![host.info.clone()])
        .await;
    proxy
}

#[test]
fn stream_that_outlasts_the_grace_when_it_came_before_the_signal_is_truncated_and_counted() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let mut proxy = proxy_with_host(&host).await;
        let mut client = proxy.send_request("/live/a").await;
        let mut stream = host.accept().await;
        stream.start_stream("seal", &[1]).await;
        client.read_until("piece 1\n\n").await;
        proxy.signal_stop();
        let response = client.read_message().await.unwrap();
        assert!(!response.complete, "an end that looks like one");
        let counted = proxy.serving.await.unwrap().unwrap();
        assert_eq!(
            (counted.truncated_at_shutdown, counted.truncated_responses),
            (1, 0)
        );
    });
}
