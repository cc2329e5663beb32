//! The identity that a member starts with, given the content of its disk.

use control_plane::incarnation::{next_incarnation, TAIL_BITS};
use control_plane::runtime::identity::{
    initial_voter_id, latest_identity, member_address, Identity, IdentityError, LogOwner,
    StartContext, StoredLog,
};
use rstest::rstest;
use std::net::SocketAddrV4;

const SEEDS: [&str; 3] = ["10.1.0.1:8146", "10.2.0.1:8146", "10.3.0.1:8146"];

fn addr(text: &str) -> SocketAddrV4 {
    text.parse().unwrap()
}

fn start_context(control: &str, bootstrap: bool) -> StartContext {
    StartContext {
        control: addr(control),
        seeds: SEEDS.iter().map(|s| addr(s)).collect(),
        port: 7660,
        bootstrap,
        random: 77,
        clock_ms: 1_000,
    }
}

#[rstest]
fn initial_voters_when_bootstrapping_know_each_other() {
    let all: Vec<Identity> = SEEDS
        .iter()
        .map(|s| start_context(s, true).identity(None))
        .collect();
    for (seed, identity) in SEEDS.iter().zip(&all) {
        assert_eq!(
            identity.id,
            initial_voter_id(member_address(addr(seed), 7660))
        );
        assert_eq!(identity.initial_voters, all[0].initial_voters);
        let ids: Vec<u64> = identity
            .initial_voters
            .iter()
            .map(|voter| voter.id)
            .collect();
        assert_eq!(
            ids,
            all.iter().map(|identity| identity.id).collect::<Vec<_>>()
        );
    }
    assert_eq!(all[0].initial_voters[1].addr, addr("10.2.0.1:7660").into());
    assert_eq!(
        all[0].initial_voters[1].control_addr,
        addr("10.2.0.1:8146").into()
    );
}

#[rstest]
#[case::wiped_initial_voter(SEEDS[0], false)]
#[case::no_seed("10.4.0.1:8146", true)]
#[case::joined_later("10.4.0.1:8146", false)]
fn member_when_it_is_no_initial_voter_has_a_random_id_and_no_vote(
    #[case] control: &str,
    #[case] bootstrap: bool,
) {
    let identity = start_context(control, bootstrap).identity(None);
    assert_eq!((identity.id, identity.initial_voters), (77, vec![]));
}

#[rstest]
#[case::clock_advanced(next_incarnation(5, 0, 1), 1_000)]
#[case::clock_moved_back(next_incarnation(0, 2_000, u64::MAX), 2_001)]
#[case::written_by_an_earlier_release(1_700_000_000_000, 1_700_000_000_000 / (1 << TAIL_BITS) + 1)]
fn incarnation_when_restarted_is_above_the_one_before(#[case] before: u64, #[case] clock: u64) {
    let stored = Identity {
        id: 5,
        incarnation: before,
        ..Identity::default()
    };
    let identity = start_context(SEEDS[0], true).identity(Some(stored));
    assert!(identity.incarnation > before);
    assert_eq!(
        identity,
        Identity {
            id: 5,
            incarnation: (clock << TAIL_BITS) + 77,
            initial_voters: vec![]
        }
    );
}

/// A full disk stores no new incarnation, and the clock is behind the stored one: two starts still get different
/// numbers.
#[test]
fn incarnations_when_the_disk_is_full_never_repeat() {
    let stored = Some(Identity {
        id: 5,
        incarnation: next_incarnation(0, 9_000, 1),
        ..Identity::default()
    });
    let first = start_context(SEEDS[0], false).identity(stored.clone());
    let second = StartContext {
        random: 78,
        clock_ms: 500,
        ..start_context(SEEDS[0], false)
    }
    .identity(stored);
    assert_ne!(first.incarnation, second.incarnation);
}

#[test]
fn incarnation_when_numbers_are_at_their_limit_saturates() {
    assert_eq!(
        next_incarnation(u64::MAX, u64::MAX, 0),
        u64::MAX << TAIL_BITS
    );
}

