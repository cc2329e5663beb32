//! Eligibility: whether a server may get a part now. All sends are checked here: first attempts,
//! retries and hedges.

use super::outlier_ejection::CLASS_FAILURE_THRESHOLD;
use super::router::{seconds, Router};
use super::server::Server;
use crate::interface::{ClassId, ServerId, ServerState};

/// Share of the drain grace during which a draining server may still get parts.
const DRAIN_GRACE_SHARE: f64 = 0.8;
/// Largest number of parts that an ejected server may have in flight in panic mode.
const MAX_PANIC_IN_FLIGHT: u32 = 2;

/// Eligibility of a server for a part, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Eligibility {
    Healthy,
    /// Ejected, and due for a single part that shows whether it has recovered.
    Probe,
    /// Draining, within its grace.
    Draining,
    /// Ejected; used only if no server of the shard is healthy (Envoy's panic mode).
    Panic,
}

impl Router {
    /// Returns the eligibility of a server for a part of a class, or `None` if it may not get one
    /// now.
    pub(super) fn eligibility(&self, server: &Server, class: ClassId) -> Option<Eligibility> {
        let draining = self.takes_parts_while_draining(server);
        let takes_parts = server.is_ready() || draining;
        if !takes_parts || !self.has_capacity(server) || self.wait_for_slot(server) > 0.0 {
            return None;
        }
        let class_health = &server.health.by_class[class.0 as usize];
        let class_ejected_until = (class_health.failure_ewma > CLASS_FAILURE_THRESHOLD)
            .then_some(class_health.ejected_until);
        let Some(ejected_until) = server.ejection.until.or(class_ejected_until) else {
            return Some(if draining {
                Eligibility::Draining
            } else {
                Eligibility::Healthy
            });
        };
        if draining {
            return None;
        }
        let unoccupied =
            !server.is_ejected() || (!server.ejection.unreachable && server.in_flight.is_empty());
        if ejected_until <= self.now && unoccupied {
            return Some(Eligibility::Probe);
        }
        let in_panic =
            server.in_flight.count() < MAX_PANIC_IN_FLIGHT && !server.health.connection_refused;
        in_panic.then_some(Eligibility::Panic)
    }

    fn takes_parts_while_draining(&self, server: &Server) -> bool {
        let grace = DRAIN_GRACE_SHARE * seconds(self.settings.drain_grace) - self.turn_margin();
        server.state == ServerState::Draining && self.now - server.left_service_at < grace
    }

    /// Returns the ready servers that a part of a shard can be sent to: those not ejected, or if
    /// all are ejected, those not known to refuse connections.
    pub(super) fn usable_servers(&self, shard: u32) -> impl Iterator<Item = &Server> + '_ {
        let ready = move || {
            self.servers_of_shard(shard)
                .map(|(_, s)| s)
                .filter(|s| s.is_ready())
        };
        let all_ejected = ready().all(Server::is_ejected);
        ready().filter(move |s| {
            if all_ejected {
                !self.is_down(s)
            } else {
                !s.is_ejected()
            }
        })
    }

    /// Whether a server is ejected and refuses connections.
    fn is_down(&self, server: &Server) -> bool {
        server.health.connection_refused
            && server.ejection.until.is_some_and(|until| until > self.now)
    }

    /// Returns the time until a server may get a part of this router again, in seconds: the backoff
    /// after a rejection, or the slot interval of a warming server.
    pub(super) fn wait_for_slot(&self, server: &Server) -> f64 {
        let next_slot_at = if self.is_warming_up(server) {
            server.warm_up.last_slot_at + self.slot_interval(server)
        } else {
            f64::MIN
        };
        (server.concurrency.backoff_until.max(next_slot_at) - self.now).max(0.0)
    }

    /// Returns the servers listed for a shard, in any state.
    pub(super) fn servers_of_shard(
        &self,
        shard: u32,
    ) -> impl Iterator<Item = (ServerId, &Server)> + '_ {
        let cells = self.settings.shard_layout.cells.max(1);
        (0..self.settings.shard_layout.cells_per_shard.min(cells))
            .flat_map(move |offset| {
                self.servers_by_cell
                    .get(((shard + offset) % cells) as usize)
                    .into_iter()
                    .flatten()
            })
            .filter_map(|id| self.servers.get(id).map(|s| (*id, s)))
    }

    /// Whether a server holds a shard.
    pub(super) fn holds_shard(&self, server: &Server, shard: u32) -> bool {
        let cells = self.settings.shard_layout.cells.max(1);
        (server.cell + cells - shard % cells) % cells < self.settings.shard_layout.cells_per_shard
    }
}
