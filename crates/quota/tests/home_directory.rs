//! Selection of the home that a proxy asks, by the members' reachability.

use quota::{ranking, HomeDirectory};
use std::collections::BTreeSet;

fn directory() -> (HomeDirectory, Vec<u64>) {
    let members = vec![11, 22, 33, 44];
    let mut directory = HomeDirectory::default();
    directory.set_members(members.clone());
    (directory, ranking("t", &members))
}

#[test]
fn home_is_the_first_reachable_member_of_the_ranking() {
    let (mut directory, ranking_of_t) = directory();
    for member in &ranking_of_t {
        assert_eq!(directory.home("t"), Some(*member));
        assert!(directory.on_timeout(*member));
        assert!(
            !directory.on_timeout(*member),
            "it is marked as unreachable already"
        );
    }
    assert_eq!(directory.home("t"), None);
}

#[test]
fn home_that_replies_again_is_used_again() {
    let (mut directory, ranking_of_t) = directory();
    directory.on_timeout(ranking_of_t[0]);
    assert_eq!(directory.unreachable(), [ranking_of_t[0]]);
    assert!(directory.on_reply(ranking_of_t[0]));
    assert_eq!(directory.home("t"), Some(ranking_of_t[0]));
}

#[test]
fn member_that_misses_two_rounds_counts_as_unreachable() {
    let (mut directory, ranking_of_t) = directory();
    for _ in 0..2 {
        directory.begin_announcement_round();
    }
    assert_eq!(directory.home("t"), Some(ranking_of_t[0]));
    for member in &ranking_of_t[1..] {
        directory.on_reply(*member);
    }
    directory.begin_announcement_round();
    assert_eq!(directory.unreachable(), [ranking_of_t[0]]);
    assert_eq!(directory.home("t"), Some(ranking_of_t[1]));
}

#[test]
fn member_that_replies_in_each_round_stays_reachable() {
    let (mut directory, ranking_of_t) = directory();
    for _ in 0..20 {
        for member in directory.begin_announcement_round() {
            directory.on_reply(member);
        }
    }
    assert_eq!(directory.home("t"), Some(ranking_of_t[0]));
}

#[test]
fn removed_member_changes_only_the_homes_of_its_own_tenants() {
    let (mut directory, _) = directory();
    let tenants: Vec<String> = (0..200).map(|n| format!("tenant-{n}")).collect();
    let before: Vec<Option<u64>> = tenants.iter().map(|t| directory.home(t)).collect();
    directory.set_members(vec![11, 22, 33]);
    for (tenant, home) in tenants.iter().zip(before) {
        if home != Some(44) {
            assert_eq!(directory.home(tenant), home);
        }
    }
}

#[test]
fn removed_member_loses_its_unreachable_mark() {
    let (mut directory, _) = directory();
    directory.on_timeout(44);
    directory.set_members(vec![11, 22, 33]);
    directory.set_members(vec![11, 22, 33, 44]);
    assert!(directory.unreachable().is_empty());
    directory.retain_tenants(&BTreeSet::new());
    assert!(directory.home("t").is_some());
}

#[test]
fn total_outage_is_detected_after_two_members_timed_out() {
    let (mut directory, ranking_of_t) = directory();
    for member in &ranking_of_t[..2] {
        assert_eq!(directory.home("t"), Some(*member));
        directory.on_timeout(*member);
        directory.begin_announcement_round();
    }
    directory.begin_announcement_round();
    assert_eq!(directory.home("t"), None);
}
