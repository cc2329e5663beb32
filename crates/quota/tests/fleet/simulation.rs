//! Simulation of proxies and members that share the quota of one tenant, in steps of 5 ms.

use configuration::RateLimit;
use quota::{
    Decision, FleetView, HomeDirectory, LocalQuota, QuotaServer, QuotaSettings, RequestId,
    TenantLimit,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const TENANT: &str = "acme";
const MEMBERS: u64 = 6;
const PROXIES: u64 = 80;
const ZONES: u64 = 4;
const STEP: Duration = Duration::from_millis(5);
const RUN_TIME: Duration = Duration::from_secs(40);
/// Time at which requests start, after the buckets have had time to fill.
const TRAFFIC_START: Duration = Duration::from_secs(4);
/// Length of the sliding window over which the granted units are checked.
const CHECK_WINDOW: Duration = Duration::from_secs(8);
/// Tolerated excess over the limit, as a fraction of it.
const TOLERATED_EXCESS: f64 = 0.1;
/// Units allowed beyond the tolerated excess, about two of the largest requests.
const MARGIN_UNITS: f64 = 190_000.0;
const MAX_REQUEST_COST: f64 = 93_000.0;
const MEAN_REQUEST_COST: f64 = 8_600.0;
const LIMIT: RateLimit = RateLimit {
    rate_per_s: 300_000.0,
    burst_size: 900_000.0,
};
/// Time without a reply after which a proxy asks another member.
const REPLY_TIMEOUT: Duration = Duration::from_millis(75);
/// Maximum time for which a request may be held.
const MAX_WAIT: Duration = Duration::from_millis(50);
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Kind of faults that a run injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Faults {
    None,
    LostDatagrams,
    KilledMembers,
    FrozenMembers,
    /// Some proxies can't reach some of the members for a while.
    UnreachableMembers,
    /// Each zone's proxies reach only the members of their own zone for a while.
    ZonePartition,
    KilledProxies,
    /// No proxy reaches any member for a while.
    AllMembersUnreachable,
    All,
}

/// Deliberate bug of a home or a proxy that the checks have to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    HomeStartsFull,
    RefundTwice,
    WholeRateAtEveryHome,
    LocalGrantImmediately,
    LocalWholeLimit,
}

pub struct Plan {
    pub seed: u64,
    pub faults: Faults,
    /// Demand as a multiple of the limit.
    pub demand: f64,
    pub bug: Option<Bug>,
}

pub struct RunResult {
    /// Largest number of units over the bound in any window; below 0 if the bound was kept.
    pub max_excess: f64,
    pub max_excess_at: Duration,
    pub refused_share: f64,
    /// Units used as a fraction of the rate multiplied by the time with traffic.
    pub used_fraction: f64,
}

struct SimulatedMember {
    server: QuotaServer,
    next_tick: Duration,
    /// Time until which it handles no datagrams and no ticks.
    stalled_until: Duration,
    /// Time at which it restarts without its state; `None` while it is up.
    down_until: Option<Duration>,
}

struct SimulatedProxy {
    id: u64,
    directory: HomeDirectory,
    local: LocalQuota,
    sequence: u64,
    next_announcement: Duration,
    started_at: Duration,
    down_until: Duration,
}

pub struct Simulation {
    faults: Faults,
    bug: Option<Bug>,
    demand: f64,
    random: Pcg64Mcg,
    now: Duration,
    members: BTreeMap<u64, SimulatedMember>,
    proxies: Vec<SimulatedProxy>,
    /// Time and units of each use in the current window.
    used: VecDeque<(Duration, f64)>,
    used_in_window: f64,
    total_used: f64,
    requests: u64,
    refused: u64,
    next_proxy_id: u64,
    max_excess: f64,
    max_excess_at: Duration,
}

