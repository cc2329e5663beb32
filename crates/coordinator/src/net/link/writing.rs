//! Writes calls and short frames to the socket through the output buffer.

use super::connection::{InFlightPart, Link, Sending};
use super::CANCEL_REPORT_DELAY;
use crate::core::PartRequest;
use crate::interface::Outcome;
use crate::net::frames;
use bytes::Buf;
use std::collections::HashSet;
use std::time::Instant;

impl Link {
    /// Moves pending output into the buffer and from there into the socket, as far as both accept it.
    pub(super) fn write(&mut self) -> std::io::Result<()> {
        loop {
            if let Some(s) = self.sending.as_mut() {
                while let Some(piece) = s.pieces.front_mut() {
                    let n = self.conn.output.put(piece);
                    piece.advance(n);
                    if !piece.is_empty() {
                        break;
                    }
                    s.pieces.pop_front();
                }
            }
            // Short frames are written between calls, never within one.
            while self.sending.is_none()
                && self
                    .short_frames
                    .front()
                    .is_some_and(|f| f.len() <= self.conn.output.free())
            {
                let frame = self.short_frames.pop_front().unwrap_or_default();
                self.conn.output.put(&frame);
            }
            self.conn.push()?;
            if !self.conn.output.is_empty() {
                return Ok(());
            }
            match self.sending.take() {
                Some(s) if s.pieces.is_empty() => self.call_written(s),
                Some(s) => self.sending = Some(s),
                None if !self.short_frames.is_empty() => {}
                None => {
                    // All pending cancellations are written; after the delay the core may send those parts again.
                    let report_at = Instant::now() + CANCEL_REPORT_DELAY;
                    self.written_cancels.extend(
                        self.pending_cancels
                            .drain(..)
                            .map(|(p, n, outcome)| (report_at, p, n, outcome)),
                    );
                    if !self.begin_call() {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Starts the next call that fits on the connection. Returns whether there was one. It is called only once the
    /// buffer is empty, so that a call does not wait there past its timeout.
    fn begin_call(&mut self) -> bool {
        let parts_on_connection = self.in_flight.len() + self.unanswered_cancels;
        let room = |c: &Vec<PartRequest>| {
            parts_on_connection == 0 || parts_on_connection + c.len() <= self.setup.streams
        };
        let Some(call) = self
            .queue
            .front()
            .is_some_and(room)
            .then(|| self.queue.pop_front())
            .flatten()
        else {
            return false;
        };
        let now = Instant::now();
        let mut parts = self.setup.sendable(call, now);
        // Two queries with the same name would have parts with the same names: their answers could not be told apart,
        // and one of the two would wait forever.
        let mut names: HashSet<String> = HashSet::new();
        parts.retain(|p| {
            let id = frames::part_id(p);
            let fresh = !self.in_flight.contains_key(&id) && names.insert(id);
            if !fresh {
                self.setup.ended(p.part, p.attempt, Outcome::NotSent);
            }
            fresh
        });
        if !parts.is_empty() {
            let pieces = frames::encode_call(&parts, now).into();
            self.sending = Some(Sending {
                parts,
                pieces,
                given_up: Vec::new(),
            });
        }
        true
    }

    /// Records that the last byte of a call was written.
    fn call_written(&mut self, sending: Sending) {
        let now = Instant::now();
        self.last_used_at = now;
        self.setup.counters.add("tries", sending.parts.len() as u64);
        for p in &sending.parts {
            let out = InFlightPart {
                part: p.part,
                attempt: p.attempt,
                sent: now,
            };
            self.in_flight.insert(frames::part_id(p), out);
        }
        self.setup
            .load
            .set_waiting_since(self.setup.load.waiting_since().or(Some(now)));
        for (part, attempt, outcome) in sending.given_up {
            self.cancel(part, attempt, outcome);
        }
    }
}
