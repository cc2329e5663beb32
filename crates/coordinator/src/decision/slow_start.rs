//! Slow start: a server that was started lately gets parts at a limited rate, which grows as it
//! warms up.

use super::arrival::RATE_TIME_CONSTANT_S;
use super::latency::MIN_SAMPLES;
use super::router::{seconds, Router};
use super::server::Server;
use crate::interface::{ServerId, SlowStart};

/// Capacity right after the start if the settings don't say: share, and time to full capacity.
const DEFAULT_INITIAL_SHARE: f64 = 0.25;
const DEFAULT_RAMP_S: f64 = 10.0;
const MIN_RAMP_S: f64 = 0.1;
/// Multiple of its capacity at which a server fails, if the settings don't say.
const DEFAULT_OVERLOAD_FACTOR: f64 = 2.0;
/// Among many routers some slots go unused: each may send this multiple of its share.
const MANY_ROUTERS_RATE_FACTOR: f64 = 1.5;
/// Among few routers, the largest multiple of its share that a router may send.
const FEW_ROUTERS_MAX_RATE_FACTOR: f64 = 1.5;
/// Processors of a server that routers together may keep busy: bounds what they send in a crisis.
const MAX_BUSY_PROCESSORS: f64 = 2.0;
/// Parts a second to a warming server beyond its share, at most.
const MAX_ONE_PROCESSOR_RATE: f64 = 1.0;
/// Part time that is assumed before any is measured.
const ASSUMED_PART_TIME_S: f64 = 0.1;
/// Least work of all routers together that rates are derived from.
const MIN_FLEET_PART_TIME_S: f64 = 0.01;
/// Least rate to a warming server, in parts a second.
const MIN_SLOT_RATE: f64 = 1e-3;

/// The slow start of a server.
pub(super) struct WarmUp {
    /// When it began; `None` for a server that was there from the first.
    pub(super) since: Option<f64>,
    /// Time of its latest slot for a part of ours, whether used or not.
    pub(super) last_slot_at: f64,
}

impl Default for WarmUp {
    fn default() -> Self {
        Self {
            since: None,
            last_slot_at: f64::MIN,
        }
    }
}

impl Router {
    /// Share of its full capacity that a server has at least.
    pub(super) fn capacity_share(&self, server: &Server) -> f64 {
        let (initial, ramp) = self.settings.slow_start.map_or(
            (DEFAULT_INITIAL_SHARE, DEFAULT_RAMP_S),
            |SlowStart {
                 initial_share,
                 ramp,
                 ..
             }| (initial_share, seconds(ramp)),
        );
        let age = server
            .warm_up
            .since
            .map_or(f64::MAX, |since| (self.now - since).max(0.0));
        (initial + (1.0 - initial) * age / ramp.max(MIN_RAMP_S)).min(1.0)
    }

    /// Whether a server has yet to reach its full capacity.
    pub(super) fn is_warming_up(&self, server: &Server) -> bool {
        self.capacity_share(server) < 1.0
    }

    /// Time between parts of ours to a warming server. The rate is this router's share of what a
    /// warm server gets, or of half of what one processor of it can do, times the server's present
    /// share of its capacity.
    pub(super) fn slot_interval(&self, server: &Server) -> f64 {
        let ready = self.servers.values().filter(|s| s.is_ready()).count();
        let overload_factor = self
            .settings
            .slow_start
            .map_or(DEFAULT_OVERLOAD_FACTOR, |s| s.overload_factor)
            / 2.0;
        let fast_part_time = self.latencies.all.quantile(0.2, MIN_SAMPLES);
        let one_processor_rate = overload_factor / self.fleet_part_time(fast_part_time);
        let usual_rate =
            self.send_rate.per_second(self.now, RATE_TIME_CONSTANT_S) / ready.max(1) as f64;
        let rate = if self.has_many_routers() {
            let max_rate = MAX_BUSY_PROCESSORS / self.fleet_part_time(self.latencies.min_median);
            (MANY_ROUTERS_RATE_FACTOR * usual_rate).min(max_rate)
        } else {
            usual_rate * overload_factor.clamp(1.0, FEW_ROUTERS_MAX_RATE_FACTOR)
        };
        let rate =
            self.capacity_share(server) * rate.max(one_processor_rate.min(MAX_ONE_PROCESSOR_RATE));
        1.0 / rate.max(MIN_SLOT_RATE)
    }

    /// Time of one part from each router.
    fn fleet_part_time(&self, part_time: Option<f64>) -> f64 {
        let work = part_time.unwrap_or(ASSUMED_PART_TIME_S) * f64::from(self.settings.routers);
        work.max(MIN_FLEET_PART_TIME_S)
    }

    /// Begins the slow start of a server. All routers learn of a start at about the same time, so
    /// the first slot falls at random within the interval.
    pub(super) fn randomize_first_slot(&mut self, server_id: ServerId) {
        let fraction = self.random_fraction();
        let Some(server) = self.servers.get(&server_id) else {
            return;
        };
        let first_slot_at = self.now - fraction * self.slot_interval(server);
        if let Some(server) = self.servers.get_mut(&server_id) {
            server.warm_up.last_slot_at = first_slot_at;
        }
    }
}
