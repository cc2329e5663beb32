//! A member that departs for good isn't made a voter again, however long it keeps serving and whoever is the primary
//! (`docs/design/hardening/3-second-loss.md`).

mod support;

use rstest::rstest;
use support::event_cluster::Cluster;
use support::{budget, ms};

const SETTLE_TIMEOUT: std::time::Duration = ms(8000);

/// Four voters with a budget of one machine, one of which departs and has lost its vote. Returns the cluster and the
/// departing machine.
fn cluster_with_departing_member() -> (Cluster, usize) {
    let mut cluster = Cluster::start(budget(1, 0, 0), &["r/a", "r/b", "r/c", "r/a"]);
    cluster.apply_configuration(0, 1);
    cluster
        .run_until(SETTLE_TIMEOUT, |c| {
            c.current_membership().voters.len() == 4 && c.current_membership().is_stable()
        })
        .expect("four voters");
    let departing = cluster.primary().unwrap();
    cluster.depart(departing);
    let is_removed = |c: &Cluster| {
        c.primary().is_some() && !c.is_voter(departing) && c.current_membership().is_stable()
    };
    cluster
        .run_until(SETTLE_TIMEOUT, is_removed)
        .expect("the departing voter is removed");
    (cluster, departing)
}

/// Checks that the cluster accepts a change in time after the loss of its primary.
fn assert_survives_a_loss(mut cluster: Cluster) {
    let next = cluster.primary().unwrap();
    cluster.kill(next);
    let took = cluster.apply_configuration(1, 2);
    assert!(took < ms(4000), "{took:?}");
}

#[rstest]
#[case::three_leases(3000)]
#[case::six_leases(6000)]
#[case::twelve_leases(12_000)]
fn departing_member_when_it_serves_on_then_it_is_no_voter_again(#[case] serving_ms: u64) {
    let (mut cluster, departing) = cluster_with_departing_member();
    let voted = cluster.run_until(ms(serving_ms), |c| c.is_voter(departing));
    assert!(
        voted.is_none(),
        "while it keeps serving: {:?}",
        cluster.memberships()
    );
    cluster.kill(departing);
    let voted = cluster.run_until(ms(10_000), |c| c.is_voter(departing));
    assert!(
        voted.is_none(),
        "after its end: {:?}",
        cluster.memberships()
    );
    assert_survives_a_loss(cluster);
}

/// A member that takes over, or that was restarted since, also knows of the departure.
#[rstest]
#[case::by_another_member(false)]
#[case::by_a_restarted_member(true)]
fn departing_member_when_another_takes_over_then_it_is_no_voter_again(
    #[case] others_restart: bool,
) {
    let (mut cluster, departing) = cluster_with_departing_member();
    cluster.run(ms(3000));
    let first = cluster.primary().unwrap();
    cluster.kill(first);
    for n in (0..4).filter(|n| others_restart && ![first, departing].contains(n)) {
        cluster.kill(n);
        cluster.restart(n);
    }
    cluster.run(ms(100));
    cluster.restart(first);
    let voted = cluster.run_until(ms(4000), |c| c.is_voter(departing));
    assert!(
        voted.is_none(),
        "while it keeps serving: {:?}",
        cluster.memberships()
    );
    cluster.kill(departing);
    let voted = cluster.run_until(ms(10_000), |c| c.is_voter(departing));
    assert!(
        voted.is_none(),
        "after its end: {:?}",
        cluster.memberships()
    );
    assert_survives_a_loss(cluster);
}

/// A departing member without a vote doesn't replace the next voter that departs.
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
        .run_until(SETTLE_TIMEOUT, |c| c.may_exit(spare))
        .expect("the departure completes at once");
    cluster.run(ms(20));
    cluster.kill(spare);
    let departing = cluster.primary().unwrap();
    cluster.depart(departing);
    let voted = cluster.run_until(ms(4000), |c| c.is_voter(spare));
    assert!(voted.is_none(), "{:?}", cluster.memberships());
}

/// A member that shut down gracefully and comes back in another incarnation becomes a voter again.
#[test]
fn departed_member_when_it_is_back_then_it_is_a_voter_again() {
    let (mut cluster, departing) = cluster_with_departing_member();
    cluster
        .run_until(SETTLE_TIMEOUT, |c| c.may_exit(departing))
        .expect("the departure completes");
    cluster.kill(departing);
    cluster.run(ms(300));
    cluster.restart(departing);
    cluster
        .run_until(SETTLE_TIMEOUT, |c| c.is_voter(departing))
        .expect("the member becomes a voter again");
}
