//! Configuration requests over HTTP connections: base versions, truncated bodies, pipelining. The server has real
//! sockets and a replicated state in memory.

mod http_client;

use configuration::ResultCode;
use control_plane::replicated_state::{Plan, ReplicatedState};
use control_plane::runtime::control_request::ControlRequest;
use control_plane::runtime::control_server::{
    ControlCounters, ControlServer, HandleRequest, Reply,
};
use http_client::{read_to_end, run_local};
use protocol::Command;
use rstest::rstest;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

const BODY: &str = r#"{"version":3,"routes":[],"services":[],"limits":{}}"#;

/// A request handler that applies each request to a state in memory at once.
#[derive(Clone, Default)]
struct InMemoryState(Rc<RefCell<ReplicatedState>>);

impl HandleRequest for InMemoryState {
    async fn handle(&self, request: ControlRequest) -> Reply {
        let ControlRequest::Configure { base, amend, body } = request else {
            return Reply::from_code(ResultCode::NoSuchCall);
        };
        let plan = self.0.borrow().plan(&Command::Configure {
            base,
            amend,
            body: body.into(),
        });
        match plan {
            Plan::Change(_, next) => {
                self.0.replace(*next);
                Reply::from_code(ResultCode::Ok)
            }
            Plan::Answer(code, text) => Reply::with_detail(code, &String::from_utf8_lossy(&text)),
        }
    }
}

/// A running control server and its state.
struct TestServer {
    addr: SocketAddr,
    state: InMemoryState,
    _shutdown: watch::Sender<bool>,
}

async fn start_server() -> TestServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let state = InMemoryState::default();
    let (shutdown, is_shutting_down) = watch::channel(false);
    spawn_local(
        ControlServer::new(
            state.clone(),
            4,
            Rc::new(ControlCounters::default()),
            is_shutting_down,
        )
        .listen(listener),
    );
    TestServer {
        addr,
        state,
        _shutdown: shutdown,
    }
}

impl TestServer {
    fn version(&self) -> u64 {
        self.state.0.borrow().configuration.version
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.addr).await.unwrap()
    }
}

/// A request to replace the configuration. `headers` are additional header lines, each with its CRLF.
fn replace_request(headers: &str) -> String {
    let length = BODY.len();
    format!("POST /fennelpin/Configuration.Replace HTTP/1.1\r\nHost: h\r\n{headers}Content-Length: {length}\r\n\r\n{BODY}")
}

#[rstest]
#[case::missing("", 121)]
#[case::duplicate("Fennelpin-Base-Version: 0\r\nFennelpin-Base-Version: 0\r\n", 121)]
#[case::two_values("Fennelpin-Base-Version: 0\r\nfennelpin-base-version: 5\r\n", 121)]
#[case::signed("Fennelpin-Base-Version: +0\r\n", 121)]
#[case::blank("Fennelpin-Base-Version: \r\n", 121)]
#[case::above_u64("Fennelpin-Base-Version: 18446744073709551616\r\n", 121)]
#[case::not_in_force("Fennelpin-Base-Version: 18446744073709551615\r\n", 124)]
#[case::valid("Fennelpin-Base-Version: 0\r\n", 0)]
fn base_version_when_not_a_single_number_in_force_is_rejected(
    #[case] headers: &str,
    #[case] code: u16,
) {
    run_local(async {
        let server = start_server().await;
        let mut stream = server.connect().await;
        stream
            .write_all(replace_request(&format!("{headers}Connection: close\r\n")).as_bytes())
            .await
            .unwrap();
        let answer = read_to_end(&mut stream).await;
        let status = ResultCode::from_number(code).unwrap().status();
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{answer}"
        );
        assert!(answer.contains(&format!("\"code\":{code},")), "{answer}");
        assert_eq!(answer.contains("retry-after"), status == 503, "{answer}");
        assert_eq!(server.version(), if code == 0 { 3 } else { 0 });
    });
}

/// The complete request may have been applied through another connection, so a truncated one isn't rejected.
#[rstest]
#[case::content_length("Content-Length: 99", &BODY[..20])]
#[case::one_byte_missing("Content-Length: 52", BODY)]
#[case::within_a_chunk("Transfer-Encoding: chunked", "33\r\n{\"version\":3,")]
#[case::without_the_last_chunk(
    "Transfer-Encoding: chunked",
    "33\r\n{\"version\":3,\"routes\":[],\"services\":[],\"limits\":{}}\r\n"
)]
fn body_when_truncated_is_not_rejected(#[case] framing: &str, #[case] sent: &str) {
    run_local(async {
        let server = start_server().await;
        let mut stream = server.connect().await;
        let head =
            "POST /fennelpin/Configuration.Replace HTTP/1.1\r\nHost: h\r\nFennelpin-Base-Version: 0\r\n";
        stream
            .write_all(format!("{head}{framing}\r\n\r\n{sent}").as_bytes())
            .await
            .unwrap();
        stream.shutdown().await.unwrap();
        let answer = read_to_end(&mut stream).await;
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 408 "),
            "{answer}"
        );
        assert_eq!(server.version(), 0);
    });
}

#[test]
fn chunk_when_its_size_is_not_a_number_is_rejected() {
    run_local(async {
        let server = start_server().await;
        let mut stream = server.connect().await;
        let head =
            "POST /fennelpin/Configuration.Replace HTTP/1.1\r\nHost: h\r\nFennelpin-Base-Version: 0\r\n";
        stream
            .write_all(format!("{head}Transfer-Encoding: chunked\r\n\r\nxyz\r\n").as_bytes())
            .await
            .unwrap();
        let answer = read_to_end(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
        assert_eq!(server.version(), 0);
    });
}

#[test]
fn body_when_the_caller_expects_100_continue_is_requested() {
    run_local(async {
        let server = start_server().await;
        let mut stream = server.connect().await;
        let text = replace_request(
            "Fennelpin-Base-Version: 0\r\nConnection: close\r\nExpect: 100-continue\r\n",
        );
        let (head, body) = text.split_at(text.len() - BODY.len());
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut interim_response = [0; 25];
        stream.read_exact(&mut interim_response).await.unwrap();
        assert_eq!(&interim_response, b"HTTP/1.1 100 Continue\r\n\r\n");
        stream.write_all(body.as_bytes()).await.unwrap();
        let answer = read_to_end(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    });
}

#[test]
fn request_when_repeated_in_a_pipeline_is_confirmed_each_time() {
    run_local(async {
        let server = start_server().await;
        let mut stream = server.connect().await;
        let repeated = replace_request("Fennelpin-Base-Version: 0\r\n");
        let last = replace_request("Fennelpin-Base-Version: 0\r\nConnection: close\r\n");
        stream
            .write_all(format!("{repeated}{repeated}{repeated}{last}").as_bytes())
            .await
            .unwrap();
        let answers = read_to_end(&mut stream).await;
        assert_eq!(answers.matches("HTTP/1.1 200 ").count(), 4, "{answers}");
        assert_eq!(server.state.0.borrow().applied_requests.iter().count(), 1);
    });
}
