//! A budget of units shared by several cores, each of which has a lease. A core takes units from its own spare ones,
//! then from the common pool, then from the spare units of other cores. The units in use never exceed the capacity.
//!
//! While a core gathers units for one request, it holds those that it has found so far. Two cores that both want the
//! last units may then both be refused. A refusal is therefore possible while units are free, if their number is below
//! that of the other cores' concurrent requests. While no other core is acquiring, a request that the free units can
//! meet is never refused.

use crate::sync::{Arc, AtomicBool, AtomicUsize, Ordering};

/// The units of one core.
struct CoreQuota {
    /// Units that the core holds without using them. Other cores may take them.
    spare: AtomicUsize,
    /// Units in use. Only the core itself changes this while it lives.
    used: AtomicUsize,
    alive: AtomicBool,
}

impl CoreQuota {
    fn new() -> Self {
        Self {
            spare: AtomicUsize::new(0),
            used: AtomicUsize::new(0),
            alive: AtomicBool::new(true),
        }
    }
}

/// The budget that the cores' leases draw on.
pub struct SharedBudget {
    capacity: usize,
    /// Minimum number of units that a core borrows from the pool at a time, if the pool has so many.
    chunk: usize,
    /// Units that no core holds.
    pool: AtomicUsize,
    quotas: Vec<CoreQuota>,
}

/// Subtracts up to `max` units from a counter. Returns how many were taken.
fn take_up_to(counter: &AtomicUsize, max: usize) -> usize {
    let mut taken = 0;
    if max > 0 {
        let _ = counter.fetch_update(Ordering::AcqRel, Ordering::Acquire, |available| {
            taken = available.min(max);
            (taken > 0).then(|| available - taken)
        });
    }
    taken
}

impl SharedBudget {
    /// Creates a budget of `capacity` units for `cores` cores. A core borrows at least `chunk` units at a time
    /// (at least one), so that it seldom touches the pool.
    pub fn new(capacity: usize, cores: usize, chunk: usize) -> Arc<Self> {
        Arc::new(Self {
            capacity,
            chunk: chunk.max(1),
            pool: AtomicUsize::new(capacity),
            quotas: (0..cores).map(|_| CoreQuota::new()).collect(),
        })
    }

    /// The number of units of the whole budget.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// The number of units in use on all cores. It is approximate while other cores acquire or release.
    pub fn used(&self) -> usize {
        self.quotas
            .iter()
            .map(|quota| quota.used.load(Ordering::Acquire))
            .sum()
    }

    /// The number of units in use on one core.
    pub fn used_by(&self, core: usize) -> usize {
        self.quotas
            .get(core)
            .map_or(0, |quota| quota.used.load(Ordering::Acquire))
    }

    /// The sum of used, spare and pooled units. While no core acquires or releases, it equals the capacity.
    #[doc(hidden)]
    pub fn accounted(&self) -> usize {
        let spare: usize = self
            .quotas
            .iter()
            .map(|quota| quota.spare.load(Ordering::SeqCst))
            .sum();
        self.used() + spare + self.pool.load(Ordering::SeqCst)
    }

    /// Creates the lease of one core. Each core must have at most one.
    pub fn lease(budget: &Arc<Self>, core: usize) -> BudgetLease {
        BudgetLease {
            budget: budget.clone(),
            core,
        }
    }

    /// Takes `units` for a core. Returns false, and takes none, if not all of them are free.
    #[doc(hidden)]
    pub fn acquire(&self, core: usize, units: usize) -> bool {
        let own = &self.quotas[core];
        let mut taken = take_up_to(&own.spare, units);
        if taken < units {
            let missing = units - taken;
            let borrowed = take_up_to(&self.pool, missing.max(self.chunk));
            if borrowed > missing {
                own.spare.fetch_add(borrowed - missing, Ordering::AcqRel);
            }
            taken += borrowed.min(missing);
        }
        // Each core starts with its successor, so that not all of them take from the same one.
        let cores = self.quotas.len();
        for offset in 1..cores {
            if taken == units {
                break;
            }
            let other = &self.quotas[(core + offset) % cores];
            taken += take_up_to(&other.spare, units - taken);
        }
        if taken < units {
            self.pool.fetch_add(taken, Ordering::AcqRel);
            return false;
        }
        own.used.fetch_add(units, Ordering::AcqRel);
        true
    }

    /// Returns `units` that a core has in use. The core keeps some of them as spare units.
    #[doc(hidden)]
    pub fn release(&self, core: usize, units: usize) {
        let own = &self.quotas[core];
        own.used.fetch_sub(units, Ordering::AcqRel);
        own.spare.fetch_add(units, Ordering::AcqRel);
        let spare = own.spare.load(Ordering::Acquire);
        if spare > 2 * self.chunk {
            let surplus = take_up_to(&own.spare, spare - self.chunk);
            self.pool.fetch_add(surplus, Ordering::AcqRel);
        }
    }

    /// Returns all units of an ended core, used or spare, to the pool. A second call has no effect.
    pub fn retire(&self, core: usize) {
        let own = &self.quotas[core];
        if own.alive.swap(false, Ordering::AcqRel) {
            let held = own.used.swap(0, Ordering::AcqRel) + own.spare.swap(0, Ordering::AcqRel);
            self.pool.fetch_add(held, Ordering::AcqRel);
        }
    }
}

/// A core's lease on the budget. Dropping it, also by a panic, returns all units of the core to the pool.
pub struct BudgetLease {
    budget: Arc<SharedBudget>,
    core: usize,
}

impl BudgetLease {
    /// Takes `units`. Returns false, and takes none, if not all of them are free.
    pub fn acquire(&self, units: usize) -> bool {
        self.budget.acquire(self.core, units)
    }

    /// Returns `units` that were taken by this lease.
    pub fn release(&self, units: usize) {
        self.budget.release(self.core, units);
    }

    /// The budget that this lease belongs to.
    pub fn budget(&self) -> &Arc<SharedBudget> {
        &self.budget
    }
}

impl Drop for BudgetLease {
    fn drop(&mut self) {
        self.budget.retire(self.core);
    }
}
