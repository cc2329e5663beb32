//! Silence: servers that stop answering, and standstills of this router itself, which are no
//! evidence against servers.

use super::router::Router;
use super::server::Server;
use crate::interface::{ClassId, ServerId};
use std::collections::VecDeque;

/// A server stalls when it answers nothing for this multiple of the 90th percentile of part times.
/// Ordinary pauses, as of a garbage collector, are shorter.
const STALL_LATENCY_FACTOR: f64 = 4.0;
/// Least stall, as a share of the shortest latency target ...
const MIN_STALL_TARGET_SHARE: f64 = 0.4;
/// ... and at most this.
const MAX_MIN_STALL_S: f64 = 0.5;
/// This router stood still if an event comes so long after a wake-up was due. A quota of processor
/// time pauses a process for most of a tenth of a second, again and again.
const STANDSTILL_S: f64 = 0.05;
/// What waited out a standstill is read within this time after it.
const STANDSTILL_AFTERMATH_S: f64 = 0.02;
/// Standstills that ended earlier are forgotten: nothing waits for that long.
const STANDSTILL_MEMORY_S: f64 = 10.0;

/// A time in which this router did not run, as its process or machine was paused.
struct Standstill {
    from: f64,
    until: f64,
}

/// The standstills of late.
#[derive(Default)]
pub(super) struct Standstills {
    /// Oldest first.
    recent: VecDeque<Standstill>,
}

impl Standstills {
    fn record(&mut self, from: f64, until: f64) {
        self.recent.push_back(Standstill { from, until });
        let is_old = |s: &Standstill| s.until < until - STANDSTILL_MEMORY_S;
        while self.recent.front().is_some_and(is_old) {
            self.recent.pop_front();
        }
    }

    fn ended_at(&self) -> Option<f64> {
        self.recent.back().map(|s| s.until)
    }

    /// When the latest standstill began, if what waited it out is still being read.
    pub(super) fn just_over(&self, now: f64) -> Option<f64> {
        let latest = self.recent.back()?;
        (now - latest.until <= STANDSTILL_AFTERMATH_S).then_some(latest.from)
    }

    /// When the latest standstill began, if it ended just now.
    pub(super) fn ended_now(&self, now: f64) -> Option<f64> {
        let latest = self.recent.back().filter(|s| s.until == now)?;
        Some(latest.from)
    }

    /// How much of the time since `since` was spent in standstills, in seconds.
    pub(super) fn time_since(&self, since: f64) -> f64 {
        let overlap = |s: &Standstill| (s.until - s.from.max(since)).max(0.0);
        self.recent.iter().map(overlap).sum()
    }
}

impl Router {
    /// Notices that this router stood still until now.
    pub(super) fn detect_standstill(&mut self) {
        let is_known = self.standstills.ended_at() >= Some(self.next_wake_at);
        if self.now > self.next_wake_at + STANDSTILL_S && !is_known {
            self.standstills.record(self.next_wake_at, self.now);
        }
    }

    /// How long a server has left a part unanswered, counted from its last answer to anything. Our
    /// own standstills don't count.
    pub(super) fn unanswered_for(&self, server: &Server, sent_at: f64) -> f64 {
        let since = sent_at.max(server.last_heard_at);
        self.now - since - self.standstills.time_since(since)
    }

    /// Time without any answer after which a server with parts in flight counts as stalled.
    pub(super) fn stall_timeout(&self) -> f64 {
        let classes = self.settings.classes.len();
        let slowest = (0..classes)
            .map(|class| self.latency_quantile(ClassId(class as u32), 0.9))
            .fold(0.0, f64::max);
        let least = MIN_STALL_TARGET_SHARE * self.shortest_latency_target();
        (STALL_LATENCY_FACTOR * slowest).max(least.min(MAX_MIN_STALL_S))
    }

    /// Ejects the servers that have parts in flight and answer nothing for far longer than usual.
    pub(super) fn eject_silent_servers(&mut self) {
        let timeout = self.stall_timeout();
        let stalls = |server: &Server| {
            server
                .in_flight
                .oldest_sent_at()
                .is_some_and(|sent_at| self.unanswered_for(server, sent_at) > timeout)
        };
        let silent: Vec<ServerId> = self
            .servers
            .iter()
            .filter(|(_, s)| !s.is_ejected() && stalls(s))
            .map(|(id, _)| *id)
            .collect();
        for id in silent {
            self.eject(id, true);
            if let Some(server) = self.servers.get_mut(&id) {
                server.in_flight.write_off();
            }
        }
    }
}
