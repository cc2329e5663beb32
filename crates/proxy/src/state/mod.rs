//! State of the process, shared by all connections on its single thread.

mod body_memory;
mod capacity;
mod clock;
mod fleet_update;
mod health_report;
mod in_flight;
mod routing_table;

pub(crate) use body_memory::{BodyMemory, BodyReservation};
pub(crate) use clock::Clock;
pub(crate) use in_flight::InFlightAttempt;
pub(crate) use routing_table::RoutingTable;

use crate::client::idle::IdleClients;
use crate::counters::SharedCounters;
use crate::fleet::ConfigurationAge;
use crate::hints::HintPublisher;
use crate::quota::QuotaClient;
use crate::shutdown::Shutdown;
use crate::upstream::pool::ConnectionPool;
use crate::upstream::UpstreamConnection;
use balancing::{LoadBalancer, LoadBalancerSettings};
use capacity::Capacity;
use configuration::{Limits, ProcessSettings, RouteKind};
use in_flight::InFlightCount;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use routing_table::MIN_CONNECTIONS_PER_HOST;
use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Minimum time between two ticks of the load balancer while attempts are in flight.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Fraction of `revoke_ms` for which a configuration's keys are accepted; the rest allows for clocks that run at
/// different rates.
const KEY_AGE_SHARE: f64 = 0.9;

/// State of the proxy process.
pub(crate) struct ProxyState {
    pub(crate) clock: Clock,
    pub(crate) load_balancer: RefCell<LoadBalancer>,
    routing_table: RefCell<Option<Rc<RoutingTable>>>,
    pub(crate) pool: RefCell<ConnectionPool<UpstreamConnection>>,
    pub(crate) counters: Rc<SharedCounters>,
    in_flight: InFlightCount,
    pub(crate) hints: RefCell<HintPublisher>,
    pub(crate) quotas: QuotaClient,
    /// Schedule of the shutdown; set once the process is asked to end.
    pub(crate) shutdown: Cell<Option<Shutdown>>,
    pub(crate) idle_clients: RefCell<IdleClients>,
    /// Maximum number of client connections that are served.
    pub(crate) max_clients: usize,
    pub(crate) body_memory: BodyMemory,
    /// Upper bound of the configuration's age; `None` before the first configuration.
    configuration_age: RefCell<Option<ConfigurationAge>>,
    /// Age of the configuration beyond which requests with a key are rejected; `None` if the settings don't bound the
    /// time until a key is revoked.
    max_key_age: Option<Duration>,
    random: RefCell<Pcg64Mcg>,
}

impl ProxyState {
    /// Creates the state of a process that has no snapshot of the fleet yet.
    pub(crate) fn new(settings: &ProcessSettings, counters: Rc<SharedCounters>) -> Self {
        // `RandomState` is seeded from the system's random source.
        let seed = RandomState::new().build_hasher().finish();
        let capacity = Capacity::from_settings(settings);
        let mut load_balancer = LoadBalancer::new(load_balancer_settings(settings, seed));
        if settings.bootstrap {
            load_balancer.set_first_start();
        }
        Self {
            clock: Clock::start(),
            load_balancer: RefCell::new(load_balancer),
            routing_table: RefCell::default(),
            pool: RefCell::new(ConnectionPool::new(capacity.max_host_connections)),
            counters,
            in_flight: InFlightCount::default(),
            hints: RefCell::new(HintPublisher::new(&settings.limits)),
            quotas: QuotaClient::new(RandomState::new().build_hasher().finish()),
            shutdown: Cell::default(),
            idle_clients: RefCell::default(),
            max_clients: capacity.max_clients,
            body_memory: BodyMemory::new(capacity.max_body_bytes),
            configuration_age: RefCell::default(),
            max_key_age: max_key_age(settings),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        }
    }

    /// Returns the time since the start of the process.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Converts a time since the start of the process to an instant.
    pub(crate) fn at(&self, time: Duration) -> Instant {
        self.clock.at(time)
    }

    /// Returns a uniformly distributed random number.
    pub(crate) fn random_u64(&self) -> u64 {
        self.random.borrow_mut().random()
    }

    /// Returns a uniformly distributed random number in [0, 1).
    pub(crate) fn random_unit(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    /// Returns the current routing table; `None` before the first configuration.
    pub(crate) fn routing_table(&self) -> Option<Rc<RoutingTable>> {
        self.routing_table.borrow().clone()
    }

    /// Returns the operators' limits on client requests; the defaults before the first configuration.
    pub(crate) fn client_limits(&self) -> Limits {
        self.routing_table
            .borrow()
            .as_ref()
            .map_or_else(Limits::default, |table| table.client_limits)
    }

    /// Returns whether the process is ready for requests: it has hosts and isn't shutting down.
    pub(crate) fn is_ready(&self) -> bool {
        let has_hosts = self
            .routing_table
            .borrow()
            .as_ref()
            .is_some_and(|table| table.has_hosts);
        has_hosts && self.shutdown.get().is_none()
    }

    /// Returns whether the configuration is recent enough for its keys to be accepted. A key that was revoked longer
    /// ago than the operators' bounds allow must not be.
    pub(crate) fn has_current_keys(&self) -> bool {
        let Some(max_age) = self.max_key_age else {
            return true;
        };
        let configuration_age = self.configuration_age.borrow();
        let age = configuration_age.as_ref().and_then(ConfigurationAge::now);
        age.is_some_and(|age| age <= max_age)
    }

    /// Returns whether a request with this deadline, on a route of this kind, may be sent to a host now.
    pub(crate) fn admits(&self, deadline: Duration, kind: RouteKind) -> bool {
        self.shutdown
            .get()
            .is_none_or(|shutdown| shutdown.admits(self.now(), deadline, kind))
    }

    /// Returns the maximum number of connections from this process to one host of the service.
    pub(crate) fn max_connections_per_host(&self, service: &str) -> usize {
        self.routing_table
            .borrow()
            .as_ref()
            .and_then(|table| table.connections_per_host.get(service).copied())
            .unwrap_or(MIN_CONNECTIONS_PER_HOST)
    }

    /// Ticks the load balancer while attempts are in flight, so that it detects when this process was stalled.
    pub(crate) async fn run_ticks(&self) {
        loop {
            self.in_flight.wait_until_non_zero().await;
            sleep(TICK_INTERVAL).await;
            self.load_balancer.borrow_mut().tick(self.now());
        }
    }
}

fn load_balancer_settings(settings: &ProcessSettings, random_seed: u64) -> LoadBalancerSettings {
    let bounds = &settings.bounds;
    LoadBalancerSettings {
        zone: settings.zone.as_str().into(),
        retry_ratio: bounds.retry_ratio,
        retry_window: duration_from_secs(bounds.retry_window_s),
        retry_slack: bounds.retry_slack,
        random_seed,
    }
}

/// Returns the maximum age of a configuration whose keys are accepted; `None` if revocation isn't bounded. A request
/// that is sent `revoke_ms` after a key was revoked can't arrive earlier than that, so a process that still accepts the
/// key has missed the revocation for at least that time.
fn max_key_age(settings: &ProcessSettings) -> Option<Duration> {
    let bounds = &settings.bounds;
    let max_age = duration_from_secs(bounds.revoke_ms / 1e3 * KEY_AGE_SHARE);
    bounds.revocation.then_some(max_age)
}

/// Converts seconds to a duration; zero for values that are negative, too large or not a number.
fn duration_from_secs(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}
