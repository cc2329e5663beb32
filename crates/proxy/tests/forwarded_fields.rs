//! Tests that end-to-end header fields are forwarded unchanged with each attempt.

mod common;
use common::*;
use rstest::rstest;

/// Fields about a prompt, with the client's own spelling and whitespace.
const PROMPT_FIELDS: [&str; 3] = [
    "Fennelpin-Model-Name: m:Adapter/7 (x)",
    "Fennelpin-Token-Counts: 1460,80",
    "fennelpin-PROMPT-prefix: 5c1E07a2:800,91bd3f06:410,  e4402b7d:250",
];

/// A field with 120 parts, for a long line.
fn long_prompt_prefix() -> String {
    let parts: Vec<String> = (0..120)
        .map(|n| format!("{:016X}:{n}", u64::MAX - n))
        .collect();
    format!("Fennelpin-Prompt-Prefix: {}", parts.join(","))
}

fn field_lines(lines: &[String]) -> String {
    lines.iter().map(|l| format!("{l}\r\n")).collect()
}

fn assert_forwarded(received: &Message, lines: &[String]) {
    for line in lines {
        assert_eq!(
            received.head.lines().filter(|l| l == line).count(),
            1,
            "{line} in {}",
            received.head
        );
    }
    for name in [
        "fennelpin-model-name",
        "fennelpin-token-counts",
        "fennelpin-prompt-prefix",
    ] {
        let lines_of_name = received
            .head
            .lines()
            .filter(|l| l.to_ascii_lowercase().starts_with(name));
        assert_eq!(lines_of_name.count(), 1, "{name} in {}", received.head);
    }
}

#[rstest]
#[case::plain(PROMPT_FIELDS.map(str::to_owned).to_vec())]
#[case::long(vec![PROMPT_FIELDS[0].to_owned(), PROMPT_FIELDS[1].to_owned(), long_prompt_prefix()])]
#[case::malformed(vec![
    "Fennelpin-Model-Name:".to_owned() + " ",
    "Fennelpin-Token-Counts: many,few".to_owned(),
    "Fennelpin-Prompt-Prefix: no parts at all".to_owned(),
])]
fn prompt_fields_reach_each_host_unchanged(
    #[case] lines: Vec<String>,
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &str,
) {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = proxy.client().await;
        client
            .send(&request(path, "one", &field_lines(&lines)))
            .await;
        let lines: Vec<String> = lines.iter().map(|l| l.trim_end().to_owned()).collect();
        let (mut first, other) = first_connection(&mut host_1, &mut host_2).await;
        assert_forwarded(&with_trimmed_lines(first.respond_refusal().await), &lines);
        let mut second = other.accept().await;
        assert_forwarded(&with_trimmed_lines(second.respond_ok("done").await), &lines);
    });
}

/// Removes whitespace at the end of each line, which is not part of a field value.
fn with_trimmed_lines(message: Message) -> Message {
    let head: Vec<&str> = message.head.lines().map(str::trim_end).collect();
    Message {
        head: head.join("\r\n"),
        ..message
    }
}

#[test]
fn resumed_stream_keeps_the_client_prompt_fields() {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = proxy.client().await;
        let lines = PROMPT_FIELDS.map(str::to_owned);
        client
            .send(&request("/more/a", "one", &field_lines(&lines)))
            .await;
        let (mut first, other) = first_connection(&mut host_1, &mut host_2).await;
        assert_forwarded(&first.start_stream("seal", &[1]).await, &lines);
        client.read_until("piece 1\n\n").await;
        drop(first);
        let received = other.accept().await.read_message().await.unwrap();
        assert_eq!(received.field("last-event-id"), Some("1"));
        assert_forwarded(&received, &lines);
    });
}

/// If the proxy sets no priority, the client's is forwarded. The version fields of client and host are always
/// forwarded.
#[test]
fn priority_and_versions_are_forwarded_when_the_proxy_sets_none() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.client().await;
        client
            .send(&request(
                "/pure/a",
                "one",
                "Priority: 3\r\nExpect-Version: 4\r\n",
            ))
            .await;
        let lines = "200 OK\r\nFennelpin-Host-Seal: seal\r\nVersions: 4\r\nContent-Length: 4";
        let received = host.accept().await.respond(lines, "done").await;
        assert_eq!(
            (received.field("priority"), received.field("expect-version")),
            (Some("3"), Some("4"))
        );
        assert_eq!(
            client.read_message().await.unwrap().field("versions"),
            Some("4")
        );
    });
}

/// An event may start with a line that names the version since which it applies.
#[rstest]
fn event_with_a_version_is_forwarded_unchanged(#[values("/live/a", "/more/a")] path: &str) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.send_request(path).await;
        let mut conn = host.accept().await;
        conn.start_stream("seal", &[1]).await;
        let event = "versions: 5\nid: 2\ndata: piece 2\n\n";
        conn.send(&format!("{:x}\r\n{event}\r\n0\r\n\r\n", event.len()))
            .await;
        let response = client.read_message().await.unwrap();
        assert_eq!(
            (response.complete, response.body),
            (true, events([1]) + event)
        );
    });
}

/// A 421 for a request with an expected version does not mean that another host has the address, so the host is not
/// ejected.
#[test]
fn version_mismatch_does_not_eject_the_host() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.client().await;
        client
            .send(&request("/pure/a", "one", "Expect-Version: 9\r\n"))
            .await;
        let mut conn = host.accept().await;
        conn.respond(
            "421 Other\r\nFennelpin-Not-Executed: version\r\nContent-Length: 0",
            "",
        )
        .await;
        assert_eq!(client.read_message().await.unwrap().status(), 503);
        let mut other = proxy.client().await;
        let request_until_served = async {
            loop {
                other.send(&request("/pure/a", "two", "")).await;
                let response = other.read_message().await.unwrap();
                if response.status() == 200 {
                    break response;
                }
            }
        };
        let host_side = async {
            tokio::select! {
                Some(_) = conn.read_message() => conn.send(&ok_response("two", "done")).await,
                mut new = host.accept() => drop(new.respond_ok("done").await),
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            response = request_until_served => assert_eq!(response.body, "done"),
            () = host_side => unreachable!("the host never returns"),
        }
    });
}
