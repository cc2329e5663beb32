//! What the end of an attempt teaches: latencies, load, and the health of its server.

use super::load::PEER_LOAD_LIFETIME_S;
use super::router::{seconds, Router};
use super::work::{Attempt, ClosedAttempt};
use crate::interface::{Action, Event, LoadReport, Outcome, RequestId, ServerId};

/// A reported utilization of 1 counts as so many requests.
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
        let Some(ended) = self.close_attempt(part, number, outcome, closed) else {
            return;
        };
        let attempt = &ended.attempt;
        let lost = self.count_unused_connection(attempt, outcome);
        if outcome == Outcome::Ok && self.settings.cancellation {
            self.cancel_other_attempts(part, actions);
        }
        let most_in_flight = self.track_ended(attempt.server, attempt.sent_at);
        // Neither a loss on an unused connection nor a standstill of this router says anything of
        // the server.
        let connection_at_fault = lost && self.unused_connections_drop();
        let own_delay = connection_at_fault || self.sent_before_standstill(attempt);
        if own_delay {
            self.learn_latency_without_standstill(&ended, outcome, seconds(latency));
        } else {
            self.learn_latencies(&ended, outcome, seconds(latency));
        }
        if !connection_at_fault {
            self.judge_server(attempt.server, outcome, attempt.sent_at);
            self.judge_server_for_class(attempt.server, attempt.class, outcome);
        }
        self.learn_load_from_answer(attempt.server, outcome, report, most_in_flight);
    }

    /// Whether an attempt was in flight while this router stood still, until just now.
    fn sent_before_standstill(&self, attempt: &Attempt) -> bool {
        let began = self.standstills.just_over(self.now);
        began.is_some_and(|began| attempt.sent_at < began)
    }

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

    fn learn_latencies(&mut self, ended: &ClosedAttempt, outcome: Outcome, latency: f64) {
        let attempt = &ended.attempt;
        self.learn_latency_ratio(attempt.server, outcome, latency, attempt.load_when_sent);
        // A part that timed out at a server which answers others took at least so long.
        let server_answers = self
            .servers
            .get(&attempt.server)
            .is_some_and(|s| s.last_heard_at > attempt.sent_at);
        let counts = outcome == Outcome::Ok || (outcome == Outcome::Timeout && server_answers);
        if let Some(class) = ended.query_class.filter(|_| counts) {
            self.latencies.record(class, self.now, latency);
        }
    }

    /// Learns from an answer that waited out a standstill of this router: the part took as long as
    /// the router ran meanwhile, or longer. That is little, but better than the guess of a router
    /// that has no other answers yet.
    fn learn_latency_without_standstill(
        &mut self,
        ended: &ClosedAttempt,
        outcome: Outcome,
        latency: f64,
    ) {
        let stood_still = self.standstills.time_since(ended.attempt.sent_at);
        let answered = outcome == Outcome::Ok && stood_still > 0.0;
        let Some(class) = ended.query_class.filter(|_| answered) else {
            return;
        };
        if !self.latencies.is_known(class) {
            let running = (latency - stood_still).max(0.0);
            self.latencies.record(class, self.now, running);
        }
    }

    /// Takes the load from a report, or infers it from the outcome.
    fn learn_load_from_answer(
        &mut self,
        server: ServerId,
        outcome: Outcome,
        report: Option<LoadReport>,
        most_in_flight: f64,
    ) {
        let reported = report.and_then(reported_requests);
        self.fleet_load.servers_report |= reported.is_some();
        if outcome == Outcome::Rejected {
            // A server that rejects reports no load: it counts as far busier than the mean.
            self.record_load(server, self.load_of_rejecting_server());
            return;
        }
        let peers_tell = self
            .servers
            .get(&server)
            .is_some_and(|s| self.now - s.other_load.peer_load_at < PEER_LOAD_LIFETIME_S);
        let answered = matches!(outcome, Outcome::Ok | Outcome::Error);
        let tells = reported.is_some() || !self.fleet_load.servers_report;
        if answered && !peers_tell && tells {
            self.record_load(server, (reported.unwrap_or(0.0) - most_in_flight).max(0.0));
        }
    }
}

/// The requests that a server has, by the first value of its report that says it.
fn reported_requests(report: LoadReport) -> Option<f64> {
    let by_utilization = report.utilization.map(|u| REQUESTS_AT_FULL_UTILIZATION * u);
    report.in_flight.or(report.queued).or(by_utilization)
}
