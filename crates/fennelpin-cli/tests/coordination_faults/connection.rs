//! A client's connection to one member, kept open from call to call.

use fennelpin_cli::control_client::ControlAnswer;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long an application waits for one member's answer.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const BUFFER_BYTES: usize = 64 << 10;

pub struct Connection {
    to: SocketAddr,
    stream: Option<TcpStream>,
}

impl Connection {
    pub fn new(to: SocketAddr) -> Self {
        Self { to, stream: None }
    }

    /// Sends a call and waits for its answer; none if there is no whole one in time. Then the next call has a new
    /// connection.
    pub fn call(
        &mut self,
        name: &str,
        body: Option<&str>,
        timeout: Duration,
    ) -> Option<ControlAnswer> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => TcpStream::connect_timeout(&self.to, CALL_TIMEOUT).ok()?,
        };
        stream.set_read_timeout(Some(timeout)).ok()?;
        stream.write_all(&request(name, body)).ok()?;
        let text = read_answer(&mut stream)?;
        let closes = String::from_utf8_lossy(&text)
            .to_ascii_lowercase()
            .contains("connection: close");
        if !closes {
            self.stream = Some(stream);
        }
        ControlAnswer::read(&text)
    }
}

fn request(name: &str, body: Option<&str>) -> Vec<u8> {
    let method = if body.is_some() { "POST" } else { "GET" };
    let body = body.unwrap_or_default();
    let length = body.len();
    format!("{method} /fennelpin/{name} HTTP/1.1\r\nHost: control\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

fn read_answer(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut text = Vec::new();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = stream.read(&mut buffer).ok()?;
        if read == 0 {
            return None;
        }
        text.extend_from_slice(&buffer[..read]);
        if ControlAnswer::read(&text).is_some() {
            return Some(text);
        }
    }
}
