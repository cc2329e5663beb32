//! A budget that several cores share, with their interleavings explored under loom.

mod support;

use multi_core::shared_budget::SharedBudget;
use support::{explore, spawn};
#[cfg(feature = "loom")]
use support::{Arc, AtomicUsize, Ordering};

#[test]
fn last_units_when_two_cores_want_them_then_not_both_get_them() {
    explore(|| {
        let budget = SharedBudget::new(3, 2, 1);
        let other = {
            let budget = budget.clone();
            spawn(move || {
                let got = budget.acquire(1, 2);
                assert!(budget.used() <= 3);
                if got {
                    budget.release(1, 2);
                }
                got
            })
        };
        let got = budget.acquire(0, 2);
        assert!(budget.used() <= 3, "more in use than the cap");
        let theirs = other.join().unwrap();
        // Whoever came last found all that the other had given back or never had.
        if got {
            budget.release(0, 2);
        }
        assert_eq!(budget.accounted(), 3, "nothing lost, nothing made");
        assert!(
            budget.acquire(0, 3),
            "with nobody else under way all that is free can be had: {got} {theirs}"
        );
    });
}

#[test]
fn units_when_another_core_has_spare_ones_then_they_are_borrowed_before_a_refusal() {
    explore(|| {
        let budget = SharedBudget::new(4, 2, 4);
        let (a, c) = (
            SharedBudget::lease(&budget, 0),
            SharedBudget::lease(&budget, 1),
        );
        // The first core borrows a chunk of all four and uses one.
        assert!(a.acquire(1));
        assert!(c.acquire(3), "three lie spare on the other core");
        assert!(!c.acquire(1) && !a.acquire(1));
        assert_eq!((budget.used(), budget.accounted()), (4, 4));
        a.release(1);
        assert!(c.acquire(1));
    });
}

#[test]
fn core_when_it_dies_while_another_borrows_then_it_gives_back_once() {
    explore(|| {
        let budget = SharedBudget::new(4, 2, 1);
        let dying = SharedBudget::lease(&budget, 0);
        assert!(dying.acquire(2));
        let other = {
            let budget = budget.clone();
            spawn(move || {
                let got = budget.acquire(1, 3);
                assert!(budget.used() <= 4, "more in use than the cap");
                got
            })
        };
        // Dropped by unwinding, and told again by whoever joins its thread.
        drop(dying);
        budget.retire(0);
        let got = other.join().unwrap();
        assert_eq!(budget.accounted(), 4, "given back twice or lost");
        assert_eq!(budget.used(), if got { 3 } else { 0 });
    });
}

/// The same with a seeded bug: a check and an act apart. It shows that a double spend would be found.
#[test]
#[cfg(feature = "loom")]
#[should_panic(expected = "spent twice")]
fn seeded_bug_when_check_and_act_are_apart_then_the_double_spend_is_found() {
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
            spawn(move || take(&pool))
        };
        let mine = take(&pool);
        assert!(!(mine && other.join().unwrap()), "spent twice");
    });
}
