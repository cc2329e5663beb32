//! Tests of formats that other versions of the program read: the messages of a hot restart, the datagrams between
//! coordinators, and the names of the counters. The bytes were recorded before the types in the code were renamed, and
//! a rename must not change them.

mod support;

use coordinator::core::Endpoint;
use coordinator::counters::{Counters, End, Pool};
use coordinator::interface::ListKind;
use coordinator::ops::hot_restart::{take_over, HotRestart, RestartRole};
use coordinator::ops::list_overlay::{AttachedProcess, EjectionOrder, OverlayRequest};
use coordinator::ops::manual_ejection::ManualEjections;
use coordinator::peers::{host_tag, LoadUpdate};
use coordinator::ServerState;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::io::{BufRead, BufReader, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::thread::JoinHandle;
use support::*;
use tokio::sync::{mpsc, oneshot, watch};

/// The old process's state of the hosts `s-0` (ejected), `s-1` (reinstated at 1234 ms) and `s-2` (draining).
const BANS: &str = r#"{"out":["s-0"],"back":{"s-1":1234},"listed":{"s-0":{"id":"s-0","addr":"10.0.0.1:80","zone":"a","cell":3,"state":"Ready","up_since_ms":17},"s-1":{"id":"s-1","addr":"10.0.0.1:80","zone":"a","cell":3,"state":"Ready","up_since_ms":17},"s-2":{"id":"s-2","addr":"10.0.0.1:80","zone":"a","cell":3,"state":"Draining","up_since_ms":17}}}"#;

fn host(id: &str, state: ServerState) -> Endpoint {
    Endpoint {
        id: id.into(),
        addr: "10.0.0.1:80".into(),
        zone: "a".into(),
        cell: 3,
        state,
        up_since_ms: 17,
    }
}

fn hosts() -> Vec<Endpoint> {
    vec![
        host("s-0", ServerState::Ready),
        host("s-1", ServerState::Ready),
        host("s-2", ServerState::Draining),
    ]
}

fn bans() -> ManualEjections {
    let mut ejections = ManualEjections::default();
    ejections.apply_update(ListKind::Full, hosts());
    ejections.set_ejected("s-0", true, 1000).unwrap();
    ejections.set_ejected("s-1", true, 1000).unwrap();
    ejections.set_ejected("s-1", false, 1234).unwrap();
    ejections
}

fn hello(listen: &str) -> String {
    format!(r#"{{"version":1,"name":"c-1","listen":"{listen}","bans":{BANS}}}"#)
}

fn socket_path(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.sock"));
    let _ = std::fs::remove_file(&path);
    path
}

/// A process in a hot restart, with a host list actor that carries out every order.
struct RestartProcess {
    thread: JoinHandle<()>,
    stop: oneshot::Sender<()>,
    /// Orders received by this process, to be forwarded to the other one.
    forward: mpsc::UnboundedSender<EjectionOrder>,
    orders: std::sync::mpsc::Receiver<(String, bool)>,
    role: watch::Receiver<RestartRole>,
}

impl RestartProcess {
    /// Starts a process. `link` is the connection to the process that it replaces, if there is one.
    fn start(path: PathBuf, listener: TcpListener, link: Option<UnixStream>) -> Self {
        let listen = listener.local_addr().unwrap().to_string();
        let (show_role, role) = watch::channel(RestartRole::Alone);
        let (stop, stopped) = oneshot::channel();
        let (attached, forwarded) = std::sync::mpsc::channel();
        let (obeyed, orders) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async {
                let (overlay, mut requests) = mpsc::channel(8);
                let hot_restart = HotRestart {
                    path,
                    name: "c-1".into(),
                    listen,
                    listener,
                    overlay,
                    role: show_role,
                };
                let link = link.map(|link| {
                    link.set_nonblocking(true).unwrap();
                    tokio::net::UnixStream::from_std(link).unwrap()
                });
                tokio::spawn(hot_restart.run(link));
                let actor = async {
                    while let Some(request) = requests.recv().await {
                        match request {
                            OverlayRequest::Attach(AttachedProcess { forward, state }) => {
                                let _ = state.send(bans());
                                attached.send(forward).unwrap();
                            }
                            OverlayRequest::Forwarded(order) | OverlayRequest::Order(order) => {
                                obeyed.send((order.host, order.ejected)).unwrap();
                                let _ = order.reply.send(Ok(()));
                            }
                        }
                    }
                };
                tokio::select! { () = actor => {} _ = stopped => {} }
            });
        });
        let (first, next) = mpsc::unbounded_channel();
        drop(next);
        let mut process = Self {
            thread,
            stop,
            forward: first,
            orders,
            role,
        };
        process.forward = process.attached(&forwarded);
        process
    }

    fn attached(
        &self,
        forwarded: &std::sync::mpsc::Receiver<mpsc::UnboundedSender<EjectionOrder>>,
    ) -> mpsc::UnboundedSender<EjectionOrder> {
        forwarded.recv_timeout(PATIENCE).unwrap()
    }

    /// Forwards an order to eject or reinstate a host. The other process confirms it once it is in force there.
    fn forward(
        &self,
        host: &str,
        ejected: bool,
    ) -> oneshot::Receiver<Result<(), coordinator::ops::manual_ejection::EjectionError>> {
        let (reply, done) = oneshot::channel();
        let order = EjectionOrder {
            host: host.into(),
            ejected,
            reply,
        };
        assert!(self.forward.send(order).is_ok());
        done
    }

    fn end(self) {
        let _ = self.stop.send(());
        self.thread.join().unwrap();
    }
}

