//! Outlier ejection, as in Envoy's outlier detection: a failing server gets no parts for a time
//! that grows with each relapse, and returns through probes and good answers.
//!
//! A server that rejects parts is not ejected; instead its [concurrency
//! limit](super::concurrency_limit) is reduced.

use super::backoff::Backoff;
use super::load::REPORT_LAG_S;
use super::router::{Router, SMALL_FLEET_ROUTERS};
use super::server::Server;
use crate::interface::{Action, ClassId, LoadReport, Outcome, ServerId};

/// Weight of one answer in the failure share (EWMA).
const FAILURE_GAIN: f64 = 0.25;
/// Failure share above which a server is ejected; two consecutive failures exceed it.
const FAILURE_THRESHOLD: f64 = 0.4;
/// The same for broken connections, which also occur with healthy servers; four in a row exceed it.
const RESET_THRESHOLD: f64 = 0.6;
/// The same for the failures of one class.
pub(super) const CLASS_FAILURE_THRESHOLD: f64 = 0.6;
/// Failures within this time of each other count once, as they have a common cause.
const CORRELATED_FAILURE_WINDOW_S: f64 = 0.005;
/// Duration of an ejection, doubled with each relapse.
const EJECTION_TIME: Backoff = Backoff {
    initial: 0.5,
    max: 4.0,
};
/// Time constant over which earlier ejections are forgotten.
const RELAPSE_TIME_CONSTANT_S: f64 = 15.0;
/// Largest factor by which ejections are longer among many routers, as the probes of all routers
/// add up.
const MAX_EJECTION_FLEET_FACTOR: f64 = 8.0;
/// Largest factor by which the upper bound of an ejection is higher among many routers.
const MAX_EJECTION_BOUND_FLEET_FACTOR: f64 = 4.0;
/// A connection refused within this time after one that broke means that the server's process died.
pub(super) const CRASH_WINDOW_S: f64 = 10.0;

/// Failure statistics of a server.
pub(super) struct Health {
    /// Share of its latest answers that were failures (EWMA).
    pub(super) failure_ewma: f64,
    last_failure_at: f64,
    /// When a connection last broke while a part was in flight.
    last_reset_at: f64,
    /// When a connection was last refused soon after one broke, which means that its process died.
    pub(super) last_crash_at: f64,
    /// Whether it refused the latest connection.
    pub(super) connection_refused: bool,
    pub(super) by_class: Vec<ClassHealth>,
}

/// Failure statistics of a server for one class. Some servers fail one class and serve the others.
#[derive(Clone, Default)]
pub(super) struct ClassHealth {
    /// Share of its latest answers that were failures (EWMA).
    pub(super) failure_ewma: f64,
    last_failure_at: f64,
    /// Until when it gets no parts of this class, once the share exceeds the threshold.
    pub(super) ejected_until: f64,
    ejection_time: f64,
}

impl Health {
    pub(super) fn new(classes: usize) -> Self {
        Self {
            failure_ewma: 0.0,
            last_failure_at: f64::MIN,
            last_reset_at: f64::MIN,
            last_crash_at: f64::MIN,
            connection_refused: false,
            by_class: vec![ClassHealth::default(); classes],
        }
    }

    /// Discards the failures, as the server has a new process.
    pub(super) fn reset(&mut self) {
        self.connection_refused = false;
        self.failure_ewma = 0.0;
        self.by_class.fill(ClassHealth::default());
    }
}

/// Ejection state of a server.
pub(super) struct Ejection {
    /// When the next probe is due; `None` if the server is not ejected. Cleared by as many good
    /// answers as the server had recent ejections.
    pub(super) until: Option<f64>,
    /// Good answers since it was ejected.
    successes_since_ejection: f64,
    /// Number of recent ejections; decays over [`RELAPSE_TIME_CONSTANT_S`].
    recent_count: f64,
    last_ejected_at: f64,
    /// Whether it was unreachable or silent, as opposed to failing.
    pub(super) unreachable: bool,
    /// Whether a probe is in flight.
    probing: bool,
}

impl Default for Ejection {
    fn default() -> Self {
        Self {
            until: None,
            successes_since_ejection: 0.0,
            recent_count: 0.0,
            last_ejected_at: f64::MIN,
            unreachable: false,
            probing: false,
        }
    }
}

