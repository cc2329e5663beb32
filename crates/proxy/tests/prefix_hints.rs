//! Prefix hints between proxies, sent as datagrams on 127.0.0.0/8.

mod common;
use common::*;
use protocol::{Message, PromptPart, PromptPlacement};
use rstest::rstest;
use std::io::ErrorKind;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1200;
/// Link speed at which hints are sent to no more than the minimum number of peers.
const SLOW_LINK_MBPS: f64 = 0.001;
const SHARED_PREFIX: &str = "Fennelpin-Prompt-Prefix: 7:13000,";

/// Fake proxy that sends and receives hints for the test.
struct PeerProxy {
    socket: UdpSocket,
    addr: SocketAddrV4,
}

impl PeerProxy {
    async fn new() -> Self {
        let addr = unused_address().await;
        let socket = UdpSocket::bind(addr).unwrap();
        socket.set_nonblocking(true).unwrap();
        Self { socket, addr }
    }

    fn send_hint(&self, proxy: SocketAddrV4, bytes: &[u8]) {
        assert_eq!(self.socket.send_to(bytes, proxy).unwrap(), bytes.len());
    }

    fn request_placements(&self, proxy: SocketAddrV4) {
        self.send_hint(
            proxy,
            &protocol::encode(&Message::PlacementsRequest { reserved: 0 }),
        );
    }

    /// Returns the next message that has arrived already, with its length in bytes; `None` if there is none.
    fn try_receive(&self) -> Option<(Message, usize)> {
        let mut buffer = [0; 4096];
        match self.socket.recv(&mut buffer) {
            Ok(length) => Some((
                protocol::decode(&buffer[..length]).unwrap().unwrap().0,
                length,
            )),
            Err(e) if e.kind() == ErrorKind::WouldBlock => None,
            Err(e) => panic!("{e}"),
        }
    }

    async fn receive(&self) -> (Message, usize) {
        loop {
            match self.try_receive() {
                Some(received) => return received,
                None => tokio::task::yield_now().await,
            }
        }
    }

    /// Waits for the next hint about a placed prompt and skips other messages.
    async fn receive_hint(&self) -> (PromptPlacement, u32) {
        loop {
            if let (
                Message::PromptPlaced {
                    placement,
                    prefill_tokens,
                },
                _,
            ) = self.receive().await
            {
                return (placement, prefill_tokens);
            }
        }
    }

    /// Requests the known placements until a reply with some arrives.
    async fn receive_placements(&self, proxy: SocketAddrV4) -> Vec<PromptPlacement> {
        loop {
            self.request_placements(proxy);
            for _ in 0..100 {
                if let Some((Message::Placements { placements }, _)) = self.try_receive() {
                    return placements;
                }
                tokio::task::yield_now().await;
            }
        }
    }
}

fn encoded_hint(host: &str, parts: impl IntoIterator<Item = u64>) -> Vec<u8> {
    let parts = parts
        .into_iter()
        .map(|id| PromptPart { id, tokens: 10 })
        .collect();
    protocol::encode(&Message::PromptPlaced {
        placement: PromptPlacement {
            host: host.into(),
            parts,
        },
        prefill_tokens: 0,
    })
}

/// Returns a configuration whose service has a prefix cache.
fn configuration_with_cache() -> Arc<configuration::Configuration> {
    let text = format!(
        r#"{{"version":1,"routes":[{ROUTES}],"services":[{{"name":"s","runtime":{{"capacity":8,"cache_tokens":500000}}}}],
            "limits":{{"max_header_bytes":4096,"max_body_bytes":100000}}}}"#
    );
    Arc::new(configuration::Configuration::read(text.as_bytes(), 0).unwrap())
}

/// Starts a proxy that receives hints. Returns it with the address at which it receives them.
async fn start_proxy(bootstrap: bool) -> (Proxy, SocketAddrV4) {
    start_proxy_on_link(bootstrap, ProxyOptions::default().link_mbps).await
}

/// Starts a proxy on a machine whose link has this speed, in Mbit/s.
async fn start_proxy_on_link(bootstrap: bool, link_mbps: f64) -> (Proxy, SocketAddrV4) {
    let hints = unused_address().await;
    (
        Proxy::with_options(ProxyOptions {
            hints: Some(hints),
            bootstrap,
            link_mbps,
            ..ProxyOptions::default()
        })
        .await,
        hints,
    )
}

