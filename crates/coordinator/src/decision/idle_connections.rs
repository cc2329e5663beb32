//! Detection of idle connections that were dropped silently, for example by a NAT or firewall.
//! While many parts are lost on idle connections, a new connection is opened instead, at the cost
//! of a handshake.

use super::load::OVERDUE_FACTOR;
use super::router::Router;
use super::server::Server;
use super::statistics::DecayingRate;
use super::work::Attempt;
use crate::interface::Outcome;

/// Time without use after which a connection counts as idle and may have been dropped.
const IDLE_AFTER_S: f64 = 1.0;
/// Time constant of the rates of lost and answered parts.
const LOSS_TIME_CONSTANT_S: f64 = 8.0;
/// Number of parts lost within the time constant above which idle connections count as dropped.
const MIN_LOST_PARTS: f64 = 4.0;

/// Outcomes of parts that were sent on idle connections.
#[derive(Default)]
pub(super) struct IdleConnectionLosses {
    lost: DecayingRate,
    answered: DecayingRate,
}

impl Router {
    /// Counts the outcome of an attempt on an idle connection. Returns whether the attempt was lost
    /// on one.
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

    /// Whether idle connections are being dropped: many of the parts sent on them were lost
    /// recently.
    pub(super) fn idle_connections_are_dropped(&self) -> bool {
        let losses = &self.idle_connection_losses;
        let lost = losses.lost.per_second(self.now, LOSS_TIME_CONSTANT_S);
        let answered = losses.answered.per_second(self.now, LOSS_TIME_CONSTANT_S);
        lost * LOSS_TIME_CONSTANT_S > MIN_LOST_PARTS && lost > answered / 2.0
    }

    /// Whether the connection to a server is idle. Sends of the current turn don't count as use, as
    /// they share the call.
    pub(super) fn connection_is_idle(&self, server: &Server) -> bool {
        let sent_before_this_turn = if server.last_sent_at < self.now {
            server.last_sent_at
        } else {
            f64::MIN
        };
        self.now - server.last_answered_at.max(sent_before_this_turn) > IDLE_AFTER_S
    }
}
