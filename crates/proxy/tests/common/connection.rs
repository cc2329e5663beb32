//! Test connection that acts as a client or as a host, and reads HTTP messages.

use super::{event, ok_response};
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// One end of a TCP connection with a buffer, read message by message.
pub struct TestConnection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

/// Received HTTP message: its head as text, and its body without chunk framing.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    pub head: String,
    pub body: String,
    /// Whether the body was received completely.
    pub complete: bool,
}

impl Message {
    /// Returns the value of the first field with this name, compared case-insensitively.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (field_name, value) = line.split_once(':')?;
            field_name.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Returns the status code of a response.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).unwrap().parse().unwrap()
    }
}

impl TestConnection {
    /// Wraps a connection that is already open.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Opens a connection to an address.
    pub async fn connect(addr: SocketAddrV4) -> Self {
        let stream = TcpStream::connect(SocketAddr::V4(addr)).await.unwrap();
        stream.set_nodelay(true).unwrap();
        Self::new(stream)
    }

    /// Sends a text unchanged.
    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    async fn read_more(&mut self) -> bool {
        let mut input = [0; 4096];
        match self.stream.read(&mut input).await {
            Ok(n) if n > 0 => {
                self.buf.extend_from_slice(&input[..n]);
                true
            }
            _ => false,
        }
    }

    /// Reads to the end of the connection. Returns whether it was closed in an orderly way, not by a reset.
    pub async fn ends_without_reset(&mut self) -> bool {
        let mut rest = Vec::new();
        self.stream.read_to_end(&mut rest).await.is_ok()
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).unwrap();
    }

    /// Waits until the peer has closed the connection. What it sent before stays in the buffer.
    pub async fn wait_until_closed(&mut self) {
        while self.read_more().await {}
    }

    /// Reads until the input after the last message contains this text. Returns that input, which stays in the buffer.
    pub async fn read_until(&mut self, text: &str) -> String {
        while !String::from_utf8_lossy(&self.buf).contains(text) {
            assert!(
                self.read_more().await,
                "connection closed after {:?}",
                String::from_utf8_lossy(&self.buf)
            );
        }
        String::from_utf8_lossy(&self.buf).into_owned()
    }

    /// Reads the next head, including its blank line; `None` if the connection ends without one.
    pub async fn read_head(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let head = String::from_utf8(self.buf.drain(..end + 4).collect()).unwrap();
                return Some(head);
            }
            if !self.read_more().await {
                return None;
            }
        }
    }

    /// Reads the next message; `None` if the connection ends without one.
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
        let length = message
            .field("content-length")
            .map(|value| value.parse().unwrap());
        match length {
            Some(length) => {
                if let Some(body) = self.read_bytes(length).await {
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
            if let Some(end) = self.buf.windows(2).position(|bytes| bytes == b"\r\n") {
                return Some(String::from_utf8(self.buf.drain(..end + 2).collect()).unwrap());
            }
            if !self.read_more().await {
                return None;
            }
        }
    }

    /// Removes and returns up to `limit` buffered bytes.
    pub fn take_buffered(&mut self, limit: usize) -> Vec<u8> {
        let length = limit.min(self.buf.len());
        self.buf.drain(..length).collect()
    }

    /// Reads exactly `length` bytes.
    pub async fn read_body_bytes(&mut self, length: usize) -> String {
        self.read_bytes(length)
            .await
            .expect("connection closed too early")
    }

    async fn read_bytes(&mut self, length: usize) -> Option<String> {
        while self.buf.len() < length {
            if !self.read_more().await {
                return None;
            }
        }
        Some(String::from_utf8(self.buf.drain(..length).collect()).unwrap())
    }

    /// Reads a request and returns it with the attempt's id.
    async fn read_request(&mut self) -> (Message, String) {
        let request = self.read_message().await.expect("a request");
        let id = request.field("fennelpin-attempt-id").unwrap_or("none");
        let id = id.to_owned();
        (request, id)
    }

    /// Reads a request and sends a response with these status and field lines, the attempt's id, and a body.
    pub async fn respond(&mut self, lines: &str, body: &str) -> Message {
        let (request, id) = self.read_request().await;
        self.send(&format!(
            "HTTP/1.1 {lines}\r\nFennelpin-Attempt-Id: {id}\r\n\r\n{body}"
        ))
        .await;
        request
    }

    /// Reads a request and sends a 200 response with a body.
    pub async fn respond_ok(&mut self, body: &str) -> Message {
        let (request, id) = self.read_request().await;
        self.send(&ok_response(&id, body)).await;
        request
    }

    /// Reads a request and sends a refusal which states that the request was not executed.
    pub async fn respond_refusal(&mut self) -> Message {
        let (request, id) = self.read_request().await;
        self.send(&format!(
            "HTTP/1.1 503 Service Unavailable\r\nFennelpin-Attempt-Id: {id}\r\nFennelpin-Not-Executed: full\r\n\
             Content-Length: 0\r\n\r\n"
        ))
        .await;
        request
    }

    /// Reads a request and begins a chunked event stream with these events.
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

    /// Sends events with these ids, each as one chunk.
    pub async fn send_events(&mut self, events: &[u64]) {
        for id in events {
            let event = event(*id);
            self.send(&format!("{:x}\r\n{event}\r\n", event.len()))
                .await;
        }
    }
}
