//! Load estimate of a server: its own reports, what other routers publish, and how its answers
//! compare with both.

use super::router::Router;
use super::server::Server;
use crate::interface::{Outcome, ServerId};
use std::collections::VecDeque;

/// Weight of one report in the mean load (EWMA).
const MEAN_LOAD_GAIN: f64 = 0.03;
/// Time constant over which a report gives way to the mean load.
const REPORT_TIME_CONSTANT_S: f64 = 2.0;
/// Time by which a report may trail the parts in flight that it counts.
pub(super) const REPORT_LAG_S: f64 = 0.4;
/// Age up to which the load that other routers publish goes before a server's own reports, which
/// are older still.
pub(super) const PEER_LOAD_LIFETIME_S: f64 = 0.5;
/// Parts beyond the mean load that make a server crowded. A server that rejects counts as so many
/// beyond twice the mean.
const CROWDED_LOAD_MARGIN: f64 = 4.0;
/// Weight of one part's time in a server's latency ratio (EWMA).
const LATENCY_RATIO_GAIN: f64 = 0.35;
/// Time constant over which a latency ratio is forgotten.
const LATENCY_RATIO_TIME_CONSTANT_S: f64 = 8.0;
/// Bounds of the ratio that one part's time may give.
const LATENCY_RATIO_BOUNDS: Bounds = Bounds { min: 0.3, max: 8.0 };
/// A part in flight shows a slow server once it takes longer than this multiple of the mean part
/// time.
pub(super) const OVERDUE_FACTOR: f64 = 2.5;
/// Least time that a part is expected to take.
const MIN_EXPECTED_PART_TIME_S: f64 = 1e-3;

struct Bounds {
    min: f64,
    max: f64,
}

/// Load of the whole fleet.
#[derive(Default)]
pub(super) struct FleetLoad {
    /// Mean load of a server (EWMA over the reports).
    pub(super) mean: f64,
    /// Whether servers report their load at all.
    pub(super) servers_report: bool,
}

/// The parts of this router that a server has.
pub(super) struct InFlight {
    /// When they were sent, oldest first.
    sent_at: VecDeque<f64>,
    /// Their mean number of late (EWMA over [`REPORT_LAG_S`]).
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

    /// The number of parts in flight.
    pub(super) fn count(&self) -> u32 {
        self.sent_at.len() as u32
    }

    pub(super) fn is_empty(&self) -> bool {
        self.sent_at.is_empty()
    }

    /// When the part that is in flight longest was sent.
    pub(super) fn oldest_sent_at(&self) -> Option<f64> {
        self.sent_at.front().copied()
    }

    /// Stops counting the parts in flight: no answer of theirs is expected any more.
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

/// Load on a server that is not from this router.
pub(super) struct ExternalLoad {
    /// Parts, by the latest report or by what other routers published.
    parts: f64,
    reported_at: f64,
    /// When other routers last published theirs.
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

/// The part times of a server over what its load lets expect: above 1 for one that is slower than
/// it reports.
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

    /// Forgets what was learned, as the server's process is a new one.
    pub(super) fn reset(&mut self) {
        self.value = 1.0;
    }
}

impl Router {
    /// Load of a server as far as reported: the parts in flight, and those from elsewhere by its
    /// latest report. A report counts less and less as it ages; the mean load takes its place.
    pub(super) fn reported_load(&self, server: &Server) -> f64 {
        let other = &server.external_load;
        let weight = (-(self.now - other.reported_at) / REPORT_TIME_CONSTANT_S).exp();
        let mean = self.fleet_load.mean;
        f64::from(server.in_flight.count()) + mean + (other.parts - mean) * weight
    }

    /// How slow a server's answers were lately for the load that it reported, or how long it
    /// already keeps us waiting: reports may be wrong or late. A few heavy parts can make a sound
    /// server look slow.
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

    /// Load of a server as its answers show it: the reported load times the latency ratio.
    pub(super) fn estimated_load(&self, server: &Server) -> f64 {
        (1.0 + self.reported_load(server)) * self.latency_ratio(server) - 1.0
    }

    /// Whether a server has far more load than the mean.
    pub(super) fn is_crowded(&self, server: &Server) -> bool {
        self.estimated_load(server) > self.fleet_load.mean + CROWDED_LOAD_MARGIN
    }

    /// The load that a server counts for which rejects parts.
    pub(super) fn load_of_rejecting_server(&self) -> f64 {
        2.0 * self.fleet_load.mean + CROWDED_LOAD_MARGIN
    }

    /// Learns from a part's time how a server compares with what its load, when the part was sent,
    /// lets expect.
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
        // How long parts are waited for right now has no bound of its own.
        let previous_ratio = self.latency_ratio(server).min(LATENCY_RATIO_BOUNDS.max);
        // A part that was cut short would have taken longer: it says nothing good.
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

    /// Takes the load that other routers have on a server, as they published it `age` seconds ago.
    pub(super) fn record_peer_load(&mut self, server_id: ServerId, in_flight: f64, age: f64) {
        self.record_load(server_id, in_flight);
        if let Some(server) = self.servers.get_mut(&server_id) {
            server.external_load.peer_load_at = self.now - age;
        }
    }

    /// Records the load of a server that is not from this router, and updates its entries in the
    /// idle queue.
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

    /// Counts the end of a part that was sent at this time. Returns the most parts that were in
    /// flight of late, as a late report may still count them.
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
