//! Assigns connections and queries to cores.
//!
//! A query stays on the core that has its connection, unless that core is dead, is stalled, or has many more
//! open queries than another one. A query with an idempotency key goes to the core that its key hashes to: all
//! open queries of one key then meet on one core.
//!
//! Times are microseconds since an origin that the caller chooses, the same for all cores.

use crate::sync::{Arc, AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// A core is stalled when it has left mail unread for longer than this, in microseconds.
pub const STALL_TIMEOUT_US: u64 = 250_000;
/// A query leaves its connection's core only if that core has more open queries than the least loaded one by
/// more than this: a hand-over costs two wake-ups.
pub const OPEN_QUERIES_MARGIN: usize = 16;

struct CoreStatus {
    alive: AtomicBool,
    /// Connections that the core was given and that have not ended.
    connections: AtomicUsize,
    /// Queries that the core was given and that have no answer yet.
    open_queries: AtomicUsize,
    /// Queries put into the core's mailbox.
    enqueued: AtomicU64,
    /// Queries that the core took out of its mailbox.
    dequeued: AtomicU64,
    /// When the core last took a query out, or when its empty mailbox last got one.
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
    /// Limit on the open queries of one core, those in its mailbox included.
    max_open_queries: usize,
}

impl CoreDispatcher {
    /// Creates the dispatcher for `cores` cores (at least one). Each core takes up to `max_open_queries` at
    /// once, those in its mailbox included.
    pub fn new(cores: usize, max_open_queries: usize) -> Arc<Self> {
        Arc::new(Self {
            cores: (0..cores.max(1)).map(|_| CoreStatus::new()).collect(),
            max_open_queries,
        })
    }

    /// The number of cores, dead ones included.
    pub fn core_count(&self) -> usize {
        self.cores.len()
    }

    /// Whether a core has not ended.
    pub fn is_alive(&self, core: usize) -> bool {
        self.cores[core].alive.load(Ordering::Acquire)
    }

    /// Records that a core has ended. It gets nothing more.
    pub fn mark_dead(&self, core: usize) {
        self.cores[core].alive.store(false, Ordering::Release);
    }

    /// Whether a core has left mail unread for longer than [`STALL_TIMEOUT_US`].
    pub fn is_stalled(&self, core: usize, now_us: u64) -> bool {
        let status = &self.cores[core];
        let has_mail =
            status.enqueued.load(Ordering::Acquire) > status.dequeued.load(Ordering::Acquire);
        let last_progress_us = status.last_progress_us.load(Ordering::Acquire);
        has_mail && now_us.saturating_sub(last_progress_us) > STALL_TIMEOUT_US
    }

    fn is_healthy(&self, core: usize, now_us: u64) -> bool {
        self.is_alive(core) && !self.is_stalled(core, now_us)
    }

    /// The open queries of a core.
    pub fn open_queries(&self, core: usize) -> usize {
        self.cores[core].open_queries.load(Ordering::Acquire)
    }

    /// The connections of a core.
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

    /// The core for a query that came in on core `local`. `key_hash` is the hash of its idempotency key, if it
    /// has one. `None` if no core can take it.
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

    /// The core that owns a key: the same one wherever the query comes in. If that core is dead, the next live
    /// one after it.
    fn core_for_key(&self, key_hash: u64) -> Option<usize> {
        let cores = self.core_count();
        let owner = key_hash as usize % cores;
        (0..cores)
            .map(|offset| (owner + offset) % cores)
            .find(|core| self.is_alive(*core))
    }

    /// Counts a query that is about to be put into a core's mailbox. Returns false, and counts nothing, if the
    /// core has as many open queries as it may.
    pub fn try_enqueue(&self, core: usize, now_us: u64) -> bool {
        let status = &self.cores[core];
        if status.open_queries.fetch_add(1, Ordering::AcqRel) >= self.max_open_queries {
            status.open_queries.fetch_sub(1, Ordering::AcqRel);
            return false;
        }
        // An idle core is not stalled: its time to read counts from the first query in its mailbox.
        if status.enqueued.load(Ordering::Acquire) == status.dequeued.load(Ordering::Acquire) {
            status.last_progress_us.fetch_max(now_us, Ordering::AcqRel);
        }
        status.enqueued.fetch_add(1, Ordering::AcqRel);
        true
    }

    /// Records that a core has taken a query out of its mailbox.
    pub fn query_dequeued(&self, core: usize, now_us: u64) {
        let status = &self.cores[core];
        status.dequeued.fetch_add(1, Ordering::AcqRel);
        status.last_progress_us.fetch_max(now_us, Ordering::AcqRel);
    }

    /// Records that an enqueued query has its answer, or that nobody waits for it any more.
    pub fn query_finished(&self, core: usize) {
        self.cores[core].open_queries.fetch_sub(1, Ordering::AcqRel);
    }

    /// Records that a connection was given to a core.
    pub fn connection_opened(&self, core: usize) {
        self.cores[core].connections.fetch_add(1, Ordering::AcqRel);
    }

    /// Records that a connection of a core has ended.
    pub fn connection_closed(&self, core: usize) {
        self.cores[core].connections.fetch_sub(1, Ordering::AcqRel);
    }
}
