//! The size of each model's state space is compared with constants.
//!
//! The constants were taken from the program as of commit bb16a52, with one thread. A change that is meant to alter
//! nothing has to leave them as they are; a change of the members' behaviour or of a model is expected to alter them.

use model_check::cluster::Cluster;
use model_check::models;
use model_check::search::{search, Bounds};
use rstest::rstest;

/// What a search visits.
#[derive(Debug, PartialEq, Eq)]
struct Visited {
    /// Different states under the highest bound.
    states: u64,
    /// Actions applied under all bounds.
    transitions: u64,
    /// Actions of the longest run.
    longest_run: u32,
}

#[rstest]
#[case("takeover", 0, Visited { states: 98, transitions: 97, longest_run: 97 })]
#[case("membership", 0, Visited { states: 140, transitions: 139, longest_run: 139 })]
#[case("joiner", 0, Visited { states: 223, transitions: 222, longest_run: 222 })]
#[case("five", 0, Visited { states: 242, transitions: 241, longest_run: 241 })]
#[case("reads", 0, Visited { states: 118, transitions: 117, longest_run: 117 })]
#[case("orders", 1, Visited { states: 14_643, transitions: 15_105, longest_run: 191 })]
#[case("guessed-bases", 1, Visited { states: 17_902, transitions: 18_415, longest_run: 174 })]
#[case("order-of-messages", 1, Visited { states: 366, transitions: 526, longest_run: 20 })]
#[case("removal", 1, Visited { states: 3982, transitions: 4185, longest_run: 150 })]
fn state_space_when_searched_then_equals_recorded(
    #[case] name: &str,
    #[case] deviations: u8,
    #[case] recorded: Visited,
) {
    let cluster = Cluster::new(models::scenario(name).unwrap()).unwrap();
    let bounds = Bounds {
        deviations,
        jobs: 1,
        ..Bounds::default()
    };
    let outcome = search(&cluster, bounds);
    assert!(outcome.found.is_none(), "{:?}", outcome.found);
    let visited = Visited {
        states: outcome.states,
        transitions: outcome.transitions,
        longest_run: outcome.deepest,
    };
    assert_eq!(visited, recorded, "{name}");
}
