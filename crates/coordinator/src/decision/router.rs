//! The router: its state, and the dispatch of events to the modules that handle them.

use super::admission::AdmissionControl;
use super::arrival::FirstAttemptTimeout;
use super::crash_suspects::LastCrashTimes;
use super::idle_connections::IdleConnectionLosses;
use super::latency::LatencyStatistics;
use super::load::FleetLoad;
use super::retry_budget::RetryWindow;
use super::server::Server;
use super::server_list::ListSubscription;
use super::stall_detection::RouterPauses;
use super::statistics::DecayingRate;
use super::work::{Attempt, Part, Query};
use crate::interface::{
    Action, ClassId, Event, QueryClass, RequestId, RouterSettings, ServerId, ServerState,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between decisions while a query is open.
pub(super) const DECISION_INTERVAL_S: f64 = 0.01;
/// Time between decisions while no query is open. Ejected servers still have to be probed, and the
/// server list still has to be subscribed to.
const IDLE_DECISION_INTERVAL_S: f64 = 0.25;
/// Rounding may deliver a wake-up this much earlier than requested; it still counts as due.
const CLOCK_RESOLUTION_S: f64 = 1e-4;
/// Longest duration in an action, in seconds; timers accept no more.
const MAX_ACTION_TIME_S: f64 = 4000.0;
/// Largest number of routers at which the decisions of a single one matter to the servers. Among
/// more routers the effects of their decisions add up, and each router learns of them late, so each
/// reacts more slowly.
pub(super) const SMALL_FLEET_ROUTERS: f64 = 8.0;

/// The decisions of one query router. It shares no state with other instances.
pub struct Router {
    pub(super) settings: RouterSettings,
    random: Pcg64Mcg,
    pub(super) now: f64,
    pub(super) servers: BTreeMap<ServerId, Server>,
    pub(super) servers_by_cell: Vec<Vec<ServerId>>,
    pub(super) queries: BTreeMap<RequestId, Query>,
    pub(super) parts: BTreeMap<RequestId, Part>,
    /// Attempts in flight whose query has ended, by part and attempt number.
    pub(super) orphaned_attempts: BTreeMap<(RequestId, u32), Attempt>,
    pub(super) latencies: LatencyStatistics,
    /// Typical timeouts of first attempts, by class.
    pub(super) first_attempt_timeouts: Vec<FirstAttemptTimeout>,
    /// Rates of queries, by tenant.
    pub(super) tenant_rates: Vec<DecayingRate>,
    pub(super) retry_window: RetryWindow,
    pub(super) send_rate: DecayingRate,
    pub(super) idle_connection_losses: IdleConnectionLosses,
    pub(super) fleet_load: FleetLoad,
    pub(super) admission: AdmissionControl,
    pub(super) subscription: ListSubscription,
    pub(super) last_crashes: LastCrashTimes,
    pub(super) pauses: RouterPauses,
    /// When the wake-up that was requested last is due.
    pub(super) next_wake_at: f64,
}

/// Numbers of listed servers, by their availability to this router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// Servers that are not gone.
    pub listed: usize,
    /// Servers that normally get no parts: draining or ejected.
    pub ejected: usize,
    /// Servers that the list reports as ready, ejected or not.
    pub in_service: usize,
}

