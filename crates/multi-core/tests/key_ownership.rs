//! Ownership of query names by several cores. With the feature `loom` all interleavings are explored.

mod support;

use multi_core::key_ownership::KeyOwnership;
use support::{explore, spawn};

#[test]
fn name_when_two_cores_claim_it_then_one_owns_it() {
    explore(|| {
        let names = KeyOwnership::new();
        let name: std::sync::Arc<str> = "q".into();
        let other = {
            let (names, name) = (names.clone(), name.clone());
            spawn(move || names.claim(&name, 1))
        };
        let claimed_here = names.claim(&name, 0);
        let claimed_by_other = other.join().unwrap();
        assert!(
            claimed_here != claimed_by_other,
            "exactly one core owns the name: {claimed_here} {claimed_by_other}"
        );
        // The core that does not own the name can't free it.
        names.release(&name, usize::from(claimed_here));
        assert_eq!(names.len(), 1);
        names.release(&name, usize::from(claimed_by_other));
        assert!(names.is_empty());
    });
}

#[test]
fn core_when_it_ends_then_only_its_own_names_are_freed() {
    explore(|| {
        let names = KeyOwnership::new();
        let name = |n: &str| std::sync::Arc::<str>::from(n);
        assert!(names.claim(&name("a"), 0) && names.claim(&name("b"), 1));
        names.release_all(0);
        assert!(names.claim(&name("a"), 1) && !names.claim(&name("b"), 0));
    });
}
