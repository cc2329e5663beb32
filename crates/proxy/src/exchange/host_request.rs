//! A request as its host gets it, and the sending of it.

use super::response_matching::belongs;
use super::{Exchange, Picked, ATTEMPT_ID, DEADLINE_SLACK};
use crate::retry::AttemptOutcome;
use crate::socket::{self, field};
use crate::upstream::acquire::{self, AcquireError};
use crate::upstream::connection::UpstreamConnection;
use balancing::Outcome;
use configuration::Route;
use http1::ResponseHead;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Least and longest time for a connection to come up.
const DIAL_TIMEOUT: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(250));

/// Longest time for a connection to come up. A lost opening packet is sent again only after a second: another
/// host is the better choice, and nothing has run here.
fn dial(route: &Route) -> Duration {
    Duration::try_from_secs_f64(route.target_ms.unwrap_or(1000.0) / 2e3)
        .unwrap_or(DIAL_TIMEOUT.1)
        .clamp(DIAL_TIMEOUT.0, DIAL_TIMEOUT.1)
}

impl Exchange<'_> {
    /// The request's head as this host gets it.
    fn head(&self, picked: &Picked) -> Vec<u8> {
        let head = &self.request.head;
        let mut out = Vec::with_capacity(512);
        out.extend_from_slice(head.method());
        out.push(b' ');
        out.extend_from_slice(head.target());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        // Once events have gone to the client, the place to go on from is ours to say.
        let place = self.place.last_event_id().filter(|_| self.route.resumable);
        for (name, value) in head.fields.iter() {
            let is = |n: &str| name.eq_ignore_ascii_case(n.as_bytes());
            let ours = is("content-length")
                || is("expect")
                || is("fennelpin-expected-host")
                || is("fennelpin-deadline-ms")
                || (is("priority") && picked.priority.is_some())
                || (is("last-event-id") && place.is_some());
            if !ours && !socket::stays_here(&head.fields, name) {
                field(&mut out, name, value);
            }
        }
        let left = self
            .trial
            .deadline()
            .saturating_sub(self.state.now())
            .as_millis()
            .max(1);
        field(
            &mut out,
            b"Fennelpin-Deadline-Ms",
            left.to_string().as_bytes(),
        );
        field(&mut out, b"Fennelpin-Expected-Host", picked.id.as_bytes());
        if let Some(priority) = picked.priority {
            field(
                &mut out,
                b"Priority",
                priority.min(9).to_string().as_bytes(),
            );
        }
        if let Some(id) = place {
            field(&mut out, b"Last-Event-Id", id.as_bytes());
        }
        if head.framing.is_some() {
            field(
                &mut out,
                b"Content-Length",
                self.request.body.len().to_string().as_bytes(),
            );
        }
        out.extend_from_slice(b"\r\n");
        out
    }

    /// Sends the request; a connection that turns out dead before a byte is taken is replaced by a new one.
    pub(super) async fn send(
        &mut self,
        picked: &Picked,
    ) -> Result<UpstreamConnection, (AttemptOutcome, Outcome)> {
        let state = self.state;
        let most = state.conns(self.service);
        let no_link = |e| match e {
            AcquireError::Full => (AttemptOutcome::Unreachable, Outcome::Rejected),
            AcquireError::Unreached => (AttemptOutcome::Unreachable, Outcome::ConnectFailed),
        };
        let until = self.end().min(Instant::now() + dial(self.route));
        let mut connection = acquire::get(state, &picked.id, picked.addr, most, until)
            .await
            .map_err(no_link)?;
        let (mut written, mut again) = (0, false);
        loop {
            let head = self.head(picked);
            let mark = self.request.head.fields.get(ATTEMPT_ID).unwrap_or_default();
            let ours =
                |answer: &ResponseHead, nobody_answered| belongs(answer, mark, nobody_answered);
            // From here on bytes may be the host's, also where this is dropped half-way.
            self.stage.set_out(true);
            let send = connection.send(&head, &self.request.body, &mut written, ours);
            let sent = timeout_at(self.end() + DEADLINE_SLACK, send).await;
            if written == 0 {
                self.stage.set_out(self.trial.may_have_run());
            }
            match sent {
                _ if written == 0 && connection.used && !again => {
                    again = true;
                    connection = acquire::open(state, &picked.id, picked.addr, most, until)
                        .await
                        .map_err(no_link)?;
                    continue;
                }
                _ if written == 0 => {
                    return Err((AttemptOutcome::Unreachable, Outcome::ConnectFailed))
                }
                _ => {}
            }
            let repeat = self.trial.was_sent();
            self.trial.record_sent();
            state.counters.add(|c| {
                c.sent += 1;
                c.repeats += u64::from(repeat);
            });
            return match sent {
                // A host may answer before it has read all: what it said then counts.
                Ok(_) => Ok(connection),
                Err(_) => Err((AttemptOutcome::Broken, Outcome::TimedOut)),
            };
        }
    }
}
