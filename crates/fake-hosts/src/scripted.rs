//! Scripted peers for tests: district hosts in both dialects and discovery, on threads of their own. A peer whose script
//! or input is malformed ends its thread with a message.
#![allow(
    clippy::unwrap_used,
    reason = "test support: a fault of a script has to end its test"
)]

use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for anything that must come.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// A duration in milliseconds.
pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Waits for something to become true.
///
/// # Panics
/// If it doesn't within [`PATIENCE`].
pub fn until(what: &str, mut is: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is() {
        assert!(start.elapsed() < PATIENCE, "never: {what}");
        thread::sleep(ms(5));
    }
}

/// What a scripted host does with a part.
#[derive(Clone, PartialEq)]
pub enum Act {
    /// Answers with this value.
    Serve(String),
    /// Answers with an error.
    Broke,
    /// Rejects it.
    Skip,
    /// Doesn't answer.
    Silent,
    /// Breaks the connection.
    Break,
    /// Sends something that is no answer.
    Garbage,
    /// Sends these bytes and no more.
    Raw(Vec<u8>),
}

/// A part as a host met it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The host's number.
    pub host: usize,
    /// The part, however the dialect names it: query, dot, shard.
    pub id: String,
    /// The shard.
    pub shard: u32,
    /// The idempotency key.
    pub key: Option<String>,
    /// The query's text.
    pub text: String,
    /// When it arrived.
    pub at: Instant,
    /// When it was over for the host: answered, withdrawn or cut off.
    pub over: Option<Instant>,
    /// Whether it may have taken effect.
    pub ran: bool,
}

/// All that hosts met, in order.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<Vec<Seen>>>);

impl Ledger {
    /// All parts so far.
    ///
    /// # Panics
    /// If a host's thread panicked while it recorded a part.
    pub fn all(&self) -> Vec<Seen> {
        self.0.lock().unwrap().clone()
    }

    fn add(&self, seen: Seen) -> usize {
        let mut all = self.0.lock().unwrap();
        all.push(seen);
        all.len() - 1
    }

    fn over(&self, n: usize, ran: bool) {
        let seen = &mut self.0.lock().unwrap()[n];
        seen.ran &= ran;
        seen.over.get_or_insert_with(Instant::now);
    }

    /// Number of attempts by part; checks that none overlapped and no keyed one came after its window.
    ///
    /// # Panics
    /// If a part was sent more than `most` times, its attempts overlapped, or one came after its window.
    pub fn attempts(&self, most: usize, window: Duration) -> HashMap<String, usize> {
        let mut parts: HashMap<String, Vec<Seen>> = HashMap::new();
        for s in self.all() {
            parts.entry(s.id.clone()).or_default().push(s);
        }
        for (id, all) in &parts {
            assert!(all.len() <= most, "{id} was sent {} times", all.len());
            for pair in all.windows(2) {
                // The host's thread may notice a withdrawal a moment after the next host has the part, as two
                // sockets have no common order; one that was never withdrawn is out for far longer.
                let over = pair[0]
                    .over
                    .unwrap_or_else(|| panic!("{id} is still out at its next attempt"));
                assert!(over <= pair[1].at + ms(250), "attempts of {id} overlapped");
            }
            if let Some(first) = all.iter().find(|s| s.key.is_some() && s.ran) {
                assert!(
                    all.iter().all(|s| s.at < first.at + window),
                    "{id} was repeated after its window"
                );
            }
        }
        parts.into_iter().map(|(id, all)| (id, all.len())).collect()
    }
}

type Script = Arc<dyn Fn(&Seen) -> Act + Send + Sync>;

/// A scripted district host.
pub struct Host {
    /// Where it listens.
    pub addr: String,
    /// Its connections so far.
    pub conns: Arc<Mutex<Vec<TcpStream>>>,
}

/// An address where connections never come up: its listener's queue is full.
pub struct Stuck {
    /// The address.
    pub addr: String,
    _listener: socket2::Socket,
    _waiting: Vec<TcpStream>,
}

impl Stuck {
    /// Listens with a full backlog.
    ///
    /// # Panics
    /// If no socket can be had.
    #[allow(clippy::new_without_default, reason = "it opens sockets")]
    pub fn new() -> Self {
        let listener =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        let any: std::net::SocketAddr = ([127, 0, 0, 1], 0).into();
        listener.bind(&any.into()).unwrap();
        listener.listen(0).unwrap();
        let at = listener.local_addr().unwrap().as_socket().unwrap();
        let fill = || TcpStream::connect_timeout(&at, ms(100)).ok();
        let waiting = std::iter::from_fn(fill).take(64).collect();
        Self {
            addr: at.to_string(),
            _listener: listener,
            _waiting: waiting,
        }
    }
}

