//! Writing: calls and short frames go through the ring into the socket.

use super::connection::{Link, Out, Sending};
use super::CANCEL_REPORT_DELAY;
use crate::core::PartRequest;
use crate::interface::Outcome;
use crate::net::frames;
use bytes::Buf;
use std::collections::HashSet;
use std::time::Instant;

impl Link {
    /// Moves what waits into the ring and the ring into the socket, as far as both go.
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
            // Short frames go between calls, never into one.
            while self.sending.is_none()
                && self
                    .small
                    .front()
                    .is_some_and(|f| f.len() <= self.conn.output.free())
            {
                let frame = self.small.pop_front().unwrap_or_default();
                self.conn.output.put(&frame);
            }
            self.conn.push()?;
            if !self.conn.output.is_empty() {
                return Ok(());
            }
            match self.sending.take() {
                Some(s) if s.pieces.is_empty() => self.written(s),
                Some(s) => self.sending = Some(s),
                None if !self.small.is_empty() => {}
                None => {
                    // All that was to be withdrawn has been: in a moment the core may send those parts again.
                    let heard = Instant::now() + CANCEL_REPORT_DELAY;
                    self.left.extend(
                        self.leaving
                            .drain(..)
                            .map(|(p, n, outcome)| (heard, p, n, outcome)),
                    );
                    if !self.begin_call() {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// A call starts only once the ring is empty, so that it does not wait there past its time.
    fn begin_call(&mut self) -> bool {
        let there = self.out.len() + self.gone;
        let room = |c: &Vec<PartRequest>| there == 0 || there + c.len() <= self.setup.streams;
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
        // Two queries by one name would share their parts' names: the answers could not be told apart, and
        // one of the two would wait for ever.
        let mut names: HashSet<String> = HashSet::new();
        parts.retain(|p| {
            let id = frames::part_id(p);
            let fresh = !self.out.contains_key(&id) && names.insert(id);
            if !fresh {
                self.setup.ended(p.part, p.attempt, Outcome::NotSent);
            }
            fresh
        });
        if !parts.is_empty() {
            let pieces = frames::call(&parts, now).into();
            self.sending = Some(Sending {
                parts,
                pieces,
                given_up: Vec::new(),
            });
        }
        true
    }

    /// The last byte of a call is out.
    fn written(&mut self, sending: Sending) {
        let now = Instant::now();
        self.used = now;
        self.setup.counters.add("tries", sending.parts.len() as u64);
        for p in &sending.parts {
            let out = Out {
                part: p.part,
                attempt: p.attempt,
                sent: now,
            };
            self.out.insert(frames::part_id(p), out);
        }
        self.setup
            .load
            .set_waits(self.setup.load.waits().or(Some(now)));
        for (part, attempt, outcome) in sending.given_up {
            self.cancel(part, attempt, outcome);
        }
    }
}
