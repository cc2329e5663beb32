//! Several clients that configure the control plane: competing contents of one version, one content from two clients,
//! requests sent again after a lost, late or missing response.

use super::event::EventKind;
use super::request_log::{ClientRequest, ClientResponse, PendingRequest, RequestAttempt};
use super::state::World;
use crate::faults::FaultTrigger;
use crate::plan::{ms, ClientWorkload};
use configuration::ResultCode;
use control_plane::member::Input;
use protocol::Command;
use std::time::Duration;

/// Tickets of the clients' requests begin here.
pub(super) const FIRST_CLIENT_TICKET: u64 = 1 << 40;
/// A request without a definite response is sent again after this.
const RETRY_AFTER: Duration = ms(1000);
/// Shortest pause between two turns of a client, in milliseconds.
const MIN_PAUSE_MS: u64 = 5;
/// Spans, in milliseconds, over which acknowledged requests are sent again.
const RESEND_SPANS_MS: [u64; 3] = [300, 3_000, 30_000];

impl World<'_> {
    pub(super) fn workload(&self) -> ClientWorkload {
        self.plan.workload.unwrap_or_default()
    }

    /// A client retries what is overdue, and then reads, drains a host or sends a new configuration.
    pub(super) fn client_turn(&mut self, client: usize) {
        let workload = self.workload();
        self.retry_overdue(client);
        let in_flight = self.request_log.in_flight(client);
        match self.random_below(10) {
            0 => self.send_attempt(ClientRequest::Read(client), None, false),
            1 => {
                let host = format!("i-{}", self.request_log.next_number());
                self.send_attempt(ClientRequest::Drain(host), None, false);
            }
            _ if in_flight < workload.max_in_flight => self.send_new_request(client, &workload),
            _ => {}
        }
        let pause = self.random_below(workload.max_pause.as_millis() as u64);
        let next = self.now + ms(MIN_PAUSE_MS + pause);
        self.schedule(next, 0, EventKind::ClientTurn(client));
    }

    fn retry_overdue(&mut self, client: usize) {
        let now = self.now;
        let overdue =
            |r: &PendingRequest| r.client == client && now >= r.last_attempt_at + RETRY_AFTER;
        let pending = self.request_log.pending.iter();
        let numbers: Vec<u64> = pending.filter(|r| overdue(r.1)).map(|r| *r.0).collect();
        for number in numbers {
            let pending = self.request_log.pending.get_mut(&number);
            let content = pending.map(|request| {
                request.last_attempt_at = now;
                request.content
            });
            self.send_attempt(ClientRequest::Configure(number), content, true);
        }
    }

    fn send_new_request(&mut self, client: usize, workload: &ClientWorkload) {
        let content = match self.choose_unconfirmed_content(client, workload) {
            Some(unconfirmed) => unconfirmed,
            None => self.choose_content(client, workload),
        };
        let number = self.request_log.next_number();
        let base = self.request_log.contents[content].base;
        let request = PendingRequest {
            content,
            client,
            created_at: self.now,
            answered: self.request_log.is_unconfirmed(base),
            last_attempt_at: self.now,
        };
        self.request_log.pending.insert(number, request);
        self.send_attempt(ClientRequest::Configure(number), Some(content), false);
    }

    /// Chooses what a client sends: something new on the version it knows, what another client has pending, or another
    /// content with the base and version of that.
    fn choose_content(&mut self, client: usize, workload: &ClientWorkload) -> usize {
        let pending = self.request_log.pending.values();
        let others: Vec<usize> = pending
            .filter(|r| r.client != client)
            .map(|r| r.content)
            .collect();
        let other = if others.is_empty() || self.random_below(4) > 0 {
            None
        } else {
            Some(others[self.random_below(others.len() as u64) as usize])
        };
        if let Some(same) = other {
            if self.random_below(2) == 0 {
                return same;
            }
        }
        let known = self.request_log.known_version(client);
        let new_version = known + 1 + self.random_below(3);
        let (base, version) = match other {
            Some(rival) => {
                let content = &self.request_log.contents[rival];
                (content.base, content.version)
            }
            None => (known, new_version),
        };
        let padding = self.random_below(workload.padding_bytes as u64 + 1) as usize;
        self.request_log.add_content(base, version, padding)
    }

    /// An acknowledged request is sent again.
    pub(super) fn resend_request(&mut self, content: usize) {
        self.send_attempt(ClientRequest::Resend, Some(content), false);
    }

    /// Sends a request to a member; `retry` prefers a healthy one.
    pub(super) fn send_attempt(
        &mut self,
        request: ClientRequest,
        content: Option<usize>,
        retry: bool,
    ) {
        let is_read = matches!(request, ClientRequest::Read(_));
        let Some(member) = self.choose_member(is_read, retry) else {
            return;
        };
        let ticket = FIRST_CLIENT_TICKET + self.request_log.next_number();
        let is_configuration = matches!(request, ClientRequest::Configure(_));
        let attempt = RequestAttempt {
            request,
            content,
            newest_at_send: self.request_log.newest,
        };
        self.request_log.attempts.insert(ticket, attempt);
        self.trace(|_| format!("request {ticket} of content {content:?} goes to {member}"));
        let delay = Duration::from_micros(300 + self.random_below(1000));
        self.schedule(
            self.now + delay,
            member,
            EventKind::RequestArrives { ticket },
        );
        if is_configuration {
            self.fire_trigger(FaultTrigger::RequestSent, member);
        }
    }

    /// A request reaches a member.
    pub(super) fn request_arrives(&mut self, n: usize, ticket: u64) {
        let Some(attempt) = self.request_log.attempts.get(&ticket) else {
            return;
        };
        let command = match (&attempt.request, attempt.content) {
            (ClientRequest::Drain(host), _) => Command::Drain { host: host.clone() },
            (_, Some(content)) => {
                let content = &self.request_log.contents[content];
                Command::Configure {
                    base: content.base,
                    amend: false,
                    body: content.body.to_vec(),
                }
            }
            _ => Command::Read { reserved: 0 },
        };
        if let (Command::Read { .. }, Some(stale)) = (&command, self.stale_read(n)) {
            return self.response_sent(n, ticket, ResultCode::Ok, &stale);
        }
        self.learn_primary_from_mirror(n);
        self.step(n, Input::Command { ticket, command });
    }

    /// A response reaches its client.
    pub(super) fn response_arrives(&mut self, ticket: u64, response: ClientResponse) {
        let Some(attempt) = self.request_log.attempts.remove(&ticket) else {
            return;
        };
        match (attempt.request, response) {
            (ClientRequest::Read(client), ClientResponse::Read(version)) => {
                self.request_log.learn_version(client, version);
            }
            (ClientRequest::Configure(number), response) => {
                self.configuration_answered(number, &response);
            }
            _ => {}
        }
    }

    fn configuration_answered(&mut self, number: u64, response: &ClientResponse) {
        let Some(request) = self.request_log.pending.remove(&number) else {
            return;
        };
        if !matches!(response, ClientResponse::Acknowledged) {
            return self.send_attempt(ClientRequest::Read(request.client), None, false);
        }
        let version = self.request_log.contents[request.content].version;
        self.request_log.learn_version(request.client, version);
        if self.random_below(100) < self.workload().resend_percent {
            self.schedule_resends(request.content);
        }
    }

    fn schedule_resends(&mut self, content: usize) {
        for _ in 0..=self.random_below(2) {
            let span = RESEND_SPANS_MS[self.random_below(3) as usize];
            let at = self.now + ms(self.random_below(span));
            self.schedule(at, 0, EventKind::ResendRequest { content });
        }
    }
}