/// Sends a prompt through the proxy and responds as the host. The prompt consists of the shared part 7 and `own_part`.
async fn serve_prompt(proxy: &Proxy, host: &mut FakeHost, own_part: &str) {
    let mut client = proxy.client().await;
    client
        .send(&request(
            "/pure/a",
            "one",
            &format!("{SHARED_PREFIX}{own_part}\r\n"),
        ))
        .await;
    host.accept().await.respond_ok("done").await;
    assert_eq!(client.read_message().await.unwrap().body, "done");
}

fn expected_placement(host: &str) -> PromptPlacement {
    PromptPlacement {
        host: host.into(),
        parts: vec![PromptPart {
            id: 7,
            tokens: 13_000,
        }],
    }
}

#[test]
fn hint_reaches_the_other_proxy() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let ((one, hints_addr), (two, other_hints_addr)) =
            (start_proxy(true).await, start_proxy(true).await);
        let peer = PeerProxy::new().await;
        one.apply_fleet_with_peers(
            configuration_with_cache(),
            vec![host.info.clone()],
            vec![other_hints_addr],
        )
        .await;
        two.apply_fleet_with_peers(
            configuration_with_cache(),
            vec![host.info.clone()],
            vec![hints_addr],
        )
        .await;
        serve_prompt(&one, &mut host, "1:100").await;
        assert_eq!(
            peer.receive_placements(other_hints_addr).await,
            [expected_placement("h1")]
        );
        assert_eq!(
            (
                one.counters.get().invalid_hints,
                two.counters.get().invalid_hints
            ),
            (0, 0)
        );
        assert_eq!(
            (one.counters.get().attempts, two.counters.get().attempts),
            (1, 0)
        );
    });
}

#[test]
fn starting_proxy_requests_placements_from_its_peers() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let ((old, hints_addr), (new, new_hints_addr)) =
            (start_proxy(true).await, start_proxy(false).await);
        let peer = PeerProxy::new().await;
        old.apply_fleet(configuration_with_cache(), vec![host.info.clone()])
            .await;
        serve_prompt(&old, &mut host, "1:100").await;
        new.apply_fleet_with_peers(
            configuration_with_cache(),
            vec![host.info.clone()],
            vec![hints_addr],
        )
        .await;
        assert_eq!(
            peer.receive_placements(new_hints_addr).await,
            [expected_placement("h1")]
        );
    });
}

/// If the machine's fan-out is limited to 16 peers, hints go to those that follow in the ring of addresses, and the
/// proxy doesn't assume that it receives all hints: it expects the host with affinity to have the shared part cached.
/// With a larger fan-out, hints go to all peers.
#[rstest]
#[case::all_of_the_minimum(16, SLOW_LINK_MBPS, 16, 13_100)]
#[case::the_next_in_the_ring(18, SLOW_LINK_MBPS, 16, 100)]
#[case::all_on_a_fast_link(18, 1000.0, 18, 13_100)]
fn hints_beyond_the_fan_out_go_to_the_next_peers_in_the_ring(
    #[case] peer_count: usize,
    #[case] link_mbps: f64,
    #[case] hinted_peers: usize,
    #[case] uncached_tokens: u32,
) {
    run_async_test(async move {
        let mut host = FakeHost::new("h1", "s").await;
        let mut others = Vec::new();
        for _ in 0..peer_count / 2 {
            others.push(PeerProxy::new().await);
        }
        let (proxy, hints_addr) = start_proxy_on_link(true, link_mbps).await;
        while others.len() < peer_count {
            others.push(PeerProxy::new().await);
        }
        let addrs = others.iter().rev().map(|other| other.addr).collect();
        proxy
            .apply_fleet_with_peers(configuration_with_cache(), vec![host.info.clone()], addrs)
            .await;
        // The proxy assumes that it receives all hints only after it has reached all peers for a second.
        tokio::time::pause();
        tokio::time::advance(Duration::from_secs(2)).await;
        tokio::time::resume();
        serve_prompt(&proxy, &mut host, "1:100").await;
        others.sort_by_key(|other| (other.addr < hints_addr, other.addr));
        for (n, other) in others.iter().enumerate().take(hinted_peers) {
            if n < 2 {
                assert!(
                    matches!(other.receive().await.0, Message::PlacementsRequest { .. }),
                    "peer {n} got no request for its placements"
                );
            }
            let (message, length) = other.receive().await;
            let Message::PromptPlaced {
                placement,
                prefill_tokens: hinted_tokens,
            } = message
            else {
                panic!("{n}: {message:?}")
            };
            assert_eq!(
                (placement, hinted_tokens),
                (expected_placement("h1"), uncached_tokens)
            );
            assert!(length < MAX_DATAGRAM_BYTES);
        }
        // The proxy sends all copies of a hint together, so a peer without one by now doesn't get it.
        assert!(others.iter().all(|other| other.try_receive().is_none()));
    });
}

