//! A modelled host's side of the frame protocol: a length of four bytes, a letter, the rest.

use crate::event_log::{reference, AttemptEnd};
use crate::host::{reset, ArrivingPart, Host};
use crate::open_attempts::{AnswerFormat, OpenAttempts};
use crate::outbox::Reply;
use crate::search;
use crate::wire_value::wire_value;
use bytes::{Buf, BufMut, BytesMut};
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Largest frame that is taken.
const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// What may wait to be written before nothing more is read.
const MAX_PENDING_OUTPUT_BYTES: usize = 1024 * 1024;

fn frame(out: &mut BytesMut, letter: u8, rest: &[&[u8]]) {
    out.put_u32(rest.iter().map(|r| r.len()).sum::<usize>() as u32 + 1);
    out.put_u8(letter);
    rest.iter().for_each(|r| out.put_slice(r));
}

fn answer(out: &mut BytesMut, id: &str, form: AnswerFormat, end: AttemptEnd, report: &str) {
    let (word, value) = match end {
        AttemptEnd::Served(v) => match form {
            AnswerFormat::Plain => ("served", wire_value(v)),
            AnswerFormat::Search(..) => ("served", search::answer(form, end).1.to_string()),
        },
        AttemptEnd::Broke => ("broke", String::new()),
        _ => ("skipped", String::new()),
    };
    frame(
        out,
        b'a',
        &[
            format!("{id} {word} 1 {report}\n").as_bytes(),
            value.as_bytes(),
        ],
    );
}

/// One part of a call's frame: the fields of its line, and its text.
pub struct CallPart<'a> {
    /// Id that the caller gave the part.
    pub id: &'a str,
    /// Shard that the part asks for.
    pub shard: u32,
    /// How long the caller waits for an answer (field `d`, milliseconds).
    pub wait: Duration,
    /// Idempotency key (field `k`).
    pub key: Option<&'a str>,
    /// The part's query.
    pub text: &'a str,
}

/// Parses the parts of a call's frame; `None` if one of them is malformed.
pub fn parse_call(mut rest: &[u8]) -> Option<Vec<CallPart<'_>>> {
    let mut all = Vec::new();
    while !rest.is_empty() {
        let end = rest.iter().position(|b| *b == b'\n')?;
        let mut fields = std::str::from_utf8(&rest[..end]).ok()?.split(' ');
        let (id, shard, list) = (fields.next()?, fields.next()?.parse().ok()?, fields.next()?);
        let length: usize = fields.next()?.parse().ok()?;
        rest = &rest[end + 1..];
        let text = std::str::from_utf8(rest.get(..length)?).ok()?;
        rest = &rest[length..];
        let entry = |k: &str| {
            list.split(',')
                .find_map(|e| e.strip_prefix(k)?.strip_prefix('='))
        };
        let wait = Duration::from_millis(entry("d")?.parse().ok()?);
        all.push(CallPart {
            id,
            shard,
            wait,
            key: entry("k"),
            text,
        });
    }
    Some(all)
}

/// Handles the frames that are whole; `None` if one can't be used, after saying so.
fn take(
    input: &mut BytesMut,
    out: &mut BytesMut,
    host: &Host,
    open: &mut OpenAttempts,
) -> Option<()> {
    while open.len() < host.conn.streams && out.len() < MAX_PENDING_OUTPUT_BYTES {
        let Some(length) = input
            .first_chunk::<4>()
            .map(|n| u32::from_be_bytes(*n) as usize)
        else {
            break;
        };
        if length == 0 || length > MAX_FRAME_BYTES {
            frame(out, b'e', &[b"length"]);
            return None;
        }
        if input.len() < 4 + length {
            break;
        }
        input.advance(4);
        let body = input.split_to(length);
        match body[0] {
            b'c' => open.withdraw(std::str::from_utf8(&body[1..]).ok()?),
            b'p' => frame(out, b'p', &[b"served"]),
            b'l' => frame(out, b'l', &[host.report().as_bytes()]),
            b'q' => take_call(&body[1..], out, host, open)?,
            _ => {
                frame(out, b'e', &[b"letter"]);
                return None;
            }
        }
    }
    Some(())
}

/// Handles the parts of a call; `None` if the call can't be read, after saying so.
fn take_call(call: &[u8], out: &mut BytesMut, host: &Host, open: &mut OpenAttempts) -> Option<()> {
    let Some(parts) = parse_call(call).filter(|parts| !parts.is_empty()) else {
        frame(out, b'e', &[b"a call that can't be read"]);
        return None;
    };
    let report = host.report();
    for (index, part) in parts.iter().enumerate() {
        let format = answer_format(part);
        let arrival = ArrivingPart {
            // The part's name is the query's, a dot and the shard.
            name: part.id.rsplit_once('.').map_or(part.id, |(name, _)| name),
            shard: part.shard,
            key: part.key,
            wait: part.wait,
            marked: reference(part.text, part.shard),
            first: index == 0,
        };
        if let (_, Some(end)) = open.arrive(part.id, format, arrival) {
            answer(out, part.id, format, end, &report);
        }
    }
    Some(())
}

/// The form of a part's answer. A search's payload is its index on one line and its body on the next.
fn answer_format(part: &CallPart) -> AnswerFormat {
    let body = part
        .text
        .split_once('\n')
        .and_then(|(_, body)| serde_json::from_str(body).ok());
    body.map_or(AnswerFormat::Plain, |body| search::form(part.shard, &body))
}

/// Serves one connection until it ends or the host's process does.
pub async fn serve(host: Rc<Host>, coordinator: u16, stream: TcpStream) {
    let mut open = OpenAttempts::new(host.clone(), coordinator);
    let mut process = host.process_run();
    let (mut input, mut out) = (
        BytesMut::with_capacity(16 * 1024),
        BytesMut::with_capacity(16 * 1024),
    );
    let outbox = open.outbox.clone();
    loop {
        if !out.is_empty() {
            match stream.try_write(&out) {
                Ok(n) => out.advance(n),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
        let reading = open.len() < host.conn.streams && out.len() < MAX_PENDING_OUTPUT_BYTES;
        tokio::select! {
            biased;
            () = process.stops() => {
                // Half-open while silent: nothing is read, written or closed until the machine is back.
                process.resets_connections().await;
                return reset(stream);
            }
            () = outbox.wait() => {
                let report = host.report();
                for reply in outbox.take() {
                    deliver(&mut out, &mut open, &reply, &report);
                }
            }
            ready = stream.writable(), if !out.is_empty() => if ready.is_err() { return },
            ready = stream.readable(), if reading => {
                if ready.is_err() { return }
                input.reserve(16 * 1024);
                match stream.try_read_buf(&mut input) {
                    Ok(0) => return,
                    Ok(_) => {}
                    Err(e) if e.kind() == ErrorKind::WouldBlock => continue,
                    Err(_) => return,
                }
            }
            () = tokio::time::sleep(host.conn.idle), if open.is_empty() && out.is_empty() => return,
        }
        if take(&mut input, &mut out, &host, &mut open).is_none() {
            let _ = stream.try_write(&out);
            return;
        }
    }
}

fn deliver(out: &mut BytesMut, open: &mut OpenAttempts, reply: &Reply, report: &str) {
    if let Some((id, form)) = open.answered(reply) {
        answer(out, &id, form, reply.end, report);
    }
}
