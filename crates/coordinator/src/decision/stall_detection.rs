//! Detection of servers that stop answering, and of pauses of this router itself, which are no
//! evidence against servers.

use super::router::Router;
use super::server::Server;
use crate::interface::{ClassId, ServerId};
use std::collections::VecDeque;

/// A server stalls when it answers nothing for this multiple of the 90th percentile of part times.
/// Ordinary pauses, such as those of a garbage collector, are shorter.
const STALL_LATENCY_FACTOR: f64 = 4.0;
/// Lower bound of the stall timeout, as a share of the shortest latency target.
const MIN_STALL_TARGET_SHARE: f64 = 0.4;
/// Largest value of that lower bound.
const MAX_MIN_STALL_S: f64 = 0.5;
/// The router was paused if an event comes later than this after a wake-up was due. Under a CPU
/// quota a process is repeatedly paused for most of 100 ms.
const MIN_PAUSE_S: f64 = 0.05;
/// Time after a pause within which the events that arrived during the pause are read.
const PAUSE_CATCH_UP_S: f64 = 0.02;
/// Time for which pauses are kept; no part is waited for longer than this.
const PAUSE_RETENTION_S: f64 = 10.0;

/// A time in which this router did not run because its process or machine was paused.
struct RouterPause {
    began_at: f64,
    ended_at: f64,
}

/// The recent pauses of this router.
#[derive(Default)]
pub(super) struct RouterPauses {
    /// Oldest first.
    recent_pauses: VecDeque<RouterPause>,
}

impl RouterPauses {
    fn record(&mut self, began_at: f64, ended_at: f64) {
        self.recent_pauses
            .push_back(RouterPause { began_at, ended_at });
        let has_expired = |pause: &RouterPause| pause.ended_at < ended_at - PAUSE_RETENTION_S;
        while self.recent_pauses.front().is_some_and(has_expired) {
            self.recent_pauses.pop_front();
        }
    }

    /// When the latest pause ended.
    fn ended_at(&self) -> Option<f64> {
        self.recent_pauses.back().map(|pause| pause.ended_at)
    }

    /// When the latest pause began, if events that arrived during it are still being read.
    pub(super) fn began_at_if_catching_up(&self, now: f64) -> Option<f64> {
        let latest = self.recent_pauses.back()?;
        (now - latest.ended_at <= PAUSE_CATCH_UP_S).then_some(latest.began_at)
    }

    /// When the latest pause began, if it ended at `now`.
    pub(super) fn began_at_if_ended_now(&self, now: f64) -> Option<f64> {
        let latest = self
            .recent_pauses
            .back()
            .filter(|pause| pause.ended_at == now)?;
        Some(latest.began_at)
    }

    /// Returns how much of the time since `since` the router was paused, in seconds.
    pub(super) fn paused_time_since(&self, since: f64) -> f64 {
        let overlap = |pause: &RouterPause| (pause.ended_at - pause.began_at.max(since)).max(0.0);
        self.recent_pauses.iter().map(overlap).sum()
    }
}

impl Router {
    /// Records a pause of this router that ended now, if there was one.
    pub(super) fn detect_pause(&mut self) {
        let is_recorded = self.pauses.ended_at() >= Some(self.next_wake_at);
        if self.now > self.next_wake_at + MIN_PAUSE_S && !is_recorded {
            self.pauses.record(self.next_wake_at, self.now);
        }
    }

    /// Returns for how many seconds a server has left a part unanswered, counted from its last
    /// answer to anything. Pauses of this router don't count.
    pub(super) fn unanswered_for(&self, server: &Server, sent_at: f64) -> f64 {
        let since = sent_at.max(server.last_answered_at);
        self.now - since - self.pauses.paused_time_since(since)
    }

    /// Returns the time without any answer, in seconds, after which a server with parts in flight
    /// counts as stalled.
    pub(super) fn stall_timeout(&self) -> f64 {
        let classes = self.settings.classes.len();
        let slowest_part_time = (0..classes)
            .map(|class| self.latency_quantile(ClassId(class as u32), 0.9))
            .fold(0.0, f64::max);
        let min_stall = MIN_STALL_TARGET_SHARE * self.shortest_latency_target();
        (STALL_LATENCY_FACTOR * slowest_part_time).max(min_stall.min(MAX_MIN_STALL_S))
    }

    /// Ejects the servers with parts in flight that have answered nothing for the stall timeout.
    pub(super) fn eject_silent_servers(&mut self) {
        let timeout = self.stall_timeout();
        let is_stalled = |server: &Server| {
            server
                .in_flight
                .oldest_sent_at()
                .is_some_and(|sent_at| self.unanswered_for(server, sent_at) > timeout)
        };
        let silent_servers: Vec<ServerId> = self
            .servers
            .iter()
            .filter(|(_, s)| !s.is_ejected() && is_stalled(s))
            .map(|(id, _)| *id)
            .collect();
        for id in silent_servers {
            self.eject(id, true);
            if let Some(server) = self.servers.get_mut(&id) {
                server.in_flight.clear();
            }
        }
    }
}
