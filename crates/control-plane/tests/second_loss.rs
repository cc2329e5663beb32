//! A second loss right after a repair, a replacement or a departure leaves a majority and everything that was
//! acknowledged (`docs/design/hardening/3-second-loss.md`).

mod support;

use configuration::ResultCode;
use control_plane::member::majority_shortfall;
use protocol::{MemberInfo, Message};
use rstest::rstest;
use support::event_cluster::Cluster;
use support::{budget, ms, LEASE};

/// Time within which a membership change is complete and a primary acts.
const CHANGE_TIMEOUT: std::time::Duration = ms(8000);

/// Runs until there is an acting primary and returns it.
fn wait_for_primary(cluster: &mut Cluster) -> usize {
    cluster
        .run_until(CHANGE_TIMEOUT, |c| c.primary().is_some())
        .expect("there is a primary");
    cluster.primary().unwrap()
}

/// Machines by their role in the membership: primary, other replica, witness.
fn machines_by_role(cluster: &mut Cluster) -> (usize, usize, usize) {
    wait_for_primary(cluster);
    let replicas = cluster.replicas();
    let witness = (0..3).find(|n| !replicas.contains(n)).unwrap();
    (replicas[0], replicas[1], witness)
}

#[test]
fn replica_when_departing_then_waits_until_another_has_the_state() {
    let mut cluster = Cluster::with_three_members();
    let (first, second, witness) = machines_by_role(&mut cluster);
    cluster.depart(second);
    assert!(
        !cluster.may_exit(second),
        "it may exit while only the primary has the state too"
    );
    cluster
        .run_until(CHANGE_TIMEOUT, |c| c.may_exit(second))
        .expect("it may exit");
    assert!(cluster.replicas().contains(&witness));
    // The departed replica exits, and the primary is lost with its disk at the same time.
    cluster.kill(second);
    cluster.kill(first);
    // The former witness is a replica and so has everything that was acknowledged, although it has no majority.
    assert!(cluster
        .membership(witness)
        .replicas
        .contains(&cluster.id(witness)));
}

#[test]
fn primary_when_departing_then_waits_until_two_others_have_the_state() {
    let mut cluster = Cluster::with_three_members();
    let (first, second, witness) = machines_by_role(&mut cluster);
    cluster.depart(first);
    let took = cluster
        .run_until(CHANGE_TIMEOUT, |c| c.may_exit(first))
        .expect("it may exit");
    assert!(took < LEASE, "the departure took {took:?}");
    let mut replicas = cluster.replicas();
    replicas.sort_unstable();
    let mut others = vec![second, witness];
    others.sort_unstable();
    assert_eq!(replicas, others);
}

/// The other replica is lost with its disk, and the only member that has the state departs.
#[test]
fn last_replica_when_departing_then_waits_for_another_replica() {
    let mut cluster = Cluster::with_three_members();
    let (first, second, _) = machines_by_role(&mut cluster);
    cluster.kill(second);
    cluster.depart(first);
    cluster.run(ms(500));
    assert!(!cluster.may_exit(first), "the only replica may exit");
    cluster.wipe(second);
    cluster
        .run_until(CHANGE_TIMEOUT, |c| c.may_exit(first))
        .expect("it may exit once another member has the state");
    cluster.kill(first);
    wait_for_primary(&mut cluster);
    assert_eq!(cluster.read_version(), Some(1));
    cluster.apply_configuration(1, 2);
}

/// If no other member joins for a while, the departing replica hands the state over to a witness.
#[test]
fn primary_when_too_few_members_are_there_then_hands_over_to_the_witness() {
    let mut cluster = Cluster::with_three_members();
    let (first, second, witness) = machines_by_role(&mut cluster);
    cluster.kill(second);
    cluster.depart(first);
    cluster
        .run_until(CHANGE_TIMEOUT, |c| c.is_primary(witness))
        .expect("the witness takes over");
    cluster.kill(first);
    cluster.wipe(second);
    wait_for_primary(&mut cluster);
    assert_eq!(cluster.read_version(), Some(1));
}

