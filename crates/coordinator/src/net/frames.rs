//! Frame protocol of the district hosts: a length of four bytes, a letter for the kind of frame, and its content.

use crate::core::settings::load_report;
use crate::core::PartRequest;
use crate::interface::{LoadReport, Outcome};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::time::Instant;

/// Longest line before a value, and longest frame without a value, in bytes.
const MAX_LINE_BYTES: usize = 1024;
/// Largest frame accepted from a host, in bytes: its value must fit into an answer to a client.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 + MAX_LINE_BYTES;

/// A frame from a host.
#[derive(Debug, PartialEq)]
pub enum Reply {
    /// The end of a part.
    Part {
        /// The name of the part on the wire.
        id: String,
        /// The outcome of the part.
        outcome: Outcome,
        /// The value of the part; empty unless it was served.
        value: Bytes,
        /// The host's load report, if the frame has a readable one.
        report: Option<LoadReport>,
    },
    /// The answer to a probe.
    Probe(Outcome, Option<LoadReport>),
    /// The host's refusal of an earlier frame, with its reason.
    Refused(String),
}

/// An error in a received frame. The connection has to be closed.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum FrameError {
    /// The length is 0 or over the limit.
    #[error("invalid frame length: {0} bytes")]
    Length(usize),
    /// The letter is not one that hosts send.
    #[error("unknown frame letter {0:?}")]
    Letter(char),
    /// The content does not fit the letter.
    #[error("malformed content of a frame with letter '{0}'")]
    Content(char),
}

/// Returns the name of a part on the wire.
pub fn part_id(part: &PartRequest) -> String {
    format!("{}.{}", part.query_name, part.shard)
}

/// Encodes a call as pieces to write: the frame's head, then a line and the query's payload for each part.
pub fn encode_call(parts: &[PartRequest], now: Instant) -> Vec<Bytes> {
    let mut pieces = vec![Bytes::new()];
    let mut length = 1;
    for p in parts {
        let wait = p
            .times_out_at
            .saturating_duration_since(now)
            .as_millis()
            .max(1);
        let key = p
            .idempotency_key
            .as_ref()
            .map_or(String::new(), |k| format!(",k={k}"));
        let line = format!(
            "{} {} d={wait}{key} {}\n",
            part_id(p),
            p.shard,
            p.payload.len()
        );
        length += line.len() + p.payload.len();
        pieces.extend([Bytes::from(line), p.payload.clone()]);
    }
    let mut head = BytesMut::with_capacity(5);
    head.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
    head.put_u8(b'q');
    pieces[0] = head.freeze();
    pieces
}

/// Encodes a frame with short content.
pub fn encode_short(letter: u8, rest: &str) -> Bytes {
    let mut frame = BytesMut::with_capacity(5 + rest.len());
    frame.put_u32(rest.len() as u32 + 1);
    frame.put_u8(letter);
    frame.put_slice(rest.as_bytes());
    frame.freeze()
}

fn parse_report(text: &str) -> Option<LoadReport> {
    load_report(text.split(',').filter_map(|pair| pair.split_once('=')))
}

/// Decodes the next frame and removes it from the front of `bytes`; `None` if it is incomplete. A frame that can't
/// become valid is an error as soon as that is known: waiting for the rest would use up its part's whole timeout.
///
/// # Errors
/// If the bytes can't become a valid frame.
pub fn decode_next(bytes: &mut BytesMut) -> Result<Option<Reply>, FrameError> {
    let Some(length) = bytes
        .first_chunk::<4>()
        .map(|n| u32::from_be_bytes(*n) as usize)
    else {
        return Ok(None);
    };
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err(FrameError::Length(length));
    }
    let Some(letter) = bytes.get(4).copied() else {
        return Ok(None);
    };
    let malformed = || FrameError::Content(char::from(letter));
    let text = |b: &[u8]| {
        std::str::from_utf8(b)
            .map(str::to_owned)
            .map_err(|_| malformed())
    };
    let received = &bytes[5..bytes.len().min(4 + length)];
    let line = match letter {
        b'a' => {
            let end = received
                .iter()
                .take(MAX_LINE_BYTES)
                .position(|b| *b == b'\n');
            if end.is_none() && (received.len() >= MAX_LINE_BYTES || received.len() + 1 == length) {
                return Err(malformed());
            }
            end.map(|end| parse_answer_line(&text(&received[..end])?).ok_or_else(malformed))
                .transpose()?
        }
        b'p' | b'l' | b'e' if length <= MAX_LINE_BYTES => None,
        b'p' | b'l' | b'e' => return Err(malformed()),
        other => return Err(FrameError::Letter(char::from(other))),
    };
    if bytes.len() < 4 + length {
        return Ok(None);
    }
    bytes.advance(5);
    let mut rest = bytes.split_to(length - 1).freeze();
    Ok(Some(match (letter, line) {
        (b'a', Some((id, outcome, report, end))) => {
            rest.advance(end);
            Reply::Part {
                id,
                outcome,
                value: rest,
                report,
            }
        }
        (b'e', _) => Reply::Refused(text(&rest)?),
        _ => match text(&rest)?.as_str() {
            "broke" => Reply::Probe(Outcome::Error, None),
            "served" => Reply::Probe(Outcome::Ok, None),
            load => Reply::Probe(Outcome::Ok, parse_report(load)),
        },
    }))
}

/// Parses the line of an answer. Returns the part's name, its outcome, the load report, and the offset of the value.
fn parse_answer_line(line: &str) -> Option<(String, Outcome, Option<LoadReport>, usize)> {
    let fields: Vec<&str> = line.split(' ').collect();
    let [id, result, _score, load] = fields[..] else {
        return None;
    };
    let outcome = match result {
        "served" => Outcome::Ok,
        "broke" => Outcome::Error,
        "skipped" => Outcome::Rejected,
        _ => return None,
    };
    Some((id.to_owned(), outcome, parse_report(load), line.len() + 1))
}