impl Ejection {
    /// Ends the ejection, as the server has a new process. Earlier ejections still count.
    pub(super) fn clear(&mut self) {
        self.until = None;
        self.unreachable = false;
    }
}

impl Router {
    /// Updates the health of a server from the outcome of an attempt. Its load reports don't matter
    /// here: a server that fails quickly looks idle.
    pub(super) fn update_server_health(
        &mut self,
        server: ServerId,
        outcome: Outcome,
        sent_at: f64,
    ) {
        match outcome {
            Outcome::Ok => self.record_success(server),
            Outcome::Error => self.record_error(server),
            Outcome::Reset => self.record_reset(server),
            Outcome::ConnectFailed => self.record_refused_connection(server),
            Outcome::Rejected => self.record_rejection(server),
            Outcome::Timeout => self.record_timeout(server, sent_at),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    fn record_success(&mut self, server_id: ServerId) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&server_id) else {
            return;
        };
        server.last_answered_at = now;
        server.health.connection_refused = false;
        server.health.failure_ewma -= FAILURE_GAIN * server.health.failure_ewma;
        server.concurrency.raise();
        let ejection = &mut server.ejection;
        ejection.unreachable = false;
        ejection.successes_since_ejection += 1.0;
        // A server needs as many good answers as it had recent ejections. Requiring three after a
        // first ejection kept healthy servers out.
        ejection.until = ejection
            .until
            .filter(|_| ejection.successes_since_ejection < ejection.recent_count);
    }

    fn record_error(&mut self, server_id: ServerId) {
        if let Some(server) = self.servers.get_mut(&server_id) {
            server.last_answered_at = self.now;
        }
        self.record_failure(server_id, false);
    }

    fn record_reset(&mut self, server_id: ServerId) {
        if let Some(server) = self.servers.get_mut(&server_id) {
            server.health.last_reset_at = self.now;
        }
        self.record_failure(server_id, true);
    }

