//! One budget over several cores, as leases. A core takes from what it holds, borrows from the common pool,
//! then from what others hold and don't use. The sum in use never exceeds the cap.
//!
//! Slack: while a core gathers units for one request, it holds those it has found so far. Two cores that
//! both want the last ones may then both be refused, so a refusal can come while fewer units than the other
//! cores' requests at that moment are free. With no request under way elsewhere nothing free is refused.

use crate::sync::{Arc, AtomicBool, AtomicUsize, Ordering};

struct Share {
    /// Units that the core holds and does not use; others may take them.
    spare: AtomicUsize,
    /// Units in use. Only the core itself changes it while it lives.
    used: AtomicUsize,
    alive: AtomicBool,
}

/// The budget that leases are drawn on.
pub struct Budget {
    cap: usize,
    chunk: usize,
    pool: AtomicUsize,
    shares: Vec<Share>,
}

/// Takes up to `most` units out of a counter; says how many.
fn draw(from: &AtomicUsize, most: usize) -> usize {
    let mut got = 0;
    if most > 0 {
        let _ = from.fetch_update(Ordering::AcqRel, Ordering::Acquire, |have| {
            got = have.min(most);
            (got > 0).then(|| have - got)
        });
    }
    got
}

impl Budget {
    /// A budget for so many cores; a core borrows `chunk` units at a time, so that it seldom asks.
    pub fn new(cap: usize, cores: usize, chunk: usize) -> Arc<Self> {
        let share = || Share {
            spare: AtomicUsize::new(0),
            used: AtomicUsize::new(0),
            alive: AtomicBool::new(true),
        };
        let shares = (0..cores).map(|_| share()).collect();
        Arc::new(Self {
            cap,
            chunk: chunk.max(1),
            pool: AtomicUsize::new(cap),
            shares,
        })
    }

    /// The cap.
    pub fn cap(&self) -> usize {
        self.cap
    }

    /// Units in use on all cores, as far as one look can tell.
    pub fn used(&self) -> usize {
        self.shares
            .iter()
            .map(|s| s.used.load(Ordering::Acquire))
            .sum()
    }

    /// Units in use on one core.
    pub fn used_by(&self, core: usize) -> usize {
        self.shares
            .get(core)
            .map_or(0, |s| s.used.load(Ordering::Acquire))
    }

    /// The lease of one core; there must be one for each at most.
    pub fn lease(budget: &Arc<Self>, core: usize) -> Lease {
        Lease {
            budget: budget.clone(),
            core,
        }
    }

    fn take(&self, core: usize, n: usize) -> bool {
        let own = &self.shares[core];
        let mut got = draw(&own.spare, n);
        if got < n {
            let want = n - got;
            let borrowed = draw(&self.pool, want.max(self.chunk));
            if borrowed > want {
                own.spare.fetch_add(borrowed - want, Ordering::AcqRel);
            }
            got += borrowed.min(want);
        }
        // The next core first, so that all don't ask the same one.
        for other in (1..self.shares.len()).map(|k| &self.shares[(core + k) % self.shares.len()]) {
            if got == n {
                break;
            }
            got += draw(&other.spare, n - got);
        }
        if got < n {
            self.pool.fetch_add(got, Ordering::AcqRel);
            return false;
        }
        own.used.fetch_add(n, Ordering::AcqRel);
        true
    }

    fn give(&self, core: usize, n: usize) {
        let own = &self.shares[core];
        own.used.fetch_sub(n, Ordering::AcqRel);
        own.spare.fetch_add(n, Ordering::AcqRel);
        let spare = own.spare.load(Ordering::Acquire);
        if spare > 2 * self.chunk {
            self.pool
                .fetch_add(draw(&own.spare, spare - self.chunk), Ordering::AcqRel);
        }
    }

    /// Gives back all that a core held, used or not. What is done twice counts once.
    pub fn retire(&self, core: usize) {
        let own = &self.shares[core];
        if own.alive.swap(false, Ordering::AcqRel) {
            let held = own.used.swap(0, Ordering::AcqRel) + own.spare.swap(0, Ordering::AcqRel);
            self.pool.fetch_add(held, Ordering::AcqRel);
        }
    }
}

