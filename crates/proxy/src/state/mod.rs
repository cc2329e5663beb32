//! What all connections share.

use crate::client::idle::IdleClients;
use crate::counters::SharedCounters;
use crate::fleet::FleetSnapshot;
use crate::hints::publisher::Hints;
use crate::routes::RouteTable;
use crate::shutdown::Shutdown;
use crate::upstream::connection::UpstreamConnection;
use crate::upstream::pool::ConnectionPool;
use balancing::{AttemptId, HostLoad, LoadBalancer, LoadBalancerSettings, Outcome, ServiceInfo};
use configuration::{Configuration, Limits, ProcessSettings};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::hash::{BuildHasher, Hasher};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Descriptors left for listeners, the connection to the agent and what is opened for a moment.
const SPARE_FDS: u64 = 250;
/// Share of the descriptors for clients; the others are for hosts.
const CLIENTS_SHARE: f64 = 0.6;
/// Share of the memory for bodies that are held.
const BODIES_SHARE: f64 = 0.3;
/// Time between two calls of the policy at least, while attempts are out.
const TICK: Duration = Duration::from_millis(100);

/// What is known since the last news.
pub(crate) struct RoutingTable {
    document: Arc<Configuration>,
    pub(crate) routes: RouteTable,
    pub(crate) limits: Limits,
    /// Connections that one host of a service takes from this process.
    conns: HashMap<String, usize>,
    has_hosts: bool,
}

/// State of the process, on its one thread.
pub(crate) struct ProxyState {
    origin: Instant,
    pub(crate) policy: RefCell<LoadBalancer>,
    known: RefCell<Option<Rc<RoutingTable>>>,
    pub(crate) pool: RefCell<ConnectionPool<UpstreamConnection>>,
    pub(crate) counters: Rc<SharedCounters>,
    outs: Cell<usize>,
    /// Told when the first attempt goes out.
    began: Notify,
    pub(crate) hints: RefCell<Hints>,
    /// Set once the process is told to end.
    pub(crate) shutdown: Cell<Option<Shutdown>>,
    pub(crate) idle_clients: RefCell<IdleClients>,
    pub(crate) most_clients: usize,
    most_bodies: usize,
    bodies: Cell<usize>,
    draws: Cell<u64>,
}

impl ProxyState {
    pub(crate) fn new(boot: &ProcessSettings, counters: Rc<SharedCounters>) -> Self {
        let seed = std::collections::hash_map::RandomState::new()
            .build_hasher()
            .finish();
        let bounds = &boot.bounds;
        let seconds = |s: f64| Duration::try_from_secs_f64(s).unwrap_or_default();
        let settings = LoadBalancerSettings {
            zone: boot.zone.as_str().into(),
            retry_ratio: bounds.retry_ratio,
            retry_window: seconds(bounds.retry_window_s),
            retry_slack: bounds.retry_slack,
            random_seed: seed,
        };
        let fds = boot.limits.fd_limit.saturating_sub(SPARE_FDS).max(16) as f64;
        let memory = boot.limits.memory_mb as f64 * 1024.0 * 1024.0;
        let mut policy = LoadBalancer::new(settings);
        if boot.bootstrap {
            policy.set_first_start();
        }
        Self {
            origin: Instant::now(),
            policy: RefCell::new(policy),
            known: RefCell::default(),
            pool: RefCell::new(ConnectionPool::new((fds * (1.0 - CLIENTS_SHARE)) as usize)),
            counters,
            outs: Cell::new(0),
            began: Notify::new(),
            hints: RefCell::default(),
            shutdown: Cell::default(),
            idle_clients: RefCell::default(),
            most_clients: (fds * CLIENTS_SHARE) as usize,
            most_bodies: (memory * BODIES_SHARE) as usize,
            bodies: Cell::new(0),
            draws: Cell::new(seed),
        }
    }

