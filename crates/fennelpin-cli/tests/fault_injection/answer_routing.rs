//! Each answer goes to its caller, and a request that isn't idempotent is sent once, whatever the hosts do.

use crate::harness::callers::{
    call_until_conclusive, configuration, request_bytes, ChangeRequest, READ,
};
use crate::harness::cluster::TestCluster;
use crate::harness::faulty_hosts::{self, HttpMessage};
use crate::harness::wait_until;
use fennelpin_cli::control_client::ControlCall;
use std::io::Write;
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::Duration;

const ALL: [u8; 3] = [1, 2, 3];
/// Concurrent clients, and requests of each.
const CLIENTS: usize = 6;
const REQUESTS: usize = 60;
/// Deadline of requests: the time that a silent host costs.
const DEADLINE_MS: u64 = 400;
/// Longest wait of a client for an answer.
const WAIT: Duration = Duration::from_secs(10);
/// Most hosts that an idempotent request is sent to.
const MAX_TRIES: usize = 3;

fn routes() -> String {
    let route = |name: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","hostname":"h.example","path_prefix":"/{name}/","route_class":"{kind}","deadline_ms":{DEADLINE_MS},"service":"s","max_tries":{MAX_TRIES}}}"#
        )
    };
    let (once, pure) = (route("once", "mutating"), route("pure", "pure"));
    format!(
        r#"{{"version":1,"routes":[{once},{pure}],"services":[{{"name":"s","health_path":"/health","conn_limit":8}}]}}"#
    )
}

/// Outcomes of a client's requests.
#[derive(Debug, Default)]
struct ClientResult {
    served: usize,
    failed: usize,
    broken_off: usize,
}

/// Sends one request after the other over connections that are kept, and checks each answer.
fn client(front: SocketAddrV4, route: &str, number: usize) -> ClientResult {
    let mut result = ClientResult::default();
    let mut kept: Option<(TcpStream, Vec<u8>)> = None;
    for n in 0..REQUESTS {
        let body = format!("{route}-{number}-{n}");
        let (mut stream, mut buffer) = kept
            .take()
            .unwrap_or_else(|| (faulty_hosts::connect(front).unwrap(), Vec::new()));
        faulty_hosts::send(&mut stream, route, &body).unwrap();
        let Some(answer) = HttpMessage::read(&mut stream, &mut buffer) else {
            result.broken_off += 1;
            continue;
        };
        if answer.status() == 200 {
            assert_eq!(answer.body, body, "another caller's answer: {answer:?}");
            result.served += 1;
        } else {
            assert!(answer.status() >= 500, "{answer:?}");
            result.failed += 1;
        }
        assert_eq!(
            answer.field("fennelpin-attempt-id"),
            Some(faulty_hosts::attempt_id(&body).as_str()),
            "{answer:?}"
        );
        if answer.field("connection") != Some("close") {
            kept = Some((stream, buffer));
        }
    }
    result
}

#[test]
fn answers_when_hosts_fail_in_all_ways_then_each_goes_to_its_caller() {
    let cluster = TestCluster::new(3, 2);
    let plan = cluster.processes.plan();
    let mut controls: Vec<SocketAddr> = ALL.iter().map(|n| cluster.control(*n)).collect();
    let body = routes();
    let first = ControlCall {
        name: "Configuration.Replace",
        base_version: Some(0),
        body: Some(body.as_bytes()),
    };
    assert_eq!(call_until_conclusive(&mut controls, &first).status, 200);
    let addrs: Vec<SocketAddrV4> = (1..=4).map(|n| plan.host(n)).collect();
    let hosts = faulty_hosts::start(&addrs, &controls, faulty_hosts::ALL_BEHAVIOURS);
    let fronts = plan.fronts();
    for front in &fronts {
        wait_until("the proxy knows the hosts", || {
            faulty_hosts::served(*front).then_some(())
        });
    }

    let results: Vec<(&str, ClientResult)> = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let route = if n % 3 == 2 { "pure" } else { "once" };
                let front = fronts[n % fronts.len()];
                (route, scope.spawn(move || client(front, route, n)))
            })
            .collect();
        clients
            .into_iter()
            .map(|(route, c)| (route, c.join().unwrap()))
            .collect()
    });
    println!("{results:?}");
    let received = hosts.received.lock().unwrap();
    for (body, times) in received.iter() {
        let most = if body.starts_with("once") {
            1
        } else {
            MAX_TRIES
        };
        assert!(*times <= most, "{body} was sent {times} times");
    }
    let once = results.iter().filter(|t| t.0 == "once").map(|t| &t.1);
    let (served, all) = once.fold((0, 0), |(s, a), t| {
        (s + t.served, a + t.served + t.failed + t.broken_off)
    });
    assert!(
        served * 4 > all,
        "too few answers to tell: {served} of {all}"
    );
    assert!(served < all, "the hosts did nothing wrong");
}

/// Calls that come together on one connection are answered one by one, in order.
#[test]
fn calls_when_pipelined_then_answered_in_order() {
    let cluster = TestCluster::new(3, 0);
    let mut operator = cluster.operator(&ALL);
    operator.apply_next();
    cluster.wait_until_stable(&ALL);
    for n in ALL {
        let base = operator.newest();
        let next = ChangeRequest::new(base, base + 1, "v");
        let beside = ChangeRequest {
            body: configuration(base + 1, "beside"),
            ..next.clone()
        };
        let history: Vec<String> = (0..40)
            .map(|k| format!("Configuration.History/{}", 1000 + k))
            .collect();
        let ask = |name: &'static str| ControlCall {
            name,
            base_version: None,
            body: None,
        };
        let mut calls: Vec<ControlCall> =
            vec![READ, next.call(), READ, next.call(), beside.call(), READ];
        for (k, name) in history.iter().enumerate() {
            let call = ControlCall {
                name,
                base_version: None,
                body: None,
            };
            calls.insert((k * 7) % calls.len(), call);
        }
        calls.push(ask("no-such-call"));

        let mut stream = TcpStream::connect(cluster.control(n)).unwrap();
        stream.set_read_timeout(Some(WAIT)).unwrap();
        let text: Vec<u8> = calls.iter().flat_map(|c| request_bytes(c, false)).collect();
        stream.write_all(&text).unwrap();
        let (mut buffer, mut current) = (Vec::new(), base);
        for call in &calls {
            let answer = HttpMessage::read(&mut stream, &mut buffer)
                .unwrap_or_else(|| panic!("none to {call:?}"));
            let expected = match call.name {
                "Configuration.Read" => (200, configuration(current, "v")),
                "Configuration.Replace" if call.body == Some(next.body.as_bytes()) => {
                    current = next.version;
                    (200, String::new())
                }
                "Configuration.Replace" => (412, String::new()),
                "no-such-call" => (404, String::new()),
                history => (404, history.rsplit('/').next().unwrap().to_owned()),
            };
            assert_eq!(answer.status(), expected.0, "{call:?}: {answer:?}");
            assert!(answer.body.contains(&expected.1), "{call:?}: {answer:?}");
        }
        operator.send(next);
    }
}
