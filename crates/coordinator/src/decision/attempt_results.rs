//! Evaluation of ended attempts: latencies, load, and the health of their servers.

use super::load::PEER_LOAD_LIFETIME_S;
use super::router::{seconds, Router};
use super::work::{Attempt, EndedAttempt};
use crate::interface::{Action, Event, LoadReport, Outcome, RequestId, ServerId};

/// Number of requests that a reported utilization of 1 stands for.
const REQUESTS_AT_FULL_UTILIZATION: f64 = 2.0;

impl Router {
    /// Handles [`Event::AttemptEnded`].
    pub(super) fn attempt_ended(&mut self, event: Event, actions: &mut Vec<Action>) {
        let Event::AttemptEnded {
            part,
            attempt: number,
            outcome,
            latency,
            closed,
            report,
        } = event
        else {
            return;
        };
        let Some(ended) = self.end_attempt(part, number, outcome, closed) else {
            return;
        };
        let attempt = &ended.attempt;
        let lost_on_idle_connection = self.count_idle_connection_outcome(attempt, outcome);
        if outcome == Outcome::Ok && self.settings.cancellation {
            self.cancel_other_attempts(part, actions);
        }
        let peak_in_flight = self.track_ended(attempt.server, attempt.sent_at);
        // Neither a loss on an idle connection nor a pause of this router is evidence against the
        // server.
        let idle_connection_at_fault =
            lost_on_idle_connection && self.idle_connections_are_dropped();
        let delayed_by_router = idle_connection_at_fault || self.sent_before_pause(attempt);
        if delayed_by_router {
            self.record_latency_without_pause(&ended, outcome, seconds(latency));
        } else {
            self.record_latencies(&ended, outcome, seconds(latency));
        }
        if !idle_connection_at_fault {
            self.update_server_health(attempt.server, outcome, attempt.sent_at);
            self.update_class_health(attempt.server, attempt.class, outcome);
        }
        self.update_load_from_answer(attempt.server, outcome, report, peak_in_flight);
    }

    /// Whether an attempt was in flight during a pause of this router that has just ended.
    fn sent_before_pause(&self, attempt: &Attempt) -> bool {
        let pause_began_at = self.pauses.began_at_if_catching_up(self.now);
        pause_began_at.is_some_and(|pause_began_at| attempt.sent_at < pause_began_at)
    }

    /// Cancels the attempts at a part that are still in flight.
    fn cancel_other_attempts(&self, part: RequestId, actions: &mut Vec<Action>) {
        let attempts = self
            .parts
            .get(&part)
            .map_or(&[][..], |p| p.attempts.as_slice());
        for (number, _) in attempts.iter().enumerate().filter(|(_, a)| a.in_flight) {
            actions.push(Action::Cancel {
                part,
                attempt: number as u32,
            });
        }
    }

    /// Records the latency of an ended attempt.
    fn record_latencies(&mut self, ended: &EndedAttempt, outcome: Outcome, latency: f64) {
        let attempt = &ended.attempt;
        self.update_latency_ratio(attempt.server, outcome, latency, attempt.load_when_sent);
        // A part that timed out at a server which answers others took at least this long.
        let server_answers = self
            .servers
            .get(&attempt.server)
            .is_some_and(|s| s.last_answered_at > attempt.sent_at);
        let is_sample = outcome == Outcome::Ok || (outcome == Outcome::Timeout && server_answers);
        if let Some(class) = ended.query_class.filter(|_| is_sample) {
            self.latencies.record(class, self.now, latency);
        }
    }

    /// Records the latency of an answer that was delayed by a pause of this router. The part took
    /// at least the time that the router was running meanwhile. That is a low estimate, but better
    /// than the default of a router that has no samples yet.
    fn record_latency_without_pause(
        &mut self,
        ended: &EndedAttempt,
        outcome: Outcome,
        latency: f64,
    ) {
        let paused = self.pauses.paused_time_since(ended.attempt.sent_at);
        let answered = outcome == Outcome::Ok && paused > 0.0;
        let Some(class) = ended.query_class.filter(|_| answered) else {
            return;
        };
        if !self.latencies.is_known(class) {
            let running_time = (latency - paused).max(0.0);
            self.latencies.record(class, self.now, running_time);
        }
    }

    /// Records the load from a report, or derives it from the outcome.
    fn update_load_from_answer(
        &mut self,
        server: ServerId,
        outcome: Outcome,
        report: Option<LoadReport>,
        peak_in_flight: f64,
    ) {
        let reported = report.and_then(reported_requests);
        self.fleet_load.servers_report |= reported.is_some();
        if outcome == Outcome::Rejected {
            // A server that rejects reports no load; it counts as far busier than the mean.
            self.record_load(server, self.load_of_rejecting_server());
            return;
        }
        let peer_load_is_fresh = self
            .servers
            .get(&server)
            .is_some_and(|s| self.now - s.external_load.peer_load_at < PEER_LOAD_LIFETIME_S);
        let answered = matches!(outcome, Outcome::Ok | Outcome::Error);
        let load_is_known = reported.is_some() || !self.fleet_load.servers_report;
        if answered && !peer_load_is_fresh && load_is_known {
            self.record_load(server, (reported.unwrap_or(0.0) - peak_in_flight).max(0.0));
        }
    }
}

/// Returns the number of requests at a server, from the first value of its report that tells it.
fn reported_requests(report: LoadReport) -> Option<f64> {
    let by_utilization = report.utilization.map(|u| REQUESTS_AT_FULL_UTILIZATION * u);
    report.in_flight.or(report.queued).or(by_utilization)
}
