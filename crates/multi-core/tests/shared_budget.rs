//! A budget shared by several cores. With the feature `loom` all interleavings are explored.

mod support;

use multi_core::shared_budget::SharedBudget;
use support::{explore, spawn};
#[cfg(feature = "loom")]
use support::{Arc, AtomicUsize, Ordering};

#[test]
fn last_units_when_two_cores_acquire_them_then_at_most_one_succeeds() {
    explore(|| {
        let budget = SharedBudget::new(3, 2, 1);
        let other = {
            let budget = budget.clone();
            spawn(move || {
                let acquired = budget.acquire(1, 2);
                assert!(budget.used() <= 3);
                if acquired {
                    budget.release(1, 2);
                }
                acquired
            })
        };
        let acquired = budget.acquire(0, 2);
        assert!(budget.used() <= 3, "more units in use than the capacity");
        let acquired_by_other = other.join().unwrap();
        // Both attempts are over; return this core's units.
        if acquired {
            budget.release(0, 2);
        }
        assert_eq!(budget.accounted(), 3, "units were lost or created");
        assert!(
            budget.acquire(0, 3),
            "while no other core acquires, all free units can be acquired: {acquired} {acquired_by_other}"
        );
    });
}

#[test]
fn units_when_another_core_has_spare_ones_then_they_are_borrowed_before_a_refusal() {
    explore(|| {
        let budget = SharedBudget::new(4, 2, 4);
        let (first, second) = (
            SharedBudget::lease(&budget, 0),
            SharedBudget::lease(&budget, 1),
        );
        // The first core borrows a chunk of all four and uses one.
        assert!(first.acquire(1));
        assert!(second.acquire(3), "the other core has three spare units");
        assert!(!second.acquire(1) && !first.acquire(1));
        assert_eq!((budget.used(), budget.accounted()), (4, 4));
        first.release(1);
        assert!(second.acquire(1));
    });
}

#[test]
fn core_when_it_ends_while_another_acquires_then_its_units_are_returned_once() {
    explore(|| {
        let budget = SharedBudget::new(4, 2, 1);
        let dying = SharedBudget::lease(&budget, 0);
        assert!(dying.acquire(2));
        let other = {
            let budget = budget.clone();
            spawn(move || {
                let acquired = budget.acquire(1, 3);
                assert!(budget.used() <= 4, "more units in use than the capacity");
                acquired
            })
        };
        // The lease is dropped by unwinding, and the core is retired again by the thread that joins it.
        drop(dying);
        budget.retire(0);
        let acquired = other.join().unwrap();
        assert_eq!(budget.accounted(), 4, "units were returned twice or lost");
        assert_eq!(budget.used(), if acquired { 3 } else { 0 });
    });
}

/// A seeded bug, a check that is separate from its update: shows that the exploration finds a double spend.
#[test]
#[cfg(feature = "loom")]
#[should_panic(expected = "spent twice")]
fn seeded_bug_when_check_and_update_are_separate_then_the_double_spend_is_found() {
    explore(|| {
        let pool = Arc::new(AtomicUsize::new(1));
        let take = |pool: &AtomicUsize| {
            let available = pool.load(Ordering::SeqCst);
            if available > 0 {
                pool.store(available - 1, Ordering::SeqCst);
            }
            available > 0
        };
        let other = {
            let pool = pool.clone();
            spawn(move || take(&pool))
        };
        let taken_here = take(&pool);
        assert!(!(taken_here && other.join().unwrap()), "spent twice");
    });
}
