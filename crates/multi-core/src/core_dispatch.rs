//! Assignment of connections and queries to cores.
//!
//! A query stays on the core of its connection, unless that core is dead, is stalled, or has many more open queries
//! than another one. A query with an idempotency key goes to the core that its key hashes to, so that all open queries
//! with one key are on one core.
//!
//! Times are microseconds since an origin that the caller chooses, the same for all cores.

use crate::sync::{Arc, AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// Time without progress after which a core with a non-empty mailbox counts as stalled, in microseconds.
pub const STALL_TIMEOUT_US: u64 = 250_000;
/// A query leaves its connection's core only if that core has over this many more open queries than the least loaded
/// one, as a hand-over costs two wake-ups.
pub const OPEN_QUERIES_MARGIN: usize = 16;

struct CoreStatus {
    alive: AtomicBool,
    /// Open connections assigned to the core.
    connections: AtomicUsize,
    /// Unanswered queries assigned to the core.
    open_queries: AtomicUsize,
    /// Queries put into the core's mailbox since the start.
    enqueued: AtomicU64,
    /// Queries that the core has taken from its mailbox since the start.
    dequeued: AtomicU64,
    /// The time when the core last took a query from its mailbox, or when a query last came into the empty mailbox.
    last_progress_us: AtomicU64,
}

impl CoreStatus {
    fn new() -> Self {
        Self {
            alive: AtomicBool::new(true),
            connections: AtomicUsize::new(0),
            open_queries: AtomicUsize::new(0),
            enqueued: AtomicU64::new(0),
            dequeued: AtomicU64::new(0),
            last_progress_us: AtomicU64::new(0),
        }
    }
}

/// The load and health of all cores.
pub struct CoreDispatcher {
    cores: Vec<CoreStatus>,
    /// Maximum number of open queries of one core, including those in its mailbox.
    max_open_queries: usize,
}

impl CoreDispatcher {
    /// Creates the dispatcher for `cores` cores (at least one). Each core has at most `max_open_queries` open queries,
    /// including those in its mailbox.
    pub fn new(cores: usize, max_open_queries: usize) -> Arc<Self> {
        Arc::new(Self {
            cores: (0..cores.max(1)).map(|_| CoreStatus::new()).collect(),
            max_open_queries,
        })
    }

    /// The number of cores, including dead ones.
    pub fn core_count(&self) -> usize {
        self.cores.len()
    }

    /// Whether a core has not been marked dead.
    pub fn is_alive(&self, core: usize) -> bool {
        self.cores[core].alive.load(Ordering::Acquire)
    }

    /// Records that a core has ended. No connection or query is assigned to it any more.
    pub fn mark_dead(&self, core: usize) {
        self.cores[core].alive.store(false, Ordering::Release);
    }

    /// Whether a core has queries in its mailbox and has made no progress for longer than [`STALL_TIMEOUT_US`].
    pub fn is_stalled(&self, core: usize, now_us: u64) -> bool {
        let status = &self.cores[core];
        let has_queued_queries =
            status.enqueued.load(Ordering::Acquire) > status.dequeued.load(Ordering::Acquire);
        let last_progress_us = status.last_progress_us.load(Ordering::Acquire);
        has_queued_queries && now_us.saturating_sub(last_progress_us) > STALL_TIMEOUT_US
    }

    fn is_healthy(&self, core: usize, now_us: u64) -> bool {
        self.is_alive(core) && !self.is_stalled(core, now_us)
    }

    /// The number of open queries of a core.
    pub fn open_queries(&self, core: usize) -> usize {
        self.cores[core].open_queries.load(Ordering::Acquire)
    }

    /// The number of open connections of a core.
    pub fn connections(&self, core: usize) -> usize {
        self.cores[core].connections.load(Ordering::Acquire)
    }

    /// The core for a new connection: the healthy one with the fewest connections, or any live one if none is
    /// healthy. `None` if all cores are dead.
    pub fn core_for_connection(&self, now_us: u64) -> Option<usize> {
        let healthy = (0..self.core_count()).filter(|core| self.is_healthy(*core, now_us));
        let alive = (0..self.core_count()).filter(|core| self.is_alive(*core));
        healthy
            .min_by_key(|core| self.connections(*core))
            .or_else(|| alive.min_by_key(|core| self.connections(*core)))
    }

    /// The core for a query from a connection of core `local`. `key_hash` is the hash of its idempotency key, if it has
    /// one. `None` if no live core owns the key, or if no core is healthy.
    pub fn core_for_query(
        &self,
        local: usize,
        key_hash: Option<u64>,
        now_us: u64,
    ) -> Option<usize> {
        if let Some(key_hash) = key_hash {
            return self.core_for_key(key_hash);
        }
        let least_loaded = (0..self.core_count())
            .filter(|core| self.is_healthy(*core, now_us))
            .min_by_key(|core| self.open_queries(*core))?;
        let limit = self.open_queries(least_loaded) + OPEN_QUERIES_MARGIN;
        let stays_local = self.is_healthy(local, now_us) && self.open_queries(local) <= limit;
        Some(if stays_local { local } else { least_loaded })
    }

    /// The core that owns a key, independent of the query's connection. If that core is dead, the next live one.
    fn core_for_key(&self, key_hash: u64) -> Option<usize> {
        let cores = self.core_count();
        let owner = key_hash as usize % cores;
        (0..cores)
            .map(|offset| (owner + offset) % cores)
            .find(|core| self.is_alive(*core))
    }

    /// Counts a query that is about to be put into a core's mailbox. Returns false, without counting it, if the core
    /// has the maximum number of open queries.
    pub fn try_enqueue(&self, core: usize, now_us: u64) -> bool {
        let status = &self.cores[core];
        if status.open_queries.fetch_add(1, Ordering::AcqRel) >= self.max_open_queries {
            status.open_queries.fetch_sub(1, Ordering::AcqRel);
            return false;
        }
        // An idle core is not stalled: the stall timeout starts with the first query in its mailbox.
        if status.enqueued.load(Ordering::Acquire) == status.dequeued.load(Ordering::Acquire) {
            status.last_progress_us.fetch_max(now_us, Ordering::AcqRel);
        }
        status.enqueued.fetch_add(1, Ordering::AcqRel);
        true
    }

    /// Records that a core has taken a query from its mailbox.
    pub fn query_dequeued(&self, core: usize, now_us: u64) {
        let status = &self.cores[core];
        status.dequeued.fetch_add(1, Ordering::AcqRel);
        status.last_progress_us.fetch_max(now_us, Ordering::AcqRel);
    }

    /// Records that an enqueued query was answered or abandoned.
    pub fn query_finished(&self, core: usize) {
        self.cores[core].open_queries.fetch_sub(1, Ordering::AcqRel);
    }

    /// Records that a connection was assigned to a core.
    pub fn connection_opened(&self, core: usize) {
        self.cores[core].connections.fetch_add(1, Ordering::AcqRel);
    }

    /// Records that a connection of a core was closed.
    pub fn connection_closed(&self, core: usize) {
        self.cores[core].connections.fetch_sub(1, Ordering::AcqRel);
    }
}
