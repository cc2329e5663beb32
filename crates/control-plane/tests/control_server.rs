//! The control API's limits, over real sockets; waits are on tokio's paused clock.

mod http_client;

use configuration::ResultCode;
use control_plane::runtime::control_request::ControlRequest;
use control_plane::runtime::control_server::{
    ControlCounters, ControlServer, HandleRequest, Reply, MAX_BODY_BYTES,
};
use http_client::{read_to_end, run_local};
use rstest::rstest;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{timeout, Instant};

/// Answers each request once it has a permit.
#[derive(Clone)]
struct Gate {
    permits: Rc<Semaphore>,
    started: Rc<Cell<usize>>,
}

impl HandleRequest for Gate {
    async fn handle(&self, request: ControlRequest) -> Reply {
        self.started.set(self.started.get() + 1);
        let _permit = self.permits.acquire().await.unwrap();
        match request {
            ControlRequest::Read => Reply::json("{\"version\":1}"),
            _ => Reply::from_code(ResultCode::Ok),
        }
    }
}

struct Api {
    addr: SocketAddr,
    counters: Rc<ControlCounters>,
    gate: Gate,
    shutdown: watch::Sender<bool>,
}

async fn api(max_connections: usize, permits: usize) -> Api {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let counters = Rc::new(ControlCounters::default());
    let gate = Gate {
        permits: Rc::new(Semaphore::new(permits)),
        started: Rc::default(),
    };
    let (shutdown, is_shutting_down) = watch::channel(false);
    spawn_local(
        ControlServer::new(
            gate.clone(),
            max_connections,
            counters.clone(),
            is_shutting_down,
        )
        .listen(listener),
    );
    Api {
        addr,
        counters,
        gate,
        shutdown,
    }
}

const REPLACE: &str =
    "POST /fennelpin/Configuration.Replace HTTP/1.1\r\nHost: h\r\nFennelpin-Base-Version: 0\r\n";

async fn exchange(api: &Api, text: &str) -> String {
    let mut stream = TcpStream::connect(api.addr).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    read_to_end(&mut stream).await
}

#[rstest]
#[case::other_method("DELETE /fennelpin/Configuration.Read HTTP/1.1\r\n", "405", 301)]
#[case::get_for_post("GET /fennelpin/Configuration.Replace HTTP/1.1\r\n", "405", 301)]
#[case::no_such_call("GET /fennelpin/Configuration.Nothing HTTP/1.1\r\n", "404", 300)]
#[case::no_such_place("GET / HTTP/1.1\r\n", "404", 300)]
#[case::no_version("GET /fennelpin/Configuration.History/x HTTP/1.1\r\n", "404", 300)]
#[case::no_base("POST /fennelpin/Configuration.Replace HTTP/1.1\r\n", "400", 121)]
#[case::beat_without_json("POST /fennelpin/Hosts.Heartbeat/i-1 HTTP/1.1\r\n", "400", 100)]
fn request_when_malformed_is_rejected_with_its_code(
    #[case] line: &str,
    #[case] status: &str,
    #[case] code: u16,
) {
    run_local(async {
        let api = api(4, 1).await;
        let answer = exchange(
            &api,
            &format!("{line}Host: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"),
        )
        .await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{answer}"
        );
        assert!(answer.contains(&format!("\"code\":{code},")), "{answer}");
        assert_eq!(
            (api.counters.rejected.get(), api.gate.started.get()),
            (1, 0)
        );
    });
}

#[rstest]
#[case::told(true)]
#[case::in_chunks(false)]
fn body_when_too_large_is_rejected_before_it_is_read_to_its_end(#[case] told: bool) {
    run_local(async {
        let api = api(4, 1).await;
        let mut stream = TcpStream::connect(api.addr).await.unwrap();
        let (mut input, mut output) = stream.split();
        let head = if told {
            format!("{REPLACE}Content-Length: {}\r\n\r\n", 8 * MAX_BODY_BYTES)
        } else {
            format!("{REPLACE}Transfer-Encoding: chunked\r\n\r\n")
        };
        output.write_all(head.as_bytes()).await.unwrap();
        let send = async {
            let piece = vec![b'x'; 64 << 10];
            let mut sent = 0;
            while sent < 8 * MAX_BODY_BYTES {
                let size = if told {
                    String::new()
                } else {
                    format!("{:x}\r\n", piece.len())
                };
                let end: &[u8] = if told { b"" } else { b"\r\n" };
                if output
                    .write_all(&[size.as_bytes(), &piece, end].concat())
                    .await
                    .is_err()
                {
                    return;
                }
                sent += piece.len();
            }
            panic!("all was read");
        };
        let mut answer = [0; 512];
        let (read, ()) = tokio::join!(input.read(&mut answer), send);
        let text = String::from_utf8_lossy(&answer[..read.unwrap()]).into_owned();
        assert!(
            text.starts_with("HTTP/1.1 413 ") && text.contains("connection: close"),
            "{text}"
        );
        assert_eq!(api.gate.started.get(), 0);
    });
}

#[test]
fn body_when_too_slow_ends_with_408() {
    run_local(async {
        let api = api(4, 1).await;
        let mut stream = TcpStream::connect(api.addr).await.unwrap();
        let text = format!("{REPLACE}Content-Length: 9\r\n\r\n{{");
        stream.write_all(text.as_bytes()).await.unwrap();
        tokio::time::pause();
        let start = Instant::now();
        let answer = read_to_end(&mut stream).await;
        assert!(
            answer.starts_with("HTTP/1.1 408 ") && answer.contains("\"code\":408"),
            "{answer}"
        );
        assert!(
            start.elapsed() >= Duration::from_secs(8),
            "{:?}",
            start.elapsed()
        );
    });
}