fn line(link: &mut BufReader<UnixStream>) -> String {
    let mut line = String::new();
    link.read_line(&mut line).unwrap();
    line
}

#[test]
fn hot_restart_when_a_new_process_connects_then_the_old_one_tells_these_bytes() {
    let path = socket_path("formats-old");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = listener.local_addr().unwrap().to_string();
    let new = {
        let path = path.clone();
        std::thread::spawn(move || {
            let mut link = None;
            until("it listens", || {
                link = UnixStream::connect(&path).ok();
                link.is_some()
            });
            let mut link = link.unwrap();
            link.set_read_timeout(Some(PATIENCE)).unwrap();
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut length = [0; 4];
            let mut into = [IoSliceMut::new(&mut length)];
            let got = recvmsg(&link, &mut into, &mut control, RecvFlags::CMSG_CLOEXEC).unwrap();
            assert_eq!(got.bytes, 4, "the length comes in one piece");
            let sockets: usize = control
                .drain()
                .map(|message| match message {
                    RecvAncillaryMessage::ScmRights(fds) => fds.count(),
                    _ => 0,
                })
                .sum();
            assert_eq!(sockets, 1, "with the listening socket");
            let mut body = vec![0; u32::from_be_bytes(length) as usize];
            link.read_exact(&mut body).unwrap();
            (link, String::from_utf8(body).unwrap())
        })
    };
    let process = RestartProcess::start(path, listener, None);
    let (mut link, told) = new.join().unwrap();
    assert_eq!(told, hello(&listen));
    assert_eq!(*process.role.borrow(), RestartRole::Overlapping);
    link.write_all(b"\"ready\"\n").unwrap();
    until("it is replaced", || {
        *process.role.borrow() == RestartRole::Replaced
    });
    link.write_all(b"{\"order\":{\"number\":7,\"host\":\"s-2\",\"offline\":true}}\n")
        .unwrap();
    let mut link = BufReader::new(link);
    assert_eq!(line(&mut link), "{\"done\":{\"number\":7}}\n");
    assert_eq!(
        process.orders.recv_timeout(PATIENCE).unwrap(),
        ("s-2".to_owned(), true)
    );
    let done = process.forward("s-0", false);
    assert_eq!(
        line(&mut link),
        "{\"order\":{\"number\":1,\"host\":\"s-0\",\"offline\":false}}\n"
    );
    link.get_mut()
        .write_all(b"{\"done\":{\"number\":1}}\n")
        .unwrap();
    assert_eq!(done.blocking_recv(), Ok(Ok(())));
    process.end();
}

