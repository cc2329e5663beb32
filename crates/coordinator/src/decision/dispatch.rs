//! Sending the parts of an admitted query. Several parts share a call if calls have overhead.

use super::arrival::RATE_TIME_CONSTANT_S;
use super::crash_suspects::CrashPrecaution;
use super::eligibility::Eligibility;
use super::router::{action_duration, Router};
use super::work::{Attempt, AttemptKind, Query};
use crate::interface::{Action, ClassId, Idempotency, RequestId, ServerId};

/// Shortest timeout of an attempt.
const MIN_TIMEOUT_S: f64 = 0.001;

impl Router {
    /// Sends a part to a server. `opens_call` is false for a part that shares the call of another
    /// one.
    pub(super) fn send_parts(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let query = &self.queries[&id];
        let class = query.class;
        let wanted = self.wanted_parts(query);
        let open = query
            .parts
            .iter()
            .copied()
            .filter(|p| self.parts[p].is_open());
        let (mut unsent, sent): (Vec<RequestId>, Vec<RequestId>) =
            open.partition(|p| self.parts[p].attempts.is_empty());
        for part in sent {
            self.retry_or_hedge(part, class, actions);
        }
        unsent.retain(|p| wanted.contains(p));
        unsent.sort_by_key(|p| self.parts[p].shard);
        let mut max_per_call = self.max_parts_per_call(class);
        if let Some(precaution) = self.crash_precaution(&self.queries[&id]) {
            let index = self.random_index(unsent.len());
            unsent = match precaution {
                CrashPrecaution::SendOnePart => unsent.get(index).copied().into_iter().collect(),
                CrashPrecaution::Wait => Vec::new(),
            };
            max_per_call = 1;
        }
        self.send_first_attempts(unsent, class, max_per_call, actions);
    }

    /// Sends parts for the first time, up to `max_per_call` of them in one call.
    fn send_first_attempts(
        &mut self,
        mut unsent: Vec<RequestId>,
        class: ClassId,
        max_per_call: usize,
        actions: &mut Vec<Action>,
    ) {
        while !unsent.is_empty() {
            let part = unsent.remove(0);
            let shards: Vec<u32> = if max_per_call > 1 {
                unsent.iter().map(|p| self.parts[p].shard).collect()
            } else {
                Vec::new()
            };
            let picked_server = self.pick_server(part, AttemptKind::FirstOrRetry, &shards);
            let Some(server) = picked_server else {
                continue;
            };
            self.send(part, class, server, true, actions);
            let piggybacked: Vec<RequestId> = unsent
                .iter()
                .copied()
                .filter(|p| self.holds_shard(&self.servers[&server], self.parts[p].shard))
                .take(max_per_call - 1)
                .collect();
            for part in piggybacked {
                let eligibility = self.eligibility(&self.servers[&server], class);
                if eligibility != Some(Eligibility::Healthy) {
                    break;
                }
                unsent.retain(|p| *p != part);
                self.send(part, class, server, false, actions);
            }
        }
    }

    /// Sends a part to a server. `opens_call` is false for a part that shares the call of another
    /// one.
    pub(super) fn send(
        &mut self,
        part_id: RequestId,
        class: ClassId,
        server_id: ServerId,
        opens_call: bool,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let query = self
            .parts
            .get(&part_id)
            .and_then(|p| self.queries.get(&p.query));
        let (Some(query), Some(server)) = (query, self.servers.get(&server_id)) else {
            return;
        };
        let timeout = self.attempt_timeout(query);
        let load_when_sent = self.reported_load(server);
        let slot_interval = self.slot_interval(server);
        let idle_connections_dropped = self.idle_connections_are_dropped();
        let connection_idle = self.connection_is_idle(server);
        if connection_idle && idle_connections_dropped && server.last_sent_at < now {
            actions.push(Action::CloseIdleConnections { server: server_id });
        }
        self.consume_idle_queue_entry(server_id, opens_call);
        if let Some(server) = self.servers.get_mut(&server_id) {
            server.last_sent_at = now;
            // One unused slot may be used later.
            server.warm_up.last_slot_at =
                (server.warm_up.last_slot_at + slot_interval).max(now - slot_interval);
        }
        self.postpone_class_probe(server_id, class);
        self.add_attempt(
            part_id,
            Attempt {
                server: server_id,
                class,
                sent_at: now,
                load_when_sent,
                on_idle_connection: connection_idle && !idle_connections_dropped,
                in_flight: true,
                connection_broke: false,
                may_have_run: true,
            },
        );
        actions.push(Action::Send {
            part: part_id,
            server: server_id,
            timeout: action_duration(timeout.max(MIN_TIMEOUT_S)),
        });
    }

    fn add_attempt(&mut self, part_id: RequestId, attempt: Attempt) {
        let (now, server) = (self.now, attempt.server);
        let Some(part) = self.parts.get_mut(&part_id) else {
            return;
        };
        if !part.attempts.is_empty() {
            self.retry_window.retries.add(now);
        }
        part.attempts.push(attempt);
        self.send_rate.add(now, RATE_TIME_CONSTANT_S);
        self.track_sent(server);
    }

    /// Returns the timeout of an attempt, in seconds. It covers the time in which an answer is
    /// useful, so that servers can drop overdue work. Where a part may not have two attempts in
    /// flight it is at most the stall timeout, because a retry can only follow the end of the
    /// attempt.
    fn attempt_timeout(&self, query: &Query) -> f64 {
        let class = self.class(query.class);
        let useful_until = query.deadline_at.min(if class.late_value > 0.0 {
            f64::MAX
        } else {
            query.target_at
        });
        let may_outlast_stall =
            self.settings.hedging || class.idempotency == Idempotency::NotIdempotent;
        if may_outlast_stall {
            useful_until - self.now
        } else {
            (useful_until - self.now).min(self.stall_timeout())
        }
    }
}