#[test]
fn members_when_all_depart_then_they_may_exit_soon() {
    let mut cluster = Cluster::with_three_members();
    wait_for_primary(&mut cluster);
    (0..3).for_each(|n| cluster.depart(n));
    let all_may_exit = |c: &Cluster| (0..3).all(|n| c.may_exit(n));
    let took = cluster
        .run_until(CHANGE_TIMEOUT, all_may_exit)
        .expect("all members may exit");
    assert!(
        took < ms(100),
        "no member is there to hand over to, but they waited {took:?}"
    );
    (0..3).for_each(|n| cluster.kill(n));
    (0..3).for_each(|n| cluster.restart(n));
    wait_for_primary(&mut cluster);
    assert_eq!(cluster.read_version(), Some(1));
}

#[rstest]
#[case::primary(0)]
#[case::replica(1)]
#[case::witness(2)]
fn planned_replacement_when_a_loss_follows_then_requests_are_applied(#[case] role: usize) {
    let mut cluster = Cluster::with_three_members();
    wait_for_primary(&mut cluster);
    let joining = cluster.add_machine("r/d");
    cluster
        .run_until(CHANGE_TIMEOUT, |c| c.is_voter(joining))
        .expect("the added machine becomes a voter");
    cluster
        .run_until(CHANGE_TIMEOUT, |c| c.current_membership().is_stable())
        .expect("the membership is stable");
    let replicas = cluster.replicas();
    let witness = (0..3).find(|n| !replicas.contains(n)).unwrap();
    let departing = [replicas[0], replicas[1], witness][role];
    cluster.depart(departing);
    cluster
        .run_until(CHANGE_TIMEOUT, |c| c.may_exit(departing))
        .expect("the departing one may exit");
    cluster.kill(departing);
    // The departed voter is removed at once, not after some seconds of silence: the next loss may follow immediately.
    let is_settled = |c: &Cluster| {
        c.primary().is_some() && !c.is_voter(departing) && c.current_membership().is_stable()
    };
    let took = cluster
        .run_until(CHANGE_TIMEOUT, is_settled)
        .expect("the departed one is no voter any more");
    assert!(
        took < LEASE,
        "four voters, one of them departed, for {took:?}"
    );
    let next = wait_for_primary(&mut cluster);
    cluster.kill(next);
    wait_for_primary(&mut cluster);
    assert_eq!(cluster.read_version(), Some(1));
    cluster.apply_configuration(1, 2);
}

/// The primary is lost right after its membership with a new voter was committed, before that voter received it.
#[test]
fn voter_when_it_lacks_its_membership_then_it_may_promise() {
    let mut cluster = Cluster::with_three_members();
    let (first, second, witness) = machines_by_role(&mut cluster);
    cluster.kill(witness);
    cluster.run(ms(3500));
    // The joining machine receives all messages except the ones that install a membership.
    let joining = cluster.add_machine("r/d");
    cluster.message_loss = Some(std::rc::Rc::new(move |_, to, message| {
        to == joining && matches!(message, Message::InstallMembership { .. })
    }));
    cluster
        .run_until(CHANGE_TIMEOUT, |c| {
            c.is_voter(joining) && c.current_membership().is_stable()
        })
        .expect("the added machine becomes a voter");
    assert_eq!(cluster.membership(joining).epoch, 0);
    cluster.kill(first);
    cluster.message_loss = None;
    cluster
        .run_until(CHANGE_TIMEOUT, |c| c.is_primary(second))
        .expect("the other replica and the new voter are a majority");
    assert_eq!(cluster.read_version(), Some(1));
}

/// A membership with two sets of voters needs a majority of both, so it is followed at once by the stable one.
#[test]
fn change_of_voters_when_committed_then_stable_at_once() {
    let mut cluster = Cluster::with_three_members();
    wait_for_primary(&mut cluster);
    let joining = cluster.add_machine("r/d");
    cluster
        .run_until(CHANGE_TIMEOUT, |c| c.is_voter(joining))
        .expect("the added machine becomes a voter");
    let took = cluster
        .run_until(CHANGE_TIMEOUT, |c| {
            c.is_voter(joining) && c.current_membership().is_stable()
        })
        .expect("the membership is stable");
    assert!(took < ms(50), "two sets of voters for {took:?}");
}

