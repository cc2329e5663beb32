//! Tenants' quotas: the proxy's requests to the tenants' homes, and their effect on client requests.

mod common;
use common::*;
use configuration::Configuration;
use protocol::Message;
use rstest::rstest;
use std::net::SocketAddrV4;
use std::sync::Arc;
use tokio::net::UdpSocket;

const KEY: &str = "Fennelpin-Key: key-1\r\n";
/// A tenant with a limit in tokens, and one without a limit.
const TENANTS: &str = r#"{"name":"acme","credentials":["key-1"],"unit":"token_flow","uncached_tokens":200,"rate_per_s":1000,"burst_size":2000},{"name":"free","credentials":["key-2"]}"#;

fn configuration_with_tenants() -> Arc<Configuration> {
    let text = format!(
        r#"{{"version":1,"routes":[{ROUTES}],"services":[{{"name":"s"}}],"tenants":[{TENANTS}]}}"#
    );
    Arc::new(Configuration::read(text.as_bytes(), 0).unwrap())
}

/// Fake member of the control plane that answers quota requests for the test.
struct FakeMember {
    id: u64,
    socket: UdpSocket,
}

/// Quota request received from a proxy.
#[derive(Debug, PartialEq)]
struct ReceivedRequest {
    sequence: u64,
    tenant: String,
    cost: f64,
    max_wait_ms: u32,
}

impl FakeMember {
    async fn new(id: u64) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        Self { id, socket }
    }

    fn id_and_address(&self) -> (u64, SocketAddrV4) {
        let addr = self.socket.local_addr().unwrap().to_string();
        (self.id, addr.parse().unwrap())
    }

    /// Waits for the next quota request and returns it with its sender. Answers announcements received meanwhile.
    async fn next_request(&self) -> (ReceivedRequest, std::net::SocketAddr) {
        loop {
            let mut buffer = [0; 2048];
            let (length, sender) = self.socket.recv_from(&mut buffer).await.unwrap();
            let (message, _) = protocol::decode(&buffer[..length]).unwrap().unwrap();
            match message {
                Message::QuotaPresence { .. } => {
                    let reply = Message::QuotaPresenceReply { member: self.id };
                    self.send(&reply, sender).await;
                }
                Message::QuotaRequest {
                    sequence,
                    tenant,
                    cost,
                    max_wait_ms,
                    ..
                } => {
                    let quota_request = ReceivedRequest {
                        sequence,
                        tenant,
                        cost,
                        max_wait_ms,
                    };
                    return (quota_request, sender);
                }
                other => panic!("{other:?}"),
            }
        }
    }

    async fn send(&self, message: &Message, to: std::net::SocketAddr) {
        let bytes = protocol::encode(message);
        self.socket.send_to(&bytes, to).await.unwrap();
    }

    /// Replies to the next request with this decision, and returns the request.
    async fn decide_next(&self, granted: bool, wait_ms: u32) -> ReceivedRequest {
        let (quota_request, sender) = self.next_request().await;
        let reply = Message::QuotaReply {
            sequence: quota_request.sequence,
            granted,
            wait_ms,
            burst_left_percent: 50,
        };
        self.send(&reply, sender).await;
        quota_request
    }
}

async fn start_proxy(members: &[&FakeMember], hosts: &[&FakeHost]) -> Proxy {
    let mut proxy = Proxy::without_configuration().await;
    proxy.quota_members = members
        .iter()
        .map(|member| member.id_and_address())
        .collect();
    let hosts = hosts.iter().map(|host| host.info.clone()).collect();
    proxy.apply_fleet(configuration_with_tenants(), hosts).await;
    proxy
}

async fn send_request(proxy: &Proxy, path: &str, fields: &str) -> TestConnection {
    let mut client = proxy.client().await;
    client.send(&request(path, "one", fields)).await;
    client
}

