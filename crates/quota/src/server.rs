//! The member's side: decides on quota requests from the token buckets of the tenants whose home it is.

use crate::decision_log::DecisionLog;
pub use crate::decision_log::RequestId;
use crate::presence::{Presence, PresenceChange};
use crate::tenant_quota::TenantQuota;
use crate::token_bucket::Decision;
use configuration::RateLimit;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of tenants kept beyond those of the configuration known here, which may be outdated.
const MAX_UNKNOWN_TENANTS: usize = 1024;
/// Decision for a tenant beyond [`MAX_UNKNOWN_TENANTS`].
const TOO_MANY_TENANTS_DECISION: Decision = Decision::Refused {
    retry_after: Duration::from_millis(500),
};
/// Fraction of the tolerated excess that a home may grant beyond its share. The rest covers the periods in which
/// proxies switch from one home to another.
const HOME_EXCESS_SHARE: f64 = 0.25;
/// Time without requests after which a tenant that isn't in the configuration known here is removed.
const UNKNOWN_TENANT_RETENTION: Duration = Duration::from_secs(60);

/// Settings of a [`QuotaServer`].
#[derive(Clone, Copy, Debug)]
pub struct QuotaSettings {
    /// Id of this member.
    pub member_id: u64,
    /// Excess over the limits that the operators tolerate, as a fraction of the limit. As the number of proxies isn't
    /// known exactly, a home may grant a part of that beyond its share.
    pub excess: f64,
}

/// A tenant's limit and the configuration that it comes from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantLimit {
    /// Version of the configuration that defines the limit.
    pub configuration_version: u64,
    /// Rate and burst of the limit, in units.
    pub limit: RateLimit,
}

/// The fleet as a member knows it.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Ids of the control plane's members, including this one.
    pub members: Vec<u64>,
    /// Number of proxies.
    pub proxy_count: usize,
    /// Names and limits of the tenants that have a limit.
    pub tenants: Vec<(String, TenantLimit)>,
}

/// A tenant's quota usage, as far as this member has decided on it.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantUse {
    /// Name of the tenant.
    pub tenant: String,
    /// The tenant's limit.
    pub limit: RateLimit,
    /// Units available; below 0 in debt.
    pub level: f64,
    /// Units granted since this process started, less those refunded.
    pub units_granted: f64,
    /// Requests granted since this process started.
    pub granted: u64,
    /// Requests refused since this process started.
    pub refused: u64,
}

/// Decides on requests of the tenants whose home this member is. The buckets of all other tenants stay empty here.
#[derive(Debug)]
pub struct QuotaServer {
    settings: QuotaSettings,
    /// Start of this process.
    started_at: Duration,
    members: Vec<u64>,
    proxy_count: usize,
    presence: Presence,
    tenants: BTreeMap<String, TenantQuota>,
    /// Names of the tenants in the configuration known here.
    configured_tenants: BTreeSet<String>,
    decisions: DecisionLog,
    /// Whether proxies, members or tenants have changed since the shares were last computed.
    shares_outdated: bool,
}

impl QuotaServer {
    /// Creates a server that starts at `now`, with no tenants and no proxies.
    pub fn new(now: Duration, settings: QuotaSettings) -> Self {
        Self {
            settings,
            started_at: now,
            members: Vec::new(),
            proxy_count: 0,
            presence: Presence::default(),
            tenants: BTreeMap::new(),
            configured_tenants: BTreeSet::new(),
            decisions: DecisionLog::default(),
            shares_outdated: false,
        }
    }

    /// Applies a new view of the fleet. Tenants that exist already keep their buckets.
    pub fn set_fleet(&mut self, now: Duration, fleet: FleetView) {
        if self.members != fleet.members {
            self.members = fleet.members;
            for (name, tenant) in &mut self.tenants {
                tenant.set_members(name, &self.members);
            }
        }
        self.proxy_count = fleet.proxy_count;
        self.configured_tenants = fleet.tenants.iter().map(|(name, _)| name.clone()).collect();
        for (name, limit) in fleet.tenants {
            self.tenant(now, &name, limit);
        }
        self.shares_outdated = true;
    }

    /// Handles a proxy's announcement of its presence and of the members that it can't reach. `unused` is the time for
    /// which its process has run without requesting any quota; zero once it has.
    ///
    /// The share of the rate that such a proxy left unused since this process started is credited to the buckets. So
    /// after a restart of the whole system the buckets fill from the start, not from the first announcement.
    pub fn on_presence(
        &mut self,
        now: Duration,
        proxy: u64,
        unused: Duration,
        unreachable: BTreeSet<u64>,
    ) {
        let age = now.saturating_sub(self.started_at);
        let credited_since = now.saturating_sub(unused.min(age));
        let change = self
            .presence
            .announce(now, proxy, unreachable, credited_since);
        self.shares_outdated |= change != PresenceChange::Unchanged;
        if change == PresenceChange::Added {
            self.credit_new_proxy(now, proxy);
        }
    }

    fn credit_new_proxy(&mut self, now: Duration, proxy: u64) {
        let Some(since) = self.presence.credited_since(proxy) else {
            return;
        };
        let share = 1.0 / self.sharing_proxy_count();
        let past = now.saturating_sub(since);
        let age = now.saturating_sub(self.started_at);
        let nothing_unreachable = BTreeSet::new();
        for tenant in self.tenants.values_mut() {
            if tenant.is_homed_at(self.settings.member_id, &nothing_unreachable) {
                tenant.bucket.backfill(share, past, age);
            }
        }
    }