/// One machine after the other is replaced, with another machine killed after each replacement.
#[test]
fn members_when_replaced_repeatedly_with_kills_between_then_requests_are_applied() {
    let mut cluster = Cluster::with_three_members();
    let mut running = vec![0, 1, 2];
    for round in 0..6 {
        let first = wait_for_primary(&mut cluster);
        // The primary and another replica are lost for good in turn.
        let replicas = cluster.replicas();
        let lost = if round % 2 == 0 { first } else { replicas[1] };
        cluster.kill(lost);
        cluster.run(ms(1000));
        let joining = cluster.add_machine(&format!("r/n{round}"));
        running.retain(|n| *n != lost);
        running.push(joining);
        // After this time the lost machine counts as replaced, so the budget allows the next loss.
        cluster.run(ms(4000));
        assert!(
            cluster.is_voter(joining) && !cluster.is_voter(lost),
            "round {round}: {:?}",
            cluster.memberships()
        );
        let killed = running[0];
        cluster.kill(killed);
        let took = cluster.apply_configuration(1 + round, 2 + round);
        assert!(took < ms(4000), "round {round}: {took:?}");
        cluster.restart(killed);
        cluster.run(ms(4000));
    }
    assert_eq!(cluster.read_version(), Some(7));
}

/// A wiped machine counts as lost until its new id is a voter in place of the old one.
#[rstest]
#[case::primary(0)]
#[case::replica(1)]
#[case::witness(2)]
fn wiped_machine_when_restarted_then_it_is_a_voter_in_time(#[case] role: usize) {
    let mut cluster = Cluster::with_three_members();
    let (first, second, witness) = machines_by_role(&mut cluster);
    let wiped = [first, second, witness][role];
    cluster.kill(wiped);
    cluster.run(ms(500));
    cluster.wipe(wiped);
    let is_replaced = |c: &Cluster| {
        c.is_voter(wiped) && c.current_membership().is_stable() && c.replicas().len() == 2
    };
    let took = cluster
        .run_until(CHANGE_TIMEOUT, is_replaced)
        .expect("the wiped machine becomes a voter");
    assert!(took < ms(2000), "{took:?}");
}

/// A member that starts while a voter is unreachable but not yet given up joins once that voter is given up.
#[test]
fn member_when_added_before_a_voter_is_given_up_then_it_joins_later() {
    let mut cluster = Cluster::with_three_members();
    let (_, _, witness) = machines_by_role(&mut cluster);
    cluster.set_isolated(witness, true);
    cluster.run(ms(900));
    let joining = cluster.add_machine("r/d");
    cluster
        .run_until(CHANGE_TIMEOUT, |c| {
            c.is_voter(joining) && !c.is_voter(witness)
        })
        .expect("it replaces the lost voter");
}

#[rstest]
#[case::one_of_three(budget(1, 0, 0), &["r/a", "r/b", "r/c"], 0)]
#[case::one_of_four(budget(1, 0, 0), &["r/a", "r/b", "r/c", "r/a"], -1)]
#[case::two_of_five(budget(2, 0, 0), &["r/a", "r/a", "r/b", "r/b", "r/c"], 0)]
#[case::two_of_four(budget(2, 0, 0), &["r/a", "r/b", "r/c", "r/a"], 1)]
#[case::two_of_two(budget(2, 0, 0), &["r/a", "r/b"], 3)]
#[case::two_of_one(budget(2, 0, 0), &["r/a"], 4)]
#[case::two_zones_of_two(budget(2, 2, 0), &["r/a", "r/b"], 3)]
#[case::two_zones_of_one(budget(2, 2, 0), &["r/a"], 4)]
#[case::zone_of_three(budget(1, 1, 0), &["r/a", "r/b", "r/c"], 0)]
#[case::zone_with_two_of_four(budget(1, 1, 0), &["r/a", "r/b", "r/c", "r/a"], 1)]
#[case::zone_with_two_of_five(budget(1, 1, 0), &["r/a", "r/b", "r/c", "r/a", "r/b"], 0)]
#[case::two_zones_only(budget(1, 1, 0), &["r/a", "r/b", "r/a"], 2)]
#[case::region_of_three(budget(1, 0, 1), &["r/a", "s/b", "t/c"], 0)]
#[case::region_with_two_of_four(budget(1, 0, 1), &["r/a", "s/b", "t/c", "r/d"], 1)]
fn majority_shortfall_after_the_worst_loss(
    #[case] budget: configuration::FaultBudget,
    #[case] zones: &[&str],
    #[case] shortfall: i64,
) {
    let member_info = |zone: &&str| {
        let (region, zone) = zone.split_once('/').unwrap();
        MemberInfo {
            zone: zone.into(),
            region: region.into(),
            ..MemberInfo::default()
        }
    };
    let voters: Vec<MemberInfo> = zones.iter().map(member_info).collect();
    assert_eq!(
        majority_shortfall(&budget, &voters.iter().collect::<Vec<_>>()),
        shortfall
    );
}

