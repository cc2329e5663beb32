//! A member that leaves for good isn't made a voter again, however long it serves on and whoever is the primary
//! (`docs/design/hardening/3-second-loss.md`).

mod support;

use rstest::rstest;
use support::event_cluster::Cluster;
use support::{budget, ms};

const SOON: std::time::Duration = ms(8000);

/// Four voters of which one is enough to be lost; one of them leaves and has no vote any more.
fn four_of_which_one_leaves() -> (Cluster, usize) {
    let mut cluster = Cluster::start(budget(1, 0, 0), &["r/a", "r/b", "r/c", "r/a"]);
    cluster.apply_configuration(0, 1);
    cluster
        .run_until(SOON, |c| {
            c.current_membership().voters.len() == 4 && c.current_membership().is_stable()
        })
        .expect("four voters");
    let leaver = cluster.primary().unwrap();
    cluster.depart(leaver);
    let dropped = |c: &Cluster| {
        c.primary().is_some() && !c.is_voter(leaver) && c.current_membership().is_stable()
    };
    cluster.run_until(SOON, dropped).expect("it is dropped");
    (cluster, leaver)
}

/// The next loss leaves a majority.
fn bears_a_loss(mut cluster: Cluster) {
    let next = cluster.primary().unwrap();
    cluster.kill(next);
    let took = cluster.apply_configuration(1, 2);
    assert!(took < ms(4000), "{took:?}");
}

#[rstest]
#[case::three_leases(3000)]
#[case::six_leases(6000)]
#[case::twelve_leases(12_000)]
fn departing_member_when_it_serves_on_then_it_is_no_voter_again(#[case] serves_on: u64) {
    let (mut cluster, leaver) = four_of_which_one_leaves();
    let again = cluster.run_until(ms(serves_on), |c| c.is_voter(leaver));
    assert!(
        again.is_none(),
        "while it serves on: {:?}",
        cluster.memberships()
    );
    cluster.kill(leaver);
    let again = cluster.run_until(ms(10_000), |c| c.is_voter(leaver));
    assert!(
        again.is_none(),
        "after its end: {:?}",
        cluster.memberships()
    );
    bears_a_loss(cluster);
}

/// Who takes over, or has been started again since, knows of the departure too.
#[rstest]
#[case::by_another(false)]
#[case::by_one_started_again(true)]
fn departing_member_when_another_takes_over_then_it_is_no_voter_again(
    #[case] others_start_again: bool,
) {
    let (mut cluster, leaver) = four_of_which_one_leaves();
    cluster.run(ms(3000));
    let first = cluster.primary().unwrap();
    cluster.kill(first);
    for n in (0..4).filter(|n| others_start_again && ![first, leaver].contains(n)) {
        cluster.kill(n);
        cluster.restart(n);
    }
    cluster.run(ms(100));
    cluster.restart(first);
    let again = cluster.run_until(ms(4000), |c| c.is_voter(leaver));
    assert!(
        again.is_none(),
        "while it serves on: {:?}",
        cluster.memberships()
    );
    cluster.kill(leaver);
    let again = cluster.run_until(ms(10_000), |c| c.is_voter(leaver));
    assert!(
        again.is_none(),
        "after its end: {:?}",
        cluster.memberships()
    );
    bears_a_loss(cluster);
}

/// A member without a vote leaves: nobody counts on it when the next voter makes room.
#[test]
fn departing_spare_when_a_voter_is_lost_then_it_does_not_replace_it() {
    let mut cluster = Cluster::start(budget(1, 1, 0), &["r/a", "r/b", "r/c", "r/a"]);
    cluster.apply_configuration(0, 1);
    cluster.run(ms(4000));
    let spare = (0..4)
        .find(|n| !cluster.is_voter(*n))
        .expect("three voters, one of each zone");
    cluster.depart(spare);
    cluster
        .run_until(SOON, |c| c.may_exit(spare))
        .expect("it may end at once");
    cluster.run(ms(20));
    cluster.kill(spare);
    let leaver = cluster.primary().unwrap();
    cluster.depart(leaver);
    let voted = cluster.run_until(ms(4000), |c| c.is_voter(spare));
    assert!(voted.is_none(), "{:?}", cluster.memberships());
}

/// A member that ended as planned and is back in another incarnation is a voter again.
#[test]
fn departed_member_when_it_is_back_then_it_is_a_voter_again() {
    let (mut cluster, leaver) = four_of_which_one_leaves();
    cluster
        .run_until(SOON, |c| c.may_exit(leaver))
        .expect("it ends");
    cluster.kill(leaver);
    cluster.run(ms(300));
    cluster.restart(leaver);
    cluster
        .run_until(SOON, |c| c.is_voter(leaver))
        .expect("it joins again");
}
