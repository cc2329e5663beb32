//! HTTP messages: headers, requests, responses and the errors of reading them.

use crate::counters::End;
use bytes::Bytes;
use http1::{Fields, ParseError};
use std::time::{Duration, Instant};

/// An error while reading a message.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The peer closed the connection between messages.
    #[error("closed")]
    Closed,
    /// The peer closed the connection within a message.
    #[error("closed within a message")]
    Cut,
    /// The input is not valid HTTP; names the invalid element.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// The head is larger than allowed.
    #[error("head too large")]
    HeadTooLarge,
    /// The body is larger than allowed.
    #[error("body too large")]
    BodyTooLarge,
    /// The message was not complete in time.
    #[error("too slow")]
    Slow,
    /// The socket failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

impl From<ParseError> for HttpError {
    fn from(error: ParseError) -> Self {
        match error {
            ParseError::Syntax { what } => Self::Malformed(what),
            ParseError::HeadTooLarge => Self::HeadTooLarge,
            ParseError::LengthOverflow => Self::BodyTooLarge,
        }
    }
}

impl HttpError {
    /// Returns the reason code for the log.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Closed => "peer_closed",
            Self::Cut => "peer_cut",
            Self::Malformed(_) => "malformed",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::Slow => "too_slow",
            Self::Io(_) => "io_error",
        }
    }

    /// Returns the status of the response to the client; `None` if no response can be sent.
    pub(super) fn status(&self) -> Option<u16> {
        match self {
            Self::Malformed(_) => Some(400),
            Self::HeadTooLarge => Some(431),
            Self::BodyTooLarge => Some(413),
            Self::Slow => Some(408),
            Self::Closed | Self::Cut | Self::Io(_) => None,
        }
    }
}

/// Headers of a message, of which all values are UTF-8.
#[derive(Debug, Default, Clone)]
pub struct Headers(pub(super) Fields);

impl Headers {
    pub(super) fn from_fields(fields: Fields) -> Result<Self, HttpError> {
        let text = fields
            .iter()
            .all(|(_, value)| std::str::from_utf8(value).is_ok());
        text.then_some(Self(fields))
            .ok_or(HttpError::Malformed("header"))
    }

    /// Returns the value of the first header with this name, ignoring case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.get_str(name)
    }
}

/// A request with its complete body.
#[derive(Debug)]
pub struct Request {
    /// The request method.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// The query after the '?', or an empty string.
    pub query: String,
    /// The request's headers.
    pub headers: Headers,
    /// The request's body.
    pub body: Bytes,
    /// The time at which the last byte arrived.
    pub arrived: Instant,
    /// The time by which it must be answered because the process ends then; `None` if the process is not stopping.
    pub latest: Option<Instant>,
}

impl Request {
    /// Returns the time for the answer, counted from the arrival; `None` if the process is not stopping.
    pub fn left(&self) -> Option<Duration> {
        self.latest
            .map(|l| l.saturating_duration_since(self.arrived))
    }
}

/// A response. Its framing headers are added when it is written.
#[derive(Debug, Clone)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Headers besides those of the framing.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
    /// The class and result of each request that ends with this response. They are counted once it is written.
    pub ends: Vec<(usize, End)>,
}

impl Response {
    /// Creates a response with a JSON body.
    pub fn json(status: u16, body: impl Into<Bytes>) -> Self {
        Self::of_type("application/json", status, body.into())
    }

    /// Creates a response in plain text.
    pub fn text(status: u16, body: impl Into<Bytes>) -> Self {
        Self::of_type("text/plain", status, body.into())
    }

    fn of_type(kind: &str, status: u16, body: Bytes) -> Self {
        Self {
            status,
            headers: vec![("Content-Type", kind.into())],
            body,
            ends: Vec::new(),
        }
    }

    /// Adds a request of this class that ends with the response.
    pub fn ends(mut self, class: usize, end: End) -> Self {
        self.ends.push((class, end));
        self
    }

    /// Adds a header.
    pub fn with(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Adds a `Retry-After` header in seconds, with three decimal places, if `after` is set.
    pub fn retry_after(self, after: Option<Duration>) -> Self {
        match after {
            Some(d) => self.with("Retry-After", format!("{:.3}", d.as_secs_f64())),
            None => self,
        }
    }

    pub(super) fn head(&self, close: bool) -> String {
        let reason = http1::reason_phrase(self.status);
        let mut head = format!(
            "HTTP/1.1 {} {reason}\r\nContent-Length: {}\r\n",
            self.status,
            self.body.len()
        );
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(if close {
            "Connection: close\r\n\r\n"
        } else {
            "\r\n"
        });
        head
    }
}
