//! Updates of the host list, removal of hosts that are gone, and reports of unreachable hosts.

use super::QueryTable;
use crate::core::message::{CoreMessage, Endpoint};
use crate::core::transport::Transport;
use crate::interface::{Event, ListKind, Outcome, ServerEntry, ServerId, ServerState, ZoneId};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time before the end of the drain grace at which sends to a draining host stop, since the frame still has to be
/// written.
const DRAIN_MARGIN: Duration = Duration::from_millis(50);
/// Number of consecutive failed connections to a host after which the other cores are notified.
const FAILED_CONNECTS_TO_ANNOUNCE: u32 = 2;
/// Time after which a host that is gone and has nothing in flight is removed together with its name. Without removal
/// the table would grow, as hosts are constantly replaced under new names.
const GONE_RETENTION: Duration = Duration::from_secs(15);

impl<T: Transport> QueryTable<T> {
    /// Counts consecutive connection failures of a host, and notifies the other cores after the second. Each core would
    /// otherwise have to lose parts of its own to notice.
    pub(super) fn count_failed_connect(&mut self, server: ServerId, outcome: Outcome) {
        let Some(shared) = &self.shared else { return };
        if outcome != Outcome::ConnectFailed {
            self.failed_connects.remove(&server);
            return;
        }
        let failures = self.failed_connects.entry(server).or_default();
        *failures += 1;
        if *failures == FAILED_CONNECTS_TO_ANNOUNCE {
            let id: Arc<str> = self.servers.name(server.0).into();
            for other in &shared.others {
                // A core that has ended takes no messages.
                let _ = other.send(CoreMessage::HostUnreachable(id.clone()));
            }
            self.counters.inc("cores.told_unreached");
        }
    }

    /// Applies an update of the host list.
    pub(super) fn update_host_list(
        &mut self,
        kind: ListKind,
        endpoints: Vec<Endpoint>,
        now: Instant,
    ) {
        let stop_at = now + self.drain_grace.saturating_sub(DRAIN_MARGIN);
        let mut entries = Vec::with_capacity(endpoints.len());
        let mut listed = BTreeSet::new();
        for endpoint in endpoints {
            let server = ServerId(self.servers.number_or_insert(&endpoint.id));
            listed.insert(server);
            log::trace!(
                "list {kind:?} {} = {} cell {} {:?}",
                server.0,
                endpoint.id,
                endpoint.cell,
                endpoint.state
            );
            entries.push(self.server_entry(server, &endpoint, now));
            self.update_endpoint(server, endpoint, stop_at);
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.mark_missing_as_gone(&listed, stop_at);
        }
        self.schedule_forgetting(now);
        self.counters.inc("list.news");
        self.notify_router(now, Event::ServerList { kind, entries });
    }

    fn server_entry(&mut self, server: ServerId, endpoint: &Endpoint, now: Instant) -> ServerEntry {
        // A core that was stalled learns of a drain late. If the host's gate has closed in the meantime, the decision
        // module must not rely on a grace period that is over.
        let gate_closed = endpoint.state == ServerState::Draining
            && self
                .shared
                .as_ref()
                .is_some_and(|shared| shared.is_gate_closed(&endpoint.id, now));
        ServerEntry {
            server,
            zone: ZoneId(self.zones.number_or_insert(&endpoint.zone)),
            cell: endpoint.cell,
            state: if gate_closed {
                ServerState::Gone
            } else {
                endpoint.state
            },
            started_at: self.clock.at_unix_ms(endpoint.up_since_ms),
        }
    }

    /// Records a host's entry and passes changes on to the transport. The grace period of a drain starts with its first
    /// notice and is not extended by repetitions.
    fn update_endpoint(&mut self, server: ServerId, endpoint: Endpoint, stop_at: Instant) {
        let known = self.endpoints.get(&server);
        if known == Some(&endpoint) {
            return;
        }
        let was_ready = known.is_none_or(|old| old.state == ServerState::Ready);
        let ready = endpoint.state == ServerState::Ready;
        if ready || was_ready {
            self.transport
                .host_listed(server, &endpoint, (!ready).then_some(stop_at));
        }
        self.endpoints.insert(server, endpoint);
    }

    /// Marks the hosts that a complete list does not name as gone.
    fn mark_missing_as_gone(&mut self, listed: &BTreeSet<ServerId>, stop_at: Instant) {
        for (server, endpoint) in &mut self.endpoints {
            if listed.contains(server) {
                continue;
            }
            if endpoint.state == ServerState::Ready {
                self.transport.host_listed(*server, endpoint, Some(stop_at));
            }
            endpoint.state = ServerState::Gone;
        }
    }

    fn schedule_forgetting(&mut self, now: Instant) {
        let is_gone = |endpoint: &Endpoint| endpoint.state == ServerState::Gone;
        self.forget_at
            .retain(|server, _| self.endpoints.get(server).is_some_and(is_gone));
        for (server, endpoint) in &self.endpoints {
            if is_gone(endpoint) {
                self.forget_at
                    .entry(*server)
                    .or_insert(now + GONE_RETENTION);
            }
        }
    }

    /// Removes the hosts whose retention after going away is over and that have nothing in flight. Hosts with attempts
    /// in flight stay until those have ended.
    pub(super) fn forget_gone_hosts(&mut self, now: Instant) {
        let due: Vec<ServerId> = self
            .forget_at
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(server, _)| *server)
            .collect();
        for server in due {
            if self.in_flight.contains_key(&server) {
                continue;
            }
            self.forget_at.remove(&server);
            self.endpoints.remove(&server);
            self.servers.remove(server.0);
            self.transport.forget_host(server);
            self.counters.inc("list.forgotten");
        }
    }
}
