//! An attempt from its start to its end.

use super::{
    Attempt, Bytes, CallPart, Duration, Ended, Event, Instant, Outcome, RequestId, ServerId, Table,
    Transport,
};

impl<T: Transport> Table<T> {
    pub(super) fn on_ended(&mut self, mut e: Ended, now: Instant) {
        let Some(attempt) = self.attempts.remove(&(e.part, e.attempt)) else {
            return;
        };
        self.release_name(&attempt.name);
        if let Some(n) = self.out.get_mut(&attempt.server) {
            *n -= 1;
            if *n == 0 {
                self.out.remove(&attempt.server);
            }
        }
        self.hear(attempt.server, e.outcome);
        let size = e.value.as_ref().map_or(0, Bytes::len);
        if size > self.most_held - self.held {
            self.counters.inc("ended.no_room");
            (e.outcome, e.value) = (Outcome::Error, None);
        }
        self.timeouts.remove(&(attempt.give_up, e.part, e.attempt));
        self.counters.inc(match e.outcome {
            Outcome::Ok => "ended.served",
            Outcome::Error => "ended.error",
            Outcome::Rejected => "ended.full",
            Outcome::Timeout => "ended.timeout",
            Outcome::ConnectFailed => "ended.connect_failed",
            Outcome::Reset => "ended.reset",
            Outcome::Cancelled => "ended.cancelled",
            Outcome::NotSent => "ended.moot",
        });
        let part = self.parts.get_mut(&e.part);
        let closed = e.outcome == Outcome::Ok || part.is_none();
        if let Some(part) = part {
            part.last = Some(e.outcome);
            part.out = false;
            if e.outcome == Outcome::Ok && part.value.is_none() {
                self.held += size;
                part.value = e.value;
            }
        }
        let latency = now.saturating_duration_since(attempt.sent);
        log::trace!(
            "ended {} {:?} {latency:?} {} {:?}",
            attempt.server.0,
            e.outcome,
            attempt.name,
            e.report
        );
        let (part, attempt, outcome, report) = (e.part, e.attempt, e.outcome, e.report);
        self.tell(
            now,
            Event::AttemptEnded {
                part,
                attempt,
                outcome,
                latency,
                closed,
                report,
            },
        );
    }

    /// The attempt's outcome comes back once the host was told: a resend can't overlap with it.
    pub(super) fn give_up(&mut self, part: RequestId, n: u32, outcome: Outcome) {
        if let Some(a) = self.attempts.get_mut(&(part, n)).filter(|a| !a.given_up) {
            a.given_up = true;
            self.counters.inc("sent.cancels");
            self.transport.cancel(a.server, part, n, outcome);
        }
    }

    pub(super) fn new_attempt(
        &mut self,
        id: RequestId,
        server: ServerId,
        timeout: Duration,
        now: Instant,
    ) -> Option<CallPart> {
        let part = self.parts.get_mut(&id)?;
        let q = self.queries.get(&part.query)?;
        let attempt = part.attempts;
        part.attempts += 1;
        part.out = true;
        self.counters.inc(if attempt == 0 {
            "sent.first"
        } else {
            "sent.resends"
        });
        let give_up = (now + timeout).min(q.deadline);
        log::trace!(
            "send {} {}.{} n={attempt} for {timeout:?}",
            server.0,
            q.name,
            part.shard
        );
        let (name, key, payload) = (q.name.clone(), q.key.clone(), q.payload.clone());
        self.names
            .entry(name.clone())
            .and_modify(|n| *n += 1)
            .or_insert(1);
        let open = Attempt {
            server,
            name: name.clone(),
            sent: now,
            give_up,
            given_up: false,
        };
        self.attempts.insert((id, attempt), open);
        *self.out.entry(server).or_default() += 1;
        self.timeouts.insert((give_up, id, attempt));
        Some(CallPart {
            part: id,
            attempt,
            name,
            shard: part.shard,
            give_up,
            key,
            payload,
        })
    }
}
