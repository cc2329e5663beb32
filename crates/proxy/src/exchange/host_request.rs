//! Third step: writes the request as the host gets it, and sends it.

use super::host_selection::SelectedHost;
use super::Exchange;
use crate::headers::{
    is_forwarded, push_field, API_KEY, CONTENT_LENGTH, DEADLINE_MS, EXPECTED_HOST, LAST_EVENT_ID,
    PRIORITY, TENANT,
};
use crate::response_matching::ResponseMatcher;
use crate::retry::AttemptOutcome;
use crate::upstream::{self, AcquireError, ConnectTarget, UpstreamConnection};
use balancing::Outcome;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Bounds on the time for a connection to come up.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest value of the `Priority` field.
const MAX_PRIORITY: u8 = 9;
/// First guess of a head's size in bytes.
const INITIAL_HEAD_CAPACITY_BYTES: usize = 512;

/// Why a request was not sent completely.
#[derive(Clone, Copy, Debug)]
pub(super) enum SendError {
    /// This process has as many connections to the host as it may.
    AtConnectionLimit,
    /// Not a byte was written.
    Unreachable,
    /// A part was written: the host may run the request.
    Broken,
}

impl SendError {
    /// What it means for the request.
    pub(super) fn attempt_outcome(self) -> AttemptOutcome {
        match self {
            Self::AtConnectionLimit | Self::Unreachable => AttemptOutcome::Unreachable,
            Self::Broken => AttemptOutcome::Broken,
        }
    }

    /// What it says about the host.
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
            AcquireError::ConnectFailed => Self::Unreachable,
        }
    }
}

impl Exchange<'_> {
    /// Sends the request. A reused connection that turns out dead before a byte is written is replaced by a new one.
    pub(super) async fn send_request(
        &mut self,
        host: &SelectedHost,
    ) -> Result<UpstreamConnection, SendError> {
        let target = self.connect_target(host);
        let mut connection = upstream::acquire(self.state, &target).await?;
        let mut written = 0;
        let sent = loop {
            let head = self.request_head(host);
            let matcher = ResponseMatcher::new(self.request.attempt_id().unwrap_or_default());
            // From here on the host may have bytes, also if this is dropped half-way.
            self.progress.set_may_have_run(true);
            let send = connection.send_request(&head, &self.request.body, &mut written, matcher);
            let sent = timeout_at(self.response_deadline(), send).await;
            if written > 0 {
                break sent;
            }
            self.progress.set_may_have_run(self.retry.may_have_run());
            if !connection.reused() {
                return Err(SendError::Unreachable);
            }
            connection = upstream::connect(self.state, &target).await?;
        };
        self.record_sent();
        // After a failed write too: a host may respond before it has read everything.
        match sent {
            Ok(_) => Ok(connection),
            Err(_) => Err(SendError::Broken),
        }
    }

    fn record_sent(&mut self) {
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

    fn connect_target(&self, host: &SelectedHost) -> ConnectTarget {
        ConnectTarget {
            host: host.id.clone(),
            address: host.address,
            max_connections: self.state.max_connections_per_host(self.service),
            connect_deadline: self.deadline().min(Instant::now() + self.connect_timeout()),
        }
    }

    /// Half of the latency target, within bounds. A lost SYN is sent again only after a second: another host is the
    /// better choice, as nothing has run here.
    fn connect_timeout(&self) -> Duration {
        Duration::try_from_secs_f64(self.latency_target_ms() / 2e3)
            .unwrap_or(MAX_CONNECT_TIMEOUT)
            .clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
    }

    /// The request's head as this host gets it: the client's, with the fields that are this proxy's to set.
    fn request_head(&self, host: &SelectedHost) -> Vec<u8> {
        let client_head = &self.request.head;
        // Once events have gone to the client, this proxy knows where to resume.
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

/// Whether the proxy sets a field of this name itself, or drops it.
fn is_replaced(name: &[u8], sets_priority: bool, sets_last_event_id: bool) -> bool {
    let is = |known: &str| name.eq_ignore_ascii_case(known.as_bytes());
    is(CONTENT_LENGTH)
        || is("expect")
        || is(EXPECTED_HOST)
        || is(DEADLINE_MS)
        || (sets_priority && is(PRIORITY))
        || (sets_last_event_id && is(LAST_EVENT_ID))
}

/// Whether a field of this name holds a key, or tells a host whose request it is.
fn is_key_field(name: &[u8]) -> bool {
    let is = |known: &str| name.eq_ignore_ascii_case(known.as_bytes());
    is(API_KEY) || is(TENANT)
}
