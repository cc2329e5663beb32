//! Admission control: a query is admitted if it is expected to end in time, and otherwise rejected
//! at once (load shedding). Tenants over their quota, and queries of little value for their work,
//! are rejected first.

use super::arrival::RATE_TIME_CONSTANT_S;
use super::router::Router;
use super::server::Server;
use super::statistics::DecayingRate;
use super::work::{Part, Query};
use crate::interface::{Action, Cause, QueryClass, RequestId};

/// Weight of one admitted query in the means of value and parts (EWMA).
const ADMITTED_MEAN_GAIN: f64 = 0.03;
/// Increase and upper bound of the admission share among few routers.
const FEW_ROUTERS_STEP: AdmissionShareStep = AdmissionShareStep {
    increase: 0.02,
    max: 1.0,
};
/// The same among many routers, where the effects of all decisions add up and each router learns of
/// them late.
const MANY_ROUTERS_STEP: AdmissionShareStep = AdmissionShareStep {
    increase: 0.01,
    max: 0.85,
};
/// Decrease of the share for each admitted query that does not end in time.
const ADMISSION_SHARE_DECREASE: f64 = 0.05;
/// Lower bound of the admission share.
const MIN_ADMISSION_SHARE: f64 = 0.4;
/// The share of a router without experience. It is low, as a router that starts during an overload
/// must not add to it.
const INITIAL_ADMISSION_SHARE: f64 = 0.6;
/// Bounds of the factor that a query's value for its work applies to the share. Forecasts have
/// errors of this size.
const MIN_VALUE_FACTOR: f64 = 0.7;
const MAX_VALUE_FACTOR: f64 = 1.3;
/// Factor applied to the share for a tenant over its quota.
const OVER_QUOTA_FACTOR: f64 = 0.6;
/// A tenant is over its quota above this multiple of the quota's even split among the routers, ...
const EVEN_QUOTA_FACTOR: f64 = 1.2;
/// ... provided that it is also above this multiple of its share of the traffic.
const TRAFFIC_SHARE_FACTOR: f64 = 1.3;
/// Lower bound of the number of parts that the value per part is computed with.
const MIN_PART_SUM: f64 = 1e-6;

/// How fast the admission share grows, and how far.
struct AdmissionShareStep {
    /// Increase for each admitted query that ends in time.
    increase: f64,
    max: f64,
}

/// Statistics of admitted queries.
#[derive(Default)]
pub(super) struct AdmissionControl {
    /// Decaying sums over admitted queries.
    value_sum: f64,
    part_sum: f64,
    /// Share of its useful time that an admitted query may be expected to take; `None` until an
    /// admitted query has ended.
    share: Option<f64>,
}

impl AdmissionControl {
    /// Returns the mean value of one part of an admitted query.
    pub(super) fn value_per_part(&self) -> f64 {
        self.value_sum / self.part_sum.max(MIN_PART_SUM)
    }

    fn share(&self) -> f64 {
        self.share.unwrap_or(INITIAL_ADMISSION_SHARE)
    }

    fn count_admitted(&mut self, value: f64, parts: f64) {
        self.value_sum += value - ADMITTED_MEAN_GAIN * self.value_sum;
        self.part_sum += parts - ADMITTED_MEAN_GAIN * self.part_sum;
    }
}

impl Router {
    /// Admits a query, or rejects it. Returns whether it was admitted.
    pub(super) fn admit(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let query = &self.queries[&id];
        let class = self.class(query.class);
        let parts = query.parts.len() as f64;
        let value = class.value
            * if self.settings.value_by_work {
                parts
            } else {
                1.0
            };
        let slowest_part_time = self.slowest_needed_part(query, class);
        let server_available = slowest_part_time < f64::MAX;
        let second_step_time = if class.second_step_parts > 0 {
            self.expected_part_time(query.class, self.fleet_load.mean)
        } else {
            0.0
        };
        let expected_time = slowest_part_time + second_step_time;
        let share = self.admission_share(query, value, parts);
        let time_left = self.useful_time_left(query, class);
        let still_useful = time_left < 0.0 && self.useful_until(query) > self.now;
        // Without an admitted query of its own a router can't tell whether a queue that it saw is
        // gone by now; it has to send something to find out.
        let has_no_load_information = !self.queries.values().any(|q| q.admitted)
            && time_left > self.latency_quantile(query.class, 0.5);
        if !server_available
            || (expected_time > share * time_left && !still_useful && !has_no_load_information)
        {
            let cause = if server_available {
                Cause::Overloaded
            } else {
                Cause::NoHost
            };
            self.reject(
                id,
                expected_time - share * time_left.max(0.0),
                cause,
                actions,
            );
            return false;
        }
        self.admission.count_admitted(value, parts);
        if let Some(query) = self.queries.get_mut(&id) {
            query.admitted = true;
        }
        true
    }

