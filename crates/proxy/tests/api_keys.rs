//! API keys: authentication, the fields that hosts receive, and revocation.

mod common;
use common::*;
use configuration::Configuration;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

const TENANTS: &str = r#"{"name":"acme","credentials":["key-1","key-2"],"rank":1},{"name":"other","credentials":["key-3"]}"#;
/// Route that allows anonymous requests, in addition to [`ROUTES`].
const ANONYMOUS_ROUTE: &str = r#",{"name":"a","hostname":"x.example","path_prefix":"/open/","route_class":"pure","deadline_ms":8000,"service":"s","anonymous":true}"#;

fn configuration_with_tenants(version: u64, tenants: &str) -> Arc<Configuration> {
    let text = format!(
        r#"{{"version":{version},"routes":[{ROUTES}{ANONYMOUS_ROUTE}],"services":[{{"name":"s"}}],"tenants":[{tenants}]}}"#
    );
    Arc::new(Configuration::read(text.as_bytes(), version - 1).unwrap())
}

async fn proxy_with_tenants(host: &FakeHost) -> Proxy {
    let proxy = Proxy::without_configuration().await;
    let hosts = vec![host.info.clone()];
    proxy
        .apply_fleet(configuration_with_tenants(1, TENANTS), hosts)
        .await;
    proxy
}

async fn response_status(proxy: &Proxy, path: &str, fields: &str) -> u16 {
    let mut client = proxy.client().await;
    client.send(&request(path, "one", fields)).await;
    client.read_message().await.unwrap().status()
}

/// Returns the lines of a head whose field names start with one of these names in lower case.
fn field_lines<'a>(head: &'a str, names: &[&str]) -> Vec<&'a str> {
    let has_name = |line: &&str| {
        let lower = line.to_ascii_lowercase();
        names.iter().any(|name| lower.starts_with(name))
    };
    head.lines().filter(has_name).collect()
}

#[rstest]
#[case::missing("")]
#[case::unknown("Fennelpin-Key: key-4\r\n")]
#[case::empty("Fennelpin-Key:\r\n")]
#[case::part_of_a_key("Fennelpin-Key: key-\r\n")]
#[case::tenant_name_as_key("Fennelpin-Key: acme\r\n")]
#[case::two_fields("Fennelpin-Key: key-1\r\nFennelpin-Key: key-1\r\n")]
#[case::two_keys_in_one_field("Fennelpin-Key: key-1, key-2\r\n")]
#[case::tenant_claimed("Fennelpin-Tenant: acme\r\n")]
fn request_without_exactly_one_known_key_gets_401_and_reaches_no_host(
    #[case] fields: &str,
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &str,
) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = proxy_with_tenants(&host).await;
        assert_eq!(response_status(&proxy, path, fields).await, 401);
        assert!(host.has_no_connection());
    });
}

#[test]
fn unknown_key_is_rejected_before_the_body_is_received() {
    run_async_test(async {
        let host = FakeHost::new("h1", "s").await;
        let proxy = proxy_with_tenants(&host).await;
        let mut client = proxy.client().await;
        client
            .send("POST /pure/a HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: one\r\nContent-Length: 90000\r\n\r\n")
            .await;
        let response = client.read_message().await.unwrap();
        assert_eq!(response.status(), 401);
        assert!(response.body.starts_with("410 "), "{}", response.body);
    });
}

#[rstest]
#[case::canonical_case("Fennelpin-Key: key-2\r\n")]
#[case::other_case("fennelpin-KEY: key-2\r\n")]
#[case::forged_tenant(
    "Fennelpin-Tenant: other\r\nFENNELPIN-tenant: acme\r\nFennelpin-Key: key-2\r\n"
)]
#[case::declared_hop_by_hop(
    "Connection: Fennelpin-Key, Fennelpin-Tenant\r\nFennelpin-Key: key-2\r\n"
)]
fn host_receives_the_tenant_and_never_the_key(
    #[case] fields: &str,
    #[values("/pure/a", "/once/a", "/live/a", "/more/a", "/open/a")] path: &str,
) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = proxy_with_tenants(&host).await;
        let mut client = proxy.client().await;
        client.send(&request(path, "one", fields)).await;
        let mut conn = host.accept().await;
        let host_request = conn.read_message().await.unwrap();
        assert!(
            !host_request.head.contains("key-2"),
            "{}",
            host_request.head
        );
        let lines = field_lines(&host_request.head, &["fennelpin-key", "fennelpin-tenant"]);
        assert_eq!(lines, ["Fennelpin-Tenant: acme"], "{}", host_request.head);
        conn.send(&ok_response("one", "done")).await;
        assert_eq!(client.read_message().await.unwrap().status(), 200);
    });
}

#[test]
fn retry_sends_the_tenant_and_not_the_key() {
    run_async_test(async {
        let mut one = FakeHost::new("h1", "s").await;
        let mut two = FakeHost::new("h2", "s").await;
        let proxy = Proxy::without_configuration().await;
        let hosts = vec![one.info.clone(), two.info.clone()];
        proxy
            .apply_fleet(configuration_with_tenants(1, TENANTS), hosts)
            .await;
        let mut client = proxy.client().await;
        client
            .send(&request("/pure/a", "one", "Fennelpin-Key: key-3\r\n"))
            .await;
        for _ in 0..2 {
            let mut conn = next_connection(&mut [&mut one, &mut two]).await;
            let host_request = conn.read_message().await.unwrap();
            assert!(
                !host_request.head.contains("key-3"),
                "{}",
                host_request.head
            );
            let lines = field_lines(&host_request.head, &["fennelpin-tenant"]);
            assert_eq!(lines, ["Fennelpin-Tenant: other"]);
        }
    });
}