    fn record_refused_connection(&mut self, server_id: ServerId) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&server_id) else {
            return;
        };
        server.health.connection_refused = now - server.last_answered_at > REPORT_LAG_S;
        if now - server.health.last_reset_at < CRASH_WINDOW_S {
            server.health.last_crash_at = now;
            self.last_crashes.while_serving_part_at = Some(now);
        }
        self.eject(server_id, true);
    }

    fn record_timeout(&mut self, server: ServerId, sent_at: f64) {
        let timeout = self.stall_timeout();
        let is_silent = self
            .servers
            .get(&server)
            .is_some_and(|known| self.unanswered_for(known, sent_at) > timeout);
        if is_silent {
            self.eject(server, true);
        }
    }

    /// Counts a failure, and ejects the server if failures make up too large a share of its
    /// answers.
    fn record_failure(&mut self, server_id: ServerId, unreachable: bool) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&server_id) else {
            return;
        };
        let health = &mut server.health;
        health.failure_ewma += if now - health.last_failure_at < CORRELATED_FAILURE_WINDOW_S {
            0.0
        } else {
            FAILURE_GAIN * (1.0 - health.failure_ewma)
        };
        health.last_failure_at = now;
        let threshold = if unreachable {
            RESET_THRESHOLD
        } else {
            FAILURE_THRESHOLD
        };
        if health.failure_ewma > threshold || server.is_ejected() {
            self.eject(server_id, unreachable);
        }
    }

    /// Updates the health of a server for one class. A server that fails the class gets a single
    /// part of it from time to time.
    pub(super) fn update_class_health(
        &mut self,
        server_id: ServerId,
        class: ClassId,
        outcome: Outcome,
    ) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&server_id) else {
            return;
        };
        let health = &mut server.health.by_class[class.0 as usize];
        match outcome {
            Outcome::Ok if health.failure_ewma > CLASS_FAILURE_THRESHOLD => {
                *health = ClassHealth::default();
            }
            Outcome::Ok => health.failure_ewma -= FAILURE_GAIN * health.failure_ewma,
            Outcome::Timeout | Outcome::Error
                if now - health.last_failure_at >= CORRELATED_FAILURE_WINDOW_S =>
            {
                health.failure_ewma += FAILURE_GAIN * (1.0 - health.failure_ewma);
                health.last_failure_at = now;
                health.ejection_time = EJECTION_TIME.next(health.ejection_time);
                health.ejected_until = if health.failure_ewma > CLASS_FAILURE_THRESHOLD {
                    now + health.ejection_time
                } else {
                    0.0
                };
            }
            _ => {}
        }
    }

    /// Postpones the next part of a class to a server that fails this class.
    pub(super) fn postpone_class_probe(&mut self, server_id: ServerId, class: ClassId) {
        let now = self.now;
        if let Some(server) = self.servers.get_mut(&server_id) {
            let health = &mut server.health.by_class[class.0 as usize];
            health.ejected_until = now + health.ejection_time;
        }
    }

    /// Ejects a server for a time that doubles with each relapse. Earlier ejections are forgotten
    /// over time.
    pub(super) fn eject(&mut self, server_id: ServerId, unreachable: bool) {
        let now = self.now;
        let fleet_factor = (f64::from(self.settings.routers) / SMALL_FLEET_ROUTERS)
            .clamp(1.0, MAX_EJECTION_FLEET_FACTOR);
        let Some(server) = self.servers.get_mut(&server_id) else {
            return;
        };
        server.idle_queue.count = 0;
        let ejection = &mut server.ejection;
        ejection.unreachable |= unreachable;
        ejection.successes_since_ejection = 0.0;
        if ejection.until.is_some_and(|until| until > now) {
            return;
        }
        let since_last = now - ejection.last_ejected_at;
        ejection.recent_count =
            ejection.recent_count * (-since_last / RELAPSE_TIME_CONSTANT_S).exp() + 1.0;
        ejection.last_ejected_at = now;
        let ejection_time =
            fleet_factor * EJECTION_TIME.initial * (ejection.recent_count - 1.0).exp2();
        let max_ejection_time =
            fleet_factor.min(MAX_EJECTION_BOUND_FLEET_FACTOR) * EJECTION_TIME.max;
        ejection.until = Some(now + ejection_time.min(max_ejection_time));
    }

    /// Probes the ejected servers that are due and were unreachable. A server that was reachable
    /// shows by a part whether it has recovered. An unreachable one gets parts only after a
    /// successful probe, or without one where probes are off.
    pub(super) fn probe_ejected_servers(&mut self, actions: &mut Vec<Action>) {
        let (now, probes) = (self.now, self.settings.probes);
        for (id, server) in &mut self.servers {
            let ready = server.is_ready();
            let ejection = &mut server.ejection;
            let probe_due = ejection.until.is_some_and(|until| until <= now);
            if !probe_due || !ejection.unreachable || ejection.probing || !ready {
                continue;
            }
            ejection.unreachable = probes;
            ejection.probing = probes;
            if probes {
                actions.push(Action::Probe { server: *id });
            }
        }
    }

    /// Handles the end of a probe. After a successful one the server may get a part, but stays
    /// ejected until parts are answered.
    pub(super) fn probe_ended(
        &mut self,
        server_id: ServerId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let Some(server) = self.servers.get_mut(&server_id) else {
            return;
        };
        server.ejection.probing = false;
        server.health.connection_refused = outcome == Outcome::ConnectFailed;
        if outcome == Outcome::Ok {
            let external_load = mark_reachable(server, report);
            if let Some(external_load) = external_load {
                self.record_load(server_id, external_load);
            }
        } else if server.ejection.unreachable {
            // A failed probe is no relapse: the server was ejected already, and a probe costs next
            // to nothing.
            server.ejection.recent_count -= 1.0;
            self.eject(server_id, true);
        }
    }
}

/// Records that a probe reached a server. Returns the load from other sources that the server
/// reported.
fn mark_reachable(server: &mut Server, report: Option<LoadReport>) -> Option<f64> {
    let was_unreachable = std::mem::take(&mut server.ejection.unreachable);
    if was_unreachable {
        // Parts sent before no longer count: they would block the first part until they time out.
        server.in_flight.clear();
    }
    let own_in_flight = f64::from(server.in_flight.count());
    report
        .and_then(|r| r.in_flight.or(r.queued))
        .map(|reported| (reported - own_in_flight).max(0.0))
}