#[test]
fn hot_restart_when_the_old_process_tells_these_bytes_then_the_new_one_takes_over() {
    let path = socket_path("formats-new");
    let own = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = own.local_addr().unwrap().to_string();
    let meeting = UnixListener::bind(&path).unwrap();
    let old = {
        let (own, listen) = (own.try_clone().unwrap(), listen.clone());
        std::thread::spawn(move || {
            let (mut link, _) = meeting.accept().unwrap();
            let body = hello(&listen);
            let length = u32::try_from(body.len()).unwrap().to_be_bytes();
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            let fds = [own.as_fd()];
            assert!(control.push(SendAncillaryMessage::ScmRights(&fds)));
            let head = [IoSlice::new(&length)];
            sendmsg(&link, &head, &mut control, SendFlags::NOSIGNAL).unwrap();
            link.write_all(body.as_bytes()).unwrap();
            link
        })
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let (taken, link) = runtime.block_on(async {
        let taken = take_over(&path, "c-1", &listen).await.unwrap();
        let link = taken.link.into_std().unwrap();
        ((taken.listener, taken.ejections), link)
    });
    let (listener, taken) = taken;
    assert_eq!(listener.local_addr().unwrap(), own.local_addr().unwrap());
    assert_eq!(taken.endpoints(), hosts());
    assert_eq!(taken.ejected().collect::<Vec<_>>(), ["s-0"]);
    assert_eq!(serde_json::to_string(&taken).unwrap(), BANS);
    let old = old.join().unwrap();
    old.set_read_timeout(Some(PATIENCE)).unwrap();
    let process = RestartProcess::start(socket_path("formats-next"), listener, Some(link));
    assert_eq!(line(&mut BufReader::new(old)), "\"ready\"\n");
    process.end();
}

/// A load update: a version, a checksum of two bytes, and the fields in `postcard` encoding.
const DATAGRAM: &[u8] = &[
    1, 149, 15, 192, 237, 178, 158, 209, 158, 145, 3, 172, 2, 3, 164, 209, 130, 0, 215, 11, 141, 7,
    218, 171, 194, 255, 255, 3,
];

fn update() -> LoadUpdate {
    LoadUpdate {
        incarnation: 1_764_669_250_123_456,
        sequence: 300,
        in_flight: vec![
            (host_tag("s-0"), 0),
            (host_tag("s-1"), 7),
            (host_tag("s-2"), 65_535),
        ],
    }
}

#[test]
fn load_update_when_written_then_it_is_these_bytes() {
    let (datagram, fit) = update().encode();
    assert_eq!((datagram.bytes(), fit), (DATAGRAM, 3));
}

#[test]
fn load_update_when_these_bytes_come_then_they_are_read() {
    assert_eq!(LoadUpdate::decode(DATAGRAM), Ok(update()));
}

#[test]
fn figures_when_shown_then_they_have_these_names() {
    let counters = Counters::striped(2);
    counters.of_classes(&["near".to_owned(), "book".to_owned()]);
    counters.ended(0, End::Ok);
    counters.ended(0, End::Shed);
    counters.ended(1, End::Errors);
    counters.add("tries", 3);
    counters.inc("peers.sent");
    counters.show_pool(Pool {
        size: 4,
        ejected: 1,
        in_service: 3,
    });
    let _open = counters.open();
    let shown: Vec<String> = counters
        .figures()
        .iter()
        .map(|(name, n)| format!("{name}={n}"))
        .collect();
    assert_eq!(
        shown,
        [
            "responses.near.ok=1",
            "responses.near.shed=1",
            "responses.near.errors=0",
            "responses.book.ok=0",
            "responses.book.shed=0",
            "responses.book.errors=1",
            "tries=3",
            "active=1",
            "pool_size=4",
            "pool_ejected=1",
        ]
    );
    assert_eq!(
        counters.text(),
        "responses.near.ok 1\nresponses.near.shed 1\nresponses.near.errors 0\nresponses.book.ok 0\n\
         responses.book.shed 0\nresponses.book.errors 1\ntries 3\nactive 1\npool_size 4\npool_ejected 1\n\
         peers.sent 1\ncore.0.peers.sent 1\ncore.0.tries 3\n"
    );
    assert_eq!(counters.line(), "peers.sent=1 tries=3");
}

/// The counters of a coordinator, by the names that clients and operators read.
#[test]
fn counters_when_queries_were_served_and_refused_then_they_have_these_names() {
    let ledger = Ledger::default();
    let h = support::host(0, false, &ledger, |seen| {
        Act::Serve(format!("v{}", seen.shard))
    });
    let members = [member(0, &h.addr, 0, "Ready")];
    let mut c = Coordinator::start(&config("127.0.0.1:1", &members, &settings(), None), "");
    let mut client = Client::new(&c.addr);
    client.query("near", "one", 2000, &[0, 2]);
    assert_eq!(client.read().0, 200);
    assert_eq!(client.ask("POST", "/near", "Req-Id: x\r\n", "{}").0, 400);
    let mut unreadable = Client::new(&c.addr);
    unreadable.write(b"nonsense\r\n\r\n");
    assert_eq!(unreadable.read().0, 400);
    drop((client, unreadable));
    c.join();
    let text = c.counters.text();
    let names: Vec<&str> = text
        .lines()
        .filter_map(|line| Some(line.split_once(' ')?.0))
        .collect();
    assert_eq!(
        names,
        [
            "responses.near.ok",
            "responses.near.shed",
            "responses.near.errors",
            "responses.report.ok",
            "responses.report.shed",
            "responses.report.errors",
            "responses.book.ok",
            "responses.book.shed",
            "responses.book.errors",
            "tries",
            "active",
            "pool_size",
            "pool_ejected",
            "answered.served.full",
            "clients.ended",
            "ended.served",
            "links.opened",
            "list.news",
            "requests.bad",
            "requests.unreadable",
            "sent.calls",
            "sent.first",
            "taken.parts",
            "taken.queries"
        ]
    );
}
