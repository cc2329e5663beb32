//! State of one tenant's quota at one member.

use crate::placement::{home, ranking};
use crate::token_bucket::{Decision, TokenBucket};
use crate::TenantLimit;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// One tenant's quota at one member.
#[derive(Debug)]
pub(crate) struct TenantQuota {
    pub(crate) bucket: TokenBucket,
    /// Version of the configuration that the limit comes from.
    configuration_version: u64,
    /// The members in order of preference as this tenant's home.
    ranking: Vec<u64>,
    pub(crate) last_request_at: Duration,
    /// Units granted, less those refunded.
    pub(crate) units_granted: f64,
    /// Number of requests granted.
    pub(crate) granted: u64,
    /// Number of requests refused.
    pub(crate) refused: u64,
}

impl TenantQuota {
    pub(crate) fn new(now: Duration, name: &str, limit: TenantLimit, members: &[u64]) -> Self {
        Self {
            bucket: TokenBucket::empty(now, limit.limit),
            configuration_version: limit.configuration_version,
            ranking: ranking(name, members),
            last_request_at: now,
            units_granted: 0.0,
            granted: 0,
            refused: 0,
        }
    }

    /// Applies a limit if it comes from a newer configuration than the current one.
    pub(crate) fn set_limit(&mut self, now: Duration, limit: TenantLimit) {
        if limit.configuration_version > self.configuration_version {
            self.configuration_version = limit.configuration_version;
            self.bucket.set_limit(now, limit.limit);
        }
    }

    pub(crate) fn set_members(&mut self, name: &str, members: &[u64]) {
        self.ranking = ranking(name, members);
    }

    /// Returns whether `member` is the tenant's home for a proxy that can't reach the `unreachable` members.
    pub(crate) fn is_homed_at(&self, member: u64, unreachable: &BTreeSet<u64>) -> bool {
        home(&self.ranking, unreachable) == Some(member)
    }

    /// Returns the number of proxies that have `member` as this tenant's home. `proxies_by_unreachable` counts the
    /// proxies by the set of members that they can't reach.
    pub(crate) fn proxies_homed_at(
        &self,
        member: u64,
        proxies_by_unreachable: &BTreeMap<&BTreeSet<u64>, usize>,
    ) -> usize {
        proxies_by_unreachable
            .iter()
            .filter(|(unreachable, _)| self.is_homed_at(member, unreachable))
            .map(|(_, count)| count)
            .sum()
    }

    /// Decides on a request of `cost` units; a negative cost refunds units. Without `max_wait` the units have been used
    /// already and are charged whatever the bucket's level.
    pub(crate) fn decide(
        &mut self,
        now: Duration,
        cost: f64,
        max_wait: Option<Duration>,
    ) -> Decision {
        const GRANTED_WITHOUT_WAIT: Decision = Decision::Granted {
            wait: Duration::ZERO,
        };
        if cost < 0.0 {
            self.bucket.refund(now, -cost);
            self.units_granted += cost;
            return GRANTED_WITHOUT_WAIT;
        }
        let Some(max_wait) = max_wait else {
            self.bucket.charge(now, cost);
            self.units_granted += cost;
            return GRANTED_WITHOUT_WAIT;
        };
        let decision = self.bucket.take(now, cost, max_wait);
        match decision {
            Decision::Granted { .. } => {
                self.granted += 1;
                self.units_granted += cost;
            }
            Decision::Refused { .. } => self.refused += 1,
        }
        decision
    }
}
