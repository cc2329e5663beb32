//! Silence: servers that stop answering, and standstills of this router itself, which are no
//! evidence against servers.

use super::router::Router;
use super::server::Server;
use crate::interface::{ClassId, ServerId};

/// A server stalls when it answers nothing for this multiple of the 90th percentile of part times.
/// Ordinary pauses, as of a garbage collector, are shorter.
const STALL_LATENCY_FACTOR: f64 = 4.0;
/// Least stall, as a share of the shortest latency target ...
const MIN_STALL_TARGET_SHARE: f64 = 0.4;
/// ... and at most this.
const MAX_MIN_STALL_S: f64 = 0.5;
/// This router stood still if an event comes so long after a wake-up was due.
const STANDSTILL_S: f64 = 0.15;

/// When this router last stood still, as its process or machine was paused.
#[derive(Default)]
pub(super) struct Standstill {
    pub(super) from: f64,
    pub(super) until: f64,
}

impl Router {
    /// Notices that this router stood still until now.
    pub(super) fn detect_standstill(&mut self) {
        if self.now > self.next_wake_at + STANDSTILL_S && self.now > self.standstill.until {
            self.standstill = Standstill {
                from: self.next_wake_at,
                until: self.now,
            };
        }
    }

    /// How long a server has left a part unanswered, counted from its last answer to anything, and
    /// from the end of our own last standstill.
    pub(super) fn unanswered_for(&self, server: &Server, sent_at: f64) -> f64 {
        self.now - sent_at.max(server.last_heard_at).max(self.standstill.until)
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
