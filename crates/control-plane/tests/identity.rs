//! Who a member is, given what its disk held.

use control_plane::shell::identity::{initial_voter_id, inner, latest, Identity, StartFacts};
use rstest::rstest;
use std::net::SocketAddrV4;

const SEEDS: [&str; 3] = ["10.1.0.1:8146", "10.2.0.1:8146", "10.3.0.1:8146"];

fn addr(text: &str) -> SocketAddrV4 {
    text.parse().unwrap()
}

fn birth(control: &str, bootstrap: bool) -> StartFacts {
    StartFacts {
        control: addr(control),
        seeds: SEEDS.iter().map(|s| addr(s)).collect(),
        port: 7660,
        bootstrap,
        random: 77,
        clock_ms: 1_000,
    }
}

#[rstest]
fn founders_know_each_other() {
    let all: Vec<Identity> = SEEDS.iter().map(|s| birth(s, true).identity(None)).collect();
    for (seed, identity) in SEEDS.iter().zip(&all) {
        assert_eq!(identity.id, initial_voter_id(inner(addr(seed), 7660)));
        assert_eq!(identity.initial_voters, all[0].initial_voters);
        let ids: Vec<u64> = identity.initial_voters.iter().map(|f| f.id).collect();
        assert_eq!(ids, all.iter().map(|i| i.id).collect::<Vec<_>>());
    }
    assert_eq!(all[0].initial_voters[1].addr, addr("10.2.0.1:7660").into());
    assert_eq!(all[0].initial_voters[1].control, addr("10.2.0.1:8146").into());
}

#[rstest]
#[case::wiped_founder(SEEDS[0], false)]
#[case::no_seed("10.4.0.1:8146", true)]
#[case::late("10.4.0.1:8146", false)]
fn others_come_with_a_new_identity_and_no_say(#[case] control: &str, #[case] bootstrap: bool) {
    let identity = birth(control, bootstrap).identity(None);
    assert_eq!((identity.id, identity.initial_voters), (77, vec![]));
}

#[rstest]
#[case::clock_went_on(5, 1_000)]
#[case::clock_went_back(2_000, 2_001)]
fn a_life_is_numbered_above_the_one_before(#[case] before: u64, #[case] now: u64) {
    let kept = Identity { id: 5, life: before, ..Identity::default() };
    assert_eq!(
        birth(SEEDS[0], true).identity(Some(kept)),
        Identity { id: 5, life: now, initial_voters: vec![] }
    );
}

#[rstest]
fn the_latest_record_counts() {
    let first = birth(SEEDS[0], true).identity(None);
    let second = birth(SEEDS[0], false).identity(Some(first.clone()));
    let records = [protocol::write_one(&first), protocol::write_one(&second)];
    assert_eq!(latest(&records), Some(second));
    assert_eq!(latest(&[vec![1, 2, 3]]), None);
}