/// Two of the three initial voters are in the same zone or region. None of them is removed while there are no other
/// members, because with two voters the loss of either one would leave no majority.
#[rstest]
#[case::zones(budget(1, 1, 0), &["r/a", "r/a", "r/b"], "r/c")]
#[case::regions(budget(1, 0, 1), &["r/a", "r/b", "s/c"], "t/d")]
#[case::regions_alone(budget(0, 0, 1), &["r/a", "r/b", "s/c"], "t/d")]
#[case::regions_later(budget(0, 0, 1), &["s/c", "r/a", "r/b"], "t/d")]
fn voter_when_other_members_are_too_few_then_not_removed_for_its_place(
    #[case] budget: configuration::FaultBudget,
    #[case] zones: &[&str],
    #[case] zone_of_added: &str,
) {
    let mut cluster = Cluster::start(budget, zones);
    cluster.run(ms(15_000));
    assert_eq!(
        cluster.current_membership().voters.len(),
        3,
        "{:?}",
        cluster.memberships()
    );
    assert_eq!(
        cluster.voter_counts.1, 3,
        "smallest number of voters at any time"
    );
    // Once a fourth machine has joined, the loss of any zone or region leaves a majority.
    cluster.add_machine(zone_of_added);
    cluster
        .run_until(ms(15_000), |c| {
            let voters = c.current_membership().voters;
            let voter_refs: Vec<&MemberInfo> = voters.iter().collect();
            c.current_membership().is_stable() && majority_shortfall(&budget, &voter_refs) <= 0
        })
        .expect("a membership that tolerates the loss");
    assert!(
        cluster.voter_counts.1 >= 3,
        "smallest number of voters at any time"
    );
}

/// Voters are chosen by place, so that the loss of any zone or region leaves a majority.
#[rstest]
#[case::four(budget(1, 1, 0), &["r/a", "r/b", "r/c", "r/a"])]
#[case::five(budget(1, 1, 0), &["r/a", "r/b", "r/c", "r/a", "r/b"])]
#[case::eight(budget(1, 1, 0), &["r/a", "r/b", "r/c", "r/a", "r/a", "r/a", "r/a", "r/b"])]
#[case::seeds_of_one_zone(budget(1, 1, 0), &["r/a", "r/a", "r/b", "r/c", "r/c"])]
#[case::regions(budget(1, 0, 1), &["r/a", "s/b", "t/c", "r/d", "r/e"])]
#[case::machines_and_zones(budget(2, 1, 0), &["r/a", "r/b", "r/c", "r/a", "r/b"])]
fn zone_or_region_when_lost_then_requests_are_applied(
    #[case] budget: configuration::FaultBudget,
    #[case] zones: &[&str],
) {
    let by_region = budget.region_losses > 0;
    let group = |place: &str| {
        let (region, zone) = place.split_once('/').unwrap();
        (if by_region { region } else { zone }).to_owned()
    };
    let groups: std::collections::BTreeSet<String> = zones.iter().map(|z| group(z)).collect();
    for lost in groups {
        let mut cluster = Cluster::start(budget, zones);
        cluster.apply_configuration(0, 1);
        cluster.run(ms(6000));
        for n in (0..zones.len()).filter(|n| group(zones[*n]) == lost) {
            cluster.kill(n);
        }
        let took = cluster.apply_configuration(1, 2);
        assert!(took < ms(4000), "{lost} lost: {took:?}");
    }
}

