//! The lifecycle of an attempt.

use super::{Attempt, QueryTable};
use crate::core::message::AttemptEnd;
use crate::core::transport::{PartRequest, Transport};
use crate::interface::{Event, Outcome, RequestId, ServerId};
use bytes::Bytes;
use std::time::{Duration, Instant};

/// Time before the end of an idempotency key's window in which a part is no longer repeated, since the request still
/// has to be written.
const KEY_EXPIRY_MARGIN: Duration = Duration::from_millis(20);

impl<T: Transport> QueryTable<T> {
    /// Handles the end of an attempt: keeps its value and notifies the decision module.
    pub(super) fn attempt_ended(&mut self, mut end: AttemptEnd, now: Instant) {
        let Some(attempt) = self.attempts.remove(&(end.part, end.attempt)) else {
            return;
        };
        self.release_name(&attempt.query_name);
        self.decrement_in_flight(attempt.server);
        self.count_failed_connect(attempt.server, end.outcome);
        let size = end.value.as_ref().map_or(0, Bytes::len);
        if size > self.max_value_bytes - self.value_bytes {
            self.counters.inc("ended.no_room");
            (end.outcome, end.value) = (Outcome::Error, None);
        }
        self.timeouts
            .remove(&(attempt.times_out_at, end.part, end.attempt));
        self.counters.inc(outcome_counter(end.outcome));
        let closed = self.end_part_attempt(&mut end, size, attempt.sent_at);
        let latency = now.saturating_duration_since(attempt.sent_at);
        log::trace!(
            "ended {} {:?} {latency:?} {} {:?}",
            attempt.server.0,
            end.outcome,
            attempt.query_name,
            end.report
        );
        self.notify_router(
            now,
            Event::AttemptEnded {
                part: end.part,
                attempt: end.attempt,
                outcome: end.outcome,
                latency,
                closed,
                report: end.report,
            },
        );
    }

    fn decrement_in_flight(&mut self, server: ServerId) {
        if let Some(count) = self.in_flight.get_mut(&server) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&server);
            }
        }
    }

    /// Records the end of an attempt in its part and keeps the first value. Returns whether the part has ended.
    fn end_part_attempt(&mut self, end: &mut AttemptEnd, size: usize, sent_at: Instant) -> bool {
        let served = end.outcome == Outcome::Ok;
        let Some(part) = self.parts.get_mut(&end.part) else {
            return true;
        };
        part.last_outcome = Some(end.outcome);
        part.in_flight = false;
        if !end.outcome.never_ran() {
            let since = part
                .may_have_run_since
                .map_or(sent_at, |since| since.min(sent_at));
            part.may_have_run_since = Some(since);
        }
        if served && part.value.is_none() {
            self.value_bytes += size;
            part.value = end.value.take();
        }
        served
    }

    /// Cancels an attempt, or ends one that timed out. The transport reports the outcome once the host has been told,
    /// so that another attempt can't overlap with it.
    pub(super) fn give_up_attempt(&mut self, part: RequestId, number: u32, outcome: Outcome) {
        let attempt = self.attempts.get_mut(&(part, number));
        if let Some(attempt) = attempt.filter(|a| !a.given_up) {
            attempt.given_up = true;
            self.counters.inc("sent.cancels");
            self.transport.cancel(attempt.server, part, number, outcome);
        }
    }

    /// Returns the time from which a part must not be sent again: hosts remember its idempotency key for a window that
    /// begins with the first attempt that may have run. The decision module has checked this window, but the attempt
    /// may still have to wait for a connection.
    fn send_before(&self, id: RequestId) -> Option<Instant> {
        let part = self.parts.get(&id)?;
        let window = self.queries.get(&part.query)?.repeat_window?;
        let in_flight = (0..part.attempts)
            .filter_map(|number| self.attempts.get(&(id, number)))
            .map(|attempt| attempt.sent_at);
        let first = in_flight.chain(part.may_have_run_since).min()?;
        Some(first + window.saturating_sub(KEY_EXPIRY_MARGIN))
    }

    /// Starts an attempt and returns the request to send, or `None` if the part or its query has ended.
    pub(super) fn new_attempt(
        &mut self,
        id: RequestId,
        server: ServerId,
        timeout: Duration,
        now: Instant,
    ) -> Option<PartRequest> {
        let send_before = self.send_before(id);
        let part = self.parts.get_mut(&id)?;
        let query = self.queries.get(&part.query)?;
        let number = part.attempts;
        part.attempts += 1;
        part.in_flight = true;
        self.counters.inc(if number == 0 {
            "sent.first"
        } else {
            "sent.resends"
        });
        let times_out_at = (now + timeout).min(query.deadline);
        log::trace!(
            "send {} {}.{} n={number} for {timeout:?}",
            server.0,
            query.name,
            part.shard
        );
        let request = PartRequest {
            part: id,
            attempt: number,
            query_name: query.name.clone(),
            shard: part.shard,
            times_out_at,
            send_before,
            idempotency_key: query.idempotency_key.clone(),
            payload: query.payload.clone(),
        };
        let attempt = Attempt {
            server,
            query_name: query.name.clone(),
            sent_at: now,
            times_out_at,
            given_up: false,
        };
        *self.names_in_use.entry(query.name.clone()).or_insert(0) += 1;
        self.attempts.insert((id, number), attempt);
        *self.in_flight.entry(server).or_default() += 1;
        self.timeouts.insert((times_out_at, id, number));
        Some(request)
    }
}

fn outcome_counter(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ended.served",
        Outcome::Error => "ended.error",
        Outcome::Rejected => "ended.full",
        Outcome::Timeout => "ended.timeout",
        Outcome::ConnectFailed => "ended.connect_failed",
        Outcome::Reset => "ended.reset",
        Outcome::Cancelled => "ended.cancelled",
        Outcome::NotSent => "ended.moot",
    }
}