    /// Returns the number of proxies that share the limits; at least 1.
    fn sharing_proxy_count(&self) -> f64 {
        self.proxy_count.max(self.presence.count()).max(1) as f64
    }

    /// Decides on a tenant's request of `cost` units; `limit` is the limit that the proxy knows. A negative cost
    /// refunds units. Without `max_wait` the units have been used already and are charged in any case. A retransmitted
    /// request gets its original decision.
    pub fn on_request(
        &mut self,
        now: Duration,
        id: RequestId,
        tenant: &str,
        limit: TenantLimit,
        cost: f64,
        max_wait: Option<Duration>,
    ) -> Decision {
        self.shares_outdated |= self.presence.record_contact(now, id.proxy);
        if let Some(decision) = self.decisions.find(id) {
            return decision;
        }
        if self.has_too_many_tenants(tenant) {
            return TOO_MANY_TENANTS_DECISION;
        }
        let quota = self.tenant(now, tenant, limit);
        quota.last_request_at = now;
        self.update_shares(now);
        let quota = self.tenant(now, tenant, limit);
        let decision = quota.decide(now, cost, max_wait);
        self.decisions.record(id, decision);
        decision
    }

    /// Removes silent proxies and unknown tenants, and refills the buckets. To be called about every 100 ms: of a pause
    /// longer than 300 ms only that time is refilled.
    pub fn tick(&mut self, now: Duration) {
        if self.presence.expire(now) {
            let presence = &self.presence;
            self.decisions.retain(|proxy| presence.contains(proxy));
            self.shares_outdated = true;
        }
        let configured_tenants = &self.configured_tenants;
        self.tenants.retain(|name, tenant| {
            let requested_recently =
                now.saturating_sub(tenant.last_request_at) < UNKNOWN_TENANT_RETENTION;
            requested_recently || configured_tenants.contains(name)
        });
        self.update_shares(now);
        for tenant in self.tenants.values_mut() {
            tenant.bucket.refill(now);
        }
    }

    /// Returns the fraction of a tenant's burst that is available here, from 0 to 1.
    pub fn burst_left(&self, tenant: &str) -> f64 {
        let tenant = self.tenants.get(tenant);
        tenant.map_or(0.0, |tenant| tenant.bucket.burst_left())
    }

    /// Returns the quota usage of the tenants with requests that were decided here, ordered by name.
    pub fn uses(&self) -> Vec<TenantUse> {
        let has_decisions = |tenant: &TenantQuota| tenant.granted + tenant.refused > 0;
        let tenants = self
            .tenants
            .iter()
            .filter(|(_, tenant)| has_decisions(tenant));
        tenants
            .map(|(name, tenant)| TenantUse {
                tenant: name.clone(),
                limit: tenant.bucket.limit(),
                level: tenant.bucket.level(),
                units_granted: tenant.units_granted,
                granted: tenant.granted,
                refused: tenant.refused,
            })
            .collect()
    }

    /// Returns whether `tenant` is new here and the number of tenants has reached its limit, which bounds the memory.
    fn has_too_many_tenants(&self, tenant: &str) -> bool {
        let max_tenants = self.configured_tenants.len() + MAX_UNKNOWN_TENANTS;
        self.tenants.len() >= max_tenants && !self.tenants.contains_key(tenant)
    }

    fn tenant(&mut self, now: Duration, name: &str, limit: TenantLimit) -> &mut TenantQuota {
        if !self.tenants.contains_key(name) {
            self.shares_outdated = true;
            let quota = self.new_tenant(now, name, limit);
            self.tenants.insert(name.to_owned(), quota);
        }
        let members = &self.members;
        let quota = self
            .tenants
            .entry(name.to_owned())
            .or_insert_with(|| TenantQuota::new(now, name, limit, members));
        quota.set_limit(now, limit);
        quota
    }

    /// Creates the state of a tenant that wasn't known here, with the bucket filled as if it had been known from the
    /// start.
    fn new_tenant(&self, now: Duration, name: &str, limit: TenantLimit) -> TenantQuota {
        let mut quota = TenantQuota::new(now, name, limit, &self.members);
        let share = 1.0 / self.sharing_proxy_count();
        let age = now.saturating_sub(self.started_at);
        for (unreachable, since) in self.presence.credited_proxies() {
            if quota.is_homed_at(self.settings.member_id, unreachable) {
                let past = now.saturating_sub(since);
                quota.bucket.backfill(share, past, age);
            }
        }
        quota
    }

    /// Sets each bucket's refill share to the fraction of proxies that have this member as the tenant's home.
    fn update_shares(&mut self, now: Duration) {
        if !std::mem::take(&mut self.shares_outdated) {
            return;
        }
        let proxies_by_unreachable = self.presence.counts_by_unreachable();
        let proxies = self.sharing_proxy_count();
        for tenant in self.tenants.values_mut() {
            let homed_proxies =
                tenant.proxies_homed_at(self.settings.member_id, &proxies_by_unreachable) as f64;
            let share = homed_proxies / proxies * (1.0 + HOME_EXCESS_SHARE * self.settings.excess);
            tenant.bucket.set_share(now, share.min(1.0));
        }
    }
}