    /// Time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    pub(crate) fn since_start(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.origin)
    }

    pub(crate) fn at(&self, time: Duration) -> Instant {
        self.origin + time
    }

    /// Numbers that are spread evenly (SplitMix64).
    pub(crate) fn draw(&self) -> u64 {
        let state = self.draws.get().wrapping_add(0x9E37_79B9_7F4A_7C15);
        self.draws.set(state);
        let z = (state ^ (state >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    /// What is known now; `None` before the first configuration.
    pub(crate) fn known(&self) -> Option<Rc<RoutingTable>> {
        self.known.borrow().clone()
    }

    /// Bounds on clients.
    pub(crate) fn limits(&self) -> Limits {
        self.known
            .borrow()
            .as_ref()
            .map_or_else(Limits::default, |k| k.limits)
    }

    /// Whether requests are to come here.
    pub(crate) fn ready(&self) -> bool {
        self.shutdown.get().is_none() && self.known.borrow().as_ref().is_some_and(|k| k.has_hosts)
    }

    /// Whether a request with this deadline may be given to a host now; `repeatable` where it is answered whole and may
    /// run twice.
    pub(crate) fn takes(&self, deadline: Duration, repeatable: bool) -> bool {
        self.shutdown
            .get()
            .is_none_or(|shutdown| shutdown.takes(self.now(), deadline, repeatable))
    }

    /// Connections that one host of this service takes from this process.
    pub(crate) fn conns(&self, service: &str) -> usize {
        self.known
            .borrow()
            .as_ref()
            .and_then(|k| k.conns.get(service).copied())
            .unwrap_or(4)
    }

    /// While attempts are out, tells the policy that time passes: a stall of this process shows in a gap.
    pub(crate) async fn tick(&self) {
        loop {
            while self.outs.get() == 0 {
                self.began.notified().await;
            }
            tokio::time::sleep(TICK).await;
            self.policy.borrow_mut().tick(self.now());
        }
    }

    /// Takes news in. A configuration that is older than the known one is passed over.
    pub(crate) fn learn(&self, snapshot: &FleetSnapshot) {
        let now = self.now();
        let before = self.known();
        let stale = before
            .as_ref()
            .is_some_and(|k| k.document.version > snapshot.configuration.version);
        let document = match &before {
            Some(k) if stale => &k.document,
            _ => &snapshot.configuration,
        };
        let same = before
            .as_ref()
            .filter(|k| Arc::ptr_eq(&k.document, document));
        let mut policy = self.policy.borrow_mut();
        if same.is_none() {
            let services: Vec<ServiceInfo> =
                document.services.iter().map(|s| info(&s.value)).collect();
            policy.set_services(now, &services);
            log::info!(
                "configuration {}: {} routes",
                document.version,
                document.routes.len()
            );
        }
        let all_told = self
            .hints
            .borrow_mut()
            .set_others(&snapshot.peer_hint_addresses);
        policy.set_hints_complete(now, all_told);
        policy.set_proxy_count(now, snapshot.proxy_count);
        policy.set_hosts(now, &snapshot.hosts);
        let ids: HashSet<&str> = snapshot.hosts.iter().map(|h| &*h.id).collect();
        self.pool.borrow_mut().retain_hosts(&ids);
        for host in snapshot.hosts.iter().filter(|h| h.draining) {
            self.pool.borrow_mut().close_idle(&host.id);
        }
        let has_hosts = snapshot.hosts.iter().any(|h| !h.draining);
        let conns = |limit: u32| (limit as usize / snapshot.proxy_count.max(1)).max(4);
        let conns = document
            .services
            .iter()
            .map(|s| (s.value.name.clone(), conns(s.value.conn_limit)))
            .collect();
        match same {
            Some(k) if k.conns == conns && k.has_hosts == has_hosts => {}
            _ => {
                let known = RoutingTable {
                    routes: RouteTable::new(document),
                    limits: document.client_limits(),
                    document: document.clone(),
                    conns,
                    has_hosts,
                };
                *self.known.borrow_mut() = Some(Rc::new(known));
            }
        }
    }

    /// Holds so many bytes of bodies; `None` where there is no room.
    pub(crate) fn hold(self: &Rc<Self>, bytes: usize) -> Option<BodyReservation> {
        let mut held = BodyReservation {
            state: self.clone(),
            bytes: 0,
        };
        held.grow(bytes).then_some(held)
    }
}

fn info(service: &configuration::Service) -> ServiceInfo {
    ServiceInfo {
        name: service.name.as_str().into(),
        connection_limit: service.conn_limit,
        cache_capacity_tokens: service.engine.as_ref().map(|e| e.cache_tokens),
    }
}

/// Room for bodies, given back when dropped.
pub(crate) struct BodyReservation {
    state: Rc<ProxyState>,
    bytes: usize,
}

impl BodyReservation {
    /// Room for so many bytes in all; false where there is none.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let sum = self.state.bodies.get() + more;
        if sum > self.state.most_bodies {
            return false;
        }
        self.state.bodies.set(sum);
        self.bytes += more;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.state
            .bodies
            .set(self.state.bodies.get().saturating_sub(self.bytes));
    }
}

/// An attempt that the policy counts as out until it is told the end, or this is dropped.
pub(crate) struct OpenAttempt {
    state: Rc<ProxyState>,
    attempt: AttemptId,
    over: bool,
}

impl OpenAttempt {
    pub(crate) fn new(state: &Rc<ProxyState>, attempt: AttemptId) -> Self {
        state.outs.set(state.outs.get() + 1);
        state.began.notify_one();
        Self {
            state: state.clone(),
            attempt,
            over: false,
        }
    }

    pub(crate) fn first(&self) {
        self.state
            .policy
            .borrow_mut()
            .on_first_byte(self.state.now(), self.attempt);
    }

    /// More came of an answer that has begun.
    pub(crate) fn heard(&self) {
        self.state
            .policy
            .borrow_mut()
            .on_progress(self.state.now(), self.attempt);
    }

    /// The head of an answer that goes on told this load.
    pub(crate) fn told(&self, load: Option<HostLoad>) {
        if let Some(load) = load {
            self.state
                .policy
                .borrow_mut()
                .on_load_report(self.state.now(), self.attempt, load);
        }
    }

    pub(crate) fn patience(&self) -> Option<Duration> {
        self.state
            .policy
            .borrow()
            .attempt_timeout(self.state.now(), self.attempt)
    }

    pub(crate) fn end(mut self, outcome: Outcome, load: Option<HostLoad>) {
        self.close(outcome, load);
    }

    fn close(&mut self, outcome: Outcome, load: Option<HostLoad>) {
        if !std::mem::replace(&mut self.over, true) {
            self.state.outs.set(self.state.outs.get().saturating_sub(1));
            self.state.policy.borrow_mut().on_attempt_ended(
                self.state.now(),
                self.attempt,
                outcome,
                load,
            );
        }
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        self.close(Outcome::Cancelled, None);
    }
}
