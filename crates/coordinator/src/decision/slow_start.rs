//! Slow start: a recently started server gets parts at a limited rate, which grows as it warms up.

use super::arrival::RATE_TIME_CONSTANT_S;
use super::latency::MIN_SAMPLES;
use super::router::{seconds, Router};
use super::server::Server;
use crate::interface::{ServerId, SlowStart};

/// Share of its full capacity that a server has right after its start, and the time until it has
/// all of it, if the settings have no slow start.
const DEFAULT_INITIAL_SHARE: f64 = 0.25;
const DEFAULT_RAMP_S: f64 = 10.0;
const MIN_RAMP_S: f64 = 0.1;
/// Multiple of its capacity at which a server fails, if the settings have no slow start.
const DEFAULT_OVERLOAD_FACTOR: f64 = 2.0;
/// Multiple of its share that each of many routers may send, as some leave their slots unused.
const MANY_ROUTERS_RATE_FACTOR: f64 = 1.5;
/// Largest multiple of its share that each of few routers may send.
const FEW_ROUTERS_MAX_RATE_FACTOR: f64 = 1.5;
/// Number of processors of a warming server that all routers together may keep busy. This limits
/// what they send during an overload or outage.
const MAX_BUSY_PROCESSORS: f64 = 2.0;
/// Upper bound of the rate derived from one processor, in parts per second.
const MAX_ONE_PROCESSOR_RATE: f64 = 1.0;
/// Part time that is assumed before any is measured.
const ASSUMED_PART_TIME_S: f64 = 0.1;
/// Lower bound of the part time of all routers together that rates are derived from.
const MIN_FLEET_PART_TIME_S: f64 = 0.01;
/// Lower bound of the rate to a warming server, in parts per second.
const MIN_SLOT_RATE: f64 = 1e-3;

/// The slow start of a server.
pub(super) struct WarmUp {
    /// When it began; `None` for a server that has not started since this router knows it.
    pub(super) since: Option<f64>,
    /// Time of the latest slot for a part of this router, used or not.
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
    /// Returns the share of its full capacity that a server has now, estimated from its age.
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

    /// Returns the time between two parts of this router to a warming server, in seconds. The rate
    /// is this router's share of what a warm server gets, or of half of what one of its processors
    /// can do, times the server's current share of its capacity.
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

    /// Returns the time of one part from each router, in seconds.
    fn fleet_part_time(&self, part_time: Option<f64>) -> f64 {
        let work = part_time.unwrap_or(ASSUMED_PART_TIME_S) * f64::from(self.settings.routers);
        work.max(MIN_FLEET_PART_TIME_S)
    }

    /// Sets the first slot of a server at random within the slot interval. All routers learn of a
    /// start at about the same time and would otherwise all send at once.
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
