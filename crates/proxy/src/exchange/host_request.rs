//! Third step: builds the request for the selected host and sends it.

use super::host_selection::SelectedHost;
use super::Exchange;
use crate::headers::{
    is_forwarded, push_field, API_KEY, CONTENT_LENGTH, DEADLINE_MS, EXPECTED_HOST, LAST_EVENT_ID,
    PRIORITY, TENANT,
};
use crate::response_matching::ResponseMatcher;
use crate::retry::AttemptOutcome;
use crate::upstream::{self, AcquireError, ConnectTarget, OutgoingRequest, UpstreamConnection};
use balancing::Outcome;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Bounds on the time for establishing a connection to a host.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest value of the `Priority` field.
const MAX_PRIORITY: u8 = 9;
/// Initial capacity, in bytes, of the buffer for a request head; it grows if needed.
const INITIAL_HEAD_CAPACITY_BYTES: usize = 512;

/// Why a request was not sent completely.
#[derive(Clone, Copy, Debug)]
pub(super) enum SendError {
    /// This process has reached its limit of connections to the host.
    AtConnectionLimit,
    /// No byte of the request was written.
    Unreachable,
    /// Part of the request was written, so the host may run it.
    Broken,
}

impl SendError {
    /// Converts the error to the outcome of the attempt, which decides whether to retry.
    pub(super) fn attempt_outcome(self) -> AttemptOutcome {
        match self {
            Self::AtConnectionLimit | Self::Unreachable => AttemptOutcome::Unreachable,
            Self::Broken => AttemptOutcome::Broken,
        }
    }

    /// Converts the error to the outcome that is reported to the load balancer.
    pub(super) fn host_outcome(self) -> Outcome {
        match self {
            Self::AtConnectionLimit => Outcome::Refused,
            Self::Unreachable => Outcome::ConnectFailed,
            Self::Broken => Outcome::TimedOut,
        }
    }
}

impl From<AcquireError> for SendError {
    fn from(error: AcquireError) -> Self {
        match error {
            AcquireError::AtLimit => Self::AtConnectionLimit,
            AcquireError::ConnectionRefused | AcquireError::ConnectFailed => Self::Unreachable,
        }
    }
}

impl Exchange<'_> {
    /// Sends the request. A reused connection that fails before a byte is written is replaced by a new one.
    pub(super) async fn send_request(
        &mut self,
        host: &SelectedHost,
    ) -> Result<UpstreamConnection, SendError> {
        let target = self.connect_target(host);
        let mut connection = upstream::acquire(self.state, &target).await?;
        let sent = loop {
            let request = OutgoingRequest::new(self.request_head(host), self.request.body.clone());
            let matcher = ResponseMatcher::new(self.request.attempt_id().unwrap_or_default());
            // From here on the host may have received bytes, even if this future is dropped before it completes.
            self.progress.set_may_have_run(true);
            let send = connection.send_request(request, matcher);
            let sent = timeout_at(self.response_deadline(), send).await;
            if connection.has_sent_request() {
                break sent;
            }
            self.progress.set_may_have_run(self.retry.may_have_run());
            if !connection.reused() {
                return Err(SendError::Unreachable);
            }
            connection = upstream::connect(self.state, &target).await?;
        };
        self.record_sent();
        // Also counted after a failed write: a host may respond before it has read the whole request.
        match sent {
            Ok(_) => Ok(connection),
            Err(_) => Err(SendError::Broken),
        }
    }

    /// Counts an attempt of which bytes were written, or may have been.
    pub(super) fn record_sent(&mut self) {
        let is_retry = self.retry.was_sent();
        if let Some(quota) = self.quota.as_ref().filter(|_| self.retry.may_have_run()) {
            quota.charge_again();
        }
        self.retry.record_sent();
        self.state.counters.add(|c| {
            c.attempts += 1;
            c.retries += u64::from(is_retry);
        });
    }

    pub(super) fn connect_target(&self, host: &SelectedHost) -> ConnectTarget {
        ConnectTarget {
            host: host.id.clone(),
            address: host.address,
            max_connections: self.state.max_connections_per_host(self.service),
            connect_deadline: self.deadline().min(Instant::now() + self.connect_timeout()),
        }
    }

    /// Half of the latency target, within bounds. The kernel retransmits a lost SYN only after a second. Trying another
    /// host is faster, and safe because nothing has run here.
    fn connect_timeout(&self) -> Duration {
        Duration::try_from_secs_f64(self.latency_target_ms() / 2e3)
            .unwrap_or(MAX_CONNECT_TIMEOUT)
            .clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
    }

    /// Builds the request head for this host: the client's head with the fields that the proxy sets or removes.
    fn request_head(&self, host: &SelectedHost) -> Vec<u8> {
        let client_head = &self.request.head;
        // Once events have been forwarded to the client, the proxy's own position replaces the client's.
        let resume_after = self.offset.last_event_id().filter(|_| self.route.resumable);
        let mut head = Vec::with_capacity(INITIAL_HEAD_CAPACITY_BYTES);
        head.extend_from_slice(client_head.method());
        head.push(b' ');
        head.extend_from_slice(client_head.target());
        head.extend_from_slice(b" HTTP/1.1\r\n");
        for (name, value) in client_head.fields.iter() {
            let replaced = is_replaced(name, host.priority.is_some(), resume_after.is_some());
            let dropped = self.caller.owns_key_fields() && is_key_field(name);
            if !replaced && !dropped && is_forwarded(&client_head.fields, name) {
                push_field(&mut head, name, value);
            }
        }
        push_field(&mut head, DEADLINE_MS, self.time_left_ms().to_string());
        push_field(&mut head, EXPECTED_HOST, host.id.as_bytes());
        if let Some(tenant) = self.caller.tenant() {
            push_field(&mut head, TENANT, &tenant.name);
        }
        if let Some(priority) = host.priority {
            push_field(&mut head, PRIORITY, priority.min(MAX_PRIORITY).to_string());
        }
        if let Some(id) = resume_after {
            push_field(&mut head, LAST_EVENT_ID, id);
        }
        if client_head.framing.is_some() {
            let length = self.request.body.len();
            push_field(&mut head, CONTENT_LENGTH, length.to_string());
        }
        head.extend_from_slice(b"\r\n");
        head
    }

    fn time_left_ms(&self) -> u128 {
        self.retry
            .deadline()
            .saturating_sub(self.state.now())
            .as_millis()
            .max(1)
    }
}

/// Whether the proxy sets a field of this name itself or removes it.
fn is_replaced(name: &[u8], sets_priority: bool, sets_last_event_id: bool) -> bool {
    let is = |known: &str| name.eq_ignore_ascii_case(known.as_bytes());
    is(CONTENT_LENGTH)
        || is("expect")
        || is(EXPECTED_HOST)
        || is(DEADLINE_MS)
        || (sets_priority && is(PRIORITY))
        || (sets_last_event_id && is(LAST_EVENT_ID))
}

/// Whether a field of this name holds an API key or names the tenant.
fn is_key_field(name: &[u8]) -> bool {
    let is = |known: &str| name.eq_ignore_ascii_case(known.as_bytes());
    is(API_KEY) || is(TENANT)
}