/// Starts a host that speaks frames or OpenSearch.
///
/// # Panics
/// If no socket can be had.
pub fn host(
    n: usize,
    http: bool,
    ledger: &Ledger,
    script: impl Fn(&Seen) -> Act + Send + Sync + 'static,
) -> Host {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let (ledger, script): (_, Script) = (ledger.clone(), Arc::new(script));
    let conns: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let kept = conns.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            kept.lock().unwrap().push(stream.try_clone().unwrap());
            let (ledger, script) = (ledger.clone(), script.clone());
            thread::spawn(move || {
                let mut open = Vec::new();
                let _ = if http {
                    speak_http(n, stream, &ledger, &script, &mut open)
                } else {
                    speak_frames(n, stream, &ledger, &script, &mut open)
                };
                open.into_iter().for_each(|(_, at)| ledger.over(at, true));
            });
        }
    });
    Host { addr, conns }
}

/// A frame: its length in four bytes, a letter, the rest.
pub fn frame(letter: char, rest: &str) -> Vec<u8> {
    let mut f = (rest.len() as u32 + 1).to_be_bytes().to_vec();
    f.push(letter as u8);
    f.extend(rest.as_bytes());
    f
}

/// Reads the next part of a call's frame.
fn read_part(host: usize, rest: &mut &[u8]) -> std::io::Result<Seen> {
    let mut line = String::new();
    rest.read_line(&mut line)?;
    let fields: Vec<&str> = line.trim_end().split(' ').collect();
    let (text, left) = rest.split_at(fields[3].parse().unwrap());
    let text = String::from_utf8(text.to_vec()).unwrap();
    *rest = left;
    let mut entries = fields[2].split(',');
    let key = entries.find_map(|p| p.strip_prefix("k="));
    Ok(Seen {
        host,
        id: fields[0].to_owned(),
        shard: fields[1].parse().unwrap(),
        key: key.map(str::to_owned),
        text,
        at: Instant::now(),
        over: None,
        ran: true,
    })
}

fn speak_frames(
    host: usize,
    mut stream: TcpStream,
    ledger: &Ledger,
    script: &Script,
    open: &mut Vec<(String, usize)>,
) -> std::io::Result<()> {
    loop {
        let mut head = [0; 5];
        stream.read_exact(&mut head)?;
        let mut rest = vec![0; u32::from_be_bytes(head[..4].try_into().unwrap()) as usize - 1];
        stream.read_exact(&mut rest)?;
        match head[4] {
            b'c' => {
                let id = String::from_utf8(rest).unwrap();
                open.iter()
                    .filter(|(o, _)| *o == id)
                    .for_each(|(_, at)| ledger.over(*at, true));
            }
            b'l' => stream.write_all(&frame('l', "inflight=0"))?,
            b'q' => {
                let mut rest = &rest[..];
                while !rest.is_empty() {
                    let seen = read_part(host, &mut rest)?;
                    let id = seen.id.clone();
                    let n = ledger.add(seen.clone());
                    open.push((id.clone(), n));
                    let (word, value) = match script(&seen) {
                        Act::Serve(value) => ("served", value),
                        Act::Broke => ("broke", String::new()),
                        Act::Skip => ("skipped", String::new()),
                        Act::Silent => continue,
                        Act::Break => return stream.shutdown(Shutdown::Both),
                        Act::Garbage => {
                            stream.write_all(b"\xff\xff\xff\xffnonsense")?;
                            continue;
                        }
                        Act::Raw(bytes) => {
                            stream.write_all(&bytes)?;
                            continue;
                        }
                    };
                    ledger.over(n, word != "skipped");
                    let load = "inflight=0,queue=0";
                    stream.write_all(&frame('a', &format!("{id} {word} 1 {load}\n{value}")))?;
                }
            }
            other => panic!("a frame with letter {other}"),
        }
    }
}

/// Reads one HTTP message: its first line, headers and body.
///
/// # Errors
/// If the stream ends.
///
/// # Panics
/// If the message is malformed.
pub fn message(
    stream: &mut impl BufRead,
) -> std::io::Result<(String, HashMap<String, String>, String)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end() {
            "" => break,
            line => lines.push(line.to_owned()),
        }
    }
    let headers: HashMap<String, String> = lines[1..]
        .iter()
        .filter_map(|l| {
            l.split_once(": ")
                .map(|(k, v)| (k.to_ascii_lowercase(), v.to_owned()))
        })
        .collect();
    let length = headers
        .get("content-length")
        .map_or(0, |l| l.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok((lines.remove(0), headers, String::from_utf8(body).unwrap()))
}

/// The shard that a `preference` names.
fn preferred_shard(preference: &str) -> u32 {
    let (_, shard) = preference.rsplit_once("_shards:").unwrap();
    shard.trim_matches('"').parse().unwrap()
}