impl Simulation {
    pub fn run(plan: &Plan) -> RunResult {
        let mut simulation = Self::new(plan);
        while simulation.now < RUN_TIME {
            simulation.step();
        }
        let traffic_s = (RUN_TIME - TRAFFIC_START).as_secs_f64();
        RunResult {
            max_excess: simulation.max_excess,
            max_excess_at: simulation.max_excess_at,
            refused_share: simulation.refused as f64 / simulation.requests.max(1) as f64,
            used_fraction: simulation.total_used / (LIMIT.rate_per_s * traffic_s),
        }
    }

    fn new(plan: &Plan) -> Self {
        let mut simulation = Self {
            faults: plan.faults,
            bug: plan.bug,
            demand: plan.demand,
            random: Pcg64Mcg::seed_from_u64(plan.seed),
            now: Duration::ZERO,
            members: BTreeMap::new(),
            proxies: Vec::new(),
            used: VecDeque::new(),
            used_in_window: 0.0,
            total_used: 0.0,
            requests: 0,
            refused: 0,
            next_proxy_id: 1,
            max_excess: f64::NEG_INFINITY,
            max_excess_at: Duration::ZERO,
        };
        for id in 1..=MEMBERS {
            let member = simulation.new_member(id);
            simulation.members.insert(id, member);
        }
        for _ in 0..PROXIES {
            let proxy = simulation.new_proxy();
            simulation.proxies.push(proxy);
        }
        simulation
    }

    fn new_member(&self, id: u64) -> SimulatedMember {
        let settings = QuotaSettings {
            member_id: id,
            excess: TOLERATED_EXCESS,
        };
        let mut server = QuotaServer::new(self.now, settings);
        server.set_fleet(self.now, fleet());
        if self.bug == Some(Bug::HomeStartsFull) {
            let id = RequestId {
                proxy: u64::MAX,
                sequence: 0,
            };
            server.on_request(
                self.now,
                id,
                TENANT,
                tenant_limit(),
                -LIMIT.burst_size,
                None,
            );
        }
        SimulatedMember {
            server,
            next_tick: self.now,
            stalled_until: Duration::ZERO,
            down_until: None,
        }
    }