/// Machines depart one after the other without a replacement, down to the number that the budget needs.
#[test]
fn members_when_several_depart_in_turn_then_requests_are_applied() {
    let mut cluster = Cluster::start(budget(1, 0, 0), &["r/a", "r/b", "r/c", "r/a", "r/b"]);
    cluster.apply_configuration(0, 1);
    cluster
        .run_until(CHANGE_TIMEOUT, |c| {
            c.current_membership().voters.len() == 5 && c.current_membership().is_stable()
        })
        .expect("all machines become voters");
    for round in 0..2 {
        let first = wait_for_primary(&mut cluster);
        cluster.depart(first);
        cluster
            .run_until(CHANGE_TIMEOUT, |c| c.may_exit(first))
            .expect("it may exit");
        cluster.kill(first);
        cluster.run(ms(1000));
        assert_eq!(
            cluster.current_membership().voters.len(),
            4 - round,
            "{:?}",
            cluster.memberships()
        );
    }
    let next = wait_for_primary(&mut cluster);
    cluster.kill(next);
    let took = cluster.apply_configuration(1, 2);
    assert!(took < ms(4000), "{took:?}");
}

/// The budget allows the loss of two machines, but the fourth and fifth haven't joined yet. All machines lose power,
/// and one of them its disk.
#[rstest]
#[case::primary(0)]
#[case::second_replica(1)]
#[case::third_replica(2)]
fn disk_when_lost_before_more_members_have_joined_then_reads_are_answered(#[case] replica: usize) {
    let mut cluster = Cluster::start(budget(2, 0, 0), &["r/a", "r/b", "r/c"]);
    cluster.apply_configuration(0, 1);
    let lost = cluster.replicas()[replica];
    (0..3).for_each(|n| cluster.kill(n));
    cluster.run(ms(300));
    (0..3)
        .filter(|n| *n != lost)
        .for_each(|n| cluster.restart(n));
    // The machine with the lost disk isn't restarted or replaced.
    cluster
        .run_until(CHANGE_TIMEOUT, |c| c.primary().is_some())
        .expect("one of the two others becomes primary");
    assert_eq!(cluster.read_version(), Some(1));
    let rejected =
        cluster.send_command(cluster.primary().unwrap(), Cluster::configure_command(1, 2));
    cluster.run(ms(4000));
    assert_ne!(
        cluster.answer(rejected),
        Some(ResultCode::Ok),
        "two replicas don't tolerate two losses"
    );
    let (fourth, fifth) = (cluster.add_machine("r/a"), cluster.add_machine("r/b"));
    cluster
        .run_until(CHANGE_TIMEOUT, |c| c.is_voter(fourth) && c.is_voter(fifth))
        .expect("both become voters");
    cluster.apply_configuration(1, 3);
    assert_eq!(cluster.replicas().len(), 3);
    cluster.kill(cluster.replicas()[0]);
    cluster.apply_configuration(3, 4);
}

/// A voter that departs for good runs on for a while and stays reachable until its process exits. It must not become a
/// voter again, because the next loss would then leave no majority.
#[test]
fn member_when_departed_for_good_then_it_does_not_become_a_voter_again() {
    let mut cluster = Cluster::start(budget(1, 0, 0), &["r/a", "r/b", "r/c", "r/a"]);
    cluster.apply_configuration(0, 1);
    cluster
        .run_until(CHANGE_TIMEOUT, |c| {
            c.current_membership().voters.len() == 4 && c.current_membership().is_stable()
        })
        .expect("four voters");
    let departing = cluster.primary().unwrap();
    cluster.depart(departing);
    cluster
        .run_until(CHANGE_TIMEOUT, |c| {
            !c.is_primary(departing) && c.primary().is_some() && !c.is_voter(departing)
        })
        .expect("it is no voter any more");
    cluster.run(ms(1200));
    cluster.kill(departing);
    let became_voter = cluster.run_until(ms(10_000), |c| c.is_voter(departing));
    assert!(became_voter.is_none(), "{:?}", cluster.memberships());
    let next = cluster.primary().unwrap();
    cluster.kill(next);
    cluster.apply_configuration(1, 2);
}
