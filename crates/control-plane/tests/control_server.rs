//! The limits of the control API's server, over real sockets. Timeouts run on tokio's paused clock.

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

/// A handler that replies to each request once it has acquired a permit.
#[derive(Clone)]
struct BlockingHandler {
    permits: Rc<Semaphore>,
    /// Number of requests passed to the handler.
    started: Rc<Cell<usize>>,
}

impl HandleRequest for BlockingHandler {
    async fn handle(&self, request: ControlRequest) -> Reply {
        self.started.set(self.started.get() + 1);
        let _permit = self.permits.acquire().await.unwrap();
        match request {
            ControlRequest::Read => Reply::json("{\"version\":1}"),
            _ => Reply::from_code(ResultCode::Ok),
        }
    }
}

/// A running server and its parts that the tests observe and control.
struct TestServer {
    addr: SocketAddr,
    counters: Rc<ControlCounters>,
    handler: BlockingHandler,
    shutdown: watch::Sender<bool>,
}

/// Starts a server whose handler has `permits` permits.
async fn start_server(max_connections: usize, permits: usize) -> TestServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let counters = Rc::new(ControlCounters::default());
    let handler = BlockingHandler {
        permits: Rc::new(Semaphore::new(permits)),
        started: Rc::default(),
    };
    let (shutdown, is_shutting_down) = watch::channel(false);
    spawn_local(
        ControlServer::new(
            handler.clone(),
            max_connections,
            counters.clone(),
            is_shutting_down,
        )
        .listen(listener),
    );
    TestServer {
        addr,
        counters,
        handler,
        shutdown,
    }
}

/// Start of the head of a request to replace the configuration.
const REPLACE_REQUEST_HEAD: &str =
    "POST /fennelpin/Configuration.Replace HTTP/1.1\r\nHost: h\r\nFennelpin-Base-Version: 0\r\n";

/// Sends `text` over a new connection and reads it until its end.
async fn send_and_read(server: &TestServer, text: &str) -> String {
    let mut stream = TcpStream::connect(server.addr).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    read_to_end(&mut stream).await
}

#[rstest]
#[case::other_method("DELETE /fennelpin/Configuration.Read HTTP/1.1\r\n", "405", 301)]
#[case::get_for_post("GET /fennelpin/Configuration.Replace HTTP/1.1\r\n", "405", 301)]
#[case::unknown_call("GET /fennelpin/Configuration.Nothing HTTP/1.1\r\n", "404", 300)]
#[case::unknown_path("GET / HTTP/1.1\r\n", "404", 300)]
#[case::no_version("GET /fennelpin/Configuration.History/x HTTP/1.1\r\n", "404", 300)]
#[case::no_base("POST /fennelpin/Configuration.Replace HTTP/1.1\r\n", "400", 121)]
#[case::heartbeat_without_json("POST /fennelpin/Hosts.Heartbeat/i-1 HTTP/1.1\r\n", "400", 100)]
fn request_when_malformed_is_rejected_with_its_code(
    #[case] line: &str,
    #[case] status: &str,
    #[case] code: u16,
) {
    run_local(async {
        let server = start_server(4, 1).await;
        let response = send_and_read(
            &server,
            &format!("{line}Host: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"),
        )
        .await;
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status} ")),
            "{response}"
        );
        assert!(
            response.contains(&format!("\"code\":{code},")),
            "{response}"
        );
        assert_eq!(
            (server.counters.rejected.get(), server.handler.started.get()),
            (1, 0)
        );
    });
}

#[rstest]
#[case::has_content_length(true)]
#[case::chunked(false)]
fn body_when_too_large_is_rejected_before_it_is_read_to_its_end(#[case] has_content_length: bool) {
    run_local(async {
        let server = start_server(4, 1).await;
        let mut stream = TcpStream::connect(server.addr).await.unwrap();
        let (mut input, mut output) = stream.split();
        let head = if has_content_length {
            format!(
                "{REPLACE_REQUEST_HEAD}Content-Length: {}\r\n\r\n",
                8 * MAX_BODY_BYTES
            )
        } else {
            format!("{REPLACE_REQUEST_HEAD}Transfer-Encoding: chunked\r\n\r\n")
        };
        output.write_all(head.as_bytes()).await.unwrap();
        let send = async {
            let piece = vec![b'x'; 64 << 10];
            let mut sent = 0;
            while sent < 8 * MAX_BODY_BYTES {
                let size = if has_content_length {
                    String::new()
                } else {
                    format!("{:x}\r\n", piece.len())
                };
                let end: &[u8] = if has_content_length { b"" } else { b"\r\n" };
                if output
                    .write_all(&[size.as_bytes(), &piece, end].concat())
                    .await
                    .is_err()
                {
                    return;
                }
                sent += piece.len();
            }
            panic!("the server read the whole body");
        };
        let mut response = [0; 512];
        let (read, ()) = tokio::join!(input.read(&mut response), send);
        let text = String::from_utf8_lossy(&response[..read.unwrap()]).into_owned();
        assert!(
            text.starts_with("HTTP/1.1 413 ") && text.contains("connection: close"),
            "{text}"
        );
        assert_eq!(server.handler.started.get(), 0);
    });
}

#[test]
fn body_when_too_slow_ends_with_408() {
    run_local(async {
        let server = start_server(4, 1).await;
        let mut stream = TcpStream::connect(server.addr).await.unwrap();
        let text = format!("{REPLACE_REQUEST_HEAD}Content-Length: 9\r\n\r\n{{");
        stream.write_all(text.as_bytes()).await.unwrap();
        tokio::time::pause();
        let start = Instant::now();
        let response = read_to_end(&mut stream).await;
        assert!(
            response.starts_with("HTTP/1.1 408 ") && response.contains("\"code\":408"),
            "{response}"
        );
        assert!(
            start.elapsed() >= Duration::from_secs(8),
            "{:?}",
            start.elapsed()
        );
    });
}