#[test]
fn anonymous_route_accepts_requests_without_a_key_and_removes_a_claimed_tenant() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = proxy_with_tenants(&host).await;
        let mut client = proxy.client().await;
        let fields = "Fennelpin-Tenant: acme\r\nFennelpin-Key: unknown\r\n";
        client.send(&request("/open/a", "one", fields)).await;
        let host_request = host.accept().await.read_message().await.unwrap();
        let lines = field_lines(&host_request.head, &["fennelpin-key", "fennelpin-tenant"]);
        assert!(lines.is_empty(), "{}", host_request.head);
    });
}

#[test]
fn configuration_without_tenants_forwards_the_fields_unchanged() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.client().await;
        let fields = "Fennelpin-Key: k\r\nFennelpin-Tenant: t\r\n";
        client.send(&request("/pure/a", "one", fields)).await;
        let host_request = host.accept().await.read_message().await.unwrap();
        let lines = field_lines(&host_request.head, &["fennelpin-key", "fennelpin-tenant"]);
        assert_eq!(lines, ["Fennelpin-Key: k", "Fennelpin-Tenant: t"]);
    });
}

#[test]
fn revoked_key_is_rejected_on_an_open_connection() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = proxy_with_tenants(&host).await;
        let mut client = proxy.client().await;
        let text = request("/pure/a", "one", "Fennelpin-Key: key-1\r\n");
        client.send(&text).await;
        let mut conn = host.accept().await;
        conn.read_message().await.unwrap();
        conn.send(&ok_response("one", "done")).await;
        assert_eq!(client.read_message().await.unwrap().status(), 200);
        let tenants = r#"{"name":"acme","credentials":["key-2"]}"#;
        let hosts = vec![host.info.clone()];
        proxy
            .apply_fleet(configuration_with_tenants(2, tenants), hosts)
            .await;
        client.send(&text).await;
        assert_eq!(client.read_message().await.unwrap().status(), 401);
    });
}

#[test]
fn key_revoked_while_the_body_is_received_is_rejected() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = proxy_with_tenants(&host).await;
        let mut client = proxy.client().await;
        let text = request("/pure/a", "one", "Fennelpin-Key: key-1\r\n");
        let (head, body) = text.split_at(text.len() - 2);
        client.send(head).await;
        for _ in 0..8 {
            tokio::task::yield_now().await;
        }
        let hosts = vec![host.info.clone()];
        proxy
            .apply_fleet(configuration_with_tenants(2, ""), hosts)
            .await;
        client.send(body).await;
        assert_eq!(client.read_message().await.unwrap().status(), 401);
        assert!(host.has_no_connection());
    });
}

#[rstest]
#[case::recent(true, Some(4499), 200)]
#[case::old(true, Some(4501), 503)]
#[case::unknown(true, None, 503)]
#[case::old_without_revocation(false, Some(60_000), 200)]
#[case::unknown_without_revocation(false, None, 200)]
fn keys_are_accepted_only_while_the_configuration_is_recent(
    #[case] revocation: bool,
    #[case] age_ms: Option<u64>,
    #[case] status: u16,
) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::with_options(ProxyOptions {
            more_bounds: format!(r#","revocation":{revocation},"revoke_ms":5000"#),
            configuration_age: age_ms.map(Duration::from_millis),
            ..ProxyOptions::default()
        })
        .await;
        let hosts = vec![host.info.clone()];
        proxy
            .apply_fleet(configuration_with_tenants(1, TENANTS), hosts)
            .await;
        let mut client = proxy.client().await;
        client
            .send(&request("/pure/a", "one", "Fennelpin-Key: key-1\r\n"))
            .await;
        if status == 200 {
            let mut conn = host.accept().await;
            conn.read_message().await.unwrap();
            conn.send(&ok_response("one", "done")).await;
        }
        let response = client.read_message().await.unwrap();
        assert_eq!(response.status(), status);
        assert_eq!(response.head.contains("Retry-After"), status == 503);
        assert!(status == 200 || host.has_no_connection());
    });
}

#[test]
fn tenant_rank_takes_precedence_over_the_route_for_the_priority() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::without_configuration().await;
        let text = format!(
            r#"{{"version":1,"routes":[{ROUTES}],"services":[{{"name":"s","runtime":{{}}}}],"tenants":[{TENANTS}]}}"#
        );
        let configuration = Arc::new(Configuration::read(text.as_bytes(), 0).unwrap());
        let hosts = vec![host.info.clone()];
        proxy.apply_fleet(configuration, hosts).await;
        for (key, priority) in [("key-1", "Priority: 3"), ("key-3", "Priority: 0")] {
            let mut client = proxy.client().await;
            let fields = format!("Fennelpin-Key: {key}\r\n");
            client.send(&request("/live/a", "one", &fields)).await;
            let host_request = host.accept().await.read_message().await.unwrap();
            assert_eq!(field_lines(&host_request.head, &["priority"]), [priority]);
        }
    });
}