#[rstest]
#[case::token_counts("Fennelpin-Token-Counts: 1460,80\r\n", 1540.0)]
#[case::no_token_counts("", 200.0)]
#[case::malformed("Fennelpin-Token-Counts: many\r\n", 200.0)]
fn quota_is_granted_for_the_tokens_before_the_request_reaches_a_host(
    #[case] fields: &str,
    #[case] cost: f64,
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &str,
) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let member = FakeMember::new(7).await;
        let proxy = start_proxy(&[&member], &[&host]).await;
        let mut client = send_request(&proxy, path, &format!("{KEY}{fields}")).await;
        let (quota_request, sender) = member.next_request().await;
        assert_eq!(
            (quota_request.tenant.as_str(), quota_request.cost),
            ("acme", cost)
        );
        assert!(host.has_no_connection());
        let reply = Message::QuotaReply {
            sequence: quota_request.sequence,
            granted: true,
            wait_ms: 0,
            burst_left_percent: 50,
        };
        member.send(&reply, sender).await;
        let mut conn = host.accept().await;
        conn.read_message().await.unwrap();
        conn.send(&ok_response("one", "done")).await;
        assert_eq!(client.read_message().await.unwrap().status(), 200);
    });
}

#[test]
fn request_beyond_the_quota_gets_429_with_retry_after() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let member = FakeMember::new(7).await;
        let proxy = start_proxy(&[&member], &[&host]).await;
        let mut client = send_request(&proxy, "/once/a", KEY).await;
        member.decide_next(false, 1250).await;
        let response = client.read_message().await.unwrap();
        assert_eq!(response.status(), 429);
        assert!(
            response.head.contains("Retry-After: 1.250"),
            "{}",
            response.head
        );
        assert!(response.body.starts_with("411 "), "{}", response.body);
        assert!(host.has_no_connection());
        assert_eq!(proxy.counters.get().quota_refusals, 1);
    });
}

#[test]
fn tenant_without_a_limit_is_served_without_a_quota_request() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = start_proxy(&[], &[&host]).await;
        let mut client = send_request(&proxy, "/pure/a", "Fennelpin-Key: key-2\r\n").await;
        let mut conn = host.accept().await;
        conn.read_message().await.unwrap();
        conn.send(&ok_response("one", "done")).await;
        assert_eq!(client.read_message().await.unwrap().status(), 200);
    });
}

#[test]
fn request_to_a_silent_home_is_retransmitted_and_then_sent_to_another_one() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let members = [FakeMember::new(7).await, FakeMember::new(8).await];
        let proxy = start_proxy(&[&members[0], &members[1]], &[&host]).await;
        let ranking = quota::ranking("acme", &[7, 8]);
        let first = members
            .iter()
            .position(|member| member.id == ranking[0])
            .unwrap();
        let _client = send_request(&proxy, "/pure/a", KEY).await;
        let (transmission, _) = members[first].next_request().await;
        let (retransmission, _) = members[first].next_request().await;
        assert_eq!(transmission, retransmission);
        let other = members[1 - first].decide_next(true, 0).await;
        assert_ne!(other.sequence, transmission.sequence);
        host.accept().await.read_message().await.unwrap();
    });
}

#[test]
fn proxy_without_a_reachable_home_decides_by_its_even_share() {
    run_async_test(async {
        let host = FakeHost::new("h1", "s").await;
        let proxy = start_proxy(&[], &[&host]).await;
        // This proxy's share is half of the limit and starts empty.
        let mut client = send_request(
            &proxy,
            "/pure/a",
            &format!("{KEY}Fennelpin-Token-Counts: 4000000000,0\r\n"),
        )
        .await;
        let response = client.read_message().await.unwrap();
        assert_eq!(response.status(), 429);
        assert!(response.head.contains("Retry-After"), "{}", response.head);
    });
}

#[test]
fn units_of_a_request_that_no_host_ran_are_refunded() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let member = FakeMember::new(7).await;
        let proxy = start_proxy(&[&member], &[&host]).await;
        let mut client = send_request(&proxy, "/once/a", KEY).await;
        let quota_request = member.decide_next(true, 0).await;
        let mut conn = host.accept().await;
        conn.read_message().await.unwrap();
        conn.send("HTTP/1.1 503 Service Unavailable\r\nFennelpin-Attempt-Id: one\r\nFennelpin-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            .await;
        assert_eq!(client.read_message().await.unwrap().status(), 503);
        let (refund, _) = member.next_request().await;
        assert_eq!(refund.cost, -quota_request.cost);
        assert_eq!(refund.max_wait_ms, u32::MAX);
        assert_ne!(refund.sequence, quota_request.sequence);
    });
}

