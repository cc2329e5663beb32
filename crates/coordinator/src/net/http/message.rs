//! What messages are made of: the errors of reading them, headers, a request and an answer.

use crate::counters::End;
use bytes::Bytes;
use http1::{Fields, ParseError};
use std::time::{Duration, Instant};

/// Why a message can't be read.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The other side ended the connection between messages.
    #[error("closed")]
    Closed,
    /// The other side ended the connection within a message.
    #[error("closed within a message")]
    Cut,
    /// Not HTTP.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// The head is too large.
    #[error("head too large")]
    HeadTooLarge,
    /// The body is too large.
    #[error("body too large")]
    BodyTooLarge,
    /// It took too long.
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
    /// The reason code in the log.
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

/// Headers of a message; all of them are text.
#[derive(Debug, Default, Clone)]
pub struct Headers(pub(super) Fields);

impl Headers {
    pub(super) fn of(fields: Fields) -> Result<Self, HttpError> {
        let text = fields
            .iter()
            .all(|(_, value)| std::str::from_utf8(value).is_ok());
        text.then_some(Self(fields))
            .ok_or(HttpError::Malformed("header"))
    }

    /// The value of the first header of this name, whatever its case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.get_str(name)
    }
}

/// A request with its whole body.
#[derive(Debug)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Its path without the query.
    pub path: String,
    /// The query after the '?'.
    pub query: String,
    /// Its headers.
    pub headers: Headers,
    /// Its body.
    pub body: Bytes,
    /// When its last byte came.
    pub arrived: Instant,
    /// When it must be answered at the latest, whatever its client says, as the process ends.
    pub latest: Option<Instant>,
}

impl Request {
    /// The time that is left for it, where the process is about to end.
    pub fn left(&self) -> Option<Duration> {
        self.latest
            .map(|l| l.saturating_duration_since(self.arrived))
    }
}

/// An answer; how it is framed is settled when it is written.
#[derive(Debug, Clone)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
    /// The requests that end with it: their classes, and how. They count once it is written.
    pub ends: Vec<(usize, End)>,
}

impl Response {
    /// An answer with a JSON body.
    pub fn json(status: u16, body: impl Into<Bytes>) -> Self {
        Self::of_type("application/json", status, body.into())
    }

    /// An answer in plain text.
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

    /// A request of this class ends with it.
    pub fn ends(mut self, class: usize, end: End) -> Self {
        self.ends.push((class, end));
        self
    }

    /// Adds a header.
    pub fn with(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Says when to come back, rounded up to milliseconds.
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