/// The shards and bodies of a request's searches.
fn searches(target: &str, body: &str) -> Vec<(u32, String)> {
    if target != "/_msearch" {
        return vec![(preferred_shard(target), body.to_owned())];
    }
    let lines: Vec<&str> = body.lines().collect();
    let pairs = lines.chunks(2).map(|pair| {
        let head: Value = serde_json::from_str(pair[0]).unwrap();
        let shard = preferred_shard(head["preference"].as_str().unwrap());
        (shard, pair[1].to_owned())
    });
    pairs.collect()
}

/// The body of an answer to several searches.
fn combine(answers: Vec<(u16, String)>) -> String {
    let with_status = |(status, body): (u16, String)| {
        let mut value: Value = serde_json::from_str(&body).unwrap_or(json!({}));
        value["status"] = status.into();
        value
    };
    let responses: Vec<Value> = answers.into_iter().map(with_status).collect();
    json!({ "responses": responses }).to_string()
}

/// Status and body with which a search is answered.
fn search_answer(act: Act) -> (u16, String) {
    match act {
        Act::Serve(value) => (200, value),
        Act::Skip => (429, r#"{"status":429}"#.to_owned()),
        Act::Garbage => (200, "{".to_owned()),
        _ => (500, r#"{"status":500}"#.to_owned()),
    }
}

/// Status and body with which a request for one search, or for `many`, is answered.
fn whole_answer(many: bool, mut answers: Vec<(u16, String)>) -> (u16, String) {
    if many {
        (200, combine(answers))
    } else {
        answers.remove(0)
    }
}

fn write_response(output: &mut TcpStream, status: u16, body: &str) -> std::io::Result<()> {
    let length = body.len();
    write!(
        output,
        "HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

fn speak_http(
    host: usize,
    stream: TcpStream,
    ledger: &Ledger,
    script: &Script,
    open: &mut Vec<(String, usize)>,
) -> std::io::Result<()> {
    let mut input = BufReader::new(stream.try_clone()?);
    let mut output = stream;
    loop {
        let (first, headers, body) = message(&mut input)?;
        let target = first.split(' ').nth(1).unwrap().to_owned();
        if target == "/" {
            write!(output, "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{{}}")?;
            continue;
        }
        let many = target == "/_msearch";
        let searches = searches(&target, &body);
        let (mut answers, mut silent, mut broken) = (Vec::new(), false, false);
        for (shard, text) in searches {
            // Parts of several queries may share a call; only its first one's name is told.
            let id = format!("{}.{shard}", headers["x-opaque-id"]);
            let seen = Seen {
                host,
                id: id.clone(),
                shard,
                key: headers.get("idempotency-key").cloned(),
                text,
                at: Instant::now(),
                over: None,
                ran: true,
            };
            let entry = ledger.add(seen.clone());
            open.push((id, entry));
            let act = script(&seen);
            match act {
                Act::Silent => silent = true,
                Act::Break => broken = true,
                Act::Skip => ledger.over(entry, false),
                _ => ledger.over(entry, true),
            }
            if let Act::Raw(bytes) = act {
                output.write_all(&bytes)?;
                return output.shutdown(Shutdown::Both);
            }
            answers.push(search_answer(act));
        }
        if broken {
            return output.shutdown(Shutdown::Both);
        }
        if silent {
            continue;
        }
        let (status, body) = whole_answer(many, answers);
        write_response(&mut output, status, &body)?;
    }
}

/// One line of the host list.
pub fn member(n: usize, addr: &str, cell: u32, phase: &str) -> Value {
    json!({"id": format!("h{n}"), "host_port": addr, "locality": "a", "flavor": "x", "cell": cell,
           "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// Starts a scripted discovery: its address, and a sender whose lines go out to the current watch.
///
/// # Panics
/// If no socket can be had.
pub fn discovery() -> (String, Sender<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let (tx, lines) = channel::<String>();
    thread::spawn(move || {
        let mut waiting: Option<String> = None;
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut input = BufReader::new(stream.try_clone().unwrap());
            if message(&mut input).is_err() {
                continue;
            }
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            if stream.write_all(head.as_bytes()).is_err() {
                continue;
            }
            loop {
                let Some(line) = waiting.take().or_else(|| lines.recv().ok()) else {
                    return;
                };
                let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                // The coordinator closes after a bad line: what follows goes to its next watch.
                stream.set_read_timeout(Some(ms(50))).unwrap();
                let closed = matches!(stream.read(&mut [0]), Ok(0));
                if closed || stream.write_all(chunk.as_bytes()).is_err() {
                    waiting = Some(line);
                    break;
                }
            }
        }
    });
    (addr, tx)
}
