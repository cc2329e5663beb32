//! Sound hosts: each runs a request as its body says, and records that it did.

use super::harness::faulty_hosts::HttpMessage;
use super::harness::heartbeat::{HostPhase, HostRecord, HEARTBEAT_INTERVAL};
use super::recorder::Recorder;
use super::stop_signal::StopSignal;
use std::fmt;
use std::io::Write;
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::str::FromStr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Requests that a host says it can run at once.
const CAPACITY: u32 = 64;

/// The end of the id of a request whose response its first host breaks off.
pub const BREAKING_SUFFIX: &str = "-breaks";

/// What marks the end of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFraming {
    /// The last chunk.
    Chunked,
    /// The end of the host's connection.
    CloseDelimited,
}

impl StreamFraming {
    /// The head's last lines.
    fn head_end(self) -> &'static str {
        match self {
            Self::Chunked => {
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            }
            Self::CloseDelimited => "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
        }
    }

    /// The bytes that carry this part of a stream.
    fn frame(self, part: &str) -> String {
        match self {
            Self::Chunked => format!("{:x}\r\n{part}\r\n", part.len()),
            Self::CloseDelimited => part.to_owned(),
        }
    }
}

impl fmt::Display for StreamFraming {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Chunked => "chunked",
            Self::CloseDelimited => "close",
        })
    }
}

impl FromStr for StreamFraming {
    type Err = MalformedWork;

    fn from_str(text: &str) -> Result<Self, MalformedWork> {
        match text {
            "chunked" => Ok(Self::Chunked),
            "close" => Ok(Self::CloseDelimited),
            _ => Err(MalformedWork),
        }
    }
}

/// What a host is to do for a request; the request's body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    pub id: String,
    /// Time until the response begins.
    pub delay: Duration,
    /// Events of a stream; 0 for a plain response, which is the request's body.
    pub events: u64,
    /// Time between two events.
    pub gap: Duration,
    /// What marks the end of a stream; without meaning for a plain response.
    pub framing: StreamFraming,
}

impl fmt::Display for Work {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (delay, gap) = (self.delay.as_millis(), self.gap.as_millis());
        write!(
            f,
            "{}:{delay}:{}:{gap}:{}",
            self.id, self.events, self.framing
        )
    }
}

/// The text is no [`Work`].
#[derive(Debug)]
pub struct MalformedWork;

impl FromStr for Work {
    type Err = MalformedWork;

    fn from_str(text: &str) -> Result<Self, MalformedWork> {
        let parts: Vec<&str> = text.split(':').collect();
        let [id, delay, events, gap, framing] = parts[..] else {
            return Err(MalformedWork);
        };
        let number = |text: &str| text.parse::<u64>().map_err(|_| MalformedWork);
        Ok(Self {
            id: id.to_owned(),
            delay: Duration::from_millis(number(delay)?),
            events: number(events)?,
            gap: Duration::from_millis(number(gap)?),
            framing: framing.parse()?,
        })
    }
}

/// An event of a stream.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: event {id}\n\n")
}

/// Running hosts. They listen no more once this is dropped.
#[derive(Default)]
pub struct Hosts {
    listeners: Vec<TcpListener>,
    accepts: Vec<JoinHandle<()>>,
}

impl Drop for Hosts {
    /// Frees the addresses for the next run.
    fn drop(&mut self) {
        for listener in &self.listeners {
            let _ = rustix::net::shutdown(listener, rustix::net::Shutdown::Both);
        }
        for accepts in self.accepts.drain(..) {
            let _ = accepts.join();
        }
    }
}

/// Starts hosts at these addresses. They send heartbeats to these members until `stop` is raised, and say that they are
/// draining after these times; they serve on all the same.
pub fn start(
    addresses: &[SocketAddrV4],
    drain_times: &[Option<Duration>],
    controls: &[SocketAddr],
    recorder: &Arc<Recorder>,
    stop: &Arc<StopSignal>,
) -> Hosts {
    let mut hosts = Hosts::default();
    for (n, address) in addresses.iter().enumerate() {
        let record = HostRecord {
            id: format!("host-{}-{n}", std::process::id()),
            address: *address,
            zone: format!("zone-{}", n % 3 + 1),
            capacity: CAPACITY,
        };
        let host = Host {
            id: record.id.clone(),
            recorder: recorder.clone(),
            stop: stop.clone(),
        };
        let listener = TcpListener::bind(address).unwrap();
        hosts.listeners.push(listener.try_clone().unwrap());
        let accepts = std::thread::spawn(move || host.accept(&listener));
        hosts.accepts.push(accepts);
        let heartbeats = Heartbeats {
            record,
            drain_after: drain_times[n],
            controls: controls.to_vec(),
            recorder: recorder.clone(),
            stop: stop.clone(),
        };
        std::thread::spawn(move || heartbeats.send_until_stopped());
    }
    hosts
}

