//! Load estimate of a server, from its own reports, the load that other routers publish, and its
//! latencies.

use super::router::Router;
use super::server::Server;
use crate::interface::{Outcome, ServerId};
use std::collections::VecDeque;

/// Weight of one report in the mean load (EWMA).
const MEAN_LOAD_GAIN: f64 = 0.03;
/// Time constant over which the mean load replaces an ageing report.
const REPORT_TIME_CONSTANT_S: f64 = 2.0;
/// Time by which a report may lag behind the parts in flight that it counts.
pub(super) const REPORT_LAG_S: f64 = 0.4;
/// Age up to which the load published by other routers takes precedence over a server's own
/// reports, which are older still.
pub(super) const PEER_LOAD_LIFETIME_S: f64 = 0.5;
/// A server is crowded if its load exceeds the mean by more than this number of parts. A server
/// that rejects counts as having twice the mean plus this.
const CROWDED_LOAD_MARGIN: f64 = 4.0;
/// Weight of the latency of one part in a server's latency ratio (EWMA).
const LATENCY_RATIO_GAIN: f64 = 0.35;
/// Time constant over which a latency ratio is forgotten.
const LATENCY_RATIO_TIME_CONSTANT_S: f64 = 8.0;
/// Bounds of the ratio derived from the latency of one part.
const LATENCY_RATIO_BOUNDS: Bounds = Bounds { min: 0.3, max: 8.0 };
/// A part in flight indicates a slow server once it takes longer than this multiple of the mean
/// part time.
pub(super) const OVERDUE_FACTOR: f64 = 2.5;
/// Lower bound of the expected time of a part.
const MIN_EXPECTED_PART_TIME_S: f64 = 1e-3;

struct Bounds {
    min: f64,
    max: f64,
}

/// Load of the whole fleet.
#[derive(Default)]
pub(super) struct FleetLoad {
    /// Mean load of a server, in parts (EWMA over the reports).
    pub(super) mean: f64,
    /// Whether servers report their load at all.
    pub(super) servers_report: bool,
}

/// The parts of this router that are in flight at a server.
pub(super) struct InFlight {
    /// When they were sent, oldest first.
    sent_at: VecDeque<f64>,
    /// Their recent mean number (EWMA over [`REPORT_LAG_S`]).
    recent_mean: f64,
    mean_updated_at: f64,
}

impl InFlight {
    pub(super) fn new(now: f64) -> Self {
        Self {
            sent_at: VecDeque::new(),
            recent_mean: 0.0,
            mean_updated_at: now,
        }
    }

    /// Returns the number of parts in flight.
    pub(super) fn count(&self) -> u32 {
        self.sent_at.len() as u32
    }

    pub(super) fn is_empty(&self) -> bool {
        self.sent_at.is_empty()
    }

    /// Returns when the oldest part in flight was sent.
    pub(super) fn oldest_sent_at(&self) -> Option<f64> {
        self.sent_at.front().copied()
    }

    /// Stops counting the parts in flight, as they are no longer expected to be answered.
    pub(super) fn clear(&mut self) {
        self.sent_at.clear();
    }

    fn update_mean(&mut self, now: f64) {
        let count = f64::from(self.count());
        let decay = (-(now - self.mean_updated_at) / REPORT_LAG_S).exp();
        self.recent_mean = self.recent_mean * decay + count * (1.0 - decay);
        self.mean_updated_at = now;
    }
}

/// Load on a server that does not come from this router.
pub(super) struct ExternalLoad {
    /// Number of parts, from the latest report or from what other routers published.
    parts: f64,
    reported_at: f64,
    /// When the other routers published the latest load taken from them.
    pub(super) peer_load_at: f64,
}

impl Default for ExternalLoad {
    fn default() -> Self {
        Self {
            parts: 0.0,
            reported_at: f64::MIN,
            peer_load_at: f64::MIN,
        }
    }
}

/// Ratio of a server's part times to those expected for its load: above 1 if it is slower than it
/// reports.
pub(super) struct LatencyRatio {
    value: f64,
    updated_at: f64,
}

impl LatencyRatio {
    pub(super) fn new(now: f64) -> Self {
        Self {
            value: 1.0,
            updated_at: now,
        }
    }

    /// Resets the ratio, as the server has a new process.
    pub(super) fn reset(&mut self) {
        self.value = 1.0;
    }
}

impl Router {
    /// Returns the load of a server from reports: this router's parts in flight plus the external
    /// load of the latest report. The weight of a report decays with its age in favour of the mean
    /// load.
    pub(super) fn reported_load(&self, server: &Server) -> f64 {
        let other = &server.external_load;
        let weight = (-(self.now - other.reported_at) / REPORT_TIME_CONSTANT_S).exp();
        let mean = self.fleet_load.mean;
        f64::from(server.in_flight.count()) + mean + (other.parts - mean) * weight
    }

