//! Early rejection of requests while the hosts are overloaded.

mod common;
use common::*;

const HOSTS: usize = 8;
/// Number of requests of which at least one has to be rejected early.
const MAX_REQUESTS: usize = 100;

/// Sends one request, which each host that it reaches refuses as full. Returns the response to the client.
async fn send_to_full_hosts(proxy: &Proxy, hosts: &mut [&mut FakeHost]) -> Message {
    let mut client = proxy.send_request("/pure/a").await;
    loop {
        tokio::select! {
            response = client.read_message() => return response.unwrap(),
            mut connection = next_connection(hosts) => {
                connection.respond("503 Full\r\nFennelpin-Not-Executed: full\r\nConnection: close\r\nContent-Length: 0", "").await;
            }
        }
    }
}

#[test]
fn request_to_overloaded_hosts_is_rejected_early_with_retry_after_and_counted() {
    run_async_test(async {
        let mut hosts = Vec::new();
        for n in 0..HOSTS {
            hosts.push(FakeHost::new(&format!("h{n}"), "s").await);
        }
        let proxy = Proxy::new(&hosts.iter().collect::<Vec<_>>()).await;
        let mut hosts: Vec<&mut FakeHost> = hosts.iter_mut().collect();
        for _ in 0..MAX_REQUESTS {
            let response = send_to_full_hosts(&proxy, &mut hosts).await;
            assert_eq!(response.status(), 503);
            assert!(response.field("retry-after").is_some());
            if response.body.starts_with("413 ") {
                assert_eq!(proxy.counters.get().throttled_requests, 1);
                return;
            }
        }
        panic!("no request was rejected early");
    });
}