#[test]
fn known_prefixes_are_sent_in_small_datagrams() {
    run_async_test(async {
        let hosts: Vec<_> = ["h1", "h2"]
            .map(|id| host_info(id, "s", "127.0.0.1:9".parse().unwrap()))
            .into();
        let long_name = "h".repeat(MAX_DATAGRAM_BYTES - 30);
        let all_hosts = [
            hosts,
            vec![host_info(&long_name, "s", "127.0.0.1:9".parse().unwrap())],
        ]
        .concat();
        let (proxy, hints_addr) = start_proxy(true).await;
        proxy
            .apply_fleet(configuration_with_cache(), all_hosts)
            .await;
        let other = PeerProxy::new().await;
        let mut expected: Vec<(String, u64)> = Vec::new();
        for (host, from) in [("h1", 0), ("h2", 200), ("h1", 400), (&long_name, 600)] {
            for n in (from..from + 200).step_by(50) {
                other.send_hint(hints_addr, &encoded_hint(host, n..n + 50));
                expected.extend(
                    (n..n + 50)
                        .map(|n| (host.to_owned(), n))
                        .filter(|_| host != long_name),
                );
            }
        }
        other.request_placements(hints_addr);
        let mut received = Vec::new();
        let mut datagrams = 0;
        while received.len() < expected.len() {
            let (Message::Placements { placements }, length) = other.receive().await else {
                panic!("not a placements message")
            };
            assert!(length < MAX_DATAGRAM_BYTES, "{length} bytes");
            datagrams += 1;
            for placement in placements {
                assert!(placement.parts.iter().all(|part| part.tokens == 10));
                received.extend(
                    placement
                        .parts
                        .iter()
                        .map(|part| (placement.host.clone(), part.id)),
                );
            }
        }
        received.sort();
        expected.sort();
        assert_eq!(received, expected);
        // The 600 parts of 12 bytes each are sent in few datagrams, not in one for each entry.
        assert!((7..=12).contains(&datagrams), "{datagrams}");
        // The host whose name alone fills a datagram is omitted.
        other.send_hint(hints_addr, b"end");
        while proxy.counters.get().invalid_hints == 0 {
            tokio::task::yield_now().await;
        }
        assert!(other.try_receive().is_none());
    });
}

#[test]
fn invalid_hints_are_counted_and_ignored() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let (proxy, hints_addr) = start_proxy(true).await;
        let other = PeerProxy::new().await;
        proxy
            .apply_fleet_with_peers(
                configuration_with_cache(),
                vec![host.info.clone()],
                vec![other.addr],
            )
            .await;
        let valid_hint = encoded_hint("h1", 21..40);
        let mut unknown_version = valid_hint.clone();
        unknown_version[4] = 99;
        let mut unknown_kind = valid_hint.clone();
        unknown_kind[5] = 200;
        let garbage: Vec<Vec<u8>> = vec![
            vec![],
            vec![0],
            vec![0; 64],
            vec![255; 4000],
            b"GET / HTTP/1.1\r\n\r\n".to_vec(),
            valid_hint[..valid_hint.len() - 1].to_vec(),
            valid_hint[..5].to_vec(),
            unknown_version,
            unknown_kind,
        ];
        garbage
            .iter()
            .for_each(|bytes| other.send_hint(hints_addr, bytes));
        while proxy.counters.get().invalid_hints < garbage.len() as u64 {
            tokio::task::yield_now().await;
        }
        // An unknown host, and hints with one corrupted byte, such as a list length that is too large.
        other.send_hint(hints_addr, &encoded_hint("nobody", 21..40));
        let corrupted_hints = (0..valid_hint.len()).map(|n| {
            let mut bytes = valid_hint.clone();
            bytes[n] ^= 255;
            bytes
        });
        corrupted_hints.for_each(|bytes| other.send_hint(hints_addr, &bytes));
        // Datagrams are handled in order, so once this request is answered all of them were handled.
        other.receive_placements(hints_addr).await;
        serve_prompt(&proxy, &mut host, "1:100").await;
        assert_eq!(other.receive_hint().await.0, expected_placement("h1"));
        let has_shared_part = |placement: &PromptPlacement| {
            placement.host == "h1"
                && placement.parts.contains(&PromptPart {
                    id: 7,
                    tokens: 13_000,
                })
        };
        while !other
            .receive_placements(hints_addr)
            .await
            .iter()
            .any(has_shared_part)
        {}
        assert!(proxy.counters.get().invalid_hints >= garbage.len() as u64);
    });
}