/// The heartbeats of one host.
struct Heartbeats {
    record: HostRecord,
    drain_after: Option<Duration>,
    controls: Vec<SocketAddr>,
    recorder: Arc<Recorder>,
    stop: Arc<StopSignal>,
}

impl Heartbeats {
    fn send_until_stopped(&self) {
        let start = Instant::now();
        let mut drain_acknowledged = false;
        for sequence in 1.. {
            let drains = self
                .drain_after
                .is_some_and(|after| start.elapsed() >= after);
            let phase = if drains {
                HostPhase::Draining
            } else {
                HostPhase::Ready
            };
            let acknowledged = self.record.send_heartbeat(phase, sequence, &self.controls);
            if drains && acknowledged && !drain_acknowledged {
                drain_acknowledged = true;
                self.recorder.record_drain(&self.record.id);
            }
            if self.stop.wait(HEARTBEAT_INTERVAL) {
                return;
            }
        }
    }
}

#[derive(Clone)]
struct Host {
    id: String,
    recorder: Arc<Recorder>,
    stop: Arc<StopSignal>,
}

impl Host {
    fn accept(&self, listener: &TcpListener) {
        while let Ok((stream, _)) = listener.accept() {
            let host = self.clone();
            // The proxy closes connections at any time.
            std::thread::spawn(move || drop(host.serve(stream)));
        }
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(request) = HttpMessage::read(&mut stream, &mut buffer) {
            let Ok(work) = request.body.parse::<Work>() else {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nFennelpin-Host-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                stream.write_all(text.as_bytes())?;
                continue;
            };
            let runs = self.recorder.record_run(&work.id, &self.id);
            self.stop.wait(work.delay);
            if runs == 1 && work.id.ends_with(BREAKING_SUFFIX) {
                return self.break_off(&mut stream, &request, &work);
            }
            if work.events == 0 {
                self.respond(&mut stream, &request, &work)?;
            } else {
                self.respond_with_stream(&mut stream, &request, &work)?;
                if work.framing == StreamFraming::CloseDelimited {
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// The head's first lines.
    fn head(&self, request: &HttpMessage) -> String {
        let id = request.field("fennelpin-attempt-id").unwrap_or("none");
        format!(
            "HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: {id}\r\nFennelpin-Host-Seal: {}.{id}\r\n",
            self.id
        )
    }

    fn respond(
        &self,
        stream: &mut TcpStream,
        request: &HttpMessage,
        work: &Work,
    ) -> std::io::Result<()> {
        let (head, body) = (self.head(request), work.to_string());
        let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(text.as_bytes())
    }

    /// Writes the beginning of a response; the connection ends with it.
    fn break_off(
        &self,
        stream: &mut TcpStream,
        request: &HttpMessage,
        work: &Work,
    ) -> std::io::Result<()> {
        let head = self.head(request);
        let text = if work.events == 0 {
            format!("{head}Content-Length: 1000\r\n\r\nhalf")
        } else {
            let framing = work.framing;
            let start = match framing {
                StreamFraming::Chunked => event(1),
                // Between two events nobody could tell this from a complete stream.
                StreamFraming::CloseDelimited => event(1) + "id: 2\nda",
            };
            format!("{head}{}{}", framing.head_end(), framing.frame(&start))
        };
        stream.write_all(text.as_bytes())
    }

    fn respond_with_stream(
        &self,
        stream: &mut TcpStream,
        request: &HttpMessage,
        work: &Work,
    ) -> std::io::Result<()> {
        let head = self.head(request);
        let framing = work.framing;
        stream.write_all((head + framing.head_end()).as_bytes())?;
        let resumed_after = request
            .field("last-event-id")
            .map_or(0, |id| id.parse().unwrap_or(0));
        for id in resumed_after + 1..=work.events {
            stream.write_all(framing.frame(&event(id)).as_bytes())?;
            self.stop.wait(work.gap);
        }
        match framing {
            StreamFraming::Chunked => stream.write_all(b"0\r\n\r\n"),
            StreamFraming::CloseDelimited => stream.shutdown(std::net::Shutdown::Write),
        }
    }
}