#[rstest]
#[case::no_bytes("")]
#[case::partial_head("GET /fennelpin/status HTT")]
fn connection_when_its_head_is_incomplete_is_closed(#[case] text: &str) {
    run_local(async {
        let server = start_server(1, 1).await;
        let mut stream = TcpStream::connect(server.addr).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        tokio::time::pause();
        timeout(Duration::from_secs(30), read_to_end(&mut stream))
            .await
            .expect("the server closes the connection");
    });
}

#[test]
fn connection_when_too_many_are_open_is_closed_at_once() {
    run_local(async {
        let server = start_server(2, 0).await;
        let text = b"GET /fennelpin/Configuration.Read HTTP/1.1\r\nHost: h\r\n\r\n";
        let mut open = Vec::new();
        for _ in 0..2 {
            let mut stream = TcpStream::connect(server.addr).await.unwrap();
            stream.write_all(text).await.unwrap();
            open.push(stream);
        }
        while server.handler.started.get() < 2 {
            tokio::task::yield_now().await;
        }
        assert_eq!(send_and_read(&server, "").await, "");
        assert_eq!(
            (
                server.counters.connections.get(),
                server.counters.connections_rejected.get()
            ),
            (2, 1)
        );
        // The connections within the limit get their responses.
        server.handler.permits.add_permits(9);
        for stream in &mut open {
            let mut response = [0; 512];
            let read = stream.read(&mut response).await.unwrap();
            assert!(response[..read].starts_with(b"HTTP/1.1 200 "));
        }
    });
}

#[test]
fn configuration_when_too_many_wait_is_rejected() {
    run_local(async {
        let server = start_server(64, 0).await;
        let text =
            format!("{REPLACE_REQUEST_HEAD}Connection: close\r\nContent-Length: 2\r\n\r\n{{}}");
        let mut open = Vec::new();
        for _ in 0..8 {
            let mut stream = TcpStream::connect(server.addr).await.unwrap();
            stream.write_all(text.as_bytes()).await.unwrap();
            open.push(stream);
        }
        while server.handler.started.get() < 8 {
            tokio::task::yield_now().await;
        }
        tokio::time::pause();
        let response = send_and_read(&server, &text).await;
        assert!(
            response.starts_with("HTTP/1.1 503 ") && response.contains("\"code\":409"),
            "{response}"
        );
        assert!(response.contains("retry-after: 0.2"), "{response}");
        // Requests without a large body are still handled.
        server.handler.permits.add_permits(1);
        let response = send_and_read(
            &server,
            "GET /fennelpin/Configuration.Read HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        )
        .await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    });
}

#[test]
fn connection_that_sends_no_http_is_closed_without_affecting_others() {
    run_local(async {
        let server = start_server(4, 1).await;
        let response = send_and_read(&server, "\x16\x03\x01 hello\r\n\r\n").await;
        assert!(
            response.is_empty() || response.starts_with("HTTP/1.1 400 "),
            "{response}"
        );
        let response = send_and_read(
            &server,
            "GET /fennelpin/Configuration.Read HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        )
        .await;
        assert!(response.ends_with("{\"version\":1}"), "{response}");
    });
}

#[test]
fn connection_when_shutting_down_is_closed_after_its_reply() {
    run_local(async {
        let server = start_server(4, 0).await;
        let mut stream = TcpStream::connect(server.addr).await.unwrap();
        let text = b"GET /fennelpin/Configuration.Read HTTP/1.1\r\nHost: h\r\n\r\n";
        stream.write_all(text).await.unwrap();
        while server.handler.started.get() < 1 {
            tokio::task::yield_now().await;
        }
        server.shutdown.send_replace(true);
        server.handler.permits.add_permits(1);
        let response = read_to_end(&mut stream).await;
        assert!(
            response.starts_with("HTTP/1.1 200 ") && response.contains("connection: close"),
            "{response}"
        );
    });
}

/// Two pipelined requests on one connection: the second isn't handled before the first has its response, and the
/// responses arrive in the order of the requests.
#[rstest]
fn pipelined_requests_are_answered_in_order(#[values(false, true)] replaces_first: bool) {
    run_local(async {
        let server = start_server(4, 0).await;
        let mut stream = TcpStream::connect(server.addr).await.unwrap();
        let replace = format!("{REPLACE_REQUEST_HEAD}Content-Length: 2\r\n\r\n{{}}");
        let read = |last: &str| {
            format!("GET /fennelpin/Configuration.Read HTTP/1.1\r\nHost: h\r\n{last}\r\n")
        };
        let (first, second) = if replaces_first {
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
        while server.handler.started.get() == 0 {
            tokio::task::yield_now().await;
        }
        // The second request isn't handled before the first has its response.
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
        assert_eq!(server.handler.started.get(), 1);
        server.handler.permits.add_permits(2);
        let responses = read_to_end(&mut stream).await;
        let bodies: Vec<&str> = responses
            .matches("{\"version\":1}")
            .chain(responses.matches("{\"code\":0"))
            .collect();
        assert_eq!(
            (bodies.len(), responses.matches("HTTP/1.1 200 ").count()),
            (2, 2),
            "{responses}"
        );
        let position_of = |text: &str| responses.find(text).unwrap();
        assert_eq!(
            position_of("{\"code\":0") < position_of("{\"version\":1}"),
            replaces_first,
            "{responses}"
        );
    });
}
