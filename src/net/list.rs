//! The actor of the host list: watches discovery and tells the core what changes.

use super::backoff::Backoff;
use super::conn::Conn;
use super::http::{response_head, Body, HttpError, INPUT};
use crate::core::{Listed, Mail};
use crate::counters::Counters;
use crate::interface::{ListKind, ServerState};
use bytes::{Buf, BytesMut};
use serde::Deserialize;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Discovery sends a line every 2 s; one silent for so long is asked anew, early enough that a drain it
/// did not tell is still kept.
const SILENT: Duration = Duration::from_millis(4500);
const CONNECT: Duration = Duration::from_secs(1);
/// Waits after calls that failed, of one coordinator among a few; with more of them each waits longer.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(500));
const A_FEW: u32 = 5;
/// With a list in hand the first calls of a fleet that starts at one moment are spread over so much for each
/// coordinator beyond a few: about what a call of some tens of lines takes discovery.
const START: Duration = Duration::from_millis(40);
/// Longest line of a watch.
const MOST_LINE: usize = 1024 * 1024;

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
pub struct News {
    /// Its version.
    pub revision: u64,
    /// Whether it is the whole list.
    pub complete: bool,
    /// Its lines.
    pub members: Vec<Listed>,
}

fn member(raw: RawMember) -> Result<Listed, String> {
    let state = match raw.phase.as_str() {
        "Ready" => ServerState::Ready,
        "Terminating" => ServerState::Draining,
        "Gone" => ServerState::Gone,
        other => return Err(format!("'phase' can't be '{other}'")),
    };
    let RawMember { id, host_port: addr, locality: zone, cell, up_since_ms, .. } = raw;
    Ok(Listed { id, addr, zone, cell, state, up_since_ms })
}

/// Reads a list. An entry that can't be read is left out and logged: it must not cost the others.
pub fn news(json: &[u8]) -> Result<News, serde_json::Error> {
    let raw: RawList = serde_json::from_slice(json)?;
    let mut members = Vec::new();
    for value in raw.members {
        let read = serde_json::from_value(value).map_err(|e| e.to_string()).and_then(member);
        match read {
            Ok(m) => members.push(m),
            Err(e) => log::warn!("list: entry left out: {e}"),
        }
    }
    Ok(News { revision: raw.revision, complete: raw.complete, members })
}

/// What the pace of calls after a failure follows from.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The coordinator's own seed.
    pub seed: u64,
    /// Coordinators that ask one discovery, and the time within which each has to have asked again: the
    /// longest wait. `None` where discovery has an agent on each machine, which answers at no cost.
    pub shared: Option<(u32, Duration)>,
}

impl Pace {
    /// The waits after calls that failed, and the spread of the first call.
    pub fn backoff(&self) -> (Backoff, Duration) {
        let (fleet, longest) = self.shared.unwrap_or((1, BACKOFF.1));
        let spread = START.saturating_mul(fleet.saturating_sub(A_FEW));
        (Backoff::new(self.seed, fleet, BACKOFF, A_FEW, longest), spread)
    }
}

/// The list actor over discovery's watch.
pub struct Watch {
    /// Where discovery answers.
    pub addr: String,
    /// The version known so far; `None` asks for the whole list.
    pub revision: Option<u64>,
    /// The core's mailbox.
    pub core: mpsc::UnboundedSender<Mail>,
    /// The counters.
    pub counters: Counters,
    /// When to call again.
    pub pace: Pace,
    /// Watches of earlier addresses, which this one takes over from once it has heard something.
    pub replaces: Vec<AbortHandle>,
}