#[test]
fn second_attempt_after_one_that_may_have_run_is_charged_again() {
    run_async_test(async {
        let mut one = FakeHost::new("h1", "s").await;
        let mut two = FakeHost::new("h2", "s").await;
        let member = FakeMember::new(7).await;
        let proxy = start_proxy(&[&member], &[&one, &two]).await;
        let _client = send_request(&proxy, "/pure/a", KEY).await;
        let quota_request = member.decide_next(true, 0).await;
        let (mut conn, other) = first_connection(&mut one, &mut two).await;
        conn.read_message().await.unwrap();
        drop(conn);
        other.accept().await.read_message().await.unwrap();
        let (charge, _) = member.next_request().await;
        assert_eq!(
            (charge.cost, charge.max_wait_ms),
            (quota_request.cost, u32::MAX)
        );
    });
}

/// Guards against units that are used and not charged: both hosts have the request while one of them is silent.
#[test]
fn stream_that_is_asked_for_at_another_host_is_charged_again() {
    run_async_test(async {
        let mut one = FakeHost::new("h1", "s").await;
        let mut two = FakeHost::new("h2", "s").await;
        let member = FakeMember::new(7).await;
        let proxy = start_proxy(&[&member], &[&one, &two]).await;
        let _client = send_request(&proxy, "/more/a", KEY).await;
        let quota_request = member.decide_next(true, 0).await;
        let (mut conn, other) = first_connection(&mut one, &mut two).await;
        conn.start_stream("silent", &[1]).await;
        other.accept().await.read_message().await.unwrap();
        let (charge, _) = member.next_request().await;
        assert_eq!(
            (charge.cost, charge.max_wait_ms),
            (quota_request.cost, u32::MAX)
        );
    });
}

#[test]
fn invalid_reply_is_counted_and_ignored() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let member = FakeMember::new(7).await;
        let proxy = start_proxy(&[&member], &[&host]).await;
        let _client = send_request(&proxy, "/pure/a", KEY).await;
        let (quota_request, sender) = member.next_request().await;
        member.socket.send_to(b"\x01garbage", sender).await.unwrap();
        let unexpected = Message::ReleaseLease { epoch: 1 };
        member.send(&unexpected, sender).await;
        let stray = Message::QuotaReply {
            sequence: quota_request.sequence + 1000,
            granted: false,
            wait_ms: 1,
            burst_left_percent: 50,
        };
        member.send(&stray, sender).await;
        let reply = Message::QuotaReply {
            sequence: quota_request.sequence,
            granted: true,
            wait_ms: 0,
            burst_left_percent: 50,
        };
        member.send(&reply, sender).await;
        host.accept().await.read_message().await.unwrap();
        assert_eq!(proxy.counters.get().invalid_quota_replies, 2);
    });
}

#[test]
fn only_one_request_waits_for_members_that_are_all_silent() {
    run_async_test(async {
        let host = FakeHost::new("h1", "s").await;
        let mut members = Vec::new();
        for id in 1..=6 {
            members.push(FakeMember::new(id).await);
        }
        let member_refs: Vec<&FakeMember> = members.iter().collect();
        let proxy = start_proxy(&member_refs, &[&host]).await;
        let fields = format!("{KEY}Fennelpin-Token-Counts: 4000000000,0\r\n");
        for _ in 0..2 {
            let mut client = send_request(&proxy, "/pure/a", &fields).await;
            assert_eq!(client.read_message().await.unwrap().status(), 429);
        }
        let mut sequences = std::collections::BTreeSet::new();
        for member in &members {
            let mut buffer = [0; 2048];
            while let Ok((length, _)) = member.socket.try_recv_from(&mut buffer) {
                let (message, _) = protocol::decode(&buffer[..length]).unwrap().unwrap();
                if let Message::QuotaRequest { sequence, .. } = message {
                    sequences.insert(sequence);
                }
            }
        }
        assert!(sequences.len() <= 3, "{sequences:?}");
    });
}