#[rstest]
fn latest_identity_when_a_record_is_damaged_is_an_error() {
    let first = start_context(SEEDS[0], true).identity(None);
    let second = start_context(SEEDS[0], false).identity(Some(first.clone()));
    let records = [
        protocol::encode_record(&first),
        protocol::encode_record(&second),
    ];
    assert_eq!(latest_identity(&records).unwrap(), Some(second));
    assert_eq!(latest_identity(&[]).unwrap(), None);
    // A damaged record never causes a fallback to an older identity, or to none.
    let damaged = [records.to_vec(), vec![vec![1, 2, 3]]].concat();
    assert!(matches!(
        latest_identity(&damaged),
        Err(IdentityError::Unreadable { record: 2, .. })
    ));
}

fn stored_log(owner: Option<&Identity>, records: &[&[u8]]) -> StoredLog {
    let owner = owner.map(|identity| {
        protocol::encode_record(&LogOwner {
            identity: identity.clone(),
        })
    });
    StoredLog::from_records(
        owner
            .into_iter()
            .chain(records.iter().map(|r| r.to_vec()))
            .collect(),
    )
}

/// Each file is present or lost: no member continues under an identity whose promises are lost, or with the promises of
/// another member.
#[rstest]
fn identity_when_either_file_is_lost_never_adopts_promises_of_another_member() {
    let start = start_context(SEEDS[0], true);
    let (first, restarted) = (start.identity(None), start_context(SEEDS[0], false));
    let other = Identity {
        id: 5,
        incarnation: 1,
        initial_voters: vec![],
    };
    let records: [&[u8]; 1] = [b"promised"];
    let id_and_voter_count = |stored: Option<&Identity>, log: &StoredLog| {
        restarted
            .identity_from_files(stored.cloned(), log)
            .map(|identity| (identity.id, identity.initial_voters.len()))
    };
    let own = (first.id, 3);
    // Both files are present, or neither.
    assert_eq!(
        id_and_voter_count(Some(&first), &stored_log(Some(&first), &records)).unwrap(),
        own
    );
    assert_eq!(
        id_and_voter_count(Some(&first), &stored_log(Some(&first), &[])).unwrap(),
        own
    );
    assert_eq!(
        id_and_voter_count(None, &stored_log(None, &[])).unwrap(),
        (77, 0)
    );
    // The log was lost: a new identity that is no initial voter, although the settings still have `bootstrap`.
    assert_eq!(
        id_and_voter_count(Some(&first), &stored_log(None, &[])).unwrap(),
        (77, 0)
    );
    let lost = start
        .identity_from_files(Some(first.clone()), &stored_log(None, &[]))
        .unwrap();
    assert_eq!((lost.id, lost.initial_voters.len()), (77, 0));
    // The identity file was lost: the log names its owner.
    assert_eq!(
        id_and_voter_count(None, &stored_log(Some(&first), &records)).unwrap(),
        own
    );
    assert_eq!(
        id_and_voter_count(None, &stored_log(Some(&first), &[])).unwrap(),
        own
    );
    // The process ended after a new identity had created its log and before it had written the identity file.
    assert_eq!(
        id_and_voter_count(Some(&first), &stored_log(Some(&other), &[])).unwrap(),
        (5, 0)
    );
    // The log belongs to another member, or its owner is unknown.
    let foreign = id_and_voter_count(Some(&first), &stored_log(Some(&other), &records));
    assert!(matches!(
        foreign,
        Err(IdentityError::OtherOwner { owner: 5, .. })
    ));
    assert!(matches!(
        id_and_voter_count(None, &stored_log(None, &records)),
        Err(IdentityError::NoIdentity)
    ));
    // The log was written by an earlier release.
    assert_eq!(
        id_and_voter_count(Some(&first), &stored_log(None, &records)).unwrap(),
        own
    );
}
