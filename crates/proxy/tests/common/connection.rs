//! One end of a connection, as a client or as a host.

use super::{event, ok_response};
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// One end of a connection, read message by message.
pub struct TestConnection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

/// A message: its head as text, and its body without chunk framing.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    pub head: String,
    pub body: String,
    /// Whether the body came to its end.
    pub complete: bool,
}

impl Message {
    /// The value of the first field of this name.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|l| {
            let (n, v) = l.split_once(':')?;
            n.eq_ignore_ascii_case(name).then(|| v.trim())
        })
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).unwrap().parse().unwrap()
    }
}

impl TestConnection {
    /// A connection that is open already.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// A new connection to this address.
    pub async fn connect(addr: SocketAddrV4) -> Self {
        let stream = TcpStream::connect(SocketAddr::V4(addr)).await.unwrap();
        stream.set_nodelay(true).unwrap();
        Self::new(stream)
    }

    /// Sends a text.
    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    async fn read_more(&mut self) -> bool {
        let mut some = [0; 4096];
        match self.stream.read(&mut some).await {
            Ok(n) if n > 0 => {
                self.buf.extend_from_slice(&some[..n]);
                true
            }
            _ => false,
        }
    }

    /// Reads to the end; whether that is an orderly close and not a reset.
    pub async fn ends_without_reset(&mut self) -> bool {
        let mut rest = Vec::new();
        self.stream.read_to_end(&mut rest).await.is_ok()
    }

    /// Resets the connection.
    pub fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).unwrap();
    }

    /// Resolves once the other side has closed. What it sent before stays buffered.
    pub async fn wait_until_closed(&mut self) {
        while self.read_more().await {}
    }

    /// Reads until what came after the last message contains this text.
    pub async fn read_until(&mut self, text: &str) -> String {
        while !String::from_utf8_lossy(&self.buf).contains(text) {
            assert!(
                self.read_more().await,
                "closed after {:?}",
                String::from_utf8_lossy(&self.buf)
            );
        }
        String::from_utf8_lossy(&self.buf).into_owned()
    }

    /// The next head, with its blank line; `None` if the connection ends without one.
    pub async fn read_head(&mut self) -> Option<String> {
        loop {
            if let Some(n) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8(self.buf.drain(..n + 4).collect()).unwrap();
                return Some(head);
            }
            if !self.read_more().await {
                return None;
            }
        }
    }

    /// The next message; `None` if the connection ends without one.
    pub async fn read_message(&mut self) -> Option<Message> {
        let head = self.read_head().await?;
        let mut message = Message {
            head,
            body: String::new(),
            complete: true,
        };
        if message.field("transfer-encoding").is_some() {
            loop {
                let line = match self.read_line().await {
                    Some(line) => line,
                    None => {
                        return Some(Message {
                            complete: false,
                            ..message
                        })
                    }
                };
                let size = usize::from_str_radix(line.trim(), 16).unwrap();
                match self.read_bytes(size + 2).await {
                    Some(data) if size > 0 => message.body.push_str(&data[..size]),
                    Some(_) => return Some(message),
                    None => {
                        return Some(Message {
                            complete: false,
                            ..message
                        })
                    }
                }
            }
        }
        let length = message.field("content-length").map(|l| l.parse().unwrap());
        match length {
            Some(n) => {
                if let Some(body) = self.read_bytes(n).await {
                    message.body = body;
                } else {
                    message.body = String::from_utf8(std::mem::take(&mut self.buf)).unwrap();
                    message.complete = false;
                }
            }
            None if message.head.starts_with("HTTP/") && message.status() != 204 => {
                self.wait_until_closed().await;
                message.body = String::from_utf8(std::mem::take(&mut self.buf)).unwrap();
            }
            None => {}
        }
        Some(message)
    }

    async fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(n) = self.buf.windows(2).position(|w| w == b"\r\n") {
                return Some(String::from_utf8(self.buf.drain(..n + 2).collect()).unwrap());
            }
            if !self.read_more().await {
                return None;
            }
        }
    }

    /// Takes up to `limit` bytes that are buffered.
    pub fn take_buffered(&mut self, limit: usize) -> Vec<u8> {
        let length = limit.min(self.buf.len());
        self.buf.drain(..length).collect()
    }

    /// The next `n` bytes.
    pub async fn read_body_bytes(&mut self, n: usize) -> String {
        self.read_bytes(n).await.expect("so many bytes")
    }

    async fn read_bytes(&mut self, n: usize) -> Option<String> {
        while self.buf.len() < n {
            if !self.read_more().await {
                return None;
            }
        }
        Some(String::from_utf8(self.buf.drain(..n).collect()).unwrap())
    }

    /// Reads a request and gives it with the attempt's id.
    async fn read_request(&mut self) -> (Message, String) {
        let request = self.read_message().await.expect("a request");
        let id = request.field("fennelpin-attempt-id").unwrap_or("none");
        let id = id.to_owned();
        (request, id)
    }

    /// Reads a request and responds with this status and field lines, the attempt's id, and a body.
    pub async fn respond(&mut self, lines: &str, body: &str) -> Message {
        let (request, id) = self.read_request().await;
        self.send(&format!(
            "HTTP/1.1 {lines}\r\nFennelpin-Attempt-Id: {id}\r\n\r\n{body}"
        ))
        .await;
        request
    }

    /// Reads a request and responds with a body.
    pub async fn respond_ok(&mut self, body: &str) -> Message {
        let (request, id) = self.read_request().await;
        self.send(&ok_response(&id, body)).await;
        request
    }

    /// Reads a request and refuses it: it was not executed.
    pub async fn respond_refusal(&mut self) -> Message {
        let (request, id) = self.read_request().await;
        self.send(&format!(
            "HTTP/1.1 503 Service Unavailable\r\nFennelpin-Attempt-Id: {id}\r\nFennelpin-Not-Executed: full\r\n\
             Content-Length: 0\r\n\r\n"
        ))
        .await;
        request
    }

    /// Reads a request and begins a chunked stream with these events.
    pub async fn start_stream(&mut self, seal: &str, events: &[u64]) -> Message {
        let (request, id) = self.read_request().await;
        self.send(&format!(
            "HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: {id}\r\nFennelpin-Host-Seal: {seal}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        ))
        .await;
        self.send_events(events).await;
        request
    }

    /// Sends events, each as a chunk.
    pub async fn send_events(&mut self, events: &[u64]) {
        for id in events {
            let event = event(*id);
            self.send(&format!("{:x}\r\n{event}\r\n", event.len()))
                .await;
        }
    }
}