    /// Returns the expected time of the slowest part that a query needs, in seconds, or `f64::MAX`
    /// if no server can be used for one.
    fn slowest_needed_part(&self, query: &Query, class: &QueryClass) -> f64 {
        let mut expected_times: Vec<f64> = self
            .parts_of(query)
            .map(|part| self.forecast_part(query, part))
            .collect();
        expected_times.sort_by(f64::total_cmp);
        let needed = class.min_share.min(class.complete_share) * expected_times.len() as f64;
        let last_needed = (needed.ceil() as usize).max(1) - 1;
        expected_times.get(last_needed).copied().unwrap_or(f64::MAX)
    }

    /// Returns the expected time of a part at the best server for it, in seconds. It includes the
    /// parts that already wait here for the same shard.
    fn forecast_part(&self, query: &Query, part: &Part) -> f64 {
        let waiting_ahead = self.waiting_parts(part.shard);
        let expected_time = |server: &Server| {
            let load = self.estimated_load(server) + waiting_ahead;
            self.wait_for_slot(server) + self.expected_part_time(query.class, load)
        };
        self.usable_servers(part.shard)
            .map(expected_time)
            .fold(f64::MAX, f64::min)
    }

    /// Returns how many parts of admitted queries wait here for each server of a shard.
    fn waiting_parts(&self, shard: u32) -> f64 {
        let cells = self.settings.shard_layout.cells.max(1);
        let is_waiting = |part: &&Part| {
            part.is_open()
                && !part.has_attempt_in_flight()
                && part.shard % cells == shard % cells
                && self.queries.get(&part.query).is_some_and(|q| q.admitted)
        };
        let healthy_servers = self
            .servers_of_shard(shard)
            .filter(|(_, s)| s.is_ready() && !s.is_ejected())
            .count();
        self.parts.values().filter(is_waiting).count() as f64 / healthy_servers.max(1) as f64
    }

    /// Returns the share of its useful time that a query may be expected to take. During
    /// congestion, and among few routers, it depends on the query's value for its work.
    fn admission_share(&self, query: &Query, value: f64, parts: f64) -> f64 {
        let congested = self.is_congested();
        let mean_value = self.admission.value_per_part();
        let relative_value = if !self.has_many_routers() && mean_value > 0.0 && congested {
            value / parts / mean_value
        } else {
            1.0
        };
        let factor = relative_value
            .sqrt()
            .clamp(MIN_VALUE_FACTOR, MAX_VALUE_FACTOR);
        let quota_factor = if self.is_over_quota(query) && congested {
            OVER_QUOTA_FACTOR
        } else {
            1.0
        };
        self.admission.share() * factor * quota_factor
    }

    /// Returns the time left until the latency target, in seconds. Among few routers it is extended
    /// by the value of late answers.
    fn useful_time_left(&self, query: &Query, class: &QueryClass) -> f64 {
        let time_after_target = if self.has_many_routers() {
            0.0
        } else {
            (query.deadline_at - query.target_at).max(0.0)
        };
        query.target_at.min(query.deadline_at) + class.late_value * time_after_target - self.now
    }

    /// Adapts the admission share to the end of an admitted query. The error of forecasts depends
    /// on the fleet and the time of day, so fewer queries are admitted where admitted ones miss
    /// their target.
    pub(super) fn update_admission_share(&mut self, in_time: bool) {
        let step = if self.has_many_routers() {
            MANY_ROUTERS_STEP
        } else {
            FEW_ROUTERS_STEP
        };
        let change = if in_time {
            step.increase
        } else {
            -ADMISSION_SHARE_DECREASE
        };
        let share = (self.admission.share() + change).clamp(MIN_ADMISSION_SHARE, step.max);
        self.admission.share = Some(share);
    }

    /// Whether a query's tenant is over its quota: it sends its whole quota through this router, or
    /// more than an even part of the quota and more than its share of the traffic here.
    fn is_over_quota(&self, query: &Query) -> bool {
        let Some(index) = query.tenant.map(|t| t.0 as usize) else {
            return false;
        };
        let Some(tenant_rate) = self.tenant_rates.get(index) else {
            return false;
        };
        let tenant = &self.settings.tenants[index];
        let rate = |r: &DecayingRate| r.per_second(self.now, RATE_TIME_CONSTANT_S);
        let tenant_rate = rate(tenant_rate);
        let total_rate: f64 = self.tenant_rates.iter().map(rate).sum();
        let even_quota = tenant.quota_per_s / f64::from(self.settings.routers.max(1));
        tenant_rate > tenant.quota_per_s
            || (tenant_rate > EVEN_QUOTA_FACTOR * even_quota
                && tenant_rate > TRAFFIC_SHARE_FACTOR * tenant.share * total_rate)
    }
}
