//! The end of a turn: runs the decision module and carries out its actions.

use super::QueryTable;
use crate::core::query::Answer;
use crate::core::transport::{PartRequest, Transport};
use crate::counters::Pool;
use crate::decision::Router;
use crate::interface::{Action, Cause, Event, Outcome, RequestId, ServerId};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Interval at which the counts of the host list are published to the counters.
const HOST_COUNTS_INTERVAL: Duration = Duration::from_millis(100);

/// The parts to send in this turn, by host.
type Calls = BTreeMap<ServerId, Vec<PartRequest>>;

impl<T: Transport> QueryTable<T> {
    /// Ends the turn: runs the decision module and carries out its actions.
    pub fn end_turn(&mut self, now: Instant) {
        self.forward_peer_loads(now);
        self.notify_router(now, Event::TurnEnded);
        self.publish_load(now);
        if now >= self.publish_counts_at {
            self.publish_counts_at = now + HOST_COUNTS_INTERVAL;
            self.counters.show_pool(host_counts(&self.router));
        }
        let mut calls = Calls::new();
        for action in std::mem::take(&mut self.actions) {
            self.apply_action(action, &mut calls, now);
        }
        self.send_calls(calls);
    }

    fn forward_peer_loads(&mut self, now: Instant) {
        let at = self.clock.at(now);
        if let Some(peers) = &mut self.peers {
            peers
                .publisher
                .report_peer_loads(at, &mut self.router, &mut self.actions);
        }
    }

    fn publish_load(&mut self, now: Instant) {
        let at = self.clock.at(now);
        let Some(peers) = &mut self.peers else {
            return;
        };
        let datagram = peers
            .publisher
            .next_update(at, &self.router, &self.actions, |id| {
                self.servers.name(id.0)
            });
        if let Some(datagram) = datagram {
            // An update that finds the channel full is dropped; the next one repeats its content.
            drop(peers.datagrams.try_send(datagram));
        }
    }

    fn apply_action(&mut self, action: Action, calls: &mut Calls, now: Instant) {
        match action {
            Action::Send {
                part,
                server,
                timeout,
            } => {
                if let Some(request) = self.new_attempt(part, server, timeout, now) {
                    calls.entry(server).or_default().push(request);
                }
            }
            Action::Cancel { part, attempt } => {
                self.give_up_attempt(part, attempt, Outcome::Cancelled);
            }
            Action::Answer { query, complete } => self.answer_query(query, complete),
            Action::Reject {
                query,
                retry_after,
                cause,
            } => self.reject_query(query, retry_after, cause),
            Action::Fail {
                query,
                retry_after,
                cause,
            } => self.fail_query(query, retry_after, cause),
            Action::Probe { server } => {
                self.counters.inc("sent.probes");
                self.transport.probe(server);
            }
            Action::CloseIdleConnections { server } => {
                self.transport.close_idle_connections(server);
            }
            // Discovery is watched from the start, so list updates arrive without a subscription.
            Action::Subscribe => {}
            Action::Wake { after } => {
                self.wake_ups.insert(now + after);
            }
        }
    }

    fn reject_query(&mut self, query: RequestId, retry_after: Option<Duration>, cause: Cause) {
        self.counters.inc(match cause {
            Cause::Overloaded => "answered.refused.busy",
            Cause::NoHost => "answered.refused.no_host",
            Cause::TooLate => "answered.refused.late",
            Cause::PartsLost => "answered.refused.lost",
        });
        self.end_unserved(query, |missing| Answer::Rejected {
            retry_after,
            cause,
            missing,
        });
    }

    fn fail_query(&mut self, query: RequestId, retry_after: Option<Duration>, cause: Cause) {
        self.counters.inc(match cause {
            Cause::Overloaded | Cause::NoHost => "answered.failed.no_host",
            Cause::TooLate => "answered.failed.late",
            Cause::PartsLost => "answered.failed.lost",
        });
        self.end_unserved(query, |missing| Answer::Failed {
            retry_after,
            cause,
            missing,
        });
    }

    /// Sends the parts of this turn: one call for each host, or several if a host has too many parts for one call.
    fn send_calls(&mut self, calls: Calls) {
        for (server, parts) in calls {
            let mut parts = parts.into_iter().peekable();
            while parts.peek().is_some() {
                self.counters.inc("sent.calls");
                let call = parts.by_ref().take(self.max_parts_per_call).collect();
                self.transport.send_call(server, call);
            }
        }
    }
}

/// Returns the counts of the host list, as the status page shows them.
fn host_counts(router: &Router) -> Pool {
    let counts = router.server_counts();
    Pool {
        size: counts.listed,
        ejected: counts.ejected,
        in_service: counts.in_service,
    }
}