    /// Returns how slow a server is for the load that it reported: from its recent answers, or from
    /// how long a part has been waiting if that is more. Reports may be wrong or late. A few heavy
    /// parts can make a healthy server look slow.
    pub(super) fn latency_ratio(&self, server: &Server) -> f64 {
        let learned = &server.latency_ratio;
        let age = self.now - learned.updated_at;
        let learned_ratio =
            1.0 + (learned.value - 1.0) * (-age / LATENCY_RATIO_TIME_CONSTANT_S).exp();
        let mean_time = self.latencies.all.mean();
        let waiting_time = server
            .in_flight
            .oldest_sent_at()
            .map_or(0.0, |sent_at| self.unanswered_for(server, sent_at));
        let current_ratio = if mean_time > 0.0 {
            waiting_time / (OVERDUE_FACTOR * mean_time)
        } else {
            0.0
        };
        learned_ratio.max(current_ratio)
    }

    /// Returns the load of a server as its latencies show it: the reported load scaled by the
    /// latency ratio.
    pub(super) fn estimated_load(&self, server: &Server) -> f64 {
        (1.0 + self.reported_load(server)) * self.latency_ratio(server) - 1.0
    }

    /// Whether a server has far more than the mean load.
    pub(super) fn is_crowded(&self, server: &Server) -> bool {
        self.estimated_load(server) > self.fleet_load.mean + CROWDED_LOAD_MARGIN
    }

    /// Returns the load that is assumed for a server that rejects parts.
    pub(super) fn load_of_rejecting_server(&self) -> f64 {
        2.0 * self.fleet_load.mean + CROWDED_LOAD_MARGIN
    }

    /// Updates the latency ratio of a server by comparing the latency of a part with the one
    /// expected for the load when the part was sent.
    pub(super) fn update_latency_ratio(
        &mut self,
        server_id: ServerId,
        outcome: Outcome,
        latency: f64,
        load_when_sent: f64,
    ) {
        let cut_short = matches!(outcome, Outcome::Timeout | Outcome::Cancelled);
        if !cut_short && outcome != Outcome::Ok {
            return;
        }
        let Some(server) = self.servers.get(&server_id) else {
            return;
        };
        let mean = self.latencies.all.mean();
        let expected = (mean * (1.0 + load_when_sent) / (1.0 + self.fleet_load.mean))
            .max(mean / 2.0)
            .max(MIN_EXPECTED_PART_TIME_S);
        let ratio = (latency / expected).clamp(LATENCY_RATIO_BOUNDS.min, LATENCY_RATIO_BOUNDS.max);
        // The ratio includes the current waiting time, which is not bounded by itself.
        let previous_ratio = self.latency_ratio(server).min(LATENCY_RATIO_BOUNDS.max);
        // A part that was cut short would have taken longer, so it can't lower the ratio.
        if mean <= 0.0 || (cut_short && ratio < previous_ratio) {
            return;
        }
        let learned = LatencyRatio {
            value: previous_ratio + LATENCY_RATIO_GAIN * (ratio - previous_ratio),
            updated_at: self.now,
        };
        if let Some(server) = self.servers.get_mut(&server_id) {
            server.latency_ratio = learned;
        }
    }

    /// Records the load that other routers published for a server `age` seconds ago.
    pub(super) fn record_peer_load(&mut self, server_id: ServerId, in_flight: f64, age: f64) {
        self.record_load(server_id, in_flight);
        if let Some(server) = self.servers.get_mut(&server_id) {
            server.external_load.peer_load_at = self.now - age;
        }
    }

    /// Records the external load of a server, and updates its entries in the idle queue.
    pub(super) fn record_load(&mut self, server_id: ServerId, external_parts: f64) {
        let (now, threshold) = (self.now, self.idle_queue_threshold());
        let Some(server) = self.servers.get_mut(&server_id) else {
            return;
        };
        server.external_load.parts = external_parts;
        server.external_load.reported_at = now;
        server.idle_queue.updated_at = now;
        let load = f64::from(server.in_flight.count()) + external_parts;
        self.set_idle_queue_entries(server_id, threshold);
        self.fleet_load.mean += MEAN_LOAD_GAIN * (load - self.fleet_load.mean);
    }

    /// Counts a part that is sent to a server.
    pub(super) fn track_sent(&mut self, server_id: ServerId) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&server_id) else {
            return;
        };
        let count_before = server.in_flight.count();
        server.in_flight.update_mean(now);
        server.in_flight.sent_at.push_back(now);
        self.update_headroom(server_id, count_before);
    }

    /// Counts the end of a part that was sent at `sent_at`. Returns the largest number of parts
    /// that were recently in flight, as a late report may still include them.
    pub(super) fn track_ended(&mut self, server_id: ServerId, sent_at: f64) -> f64 {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&server_id) else {
            return 0.0;
        };
        let in_flight = &mut server.in_flight;
        let count_before = in_flight.count();
        in_flight.update_mean(now);
        if let Some(position) = in_flight.sent_at.iter().position(|t| *t == sent_at) {
            in_flight.sent_at.remove(position);
        }
        let peak = in_flight.recent_mean.max(f64::from(count_before));
        self.update_headroom(server_id, count_before);
        peak
    }
}
