//! The generator against targets of known behaviour: nothing is dropped, nothing counts from too late.

use load_test::calibrate::{against, fixed, query_at, scenario};
use load_test::clients::AttemptOutcome;
use load_test::plan::{Plan, Planned};
use load_test::run::{load_plan, load_plan_at};
use load_test::scenario::Arrivals;
use load_test::target::{Service, Target, TargetSpec};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A server that handles each connection by a script, which gets the number of the request.
fn server(
    script: impl Fn(usize, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> (SocketAddr, Arc<AtomicUsize>) {
    // With a long queue: beyond the library's own 128 a connection waits a second for its next SYN.
    let listener = fake_hosts::fleet::listener("127.0.0.1:0".parse().unwrap()).unwrap();
    listener.set_nonblocking(false).unwrap();
    let addr = listener.local_addr().unwrap();
    let (script, conns, requests) = (
        Arc::new(script),
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicUsize::new(0)),
    );
    let counted = conns.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            counted.fetch_add(1, Ordering::SeqCst);
            let (script, requests) = (script.clone(), requests.clone());
            thread::spawn(move || {
                let mut input = Vec::new();
                let mut chunk = [0; 4096];
                loop {
                    // A request is whole at the end of its mark, which stands last in the body.
                    while !input.ends_with(b";\"}") {
                        match stream.read(&mut chunk) {
                            Ok(n) if n > 0 => input.extend_from_slice(&chunk[..n]),
                            _ => return,
                        }
                    }
                    input.clear();
                    if !script(requests.fetch_add(1, Ordering::SeqCst), &mut stream) {
                        return;
                    }
                }
            });
        }
    });
    (addr, conns)
}

fn ok(stream: &mut TcpStream) -> bool {
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\n{\"full\":true,\"pieces\":[]}")
        .is_ok()
}

#[test]
fn latency_includes_the_stall_when_requests_were_planned_during_it() {
    let s = scenario(1.0, 3.0, Arrivals::Constant, 10, 2);
    // By hand: 20 ms each; from 0.5 s on it stands still for 1 s.
    let times: Vec<u64> = (0..200).map(|n| n * 10_000).collect();
    let plan = Plan(times.iter().map(|at| query_at(&s, *at, 0)).collect());
    let plan_at = times;
    let stall = (500_000, 1_000_000);
    let exact = fixed(&plan, 20_000, Some(stall));
    assert_eq!(
        (exact[0], exact[47], exact[48], exact[100], exact[149]),
        (20_000, 20_000, 1_020_000, 500_000, 20_000)
    );
    let start = Instant::now() + ms(200);
    let service = Service::Fixed(ms(20));
    let spec = TargetSpec {
        threads: 1,
        service,
        stall: Some((start + ms(500), ms(1000))),
    };
    let target = Target::start(spec, None).unwrap();
    let got = load_plan_at(&s, plan, vec![target.addr], start).unwrap();
    assert_eq!(
        (got.queries.len(), got.figures.outcomes["served"]),
        (200, 200),
        "none is dropped"
    );
    for (q, exact) in got.queries.iter().zip(exact) {
        // Never less than the truth. A busy machine adds to it: one due shortly before the stall may come to
        // lie within it.
        let took = q.ended - q.due;
        let due = plan_at[q.query as usize];
        let most = exact.max(1_500_000u64.saturating_sub(due)) + 2_000_000;
        assert!(
            took + 1000 >= exact && took < most,
            "query {}: {took} us for {exact}",
            q.query
        );
    }
    let late = got
        .queries
        .iter()
        .filter(|q| q.ended - q.due >= 500_000)
        .count();
    assert!(
        late >= 53,
        "those of the stall's first half waited 0.5 s at least: {late}"
    );
}

#[test]
fn connection_is_reused_when_answers_have_no_extra_bytes() {
    let s = scenario(1.0, 1.0, Arrivals::Constant, 10, 1);
    let plan = Plan((0..50).map(|n| query_at(&s, n * 4000, 0)).collect());
    let (addr, conns) = server(|_, stream| ok(stream));
    let got = load_plan(&s, plan.clone(), vec![addr]).unwrap();
    assert_eq!(got.figures.outcomes["served"], 50);
    assert!(
        conns.load(Ordering::SeqCst) < 25,
        "{} connections for 50 queries",
        conns.load(Ordering::SeqCst)
    );
    let s = scenario(200.0, 0.5, Arrivals::Constant, 10, 1);
    let got = against(&s, Service::Instant, None, 1).unwrap();
    assert!(got
        .queries
        .iter()
        .all(|q| !q.tries[0].extra && q.end() == AttemptOutcome::Served(true)));
}

#[test]
fn attempt_is_cut_when_its_answer_ends_half_way() {
    let s = scenario(1.0, 1.0, Arrivals::Constant, 10, 1);
    let plan = Plan((0..10).map(|n| query_at(&s, n * 1000, 0)).collect());
    let (addr, _) = server(|n, stream| {
        let head = "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\n{\"full\":true";
        let _ =
            stream.write_all(&head.as_bytes()[..if n.is_multiple_of(2) { head.len() } else { 9 }]);
        false
    });
    let got = load_plan(&s, plan, vec![addr]).unwrap();
    assert_eq!(
        got.figures.outcomes.get("cut"),
        Some(&10),
        "{:?}",
        got.figures.outcomes
    );
}

#[test]
fn request_is_sent_again_when_a_kept_connection_ends_under_it() {
    let s = scenario(1.0, 1.0, Arrivals::Constant, 10, 1);
    let plan = Plan((0..20).map(|n| query_at(&s, n * 20_000, 0)).collect());
    // Every second request of a connection is met by its end, unread as far as the client can tell.
    let (addr, _) = server(|n, stream| n.is_multiple_of(2) && ok(stream));
    let got = load_plan(&s, plan, vec![addr]).unwrap();
    let served = got.figures.outcomes.get("served").copied().unwrap_or(0);
    let closed = got.figures.outcomes.get("closed").copied().unwrap_or(0);
    assert_eq!(served + closed, 20);
    assert!(served >= 10, "{:?}", got.figures.outcomes);
}

#[test]
fn all_attempts_are_recorded_when_a_thousand_clients_retry_at_once() {
    let mut s = scenario(1.0, 1.0, Arrivals::Constant, 10, 2);
    s.clients.connections = 200;
    let one = |_| Planned {
        retries: 1,
        honours: true,
        backoff_us: 0,
        ..query_at(&s, 0, 0)
    };
    let plan = Plan((0..1000).map(one).collect());
    let refused = AtomicUsize::new(0);
    let (addr, _) = server(move |_, stream| {
        if refused.fetch_add(1, Ordering::SeqCst) < 1000 {
            stream
                .write_all(b"HTTP/1.1 429 X\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n")
                .is_ok()
        } else {
            ok(stream)
        }
    });
    let got = load_plan(&s, plan, vec![addr]).unwrap();
    assert_eq!(
        (got.queries.len(), got.figures.tries["refused"]),
        (1000, 1000)
    );
    // Those that were told to wait did so; latency counts from the first try's instant.
    for q in got.queries.iter().filter(|q| q.tries.len() == 2) {
        assert_eq!(
            (q.tries[0].end, q.tries[0].retry_after_us),
            (AttemptOutcome::Refused, Some(500_000))
        );
        assert!(q.ended - q.due >= 500_000);
        // Its name is new, its client's time goes on.
        assert!(q.tries[1].wait_us <= q.tries[0].wait_us);
    }
    assert!(got.queries.iter().filter(|q| q.tries.len() == 2).count() >= 990);
}
