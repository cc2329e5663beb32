//! Connections that were unused for long may have been dropped on the way without a word (by a NAT
//! or firewall). While many parts are lost on such connections, a new one is opened instead, at the
//! price of a handshake.

use super::load::OVERDUE_FACTOR;
use super::router::Router;
use super::server::Server;
use super::statistics::DecayingRate;
use super::work::Attempt;
use crate::interface::Outcome;

/// Time without use after which a connection may have been dropped.
const UNUSED_AFTER_S: f64 = 1.0;
/// Time constant over which losses on unused connections count.
const LOSS_TIME_CONSTANT_S: f64 = 8.0;
/// Losses within the time constant from which connections count as dropped.
const MIN_LOSSES: f64 = 4.0;

/// Parts that were sent on connections unused for long.
#[derive(Default)]
pub(super) struct UnusedConnections {
    lost: DecayingRate,
    answered: DecayingRate,
}

impl Router {
    /// Counts how an attempt on an unused connection ended. Returns whether it was lost on one.
    pub(super) fn count_unused_connection(&mut self, attempt: &Attempt, outcome: Outcome) -> bool {
        if !attempt.on_unused_connection {
            return false;
        }
        let overdue = self.now - attempt.sent_at > OVERDUE_FACTOR * self.latencies.all.mean();
        let cut_short = matches!(outcome, Outcome::Timeout | Outcome::Cancelled);
        let lost = (cut_short && overdue) || outcome == Outcome::Reset;
        let counted = &mut self.unused_connections;
        if lost {
            counted.lost.add(self.now, LOSS_TIME_CONSTANT_S);
        } else if outcome == Outcome::Ok {
            counted.answered.add(self.now, LOSS_TIME_CONSTANT_S);
        }
        lost
    }

    /// Whether connections are dropped while unused: of the parts sent on such ones many were lost
    /// of late.
    pub(super) fn unused_connections_drop(&self) -> bool {
        let counted = &self.unused_connections;
        let lost = counted.lost.per_second(self.now, LOSS_TIME_CONSTANT_S);
        let answered = counted.answered.per_second(self.now, LOSS_TIME_CONSTANT_S);
        lost * LOSS_TIME_CONSTANT_S > MIN_LOSSES && lost > answered / 2.0
    }

    /// Whether the connection to a server was unused for long. A part of the same turn uses the
    /// same call.
    pub(super) fn connection_is_unused(&self, server: &Server) -> bool {
        let sent_before_this_turn = if server.last_sent_at < self.now {
            server.last_sent_at
        } else {
            f64::MIN
        };
        self.now - server.last_heard_at.max(sent_before_this_turn) > UNUSED_AFTER_S
    }
}