    fn new_proxy(&mut self) -> SimulatedProxy {
        let id = self.next_proxy_id;
        self.next_proxy_id += 1;
        let mut directory = HomeDirectory::default();
        directory.set_members((1..=MEMBERS).collect());
        SimulatedProxy {
            id,
            directory,
            local: LocalQuota::default(),
            sequence: 0,
            next_announcement: self.now,
            started_at: self.now,
            down_until: Duration::ZERO,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.inject_faults();
        for member in self.members.values_mut() {
            let is_up = member.down_until.is_none() && self.now >= member.stalled_until;
            if is_up && self.now >= member.next_tick {
                member.next_tick = self.now + TICK_INTERVAL;
                member.server.tick(self.now);
            }
        }
        for index in 0..self.proxies.len() {
            if self.now >= self.proxies[index].down_until {
                self.run_proxy(index);
            }
        }
        self.check_window();
    }

    fn injects(&self, fault: Faults) -> bool {
        self.faults == fault || self.faults == Faults::All
    }

    /// Returns at random whether an event with a mean interval of `period_s` seconds happens in this step.
    fn happens_now(&mut self, period_s: f64) -> bool {
        self.random.random::<f64>() < STEP.as_secs_f64() / period_s
    }

    fn inject_faults(&mut self) {
        let mut restarted = Vec::new();
        for (id, member) in &mut self.members {
            if member.down_until.is_some_and(|until| self.now >= until) {
                restarted.push(*id);
            }
        }
        for id in restarted {
            let member = self.new_member(id);
            self.members.insert(id, member);
        }
        if self.now < TRAFFIC_START {
            return;
        }
        let id = 1 + self.random.random::<u64>() % MEMBERS;
        if self.injects(Faults::KilledMembers) && self.happens_now(5.0) {
            let down = Duration::from_millis(500 + self.random.random::<u64>() % 3000);
            if let Some(member) = self.members.get_mut(&id) {
                member.down_until = Some(self.now + down);
            }
        }
        if self.injects(Faults::FrozenMembers) && self.happens_now(4.0) {
            let stall = Duration::from_millis(200 + self.random.random::<u64>() % 4000);
            if let Some(member) = self.members.get_mut(&id) {
                member.stalled_until = self.now + stall;
            }
        }
        if self.injects(Faults::KilledProxies) && self.happens_now(1.0) {
            let index = (self.random.random::<u64>() % PROXIES) as usize;
            let down = Duration::from_millis(self.random.random::<u64>() % 2000);
            let mut proxy = self.new_proxy();
            proxy.down_until = self.now + down;
            proxy.started_at = proxy.down_until;
            self.proxies[index] = proxy;
        }
    }

    /// Returns whether a datagram between this proxy and this member is delivered, in either direction.
    fn reaches(&mut self, proxy: usize, member: u64) -> bool {
        let is_lost = self.injects(Faults::LostDatagrams) && self.random.random::<f64>() < 0.05;
        let zone = proxy as u64 % ZONES;
        let partition_active =
            self.now >= Duration::from_secs(10) && self.now < Duration::from_secs(18);
        let is_partitioned = match self.faults {
            Faults::UnreachableMembers => member.is_multiple_of(2) && zone == 0,
            Faults::ZonePartition => member % ZONES != zone,
            Faults::AllMembersUnreachable => true,
            Faults::All => member % 3 == zone % 3,
            _ => false,
        };
        !(is_lost || (is_partitioned && partition_active))
    }

    fn is_serving(&self, member: u64) -> bool {
        let member = &self.members[&member];
        member.down_until.is_none() && self.now >= member.stalled_until
    }

    fn run_proxy(&mut self, index: usize) {
        if self.now >= self.proxies[index].next_announcement {
            self.proxies[index].next_announcement = self.now + ANNOUNCE_INTERVAL;
            self.proxies[index].directory.begin_announcement_round();
            self.announce(index);
        }
        if self.now < TRAFFIC_START {
            return;
        }
        let requests_per_s = self.demand * LIMIT.rate_per_s / MEAN_REQUEST_COST / PROXIES as f64;
        if self.random.random::<f64>() < requests_per_s * STEP.as_secs_f64() {
            self.request(index);
        }
    }

    fn announce(&mut self, index: usize) {
        let proxy = &self.proxies[index];
        let (id, unreachable) = (proxy.id, proxy.directory.unreachable());
        let unused = if proxy.sequence > 0 {
            Duration::ZERO
        } else {
            self.now - proxy.started_at.min(self.now)
        };
        for member in 1..=MEMBERS {
            if !self.is_serving(member) || !self.reaches(index, member) {
                continue;
            }
            let now = self.now;
            let other_members: BTreeSet<u64> =
                (1..=MEMBERS).filter(|other| *other != member).collect();
            if let Some(member) = self.members.get_mut(&member) {
                let unreachable = unreachable.iter().copied().collect();
                member.server.on_presence(now, id, unused, unreachable);
                if self.bug == Some(Bug::WholeRateAtEveryHome) {
                    for other in 1..=PROXIES {
                        let unreachable = other_members.clone();
                        member.server.on_presence(now, other, unused, unreachable);
                    }
                }
            }
            if self.reaches(index, member) {
                self.proxies[index].directory.on_reply(member);
            }
        }
    }

    fn request(&mut self, index: usize) {
        self.requests += 1;
        let uniform: f64 = self.random.random();
        let cost = (-uniform.max(1e-9).ln() * MEAN_REQUEST_COST).min(MAX_REQUEST_COST);
        match self.acquire(index, cost) {
            Decision::Granted { wait } => self.record_use(wait, cost),
            Decision::Refused { .. } => self.refused += 1,
        }
    }

    fn acquire(&mut self, index: usize, cost: f64) -> Decision {
        for _ in 0..3 {
            let Some(home) = self.proxies[index].directory.home(TENANT) else {
                break;
            };
            if let Some(decision) = self.request_decision(index, home, cost) {
                let burst_left = self.members[&home].server.burst_left(TENANT);
                let now = self.now;
                self.proxies[index]
                    .local
                    .on_home_reply(now, TENANT, burst_left);
                return decision;
            }
            if self.proxies[index].directory.on_timeout(home) {
                self.proxies[index].directory.begin_announcement_round();
                self.announce(index);
            }
        }
        let random = match self.bug {
            Some(Bug::LocalGrantImmediately) => 0.0,
            _ => self.random.random(),
        };
        let proxies = match self.bug {
            Some(Bug::LocalWholeLimit) => 1,
            _ => PROXIES as usize,
        };
        let local = &mut self.proxies[index].local;
        local.take(self.now, TENANT, LIMIT, proxies, cost, random)
    }

    /// Returns the home's decision; `None` if it doesn't answer in time. A real stalled member would handle the request
    /// once it resumes, when no proxy waits for it any more. That is not simulated: it would only charge units that
    /// nobody uses, so leaving it out can't hide an excess.
    fn request_decision(&mut self, index: usize, home: u64, cost: f64) -> Option<Decision> {
        self.proxies[index].sequence += 1;
        let id = RequestId {
            proxy: self.proxies[index].id,
            sequence: self.proxies[index].sequence,
        };
        let mut waited = Duration::ZERO;
        while waited < REPLY_TIMEOUT {
            waited += REPLY_TIMEOUT / 2;
            if !self.is_serving(home) || !self.reaches(index, home) {
                continue;
            }
            let (now, limit) = (self.now, tenant_limit());
            let member = self.members.get_mut(&home)?;
            let server = &mut member.server;
            let decision = server.on_request(now, id, TENANT, limit, cost, Some(MAX_WAIT));
            self.inject_double_refund(home, id, decision, cost);
            if self.reaches(index, home) {
                return Some(decision);
            }
        }
        None
    }

    /// Injects [`Bug::RefundTwice`]: refunds half of the granted units twice, under two sequence numbers.
    fn inject_double_refund(&mut self, home: u64, id: RequestId, decision: Decision, cost: f64) {
        let is_granted = matches!(decision, Decision::Granted { .. });
        if self.bug != Some(Bug::RefundTwice) || !is_granted {
            return;
        }
        let now = self.now;
        let Some(member) = self.members.get_mut(&home) else {
            return;
        };
        for copy in 1..=2 {
            let id = RequestId {
                proxy: id.proxy,
                sequence: id.sequence + copy * (1 << 40),
            };
            let server = &mut member.server;
            server.on_request(now, id, TENANT, tenant_limit(), -cost / 2.0, None);
        }
    }

    fn record_use(&mut self, wait: Duration, cost: f64) {
        self.used.push_back((self.now + wait, cost));
        self.used_in_window += cost;
        self.total_used += cost;
    }

    /// Compares the units used in the window that ends now with the bound.
    fn check_window(&mut self) {
        let start = self.now.saturating_sub(CHECK_WINDOW);
        while let Some((at, cost)) = self.used.front().copied() {
            if at >= start {
                break;
            }
            self.used_in_window -= cost;
            self.used.pop_front();
        }
        let allowed = LIMIT.rate_per_s * CHECK_WINDOW.as_secs_f64() + LIMIT.burst_size;
        let excess = self.used_in_window - allowed * (1.0 + TOLERATED_EXCESS) - MARGIN_UNITS;
        if excess > self.max_excess {
            self.max_excess = excess;
            self.max_excess_at = self.now;
        }
    }
}

fn tenant_limit() -> TenantLimit {
    TenantLimit {
        configuration_version: 1,
        limit: LIMIT,
    }
}

fn fleet() -> FleetView {
    FleetView {
        members: (1..=MEMBERS).collect(),
        proxy_count: PROXIES as usize,
        tenants: vec![(TENANT.to_owned(), tenant_limit())],
    }
}