/// A core's lease. It ends with the core's own end, a panic included, and gives all back.
pub struct Lease {
    budget: Arc<Budget>,
    core: usize,
}

impl Lease {
    /// Takes `n` units; false if they can't be had on any core.
    pub fn take(&self, n: usize) -> bool {
        self.budget.take(self.core, n)
    }

    /// Gives `n` units back that were taken by this lease.
    pub fn give(&self, n: usize) {
        self.budget.give(self.core, n);
    }

    /// The budget.
    pub fn budget(&self) -> &Arc<Budget> {
        &self.budget
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.budget.retire(self.core);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{explore, thread};

    /// Units everywhere: what is used, spare and in the pool must always come to the cap.
    fn all(b: &Budget) -> usize {
        let spare: usize = b
            .shares
            .iter()
            .map(|s| s.spare.load(Ordering::SeqCst))
            .sum();
        b.used() + spare + b.pool.load(Ordering::SeqCst)
    }

    #[test]
    fn two_cores_never_both_get_the_last_units() {
        explore(|| {
            let b = Budget::new(3, 2, 1);
            let other = {
                let b = b.clone();
                thread::spawn(move || {
                    let got = b.take(1, 2);
                    assert!(b.used() <= 3);
                    if got {
                        b.give(1, 2);
                    }
                    got
                })
            };
            let got = b.take(0, 2);
            assert!(b.used() <= 3, "more in use than the cap");
            let theirs = other.join().unwrap();
            // Whoever came last found all that the other had given back or never had.
            if got {
                b.give(0, 2);
            }
            assert_eq!(all(&b), 3, "nothing lost, nothing made");
            assert!(
                b.take(0, 3),
                "with nobody else under way all that is free can be had: {got} {theirs}"
            );
        });
    }

    #[test]
    fn spare_units_of_another_core_are_borrowed_before_a_refusal() {
        explore(|| {
            let b = Budget::new(4, 2, 4);
            let (a, c) = (Budget::lease(&b, 0), Budget::lease(&b, 1));
            // The first core borrows a chunk of all four and uses one.
            assert!(a.take(1));
            assert!(c.take(3), "three lie spare on the other core");
            assert!(!c.take(1) && !a.take(1));
            assert_eq!((b.used(), all(&b)), (4, 4));
            a.give(1);
            assert!(c.take(1));
        });
    }

    #[test]
    fn a_core_that_dies_gives_back_once_while_another_borrows() {
        explore(|| {
            let b = Budget::new(4, 2, 1);
            let dying = Budget::lease(&b, 0);
            assert!(dying.take(2));
            let other = {
                let b = b.clone();
                thread::spawn(move || {
                    let got = b.take(1, 3);
                    assert!(b.used() <= 4, "more in use than the cap");
                    got
                })
            };
            // Dropped by unwinding, and told again by whoever joins its thread.
            drop(dying);
            b.retire(0);
            let got = other.join().unwrap();
            assert_eq!(all(&b), 4, "given back twice or lost");
            assert_eq!(b.used(), if got { 3 } else { 0 });
        });
    }

    /// The same with a planted bug: a check and an act apart. It shows that a double spend would be found.
    #[test]
    #[cfg(feature = "loom")]
    #[should_panic(expected = "spent twice")]
    fn a_planted_double_spend_is_found() {
        explore(|| {
            let pool = Arc::new(AtomicUsize::new(1));
            let take = |pool: &AtomicUsize| {
                let have = pool.load(Ordering::SeqCst);
                if have > 0 {
                    pool.store(have - 1, Ordering::SeqCst);
                }
                have > 0
            };
            let other = {
                let pool = pool.clone();
                thread::spawn(move || take(&pool))
            };
            let mine = take(&pool);
            assert!(!(mine && other.join().unwrap()), "spent twice");
        });
    }
}
