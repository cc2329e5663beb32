//! The frames that district hosts speak: a length of four bytes, a letter, the rest.

use crate::core::settings::load_report;
use crate::core::PartRequest;
use crate::interface::{LoadReport, Outcome};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::time::Instant;

/// Longest line before a value, and longest frame without one.
const MAX_LINE_BYTES: usize = 1024;
/// Largest frame taken from a host: its value must fit into an answer to a client.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 + MAX_LINE_BYTES;

/// What a host says.
#[derive(Debug, PartialEq)]
pub enum Reply {
    /// How a part ended.
    Part {
        /// The part's name on the wire.
        id: String,
        /// How it ended.
        outcome: Outcome,
        /// Its value; empty unless it was served.
        value: Bytes,
        /// The load report.
        report: Option<LoadReport>,
    },
    /// The answer to a probe.
    Probe(Outcome, Option<LoadReport>),
    /// The frame before could not be used.
    Refused(String),
}

/// A frame that can't be read. It costs the connection.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum FrameError {
    /// Its length is nothing or too much.
    #[error("a frame of {0} bytes")]
    Length(usize),
    /// A letter that hosts don't send.
    #[error("a frame with letter {0:?}")]
    Letter(char),
    /// The rest does not fit the letter.
    #[error("a frame '{0}' that can't be read")]
    Rest(char),
}

/// The name of a part on the wire.
pub fn part_id(part: &PartRequest) -> String {
    format!("{}.{}", part.query_name, part.shard)
}

/// A call as pieces to write: a line and the query's text for each part.
pub fn call(parts: &[PartRequest], now: Instant) -> Vec<Bytes> {
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

/// A frame with a short rest.
pub fn short(letter: u8, rest: &str) -> Bytes {
    let mut frame = BytesMut::with_capacity(5 + rest.len());
    frame.put_u32(rest.len() as u32 + 1);
    frame.put_u8(letter);
    frame.put_slice(rest.as_bytes());
    frame.freeze()
}

fn report(text: &str) -> Option<LoadReport> {
    load_report(text.split(',').filter_map(|pair| pair.split_once('=')))
}

/// Takes the next frame off the front of `bytes`, if all of it is there. One that can't become a good frame
/// is an error as soon as that shows: waiting for the rest of it would cost its part's whole time.
///
/// # Errors
/// If the bytes can not become a good frame.
pub fn next(bytes: &mut BytesMut) -> Result<Option<Reply>, FrameError> {
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
    let bad = || FrameError::Rest(char::from(letter));
    let text = |b: &[u8]| std::str::from_utf8(b).map(str::to_owned).map_err(|_| bad());
    let here = &bytes[5..bytes.len().min(4 + length)];
    let line = match letter {
        b'a' => {
            let end = here.iter().take(MAX_LINE_BYTES).position(|b| *b == b'\n');
            if end.is_none() && (here.len() >= MAX_LINE_BYTES || here.len() + 1 == length) {
                return Err(bad());
            }
            end.map(|end| answer_line(&text(&here[..end])?).ok_or_else(bad))
                .transpose()?
        }
        b'p' | b'l' | b'e' if length <= MAX_LINE_BYTES => None,
        b'p' | b'l' | b'e' => return Err(bad()),
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
            load => Reply::Probe(Outcome::Ok, report(load)),
        },
    }))
}

/// The line of an answer: the part's name, its outcome, the report, and where the value begins.
fn answer_line(line: &str) -> Option<(String, Outcome, Option<LoadReport>, usize)> {
    let fields: Vec<&str> = line.split(' ').collect();
    let [id, end_word, _score, load] = fields[..] else {
        return None;
    };
    let outcome = match end_word {
        "served" => Outcome::Ok,
        "broke" => Outcome::Error,
        "skipped" => Outcome::Rejected,
        _ => return None,
    };
    Some((id.to_owned(), outcome, report(load), line.len() + 1))
}
