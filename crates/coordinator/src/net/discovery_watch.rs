//! The actor for the host list: watches discovery over HTTP and sends changes to the core.

use super::backoff::Backoff;
use super::buffered_stream::BufferedStream;
use super::http::{response_head, Body, HttpError, INPUT_BUFFER_BYTES};
use super::json_objects::{Found, ObjectError, ObjectReader};
use crate::core::{CoreMessage, Endpoint};
use crate::counters::Counters;
use crate::interface::{ListKind, ServerState};
use serde::Deserialize;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at, Instant};

/// Silence after which a watch is opened again. Discovery sends a line every 2 s. The timeout is short enough to learn
/// of a missed drain within its grace.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(4500);
/// Time after a watch's last line from which the coordinator counts as informed of what a silent watch missed. A new
/// watch must have received a line by then.
const MISSED_UPDATE_DEADLINE: Duration = Duration::from_secs(6);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// First and largest backoff bound after failed calls, for a coordinator in a small fleet. In larger fleets each waits
/// longer.
pub const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(500));
/// Largest number of coordinators for which the backoff bounds are not scaled.
const SMALL_FLEET: u32 = 5;
/// Spread of a starting fleet's first calls, for each coordinator beyond [`SMALL_FLEET`], if the coordinators already
/// have a list. It is about the time that discovery takes for a call with some tens of lines.
const START_SPREAD_PER_COORDINATOR: Duration = Duration::from_millis(40);
/// Largest object accepted from a watch, in bytes.
const MAX_OBJECT_BYTES: usize = 1024 * 1024;

#[derive(Deserialize)]
struct RawList {
    revision: u64,
    #[serde(default)]
    complete: bool,
    members: Vec<serde_json::Value>,
}

#[derive(Deserialize)]
struct RawMember {
    id: String,
    host_port: String,
    #[serde(default)]
    locality: String,
    cell: u32,
    phase: String,
    #[serde(default)]
    up_since_ms: u64,
}

/// A host list, or a change of it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// The version of the list.
    pub revision: u64,
    /// Whether the update is a complete list, not a change.
    pub complete: bool,
    /// The hosts that are listed or have changed.
    pub members: Vec<Endpoint>,
}

fn parse_member(raw: RawMember) -> Result<Endpoint, String> {
    let state = match raw.phase.as_str() {
        "Ready" => ServerState::Ready,
        "Terminating" => ServerState::Draining,
        "Gone" => ServerState::Gone,
        other => return Err(format!("'phase' can't be '{other}'")),
    };
    let RawMember {
        id,
        host_port: addr,
        locality: zone,
        cell,
        up_since_ms,
        ..
    } = raw;
    Ok(Endpoint {
        id,
        addr,
        zone,
        cell,
        state,
        up_since_ms,
    })
}

/// Parses a host list update. An entry that can't be parsed is skipped and logged, so that the others still count.
///
/// # Errors
/// If the text is not JSON, or lacks the revision or the members.
pub fn parse_update(json: &[u8]) -> Result<ListUpdate, serde_json::Error> {
    let raw: RawList = serde_json::from_slice(json)?;
    let mut members = Vec::new();
    for value in raw.members {
        let read = serde_json::from_value(value)
            .map_err(|e| e.to_string())
            .and_then(parse_member);
        match read {
            Ok(m) => members.push(m),
            Err(e) => log::warn!("list: skipped an invalid entry: {e}"),
        }
    }
    Ok(ListUpdate {
        revision: raw.revision,
        complete: raw.complete,
        members,
    })
}

/// Settings from which the backoff of calls to discovery is derived.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryBackoff {
    /// Random seed of this coordinator.
    pub seed: u64,
    /// Number of coordinators that call the same discovery, and the time within which each must have called again (the
    /// longest delay). `None` if discovery has an agent on each machine, whose answers cost nothing.
    pub shared: Option<(u32, Duration)>,
    /// Time for which a draining host is still sent to.
    pub grace: Duration,
}

impl DiscoveryBackoff {
    /// Returns the timeout for the head of a response. An agent on the machine answers at once or, while discovery is
    /// down, not at all, and coordinators count as informed as soon as the agent is. It is therefore called again
    /// within half of a drain's grace. A shared discovery, where calls queue, gets the full [`SILENCE_TIMEOUT`].
    fn head_timeout(&self) -> Duration {
        match self.shared {
            None => (self.grace / 2).clamp(CONNECT_TIMEOUT / 4, SILENCE_TIMEOUT),
            Some(_) => SILENCE_TIMEOUT,
        }
    }

    /// Creates the backoff after failed calls, and returns it with the spread of the first call.
    pub fn backoff(&self) -> (Backoff, Duration) {
        let (fleet, longest) = self.shared.unwrap_or((1, BACKOFF.1));
        let spread = START_SPREAD_PER_COORDINATOR.saturating_mul(fleet.saturating_sub(SMALL_FLEET));
        (
            Backoff::new(self.seed, fleet, BACKOFF, SMALL_FLEET, longest),
            spread,
        )
    }
}

/// The host list actor that follows a watch of discovery.
pub struct Watch {
    /// The address of discovery.
    pub addr: String,
    /// The list version known so far; `None` requests the complete list.
    pub revision: Option<u64>,
    /// The mailbox of the core, which receives the updates.
    pub core: mpsc::UnboundedSender<CoreMessage>,
    /// The process's counters.
    pub counters: Counters,
    /// Settings of the backoff after failed calls.
    pub backoff: DiscoveryBackoff,
    /// Watches of earlier addresses, which are aborted once this one has received an update.
    pub replaces: Vec<AbortHandle>,
}

