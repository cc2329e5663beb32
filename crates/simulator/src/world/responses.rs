//! Checks of what members answer clients and of what they publish to them.

use super::event::EventKind;
use super::request_log::{ClientRequest, ClientResponse, PendingRequest, RequestAttempt};
use super::state::World;
use crate::faults::FaultTrigger;
use crate::plan::ms;
use crate::seeded_bug::SeededBug;
use crate::violation::Violation;
use configuration::{Configuration, ResultCode};
use std::time::Duration;

/// After a fault has struck or healed, requests created from here on have to be answered in time.
const QUIET_AFTER_FAULT: Duration = ms(3000);
/// Longest time to a definite response while no fault strikes or heals.
const RESPONSE_TIME_LIMIT: Duration = ms(4000);
/// Drains are remembered for at least this long.
const MIN_DRAIN_RETENTION: Duration = Duration::from_secs(115);

impl World<'_> {
    /// A member answers a request. The answer is checked, whether it reaches its client or not.
    pub(super) fn response_sent(&mut self, n: usize, ticket: u64, code: ResultCode, body: &[u8]) {
        self.trace(|_| format!("request {ticket} is answered by {n} with {code:?}"));
        let Some(attempt) = self.request_log.attempts.remove(&ticket) else {
            let description = format!("an answer to request {ticket}, which is not open");
            return self.report_violation(n, Violation::new(description));
        };
        match self.check_answer(&attempt, code, body) {
            Err(violation) => self.report_violation(n, violation),
            Ok(Some(response)) => self.send_response(n, ticket, attempt, response),
            Ok(None) => {}
        }
    }

    /// Sends a response on its way, on which it may be lost or late.
    fn send_response(
        &mut self,
        n: usize,
        ticket: u64,
        attempt: RequestAttempt,
        response: ClientResponse,
    ) {
        let workload = self.workload();
        if let ClientRequest::Configure(number) = &attempt.request {
            self.check_response_time(n, *number);
        }
        if self.random_below(100) < workload.lost_response_percent {
            return;
        }
        let max_delay_us = workload.max_response_delay.as_micros() as u64;
        let delay = Duration::from_micros(self.random_below(max_delay_us + 1));
        self.request_log.attempts.insert(ticket, attempt);
        let event = EventKind::ResponseArrives { ticket, response };
        self.schedule(self.now + delay, 0, event);
    }

    /// Checks an answer against the request log; what its client learns from it, if it is definite.
    fn check_answer(
        &mut self,
        attempt: &RequestAttempt,
        code: ResultCode,
        body: &[u8],
    ) -> Result<Option<ClientResponse>, Violation> {
        if let Some(content) = attempt.content {
            return self.check_configuration_answer(content, code);
        }
        let newest = attempt.newest_at_send;
        match (&attempt.request, code) {
            (ClientRequest::Drain(host), ResultCode::Ok) => {
                self.report.acknowledged += 1;
                let drained_at = &mut self.request_log.drained_at;
                drained_at.insert(host.clone(), self.now);
                Ok(None)
            }
            (ClientRequest::Read(_), ResultCode::Ok) => self.check_read(newest, body).map(Some),
            (ClientRequest::Read(_), ResultCode::NoConfiguration) if newest > 0 => {
                let description = format!("read nothing after {newest} was acknowledged");
                Err(Violation::new(description))
            }
            (_, code) if (400..500).contains(&code.status()) => {
                Err(Violation::new(format!("rejected with {code:?}")))
            }
            _ => Ok(None),
        }
    }

    fn check_configuration_answer(
        &mut self,
        content: usize,
        code: ResultCode,
    ) -> Result<Option<ClientResponse>, Violation> {
        let is_first = !self.request_log.contents[content].accepted;
        let definite = self.request_log.record_response(self.now, content, code)?;
        if !definite {
            return Ok(None);
        }
        if code != ResultCode::Ok {
            return Ok(Some(ClientResponse::Rejected));
        }
        self.report.acknowledged += 1;
        if is_first {
            let acting = self.traced_primary.unwrap_or(0);
            self.fire_trigger(FaultTrigger::Acknowledged, acting);
        }
        Ok(Some(ClientResponse::Acknowledged))
    }

    fn check_read(&mut self, newest: u64, body: &[u8]) -> Result<ClientResponse, Violation> {
        let document = Configuration::read(body, 0)
            .map_err(|_| Violation::new("a read returned a malformed configuration"))?;
        let version = document.version;
        if version < newest {
            let description = format!("read {version} after {newest} was acknowledged");
            return Err(Violation::new(description));
        }
        self.request_log.record_in_force(&document)?;
        Ok(ClientResponse::Read(version))
    }

    /// Whether a request has to be answered in time, by when it was created.
    fn is_response_due(&self, created_at: Duration) -> bool {
        self.is_liveness_due() && created_at > self.quiet_since + QUIET_AFTER_FAULT
    }

    fn check_response_time(&mut self, n: usize, number: u64) {
        let request = self.request_log.pending.get_mut(&number);
        let Some(request) = request.filter(|request| !request.answered) else {
            return;
        };
        request.answered = true;
        let created_at = request.created_at;
        if !self.is_response_due(created_at) {
            return;
        }
        let took = self.now - created_at;
        self.report.slowest_response = self.report.slowest_response.max(took);
        if took > RESPONSE_TIME_LIMIT {
            let description = format!("a request without faults around it took {took:?}");
            self.report_violation(n, Violation::new(description));
        }
    }

    /// A request that should have been answered by now.
    pub(super) fn overdue_request(&self) -> Option<Violation> {
        let is_overdue = |request: &&PendingRequest| {
            !request.answered
                && self.is_response_due(request.created_at)
                && self.now > request.created_at + RESPONSE_TIME_LIMIT
        };
        let request = self.request_log.pending.values().find(is_overdue)?;
        let content = &self.request_log.contents[request.content];
        Some(Violation::new(format!(
            "no definite response since {:?} to {} on {}",
            request.created_at, content.version, content.base
        )))
    }

    /// Checks the state that a primary publishes: it holds all that was acknowledged.
    pub(super) fn check_published_to_clients(
        &mut self,
        n: usize,
        index: u64,
        document: &Configuration,
        drains: &[String],
    ) {
        let log = &mut self.request_log;
        let recorded = log.record_published(index, document, drains);
        if let Err(violation) = recorded.and_then(|()| log.record_in_force(document)) {
            return self.report_violation(n, violation);
        }
        let newest = self.request_log.newest;
        if document.version < newest {
            let version = document.version;
            let description = format!("{version} published after {newest} was acknowledged");
            self.report_violation(n, Violation::new(description));
        }
        let now = self.now;
        let is_lost =
            |d: &(&String, &Duration)| now < *d.1 + MIN_DRAIN_RETENTION && !drains.contains(d.0);
        if let Some((lost, _)) = self.request_log.drained_at.iter().find(is_lost) {
            let violation = Violation::new(format!("drain of {lost} lost"));
            self.report_violation(n, violation);
        }
        self.remember_published(n, document);
    }

    /// Remembers what a member published, for seeded bugs that answer reads with it.
    pub(super) fn remember_published(&mut self, n: usize, document: &Configuration) {
        if document.version > 0 && self.answers_stale_reads() {
            self.nodes[n].last_published = Some(document.to_json().into_bytes());
        }
    }

    /// What a member answers a read with under a seeded bug, without a lease.
    pub(super) fn stale_read(&self, n: usize) -> Option<Vec<u8>> {
        let published = self.nodes[n].last_published.clone();
        published.filter(|_| self.answers_stale_reads())
    }

    fn answers_stale_reads(&self) -> bool {
        matches!(
            self.plan.seeded_bug,
            SeededBug::ReadsAnywhere | SeededBug::RestoredAsFresh
        )
    }
}
