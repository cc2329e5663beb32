//! The server list: applying its updates, and subscribing to it where the router has to do so.

use super::router::{seconds, Router};
use super::server::Server;
use crate::interface::{Action, ListKind, ServerEntry, ServerId, ServerState};

/// Time after which a server that is gone and has no parts of this router in flight is forgotten.
const GONE_RETENTION_S: f64 = 15.0;
/// Base of the backoff between attempts to subscribe; doubled with each consecutive failure.
const INITIAL_RETRY_WAIT_S: f64 = 0.1;
/// Number of consecutive failures after which the backoff stops growing.
const MAX_COUNTED_FAILURES: u32 = 5;
/// The backoff is at most half of this, or an eighth of the time within which the router must
/// subscribe, before jitter.
const DEFAULT_RETRY_PERIOD_S: f64 = 2.0;

/// The subscription to the server list.
#[derive(Default)]
pub(super) struct ListSubscription {
    /// Whether any list has been received.
    received_list: bool,
    active: bool,
    /// When it was requested; `None` if no request is pending.
    requested_at: Option<f64>,
    next_request_at: f64,
    failures: u32,
}

impl Router {
    /// Applies an update of the server list.
    pub(super) fn update_server_list(&mut self, kind: ListKind, entries: &[ServerEntry]) {
        if kind == ListKind::Failed {
            self.subscription_failed();
            return;
        }
        if kind != ListKind::Cached {
            self.subscription.failures = 0;
            self.subscription.active |= self.subscription.requested_at.take().is_some();
        }
        if kind != ListKind::Changes {
            self.mark_missing_as_gone(entries);
        }
        let new_servers_just_started = self.subscription.received_list && kind != ListKind::Cached;
        for entry in entries {
            self.apply_entry(entry, new_servers_just_started);
        }
        self.subscription.received_list = true;
        self.forget_gone_servers();
        self.index_servers_by_cell();
    }

    fn subscription_failed(&mut self) {
        let max_wait = self
            .settings
            .subscribe_within
            .map_or(DEFAULT_RETRY_PERIOD_S, |within| seconds(within) / 4.0);
        let jitter = 1.0 + self.random_fraction();
        let subscription = &mut self.subscription;
        subscription.active = false;
        subscription.requested_at = None;
        subscription.failures = (subscription.failures + 1).min(MAX_COUNTED_FAILURES);
        let wait =
            (INITIAL_RETRY_WAIT_S * f64::from(subscription.failures).exp2()).min(max_wait / 2.0);
        subscription.next_request_at = self.now + wait * jitter;
    }

    /// Applies one entry. The slow start of a server counts from the start that the entry reports.
    /// Without one it counts from now, if the server is new or has come back and
    /// `new_servers_just_started` is true.
    fn apply_entry(&mut self, entry: &ServerEntry, new_servers_just_started: bool) {
        let (now, classes) = (self.now, self.settings.classes.len());
        let started_at = entry.started_at.map(seconds);
        let server = self
            .servers
            .entry(entry.server)
            .or_insert_with(|| Server::new(entry, now, classes));
        let ready = entry.state == ServerState::Ready;
        let came_into_service = server.state == ServerState::Gone && ready;
        let newer_start_listed =
            started_at.is_some_and(|at| server.started_at.is_none_or(|old| at > old));
        let restarted = newer_start_listed || (came_into_service && new_servers_just_started);
        if restarted {
            reset_after_start(server, started_at, now);
        }
        if server.is_ready() && entry.state == ServerState::Gone {
            self.last_crashes.removed_from_list_at = now;
        }
        if server.is_ready() && !ready {
            server.left_service_at = now;
        }
        (server.zone, server.cell, server.state) = (entry.zone, entry.cell, entry.state);
        server.started_at = started_at.or(server.started_at);
        if !ready {
            server.idle_queue.count = 0;
        }
        if restarted {
            self.randomize_first_slot(entry.server);
        }
    }

    /// Marks the servers that a complete list doesn't contain as gone.
    fn mark_missing_as_gone(&mut self, entries: &[ServerEntry]) {
        let now = self.now;
        let listed = |id: &ServerId| entries.iter().any(|e| e.server == *id);
        for (id, server) in &mut self.servers {
            if server.state != ServerState::Gone && !listed(id) {
                server.state = ServerState::Gone;
                server.left_service_at = now;
            }
        }
    }

    /// Removes the servers that have been gone for long and have no parts of this router in flight.
    fn forget_gone_servers(&mut self) {
        let now = self.now;
        self.servers.retain(|_, server| {
            server.state != ServerState::Gone
                || !server.in_flight.is_empty()
                || now - server.left_service_at < GONE_RETENTION_S
        });
    }

    fn index_servers_by_cell(&mut self) {
        self.servers_by_cell.iter_mut().for_each(Vec::clear);
        for (id, server) in &self.servers {
            if let Some(servers) = self.servers_by_cell.get_mut(server.cell as usize) {
                servers.push(*id);
            }
        }
    }

    /// Subscribes if the router has to, and again after a failure or an unanswered request.
    pub(super) fn subscribe_if_due(&mut self, actions: &mut Vec<Action>) {
        let Some(within) = self.settings.subscribe_within.map(seconds) else {
            return;
        };
        let now = self.now;
        let subscription = &mut self.subscription;
        let unanswered = subscription
            .requested_at
            .is_some_and(|at| now - at > within / 2.0);
        if unanswered {
            subscription.requested_at = None;
        }
        let requested = subscription.requested_at.is_some();
        if !subscription.active && !requested && now >= subscription.next_request_at {
            subscription.requested_at = Some(now);
            actions.push(Action::Subscribe);
        }
    }
}

/// Discards what was learned about a server's earlier process, and begins its slow start.
fn reset_after_start(server: &mut Server, started_at: Option<f64>, now: f64) {
    server.warm_up.since = started_at.or(Some(now));
    server.ejection.clear();
    server.health.reset();
    server.latency_ratio.reset();
    server.concurrency.reset();
    server.idle_queue.count = 1;
    server.idle_queue.updated_at = now;
}