impl From<ObjectError> for HttpError {
    fn from(e: ObjectError) -> Self {
        match e {
            ObjectError::Malformed => Self::Malformed("list line"),
            ObjectError::TooLarge => Self::BodyTooLarge,
        }
    }
}

impl Watch {
    /// Watches discovery, and moves to each new address received from `new_addresses`. The list stays valid, and the
    /// previous watch continues, until the new watch receives an update. The new watch requests a complete list, since
    /// versions of one discovery mean nothing to another.
    pub async fn follow_moves(self, mut new_addresses: mpsc::UnboundedReceiver<String>) {
        let (core, counters, backoff) = (self.core.clone(), self.counters.clone(), self.backoff);
        let mut addr = self.addr.clone();
        let mut running = vec![tokio::spawn(self.run()).abort_handle()];
        while let Some(next) = new_addresses.recv().await {
            if next == addr {
                continue;
            }
            log::info!("list: from {addr} to {next}");
            counters.inc("list.moved");
            addr = next.clone();
            running.retain(|w| !w.is_finished());
            let replaces = running.clone();
            let (core, counters) = (core.clone(), counters.clone());
            let watch = Watch {
                addr: next,
                revision: None,
                core,
                counters,
                backoff,
                replaces,
            };
            running.push(tokio::spawn(watch.run()).abort_handle());
        }
    }

    /// Watches forever, and reconnects whenever a connection ends.
    pub async fn run(mut self) {
        let (mut backoff, spread) = self.backoff.backoff();
        if self.revision.is_some() {
            tokio::time::sleep(backoff.initial_delay(spread)).await;
        }
        // The first object normally comes with the head; after a watch without one, the next one gets more time.
        let mut first_object_timeout = self.backoff.head_timeout();
        loop {
            let before = self.revision;
            let mut lines = 0;
            let end = self.follow(&mut lines, first_object_timeout).await;
            first_object_timeout = if lines > 0 {
                self.backoff.head_timeout()
            } else {
                (2 * first_object_timeout).min(SILENCE_TIMEOUT)
            };
            self.counters.inc("list.ended");
            if lines > 0 || self.revision != before {
                backoff.reset();
            }
            // A watch that became silent after some lines is no sign of an overloaded service. The next watch must
            // receive a line before the missed changes count as known, so the wait is short even in a large fleet.
            let silent = lines > 0 && matches!(end, HttpError::Slow);
            let longest = if silent {
                (MISSED_UPDATE_DEADLINE - SILENCE_TIMEOUT) / 2
            } else {
                Duration::MAX
            };
            let wait = backoff.next_delay().min(longest);
            log::info!(source = self.addr, end = end.code(), lines, detail:% = end, wait:?; "list");
            tokio::time::sleep(wait).await;
        }
    }

    async fn follow(&mut self, lines: &mut u64, first_object_timeout: Duration) -> HttpError {
        match self.try_follow(lines, first_object_timeout).await {
            Ok(()) => HttpError::Closed,
            Err(e) => e,
        }
    }

    async fn try_follow(
        &mut self,
        lines: &mut u64,
        first_object_timeout: Duration,
    ) -> Result<(), HttpError> {
        let mut conn =
            BufferedStream::connect(&self.addr, CONNECT_TIMEOUT, INPUT_BUFFER_BYTES, 1024).await?;
        let since = self
            .revision
            .map_or(String::new(), |r| format!("&since={r}"));
        let request = format!(
            "GET /catalog/members?follow=1{since} HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.addr
        );
        conn.write_all(request.as_bytes()).await?;
        let slow = |_| HttpError::Slow;
        let (status, headers) = timeout(self.backoff.head_timeout(), response_head(&mut conn))
            .await
            .map_err(slow)??;
        log::debug!("list: status {status}{since}");
        if status != 200 {
            return Err(HttpError::Malformed("discovery's status"));
        }
        let (mut body, mut objects) = (
            Body::of_response(&headers)?,
            ObjectReader::new(MAX_OBJECT_BYTES),
        );
        // The silence timeout starts with the last complete line: a line that arrives slowly or stops midway does not
        // extend it.
        let mut silent_at = Instant::now() + first_object_timeout;
        while timeout_at(silent_at, body.next(&mut conn, objects.input()))
            .await
            .map_err(slow)??
        {
            while let Some(found) = objects.next_object()? {
                silent_at = Instant::now() + SILENCE_TIMEOUT;
                *lines += 1;
                if let Found::Object(line) = found {
                    self.handle_object(&line)?;
                }
            }
        }
        // An incomplete last object was cut off; the next watch receives its changes again.
        Ok(())
    }

    /// Handles one object. A malformed one ends the connection, since its changes are missing: the next watch starts
    /// from the last version that was read.
    fn handle_object(&mut self, line: &[u8]) -> Result<(), HttpError> {
        let ListUpdate {
            revision,
            complete,
            members,
        } = parse_update(line).map_err(|e| {
            log::warn!("list: {e}");
            HttpError::Malformed("list line")
        })?;
        log::debug!(
            "list: revision {revision} complete {complete} entries {}",
            members.len()
        );
        self.revision = Some(revision);
        self.replaces.drain(..).for_each(|old| old.abort());
        let kind = if complete {
            ListKind::Full
        } else {
            ListKind::Changes
        };
        let _ = self.core.send(CoreMessage::HostList(kind, members));
        Ok(())
    }
}
