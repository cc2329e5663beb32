//! Local quota decisions of a proxy that reaches no member: it grants an even share of each limit by itself.

use crate::token_bucket::Decision;
use configuration::RateLimit;
use std::collections::BTreeMap;
use std::time::Duration;

/// Age up to which the fraction of the burst in a home's last reply is used.
const MAX_BURST_LEFT_AGE: Duration = Duration::from_secs(2);

/// This proxy's share of one tenant's limit.
#[derive(Debug)]
struct LocalShare {
    /// Units available; below 0 in debt.
    level: f64,
    updated_at: Duration,
    /// Fraction of a request's cost that has to be available, drawn at random again after each granted request.
    threshold: f64,
}

/// The last reply of a home for a tenant.
#[derive(Clone, Copy, Debug)]
struct HomeReply {
    received_at: Duration,
    /// Fraction of the burst that was available, from 0 to 1.
    burst_left: f64,
}

/// The proxy's even shares of the tenants' limits, used while it reaches no member.
///
/// A share may be far smaller than the cost of one request. If each proxy waited until the whole cost is available, the
/// fleet would grant far too little at first; if each granted its first request immediately, far too much. So a request
/// is granted once a uniformly drawn fraction of its cost is available, which over all proxies amounts to the rate of
/// the limit. A share starts with an even part of what was left of the burst, which the unreachable home no longer
/// grants.
#[derive(Debug, Default)]
pub struct LocalQuota {
    shares: BTreeMap<String, LocalShare>,
    replies: BTreeMap<String, HomeReply>,
}

impl LocalQuota {
    /// Decides on a request of `cost` units, as one of `proxy_count` proxies. `random` is uniformly distributed in
    /// [0, 1).
    pub fn take(
        &mut self,
        now: Duration,
        tenant: &str,
        limit: RateLimit,
        proxy_count: usize,
        cost: f64,
        random: f64,
    ) -> Decision {
        let proxies = proxy_count.max(1) as f64;
        let rate_per_s = limit.rate_per_s / proxies;
        let burst_size = limit.burst_size / proxies;
        let burst_left = self.burst_left(now, tenant);
        let share = self
            .shares
            .entry(tenant.to_owned())
            .or_insert_with(|| LocalShare {
                level: burst_size * burst_left,
                updated_at: now,
                threshold: random,
            });
        let elapsed = now.saturating_sub(share.updated_at);
        share.updated_at = share.updated_at.max(now);
        let filled = share.level + rate_per_s * elapsed.as_secs_f64();
        share.level = filled.min(burst_size.max(cost));
        let missing = share.threshold * cost - share.level;
        if missing > 0.0 {
            let retry_after = Duration::try_from_secs_f64(missing / rate_per_s);
            return Decision::Refused {
                retry_after: retry_after.unwrap_or(Duration::MAX),
            };
        }
        share.level -= cost;
        share.threshold = random;
        Decision::Granted {
            wait: Duration::ZERO,
        }
    }

    /// Drops the tenant's local share, as a home decides for it again. `burst_left` is the fraction of the burst that
    /// is available there, from 0 to 1.
    pub fn on_home_reply(&mut self, now: Duration, tenant: &str, burst_left: f64) {
        self.shares.remove(tenant);
        let reply = HomeReply {
            received_at: now,
            burst_left: burst_left.clamp(0.0, 1.0),
        };
        self.replies.insert(tenant.to_owned(), reply);
    }

    /// Removes all tenants for which `is_kept` returns false.
    pub fn retain_tenants(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.shares.retain(|name, _| is_kept(name));
        self.replies.retain(|name, _| is_kept(name));
    }

    fn burst_left(&self, now: Duration, tenant: &str) -> f64 {
        let reply = self.replies.get(tenant);
        reply
            .filter(|reply| now.saturating_sub(reply.received_at) <= MAX_BURST_LEFT_AGE)
            .map_or(0.0, |reply| reply.burst_left)
    }
}
