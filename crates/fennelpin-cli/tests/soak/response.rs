//! Reads a response as a client does, and judges it by its request.

use super::harness::faulty_hosts::more;
use super::recorder::RequestEnd;
use super::stream_hosts::{event, Work};
use std::io::ErrorKind;
use std::net::TcpStream;

/// A client's connection with what was received and not yet read.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// A response, as far as it came.
pub struct Response {
    pub end: RequestEnd,
    /// Whether the response says that its connection ends with it.
    pub is_last: bool,
}

/// Why no more can be read.
enum ReadEnd {
    Closed,
    TimedOut,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads the response to the request with this body.
    pub fn read_response(&mut self, work: &Work) -> Response {
        let head = match self.read_head() {
            Ok(head) => head,
            Err(end) => {
                let nothing_came = self.buffer.is_empty();
                return Response {
                    end: request_end(&end, nothing_came),
                    is_last: true,
                };
            }
        };
        let is_last = field(&head, "connection") == Some("close");
        let end = match self.read_body(&head) {
            Ok(body) => judge(&head, &body, work),
            Err(end) => request_end(&end, false),
        };
        Response { end, is_last }
    }

    /// Whether there is something to read before anything was asked, which no response may be.
    pub fn has_unread_input(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn read_more(&mut self) -> Result<(), ReadEnd> {
        let length = self.buffer.len();
        if more(&mut self.stream, &mut self.buffer).is_some() {
            return Ok(());
        }
        debug_assert_eq!(length, self.buffer.len());
        match self.stream.peek(&mut [0]) {
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Err(ReadEnd::TimedOut)
            }
            _ => Err(ReadEnd::Closed),
        }
    }

    fn read_head(&mut self) -> Result<String, ReadEnd> {
        loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..at + 4).collect();
                return Ok(String::from_utf8_lossy(&head).to_ascii_lowercase());
            }
            self.read_more()?;
        }
    }

    fn read_body(&mut self, head: &str) -> Result<String, ReadEnd> {
        if field(head, "transfer-encoding").is_some() {
            return self.read_chunks();
        }
        let length = field(head, "content-length").and_then(|length| length.parse().ok());
        self.read_bytes(length.unwrap_or(0))
    }

    fn read_chunks(&mut self) -> Result<String, ReadEnd> {
        let mut body = String::new();
        loop {
            let line = self.read_line()?;
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return Ok(format!("{body} and then no chunk: {line:?}"));
            };
            let chunk = self.read_bytes(size + 2)?;
            if size == 0 {
                return Ok(body);
            }
            body.push_str(&chunk[..size]);
        }
    }

    fn read_line(&mut self) -> Result<String, ReadEnd> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                return self.read_bytes(at + 2);
            }
            self.read_more()?;
        }
    }

    fn read_bytes(&mut self, length: usize) -> Result<String, ReadEnd> {
        while self.buffer.len() < length {
            self.read_more()?;
        }
        let bytes: Vec<u8> = self.buffer.drain(..length).collect();
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }
}

fn request_end(end: &ReadEnd, nothing_came: bool) -> RequestEnd {
    match end {
        ReadEnd::TimedOut => RequestEnd::TimedOut,
        ReadEnd::Closed if nothing_came => RequestEnd::Unanswered,
        ReadEnd::Closed => RequestEnd::Truncated,
    }
}

fn judge(head: &str, body: &str, work: &Work) -> RequestEnd {
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    let own_id = field(head, "fennelpin-attempt-id") == Some(&work.id);
    let expected = if work.events == 0 {
        work.to_string()
    } else {
        (1..=work.events).map(event).collect()
    };
    if own_id && (status != 200 || body == expected) {
        RequestEnd::Answered { status }
    } else {
        let found = format!("{head}{body}");
        RequestEnd::Malformed { found }
    }
}

/// The value of a field of a head in lower case.
fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    fields
        .find(|field| field.0 == name)
        .map(|field| field.1.trim())
}
