//! The actor of the host list: watches discovery and tells the core what changes.

use super::backoff::Backoff;
use super::buffered_stream::BufferedStream;
use super::http::{response_head, Body, HttpError, INPUT};
use super::json_objects::{Found, ObjectError, ObjectReader};
use crate::core::{CoreMessage, Endpoint};
use crate::counters::Counters;
use crate::interface::{ListKind, ServerState};
use serde::Deserialize;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at, Instant};

/// Discovery sends a line every 2 s; one silent for so long is asked anew, early enough that a drain it
/// did not tell is still kept.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(4500);
/// What a silent watch missed counts as told so long after its last line: by then a new one must have spoken.
const COUNTS_AS_TOLD_AFTER: Duration = Duration::from_secs(6);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Waits after calls that failed, of one coordinator among a few; with more of them each waits longer.
pub const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(500));
const SMALL_FLEET: u32 = 5;
/// With a list in hand the first calls of a fleet that starts at one moment are spread over so much for each
/// coordinator beyond a few: about what a call of some tens of lines takes discovery.
const START_SPREAD_PER_COORDINATOR: Duration = Duration::from_millis(40);
/// Largest object of a watch.
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

/// A list or a change of it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// Its version.
    pub revision: u64,
    /// Whether it is the whole list.
    pub complete: bool,
    /// Its lines.
    pub members: Vec<Endpoint>,
}

fn member(raw: RawMember) -> Result<Endpoint, String> {
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

/// Reads a list. An entry that can't be read is left out and logged: it must not cost the others.
///
/// # Errors
/// If the text is not JSON, or lacks the revision or the members.
pub fn parse_update(json: &[u8]) -> Result<ListUpdate, serde_json::Error> {
    let raw: RawList = serde_json::from_slice(json)?;
    let mut members = Vec::new();
    for value in raw.members {
        let read = serde_json::from_value(value)
            .map_err(|e| e.to_string())
            .and_then(member);
        match read {
            Ok(m) => members.push(m),
            Err(e) => log::warn!("list: entry left out: {e}"),
        }
    }
    Ok(ListUpdate {
        revision: raw.revision,
        complete: raw.complete,
        members,
    })
}

/// What the pace of calls after a failure follows from.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryBackoff {
    /// The coordinator's own seed.
    pub seed: u64,
    /// Coordinators that ask one discovery, and the time within which each has to have asked again: the
    /// longest wait. `None` where discovery has an agent on each machine, which answers at no cost.
    pub shared: Option<(u32, Duration)>,
    /// Time that a host which drains is still sent to.
    pub grace: Duration,
}

impl DiscoveryBackoff {
    /// Time for the head of an answer. An agent on the machine answers at once or, while discovery is down,
    /// not at all, and what it hears then counts as told at once: it is asked again within half of a drain's
    /// grace. Where calls wait in turn, all of the time that silence may last.
    fn head(&self) -> Duration {
        match self.shared {
            None => (self.grace / 2).clamp(CONNECT_TIMEOUT / 4, SILENCE_TIMEOUT),
            Some(_) => SILENCE_TIMEOUT,
        }
    }

    /// The waits after calls that failed, and the spread of the first call.
    pub fn backoff(&self) -> (Backoff, Duration) {
        let (fleet, longest) = self.shared.unwrap_or((1, BACKOFF.1));
        let spread = START_SPREAD_PER_COORDINATOR.saturating_mul(fleet.saturating_sub(SMALL_FLEET));
        (
            Backoff::new(self.seed, fleet, BACKOFF, SMALL_FLEET, longest),
            spread,
        )
    }
}

/// The list actor over discovery's watch.
pub struct Watch {
    /// Where discovery answers.
    pub addr: String,
    /// The version known so far; `None` asks for the whole list.
    pub revision: Option<u64>,
    /// The core's mailbox.
    pub core: mpsc::UnboundedSender<CoreMessage>,
    /// The counters.
    pub counters: Counters,
    /// When to call again.
    pub backoff: DiscoveryBackoff,
    /// Watches of earlier addresses, which this one takes over from once it has heard something.
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
    /// Watches, and goes on at each further address that comes. The list stands, and the watch before goes
    /// on, until the new one speaks; versions of one discovery mean nothing to another.
    pub async fn follow_moves(self, mut moves: mpsc::UnboundedReceiver<String>) {
        let (core, counters, backoff) = (self.core.clone(), self.counters.clone(), self.backoff);
        let mut addr = self.addr.clone();
        let mut running = vec![tokio::spawn(self.run()).abort_handle()];
        while let Some(next) = moves.recv().await {
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

    /// Watches for ever, over as many connections as it takes.
    pub async fn run(mut self) {
        let (mut backoff, spread) = self.backoff.backoff();
        if self.revision.is_some() {
            tokio::time::sleep(backoff.initial_delay(spread)).await;
        }
        // The first object comes with the head; where none did, the next watch is given longer.
        let mut first = self.backoff.head();
        loop {
            let before = self.revision;
            let mut lines = 0;
            let end = self.follow(&mut lines, first).await;
            first = if lines > 0 {
                self.backoff.head()
            } else {
                (2 * first).min(SILENCE_TIMEOUT)
            };
            self.counters.inc("list.ended");
            if lines > 0 || self.revision != before {
                backoff.reset();
            }
            // A watch that fell silent after lines is no sign of a service in need: its successor has to speak
            // before what was missed counts, whatever a fleet that lost the service would wait.
            let silent = lines > 0 && matches!(end, HttpError::Slow);
            let longest = if silent {
                (COUNTS_AS_TOLD_AFTER - SILENCE_TIMEOUT) / 2
            } else {
                Duration::MAX
            };
            let wait = backoff.next_delay().min(longest);
            log::info!(source = self.addr, end = end.code(), lines, detail:% = end, wait:?; "list");
            tokio::time::sleep(wait).await;
        }
    }

    async fn follow(&mut self, lines: &mut u64, first: Duration) -> HttpError {
        match self.try_follow(lines, first).await {
            Ok(()) => HttpError::Closed,
            Err(e) => e,
        }
    }

    async fn try_follow(&mut self, lines: &mut u64, first: Duration) -> Result<(), HttpError> {
        let mut conn = BufferedStream::connect(&self.addr, CONNECT_TIMEOUT, INPUT, 1024).await?;
        let since = self
            .revision
            .map_or(String::new(), |r| format!("&since={r}"));
        let ask = format!(
            "GET /catalog/members?follow=1{since} HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.addr
        );
        conn.write_all(ask.as_bytes()).await?;
        let slow = |_| HttpError::Slow;
        let (status, headers) = timeout(self.backoff.head(), response_head(&mut conn))
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
        // Silence counts from the last whole line: one that drips, or stops half-way, tells nothing.
        let mut until = Instant::now() + first;
        while timeout_at(until, body.next(&mut conn, objects.input()))
            .await
            .map_err(slow)??
        {
            while let Some(found) = objects.next_object()? {
                until = Instant::now() + SILENCE_TIMEOUT;
                *lines += 1;
                if let Found::Object(line) = found {
                    self.line(&line)?;
                }
            }
        }
        // A last object without its end is one that was cut: its changes come again.
        Ok(())
    }

    /// One object. A malformed one costs the connection, as what it would have told is missing now: the
    /// next watch starts from the last version that was read.
    fn line(&mut self, line: &[u8]) -> Result<(), HttpError> {
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