#[rstest]
#[case::nothing_said("")]
#[case::half_a_head("GET /fennelpin/status HTT")]
fn connection_when_its_head_is_incomplete_is_closed(#[case] text: &str) {
    run_local(async {
        let api = api(1, 1).await;
        let mut stream = TcpStream::connect(api.addr).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        tokio::time::pause();
        timeout(Duration::from_secs(30), read_to_end(&mut stream))
            .await
            .expect("it ends");
    });
}

#[test]
fn connection_when_too_many_are_open_is_closed_at_once() {
    run_local(async {
        let api = api(2, 0).await;
        let text = b"GET /fennelpin/Configuration.Read HTTP/1.1\r\nHost: h\r\n\r\n";
        let mut open = Vec::new();
        for _ in 0..2 {
            let mut stream = TcpStream::connect(api.addr).await.unwrap();
            stream.write_all(text).await.unwrap();
            open.push(stream);
        }
        while api.gate.started.get() < 2 {
            tokio::task::yield_now().await;
        }
        assert_eq!(exchange(&api, "").await, "");
        assert_eq!(
            (
                api.counters.connections.get(),
                api.counters.connections_rejected.get()
            ),
            (2, 1)
        );
        // Those that were taken get their answers, and on a kept connection the next one.
        api.gate.permits.add_permits(9);
        for stream in &mut open {
            let mut answer = [0; 512];
            let read = stream.read(&mut answer).await.unwrap();
            assert!(answer[..read].starts_with(b"HTTP/1.1 200 "));
        }
    });
}

#[test]
fn configuration_when_too_many_wait_is_rejected() {
    run_local(async {
        let api = api(64, 0).await;
        let text = format!("{REPLACE}Connection: close\r\nContent-Length: 2\r\n\r\n{{}}");
        let mut open = Vec::new();
        for _ in 0..8 {
            let mut stream = TcpStream::connect(api.addr).await.unwrap();
            stream.write_all(text.as_bytes()).await.unwrap();
            open.push(stream);
        }
        while api.gate.started.get() < 8 {
            tokio::task::yield_now().await;
        }
        tokio::time::pause();
        let answer = exchange(&api, &text).await;
        assert!(
            answer.starts_with("HTTP/1.1 503 ") && answer.contains("\"code\":409"),
            "{answer}"
        );
        assert!(answer.contains("retry-after: 0.2"), "{answer}");
        // What is small still goes through.
        api.gate.permits.add_permits(1);
        let asked = exchange(
            &api,
            "GET /fennelpin/Configuration.Read HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        )
        .await;
        assert!(asked.starts_with("HTTP/1.1 200 "), "{asked}");
    });
}

#[test]
fn connection_when_it_sends_no_http_is_closed_alone() {
    run_local(async {
        let api = api(4, 1).await;
        let answer = exchange(&api, "\x16\x03\x01 hello\r\n\r\n").await;
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 400 "),
            "{answer}"
        );
        let asked = exchange(
            &api,
            "GET /fennelpin/Configuration.Read HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        )
        .await;
        assert!(asked.ends_with("{\"version\":1}"), "{asked}");
    });
}

#[test]
fn connection_when_shutting_down_is_closed_after_its_reply() {
    run_local(async {
        let api = api(4, 0).await;
        let mut stream = TcpStream::connect(api.addr).await.unwrap();
        let text = b"GET /fennelpin/Configuration.Read HTTP/1.1\r\nHost: h\r\n\r\n";
        stream.write_all(text).await.unwrap();
        while api.gate.started.get() < 1 {
            tokio::task::yield_now().await;
        }
        api.shutdown.send_replace(true);
        api.gate.permits.add_permits(1);
        let answer = read_to_end(&mut stream).await;
        assert!(
            answer.starts_with("HTTP/1.1 200 ") && answer.contains("connection: close"),
            "{answer}"
        );
    });
}

/// One connection, two calls at once, the first of them slow: answers come in order, each to its own call.
#[rstest]
fn requests_when_pipelined_are_answered_in_their_order(#[values(false, true)] slow_first: bool) {
    run_local(async {
        let api = api(4, 0).await;
        let mut stream = TcpStream::connect(api.addr).await.unwrap();
        let replace = format!("{REPLACE}Content-Length: 2\r\n\r\n{{}}");
        let read = |last: &str| {
            format!("GET /fennelpin/Configuration.Read HTTP/1.1\r\nHost: h\r\n{last}\r\n")
        };
        let (first, second) = if slow_first {
            (replace.clone(), read("Connection: close\r\n"))
        } else {
            (
                read(""),
                replace.replacen("Host: h\r\n", "Host: h\r\nConnection: close\r\n", 1),
            )
        };
        stream
            .write_all((first + &second).as_bytes())
            .await
            .unwrap();
        while api.gate.started.get() == 0 {
            tokio::task::yield_now().await;
        }
        // The second isn't run before the first has its answer.
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
        assert_eq!(api.gate.started.get(), 1);
        api.gate.permits.add_permits(2);
        let answers = read_to_end(&mut stream).await;
        let bodies: Vec<&str> = answers
            .matches("{\"version\":1}")
            .chain(answers.matches("{\"code\":0"))
            .collect();
        assert_eq!(
            (bodies.len(), answers.matches("HTTP/1.1 200 ").count()),
            (2, 2),
            "{answers}"
        );
        let at = |text: &str| answers.find(text).unwrap();
        assert_eq!(
            at("{\"code\":0") < at("{\"version\":1}"),
            slow_first,
            "{answers}"
        );
    });
}
