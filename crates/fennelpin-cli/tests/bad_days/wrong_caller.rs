//! Each answer goes to its caller, and what may not run twice is sent once, whatever the hosts do.

use crate::callers::{configuration, text_of, until_clear, Order, READ};
use crate::hosts::{self, Text};
use crate::stage::{until, Stage};
use fennelpin_cli::control_client::ControlCall;
use std::io::Write;
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::Duration;

const ALL: [u8; 3] = [1, 2, 3];
/// Clients at once, and requests of each.
const CLIENTS: usize = 6;
const REQUESTS: usize = 60;
/// The longest that a request is held: what a silent host costs.
const DEADLINE_MS: u64 = 400;
/// A client's wait for an answer.
const WAIT: Duration = Duration::from_secs(10);
/// The most hosts that a request that may run twice is sent to.
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

/// What a client made of its requests.
#[derive(Debug, Default)]
struct Tally {
    served: usize,
    failed: usize,
    broken_off: usize,
}

/// Sends one request after the other over connections that are kept, and checks each answer.
fn client(front: SocketAddrV4, route: &str, number: usize) -> Tally {
    let mut tally = Tally::default();
    let mut kept: Option<(TcpStream, Vec<u8>)> = None;
    for n in 0..REQUESTS {
        let body = format!("{route}-{number}-{n}");
        let (mut stream, mut buffer) = kept
            .take()
            .unwrap_or_else(|| (hosts::connect(front).unwrap(), Vec::new()));
        hosts::send(&mut stream, route, &body).unwrap();
        let Some(answer) = Text::read(&mut stream, &mut buffer) else {
            tally.broken_off += 1;
            continue;
        };
        if answer.status() == 200 {
            assert_eq!(answer.body, body, "another caller's answer: {answer:?}");
            tally.served += 1;
        } else {
            assert!(answer.status() >= 500, "{answer:?}");
            tally.failed += 1;
        }
        assert_eq!(
            answer.field("fennelpin-attempt-id"),
            Some(hosts::attempt_id(&body).as_str()),
            "{answer:?}"
        );
        if answer.field("connection") != Some("close") {
            kept = Some((stream, buffer));
        }
    }
    tally
}

#[test]
fn hosts_that_reset_fall_silent_and_say_too_much_get_nothing_twice_and_mix_nothing_up() {
    let stage = Stage::new(3, 2);
    let plan = stage.fleet.plan();
    let mut controls: Vec<SocketAddr> = ALL.iter().map(|n| stage.control(*n)).collect();
    let body = routes();
    let first = ControlCall {
        name: "Configuration.Replace",
        base_version: Some(0),
        body: Some(body.as_bytes()),
    };
    assert_eq!(until_clear(&mut controls, &first).status, 200);
    let addrs: Vec<SocketAddrV4> = (1..=4).map(|n| plan.host(n)).collect();
    let hosts = hosts::start(&addrs, &controls, hosts::ALL_TURNS);
    let fronts = plan.fronts();
    for front in &fronts {
        until("the proxy knows the hosts", || {
            hosts::served(*front).then_some(())
        });
    }

    let tallies: Vec<(&str, Tally)> = std::thread::scope(|scope| {
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
    println!("{tallies:?}");
    let heard = hosts.heard.lock().unwrap();
    for (body, times) in heard.iter() {
        let most = if body.starts_with("once") {
            1
        } else {
            MAX_TRIES
        };
        assert!(*times <= most, "{body} was sent {times} times");
    }
    let once = tallies.iter().filter(|t| t.0 == "once").map(|t| &t.1);
    let (served, all) = once.fold((0, 0), |(s, a), t| {
        (s + t.served, a + t.served + t.failed + t.broken_off)
    });
    assert!(
        served * 4 > all,
        "too few answers to tell: {served} of {all}"
    );
    assert!(served < all, "the hosts did nothing wrong");
}

/// Calls that come in one piece on one connection are answered one by one, in their order.
#[test]
fn pipelined_calls_of_the_control_api_get_their_own_answers() {
    let stage = Stage::new(3, 0);
    let mut operator = stage.operator(&ALL);
    operator.order();
    stage.settled(&ALL);
    for n in ALL {
        let base = operator.newest();
        let next = Order::new(base, base + 1, "v");
        let beside = Order {
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

        let mut stream = TcpStream::connect(stage.control(n)).unwrap();
        stream.set_read_timeout(Some(WAIT)).unwrap();
        let text: Vec<u8> = calls.iter().flat_map(|c| text_of(c, false)).collect();
        stream.write_all(&text).unwrap();
        let (mut buffer, mut current) = (Vec::new(), base);
        for call in &calls {
            let answer =
                Text::read(&mut stream, &mut buffer).unwrap_or_else(|| panic!("none to {call:?}"));
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
