//! Reads answers, matches them with the parts in flight, and reports the remaining parts at the end of a connection.

use super::connection::{push_bounded, Link, LinkEnd, MAX_ANSWERED_NAMES};
use crate::core::{AttemptEnd, CoreMessage};
use crate::interface::{LoadReport, Outcome};
use crate::net::frames::{self, Reply};
use bytes::Bytes;
use std::sync::atomic::Ordering;
use std::time::Instant;

impl Link {
    pub(super) fn report_probe(&self, outcome: Outcome, report: Option<LoadReport>) {
        let _ = self
            .setup
            .core
            .send(CoreMessage::ProbeEnded(self.setup.server, outcome, report));
    }

    /// Handles the bytes that were received.
    pub(super) fn read(&mut self) -> Result<(), LinkEnd> {
        let now = Instant::now();
        (self.last_received_at, self.last_used_at) = (now, now);
        self.partial.extend_from_slice(self.conn.input.contiguous());
        self.conn.input.consume(self.conn.input.len());
        loop {
            match frames::decode_next(&mut self.partial) {
                Ok(None) => break,
                Ok(Some(reply)) => self.handle_reply(reply, now)?,
                // After the last expected answer, invalid input affects no part.
                Err(e) if self.in_flight.is_empty() => {
                    return Err(LinkEnd::new("extra_bytes", e.to_string()))
                }
                Err(e) => return Err(LinkEnd::new("bad_frame", e.to_string())),
            }
        }
        if self.in_flight.is_empty() && self.probes.is_empty() && !self.partial.is_empty() {
            return Err(LinkEnd::new("extra_bytes", ""));
        }
        self.setup
            .load
            .silent
            .store(self.has_unexpected_input, Ordering::Relaxed);
        self.setup
            .load
            .set_waiting_since(Some(now).filter(|_| !self.in_flight.is_empty()));
        Ok(())
    }

    fn handle_reply(&mut self, reply: Reply, now: Instant) -> Result<(), LinkEnd> {
        match reply {
            Reply::Part {
                id,
                outcome,
                value,
                report,
            } => self.handle_part(id, outcome, &value, report, now),
            Reply::Probe(outcome, report) => {
                match self.probes.pop_front() {
                    Some(_) => self.report_probe(outcome, report),
                    None => self.has_unexpected_input = true,
                }
                Ok(())
            }
            Reply::Refused(reason) => Err(LinkEnd::new("host_refused_frame", reason)),
        }
    }

    fn handle_part(
        &mut self,
        id: String,
        outcome: Outcome,
        value: &[u8],
        report: Option<LoadReport>,
        now: Instant,
    ) -> Result<(), LinkEnd> {
        if let Some(out) = self.in_flight.remove(&id) {
            self.setup.stall_detector.record_answer(out.sent, now);
            // The value is copied, since a slice would keep the whole input buffer in memory.
            let value = (outcome == Outcome::Ok).then(|| Bytes::copy_from_slice(value));
            self.setup.report(AttemptEnd {
                part: out.part,
                attempt: out.attempt,
                outcome,
                value,
                report,
            });
            push_bounded(&mut self.answered, id, MAX_ANSWERED_NAMES);
        } else if let Some(n) = self.given_up.iter().position(|name| *name == id) {
            self.given_up.remove(n);
            self.unanswered_cancels -= 1;
            self.setup.load.parts.fetch_sub(1, Ordering::Relaxed);
            self.setup.counters.inc("ended.late");
        } else if self.answered.contains(&id) {
            self.has_unexpected_input = true;
        } else {
            return Err(LinkEnd::new("unknown_part", id));
        }
        Ok(())
    }

    /// Ends all parts after the end of the connection: those that were written completely may have run, the others did
    /// not.
    pub(super) fn fail_started(&mut self, outcome: Outcome) {
        for (_, o) in std::mem::take(&mut self.in_flight) {
            self.setup.ended(o.part, o.attempt, outcome);
        }
        for p in self.sending.take().map_or(Vec::new(), |s| s.parts) {
            self.setup.ended(p.part, p.attempt, Outcome::ConnectFailed);
        }
        for (part, attempt, outcome) in std::mem::take(&mut self.pending_cancels) {
            self.setup.ended(part, attempt, outcome);
        }
        self.report_cancelled(None);
        if !self.probes.is_empty() {
            self.report_probe(Outcome::Reset, None);
        }
    }
}
