//! The state that a router keeps for one server. Each part of it belongs to the module that uses it
//! for its decisions.

use super::concurrency_limit::ConcurrencyLimit;
use super::idle_queue::IdleQueueEntries;
use super::load::{ExternalLoad, InFlight, LatencyRatio};
use super::outlier_ejection::{Ejection, Health};
use super::slow_start::WarmUp;
use crate::interface::{ServerEntry, ServerState, ZoneId};

/// A server that is listed, or was until recently.
pub(super) struct Server {
    pub(super) zone: ZoneId,
    pub(super) cell: u32,
    pub(super) state: ServerState,
    /// Its latest start that the list reported.
    pub(super) started_at: Option<f64>,
    /// When the list reported that it is draining or gone.
    pub(super) left_service_at: f64,
    /// When it last answered an attempt, with a result or an error.
    pub(super) last_answered_at: f64,
    pub(super) last_sent_at: f64,
    pub(super) in_flight: InFlight,
    pub(super) external_load: ExternalLoad,
    pub(super) idle_queue: IdleQueueEntries,
    pub(super) latency_ratio: LatencyRatio,
    pub(super) health: Health,
    pub(super) ejection: Ejection,
    pub(super) concurrency: ConcurrencyLimit,
    pub(super) warm_up: WarmUp,
}

impl Server {
    /// Creates the state of a new server. It counts as gone until its list entry has been applied.
    pub(super) fn new(entry: &ServerEntry, now: f64, classes: usize) -> Self {
        Self {
            zone: entry.zone,
            cell: entry.cell,
            state: ServerState::Gone,
            started_at: None,
            left_service_at: f64::MIN,
            last_answered_at: now,
            last_sent_at: f64::MIN,
            in_flight: InFlight::new(now),
            external_load: ExternalLoad::default(),
            idle_queue: IdleQueueEntries::new(now),
            latency_ratio: LatencyRatio::new(now),
            health: Health::new(classes),
            ejection: Ejection::default(),
            concurrency: ConcurrencyLimit::default(),
            warm_up: WarmUp::default(),
        }
    }

    /// Whether the list reports it as ready.
    pub(super) fn is_ready(&self) -> bool {
        self.state == ServerState::Ready
    }

    /// Whether it is ejected, or was and has not given enough good answers since.
    pub(super) fn is_ejected(&self) -> bool {
        self.ejection.until.is_some()
    }
}
