//! Ownership of query names by several cores, with their interleavings explored under loom.

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
        let mine = names.claim(&name, 0);
        let theirs = other.join().unwrap();
        assert!(mine != theirs, "one of them has it: {mine} {theirs}");
        // The one that has not got it can't free it.
        names.release(&name, usize::from(mine));
        assert_eq!(names.len(), 1);
        names.release(&name, usize::from(theirs));
        assert!(names.is_empty());
    });
}

#[test]
fn core_when_it_ends_then_its_own_names_are_free_and_no_others() {
    explore(|| {
        let names = KeyOwnership::new();
        let name = |n: &str| std::sync::Arc::<str>::from(n);
        assert!(names.claim(&name("a"), 0) && names.claim(&name("b"), 1));
        names.release_all(0);
        assert!(names.claim(&name("a"), 1) && !names.claim(&name("b"), 0));
    });
}
