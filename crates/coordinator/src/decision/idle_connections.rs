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
const IDLE_AFTER_S: f64 = 1.0;
/// Time constant over which losses on unused connections count.
const LOSS_TIME_CONSTANT_S: f64 = 8.0;
/// Losses within the time constant from which connections count as dropped.
const MIN_LOST_PARTS: f64 = 4.0;

/// Parts that were sent on connections unused for long.
#[derive(Default)]
pub(super) struct IdleConnectionLosses {
    lost: DecayingRate,
    answered: DecayingRate,
}

impl Router {
    /// Counts how an attempt on an unused connection ended. Returns whether it was lost on one.
    pub(super) fn count_idle_connection_outcome(
        &mut self,
        attempt: &Attempt,
        outcome: Outcome,
    ) -> bool {
        if !attempt.on_idle_connection {
            return false;
        }
        let is_overdue = self.now - attempt.sent_at > OVERDUE_FACTOR * self.latencies.all.mean();
        let cut_short = matches!(outcome, Outcome::Timeout | Outcome::Cancelled);
        let lost = (cut_short && is_overdue) || outcome == Outcome::Reset;
        let losses = &mut self.idle_connection_losses;
        if lost {
            losses.lost.add(self.now, LOSS_TIME_CONSTANT_S);
        } else if outcome == Outcome::Ok {
            losses.answered.add(self.now, LOSS_TIME_CONSTANT_S);
        }
        lost
    }

    /// Whether connections are dropped while unused: of the parts sent on such ones many were lost
    /// of late.
    pub(super) fn idle_connections_are_dropped(&self) -> bool {
        let losses = &self.idle_connection_losses;
        let lost = losses.lost.per_second(self.now, LOSS_TIME_CONSTANT_S);
        let answered = losses.answered.per_second(self.now, LOSS_TIME_CONSTANT_S);
        lost * LOSS_TIME_CONSTANT_S > MIN_LOST_PARTS && lost > answered / 2.0
    }

    /// Whether the connection to a server was unused for long. A part of the same turn uses the
    /// same call.
    pub(super) fn connection_is_idle(&self, server: &Server) -> bool {
        let sent_before_this_turn = if server.last_sent_at < self.now {
            server.last_sent_at
        } else {
            f64::MIN
        };
        self.now - server.last_answered_at.max(sent_before_this_turn) > IDLE_AFTER_S
    }
}