impl Router {
    /// Creates a router without servers or statistics. All its random choices derive from `seed`.
    pub fn new(settings: RouterSettings, seed: u64) -> Self {
        let classes = settings.classes.len();
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            now: 0.0,
            servers: BTreeMap::new(),
            servers_by_cell: vec![Vec::new(); settings.shard_layout.cells as usize],
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            orphaned_attempts: BTreeMap::new(),
            latencies: LatencyStatistics::new(classes),
            first_attempt_timeouts: vec![FirstAttemptTimeout::default(); classes],
            tenant_rates: vec![DecayingRate::default(); settings.tenants.len()],
            retry_window: RetryWindow::default(),
            send_rate: DecayingRate::default(),
            idle_connection_losses: IdleConnectionLosses::default(),
            fleet_load: FleetLoad::default(),
            admission: AdmissionControl::default(),
            subscription: ListSubscription::default(),
            last_crashes: LastCrashTimes::default(),
            pauses: RouterPauses::default(),
            next_wake_at: 0.0,
            settings,
        }
    }

    /// Handles an event that happened at `now`, a time since the caller's origin that never
    /// decreases. The resulting actions are appended to `actions`. Parts are sent only at
    /// [`Event::TurnEnded`].
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.now = seconds(now);
        self.detect_pause();
        match event {
            Event::ServerList { kind, entries } => self.update_server_list(kind, &entries),
            Event::Query { .. } => self.add_query(event),
            Event::Part {
                id,
                query,
                shard,
                weight,
            } => self.add_part(id, query, shard, weight),
            Event::AttemptEnded { .. } => self.attempt_ended(event, actions),
            Event::ClientLeft { query } => self.drop_query(query, actions),
            Event::ProbeEnded {
                server,
                outcome,
                report,
            } => self.probe_ended(server, outcome, report),
            Event::Unreachable { server } => self.eject(server, true),
            Event::PeerLoad {
                server,
                in_flight,
                age,
            } => self.record_peer_load(server, in_flight, seconds(age)),
            Event::Wake => {}
            Event::TurnEnded => self.decide(actions),
        }
    }

    /// Returns the number of parts that this router has in flight at each server that is not gone.
    pub fn in_flight(&self) -> Vec<(ServerId, u32)> {
        self.servers
            .iter()
            .filter(|(_, s)| s.state != ServerState::Gone)
            .map(|(id, s)| (*id, s.in_flight.count()))
            .collect()
    }

    /// Counts the listed servers.
    pub fn server_counts(&self) -> ServerCounts {
        let mut counts = ServerCounts::default();
        let listed = self
            .servers
            .values()
            .filter(|s| s.state != ServerState::Gone);
        for server in listed {
            counts.listed += 1;
            counts.in_service += usize::from(server.is_ready());
            counts.ejected += usize::from(!server.is_ready() || server.is_ejected());
        }
        counts
    }

    /// Makes all decisions of a turn, after its events have been handled.
    fn decide(&mut self, actions: &mut Vec<Action>) {
        self.expire_retry_window();
        self.expire_latencies();
        self.eject_silent_servers();
        self.probe_ejected_servers(actions);
        self.subscribe_if_due(actions);
        let open: Vec<RequestId> = self.queries.keys().copied().collect();
        for id in open {
            self.advance_query(id, actions);
        }
        self.schedule_wake_up(actions);
    }

    /// Admits or rejects a query, ends it if that is due, or else sends its parts.
    fn advance_query(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if !self.queries[&id].admitted && !self.admit(id, actions) {
            return;
        }
        if self.answer_if_due(id, actions) || self.give_up_if_unanswerable(id, actions) {
            return;
        }
        self.send_parts(id, actions);
    }

    fn schedule_wake_up(&mut self, actions: &mut Vec<Action>) {
        let interval = if self.queries.is_empty() {
            IDLE_DECISION_INTERVAL_S
        } else {
            DECISION_INTERVAL_S
        };
        let due = self.next_wake_at <= self.now + CLOCK_RESOLUTION_S;
        if due || self.next_wake_at > self.now + interval {
            self.next_wake_at = self.now + interval;
            actions.push(Action::Wake {
                after: action_duration(interval),
            });
        }
    }

    /// Returns the settings of a class.
    pub(super) fn class(&self, id: ClassId) -> &QueryClass {
        &self.settings.classes[id.0 as usize]
    }

    /// Whether so many routers share these servers that the effects of their decisions add up.
    pub(super) fn has_many_routers(&self) -> bool {
        f64::from(self.settings.routers) > SMALL_FLEET_ROUTERS
    }

    /// Returns a uniformly distributed random number from 0 to 1.
    pub(super) fn random_fraction(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    /// Returns a random index below `n`, or 0 for `n` = 0.
    pub(super) fn random_index(&mut self, n: usize) -> usize {
        self.random.next_u32() as usize % n.max(1)
    }
}

/// Converts a duration of the interface to seconds.
pub(super) fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}

/// Converts seconds to a duration for an action, clamped to what timers accept.
pub(super) fn action_duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_ACTION_TIME_S))
}