impl Watch {
    /// Watches, and goes on at each further address that comes. The list stands, and the watch before goes
    /// on, until the new one speaks; versions of one discovery mean nothing to another.
    pub async fn follow_moves(self, mut moves: mpsc::UnboundedReceiver<String>) {
        let (core, counters, pace) = (self.core.clone(), self.counters.clone(), self.pace);
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
            let watch = Watch { addr: next, revision: None, core, counters, pace, replaces };
            running.push(tokio::spawn(watch.run()).abort_handle());
        }
    }

    /// Watches for ever, over as many connections as it takes.
    pub async fn run(mut self) {
        let (mut backoff, spread) = self.pace.backoff();
        if self.revision.is_some() {
            tokio::time::sleep(backoff.start(spread)).await;
        }
        loop {
            let before = self.revision;
            let mut lines = 0;
            let end = self.follow(&mut lines).await;
            self.counters.inc("list.ended");
            if lines > 0 || self.revision != before {
                backoff.reached();
            }
            let wait = backoff.failed();
            log::info!(source = self.addr, end = end.code(), lines, detail:% = end, wait:?; "list");
            tokio::time::sleep(wait).await;
        }
    }

    async fn follow(&mut self, lines: &mut u64) -> HttpError {
        match self.try_follow(lines).await {
            Ok(()) => HttpError::Closed,
            Err(e) => e,
        }
    }

    async fn try_follow(&mut self, lines: &mut u64) -> Result<(), HttpError> {
        let mut conn = Conn::connect(&self.addr, CONNECT, INPUT, 1024).await?;
        let since = self.revision.map_or(String::new(), |r| format!("&since={r}"));
        let ask = format!("GET /catalog/members?follow=1{since} HTTP/1.1\r\nHost: {}\r\n\r\n", self.addr);
        conn.write_all(ask.as_bytes()).await?;
        let slow = |_| HttpError::Slow;
        let head = tokio::time::timeout(SILENT, response_head(&mut conn)).await.map_err(slow)?;
        let (status, headers) = head?;
        log::debug!("list: status {status}{since}");
        if status != 200 {
            return Err(HttpError::Malformed("discovery's status"));
        }
        let mut body = Body::of_response(&headers)?;
        let mut bytes = BytesMut::new();
        while tokio::time::timeout(SILENT, body.next(&mut conn, &mut bytes)).await.map_err(slow)?? {
            while let Some(n) = bytes.iter().position(|b| *b == b'\n') {
                let line = bytes.split_to(n + 1);
                *lines += 1;
                self.line(line.trim_ascii())?;
            }
            if bytes.len() > MOST_LINE {
                return Err(HttpError::BodyTooLarge);
            }
        }
        // A last line without its end is one that was cut: its changes come again.
        bytes.advance(bytes.len());
        Ok(())
    }

    /// One line. A malformed one costs the connection, as what it would have told is missing now: the
    /// next watch starts from the last version that was read.
    fn line(&mut self, line: &[u8]) -> Result<(), HttpError> {
        if line.is_empty() {
            return Ok(());
        }
        let News { revision, complete, members } = news(line).map_err(|e| {
            log::warn!("list: {e}");
            HttpError::Malformed("list line")
        })?;
        self.revision = Some(revision);
        self.replaces.drain(..).for_each(|old| old.abort());
        let kind = if complete { ListKind::Full } else { ListKind::Changes };
        let _ = self.core.send(Mail::List(kind, members));
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A hundred that start at one moment with a list in hand call discovery spread over seconds; with an
    /// agent on each machine, or a few of them, each calls at once and comes back soon.
    #[test]
    fn first_calls_and_waits_follow_from_how_many_share_discovery() {
        let within = Duration::from_secs(10);
        let start = |seed: u64| {
            let (mut backoff, spread) = Pace { seed, shared: Some((100, within)) }.backoff();
            backoff.start(spread)
        };
        let mut first: Vec<Duration> = (0..100).map(start).collect();
        first.sort();
        let busiest = first.windows(30).map(|w| w[29] - w[0]).min().unwrap();
        assert!(busiest > Duration::from_millis(500), "30 within {busiest:?}");
        assert!(first[99] < Duration::from_secs(4));
        for shared in [None, Some((3, within))] {
            let (mut backoff, spread) = Pace { seed: 1, shared }.backoff();
            assert_eq!(backoff.start(spread), Duration::ZERO);
            (0..20).for_each(|_| assert!(backoff.failed() <= BACKOFF.1));
        }
    }
}
