//! Orders as they come over a connection: base versions, bodies that are cut, calls sent ahead. Real sockets, and a
//! ledger in memory behind them.

use configuration::ResultCode;
use control_plane::replicated_state::{Plan, ReplicatedState};
use control_plane::runtime::control_request::Call;
use control_plane::runtime::control_server::{
    ControlCounters, ControlServer, HandleRequest, Reply,
};
use protocol::Command;
use rstest::rstest;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};

const BODY: &str = r#"{"version":3,"routes":[],"services":[],"limits":{}}"#;

/// Takes orders into a ledger at once.
#[derive(Clone, Default)]
struct Book(Rc<RefCell<ReplicatedState>>);

impl HandleRequest for Book {
    async fn run(&self, call: Call) -> Reply {
        let Call::Configure { base, amend, body } = call else {
            return Reply::of(ResultCode::NoSuchCall);
        };
        let plan = self.0.borrow().plan(&Command::Configure {
            base,
            amend,
            body: body.into(),
        });
        match plan {
            Plan::Change(_, next) => {
                self.0.replace(*next);
                Reply::of(ResultCode::Ok)
            }
            Plan::Answer(code, text) => Reply::detailed(code, &String::from_utf8_lossy(&text)),
        }
    }
}

struct Api {
    addr: SocketAddr,
    book: Book,
    _stop: watch::Sender<bool>,
}

async fn api() -> Api {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let book = Book::default();
    let (stop, stopped) = watch::channel(false);
    spawn_local(
        ControlServer::new(
            book.clone(),
            4,
            Rc::new(ControlCounters::default()),
            stopped,
        )
        .listen(listener),
    );
    Api {
        addr,
        book,
        _stop: stop,
    }
}

impl Api {
    fn version(&self) -> u64 {
        self.book.0.borrow().configuration.version
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.addr).await.unwrap()
    }
}

fn story(work: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, work);
}

/// An order with these header lines beside, each with its line's end.
fn order(headers: &str) -> String {
    let length = BODY.len();
    format!("POST /fennelpin/Configuration.Replace HTTP/1.1\r\nHost: h\r\n{headers}Content-Length: {length}\r\n\r\n{BODY}")
}

async fn rest(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    // A reset after the answer is as good as an end.
    let _ = stream.read_to_string(&mut text).await;
    text
}

#[rstest]
#[case::missing("", 121)]
#[case::twice_alike("Fennelpin-Base-Version: 0\r\nFennelpin-Base-Version: 0\r\n", 121)]
#[case::two_values("Fennelpin-Base-Version: 0\r\nfennelpin-base-version: 5\r\n", 121)]
#[case::signed("Fennelpin-Base-Version: +0\r\n", 121)]
#[case::blank("Fennelpin-Base-Version: \r\n", 121)]
#[case::beyond_numbers("Fennelpin-Base-Version: 18446744073709551616\r\n", 121)]
#[case::not_in_force("Fennelpin-Base-Version: 18446744073709551615\r\n", 124)]
#[case::one("Fennelpin-Base-Version: 0\r\n", 0)]
fn only_one_plain_number_is_a_base(#[case] headers: &str, #[case] code: u16) {
    story(async {
        let api = api().await;
        let mut stream = api.connect().await;
        stream
            .write_all(order(&format!("{headers}Connection: close\r\n")).as_bytes())
            .await
            .unwrap();
        let answer = rest(&mut stream).await;
        let status = ResultCode::of(code).unwrap().status();
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{answer}"
        );
        assert!(answer.contains(&format!("\"code\":{code},")), "{answer}");
        assert_eq!(answer.contains("retry-after"), status == 503, "{answer}");
        assert_eq!(api.version(), if code == 0 { 3 } else { 0 });
    });
}

/// The order that was meant may have been taken by way of another connection: it isn't refused.
#[rstest]
#[case::told_length("Content-Length: 99", &BODY[..20])]
#[case::whole_but_for_its_end("Content-Length: 52", BODY)]
#[case::within_a_chunk("Transfer-Encoding: chunked", "33\r\n{\"version\":3,")]
#[case::without_the_last_chunk(
    "Transfer-Encoding: chunked",
    "33\r\n{\"version\":3,\"routes\":[],\"services\":[],\"limits\":{}}\r\n"
)]
fn a_body_that_ends_too_soon_is_not_refused(#[case] framing: &str, #[case] sent: &str) {
    story(async {
        let api = api().await;
        let mut stream = api.connect().await;
        let head =
            "POST /fennelpin/Configuration.Replace HTTP/1.1\r\nHost: h\r\nFennelpin-Base-Version: 0\r\n";
        stream
            .write_all(format!("{head}{framing}\r\n\r\n{sent}").as_bytes())
            .await
            .unwrap();
        stream.shutdown().await.unwrap();
        let answer = rest(&mut stream).await;
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 408 "),
            "{answer}"
        );
        assert_eq!(api.version(), 0);
    });
}

#[test]
fn a_chunk_whose_size_is_no_number_is_refused() {
    story(async {
        let api = api().await;
        let mut stream = api.connect().await;
        let head =
            "POST /fennelpin/Configuration.Replace HTTP/1.1\r\nHost: h\r\nFennelpin-Base-Version: 0\r\n";
        stream
            .write_all(format!("{head}Transfer-Encoding: chunked\r\n\r\nxyz\r\n").as_bytes())
            .await
            .unwrap();
        let answer = rest(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
        assert_eq!(api.version(), 0);
    });
}

#[test]
fn a_caller_that_waits_to_be_told_to_go_on_is_told_so() {
    story(async {
        let api = api().await;
        let mut stream = api.connect().await;
        let text =
            order("Fennelpin-Base-Version: 0\r\nConnection: close\r\nExpect: 100-continue\r\n");
        let (head, body) = text.split_at(text.len() - BODY.len());
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut told = [0; 25];
        stream.read_exact(&mut told).await.unwrap();
        assert_eq!(&told, b"HTTP/1.1 100 Continue\r\n\r\n");
        stream.write_all(body.as_bytes()).await.unwrap();
        let answer = rest(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    });
}

#[test]
fn one_order_sent_ahead_again_and_again_is_confirmed_each_time() {
    story(async {
        let api = api().await;
        let mut stream = api.connect().await;
        let again = order("Fennelpin-Base-Version: 0\r\n");
        let last = order("Fennelpin-Base-Version: 0\r\nConnection: close\r\n");
        stream
            .write_all(format!("{again}{again}{again}{last}").as_bytes())
            .await
            .unwrap();
        let answers = rest(&mut stream).await;
        assert_eq!(answers.matches("HTTP/1.1 200 ").count(), 4, "{answers}");
        assert_eq!(api.book.0.borrow().applied_requests.iter().count(), 1);
    });
}
