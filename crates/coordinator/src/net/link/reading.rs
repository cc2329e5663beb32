//! Reading: answers are matched with what is out, and what is left at the end is reported.

use super::connection::{remember, Link, LinkEnd, MAX_ANSWERED_NAMES};
use crate::core::{AttemptEnd, CoreMessage};
use crate::interface::{LoadReport, Outcome};
use crate::net::frames::{self, Reply};
use bytes::Bytes;
use std::sync::atomic::Ordering;
use std::time::Instant;

impl Link {
    pub(super) fn probed(&self, outcome: Outcome, report: Option<LoadReport>) {
        let _ = self
            .setup
            .core
            .send(CoreMessage::ProbeEnded(self.setup.server, outcome, report));
    }

    /// Handles the bytes that have come.
    pub(super) fn read(&mut self) -> Result<(), LinkEnd> {
        let now = Instant::now();
        (self.heard, self.used) = (now, now);
        self.partial.extend_from_slice(self.conn.input.contiguous());
        self.conn.input.consume(self.conn.input.len());
        loop {
            match frames::next(&mut self.partial) {
                Ok(None) => break,
                Ok(Some(reply)) => self.handle_reply(reply, now)?,
                // Behind the last answer that was expected it costs nothing but the connection.
                Err(e) if self.out.is_empty() => {
                    return Err(LinkEnd::new("extra_bytes", e.to_string()))
                }
                Err(e) => return Err(LinkEnd::new("bad_frame", e.to_string())),
            }
        }
        if self.out.is_empty() && self.probes.is_empty() && !self.partial.is_empty() {
            return Err(LinkEnd::new("extra_bytes", ""));
        }
        self.setup.load.silent.store(self.spoilt, Ordering::Relaxed);
        self.setup
            .load
            .set_waits(Some(now).filter(|_| !self.out.is_empty()));
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
                    Some(_) => self.probed(outcome, report),
                    None => self.spoilt = true,
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
        if let Some(out) = self.out.remove(&id) {
            self.setup.stall_detector.record_answer(out.sent, now);
            // A copy of its own: a slice would keep the whole buffer it came in.
            let value = (outcome == Outcome::Ok).then(|| Bytes::copy_from_slice(value));
            self.setup.report(AttemptEnd {
                part: out.part,
                attempt: out.attempt,
                outcome,
                value,
                report,
            });
            remember(&mut self.answered, id, MAX_ANSWERED_NAMES);
        } else if let Some(n) = self.given_up.iter().position(|name| *name == id) {
            self.given_up.remove(n);
            self.gone -= 1;
            self.setup.load.parts.fetch_sub(1, Ordering::Relaxed);
            self.setup.counters.inc("ended.late");
        } else if self.answered.contains(&id) {
            self.spoilt = true;
        } else {
            return Err(LinkEnd::new("unknown_part", id));
        }
        Ok(())
    }

    /// The connection is over: what was written whole may have run, what was not never did.
    pub(super) fn fail_started(&mut self, outcome: Outcome) {
        for (_, o) in std::mem::take(&mut self.out) {
            self.setup.ended(o.part, o.attempt, outcome);
        }
        for p in self.sending.take().map_or(Vec::new(), |s| s.parts) {
            self.setup.ended(p.part, p.attempt, Outcome::ConnectFailed);
        }
        for (part, attempt, outcome) in std::mem::take(&mut self.leaving) {
            self.setup.ended(part, attempt, outcome);
        }
        self.tell_left(None);
        if !self.probes.is_empty() {
            self.probed(Outcome::Reset, None);
        }
    }
}
