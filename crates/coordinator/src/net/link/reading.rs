//! Reading: answers are matched with what is out, and what is left at the end is reported.

use super::connection::{remember, Link, Out, REMEMBERED};
use crate::core::{AttemptEnd, CoreMessage};
use crate::interface::Outcome;
use crate::net::frames::{self, Reply};
use bytes::Bytes;
use std::sync::atomic::Ordering;
use std::time::Instant;

impl Link {
    pub(super) fn probed(&self, outcome: Outcome, report: Option<crate::LoadReport>) {
        let _ = self
            .setup
            .core
            .send(CoreMessage::ProbeEnded(self.setup.server, outcome, report));
    }

    pub(super) fn read(&mut self) -> Result<(), (&'static str, String)> {
        let now = Instant::now();
        (self.heard, self.used) = (now, now);
        self.partial.extend_from_slice(self.conn.input.contiguous());
        self.conn.input.consume(self.conn.input.len());
        loop {
            match frames::next(&mut self.partial) {
                Ok(None) => break,
                Ok(Some(Reply::Part {
                    id,
                    outcome,
                    value,
                    report,
                })) => {
                    if let Some(Out {
                        part,
                        attempt,
                        sent,
                    }) = self.out.remove(&id)
                    {
                        self.setup.stall_detector.record_answer(sent, now);
                        // A copy of its own: a slice would keep the whole buffer it came in.
                        let value =
                            (outcome == Outcome::Ok).then(|| Bytes::copy_from_slice(&value));
                        self.setup.report(AttemptEnd {
                            part,
                            attempt,
                            outcome,
                            value,
                            report,
                        });
                        remember(&mut self.answered, id, REMEMBERED.0);
                    } else if let Some(n) = self.given_up.iter().position(|g| *g == id) {
                        self.given_up.remove(n);
                        self.gone -= 1;
                        self.setup.load.parts.fetch_sub(1, Ordering::Relaxed);
                        self.setup.counters.inc("ended.late");
                    } else if self.answered.contains(&id) {
                        self.spoilt = true;
                    } else {
                        return Err(("unknown_part", id));
                    }
                }
                Ok(Some(Reply::Probe(outcome, report))) => match self.probes.pop_front() {
                    Some(_) => self.probed(outcome, report),
                    None => self.spoilt = true,
                },
                Ok(Some(Reply::Refused(words))) => return Err(("host_refused_frame", words)),
                // Behind the last answer that was waited for it costs nothing but the connection.
                Err(e) if self.out.is_empty() => return Err(("extra_bytes", e.to_string())),
                Err(e) => return Err(("bad_frame", e.to_string())),
            }
        }
        if self.out.is_empty() && self.probes.is_empty() && !self.partial.is_empty() {
            return Err(("extra_bytes", String::new()));
        }
        self.setup.load.silent.store(self.spoilt, Ordering::Relaxed);
        self.setup
            .load
            .set_waits(Some(now).filter(|_| !self.out.is_empty()));
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
