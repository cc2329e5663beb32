//! A second loss right after a repair, a replacement or a departure leaves a majority and all that was
//! acknowledged (`docs/design/hardening/3-second-loss.md`).

mod support;

use configuration::ResultCode;
use control_plane::member::majority_shortfall;
use protocol::{MemberInfo, Message};
use rstest::rstest;
use support::event_cluster::Cluster;
use support::{budget, ms, LEASE};

const SOON: std::time::Duration = ms(8000);

fn primary(cluster: &mut Cluster) -> usize {
    cluster
        .run_until(SOON, |c| c.primary().is_some())
        .expect("somebody acts");
    cluster.primary().unwrap()
}

/// Machines by their part in the membership: primary, other replica, witness.
fn parts(cluster: &mut Cluster) -> (usize, usize, usize) {
    primary(cluster);
    let replicas = cluster.replicas();
    let witness = (0..3).find(|n| !replicas.contains(n)).unwrap();
    (replicas[0], replicas[1], witness)
}

#[test]
fn replica_when_departing_then_waits_until_another_holds_the_state() {
    let mut cluster = Cluster::with_three_members();
    let (first, second, witness) = parts(&mut cluster);
    cluster.depart(second);
    assert!(
        !cluster.may_exit(second),
        "it ends while the primary's is the only other copy"
    );
    cluster
        .run_until(SOON, |c| c.may_exit(second))
        .expect("it may end");
    assert!(cluster.replicas().contains(&witness));
    // It is gone for good, and the other replica with its disk at the same moment.
    cluster.kill(second);
    cluster.kill(first);
    // Whatever the witness alone may not do, it has what was acknowledged.
    assert!(cluster
        .membership(witness)
        .replicas
        .contains(&cluster.id(witness)));
}

#[test]
fn primary_when_departing_then_waits_until_two_others_hold_the_state() {
    let mut cluster = Cluster::with_three_members();
    let (first, second, witness) = parts(&mut cluster);
    cluster.depart(first);
    let took = cluster
        .run_until(SOON, |c| c.may_exit(first))
        .expect("it may end");
    assert!(took < LEASE, "handed over after {took:?}");
    let mut replicas = cluster.replicas();
    replicas.sort_unstable();
    let mut others = vec![second, witness];
    others.sort_unstable();
    assert_eq!(replicas, others);
}

/// The other replica and its disk are lost; the only one that holds the ledger is asked to end.
#[test]
fn last_replica_when_departing_then_waits_for_the_next() {
    let mut cluster = Cluster::with_three_members();
    let (first, second, _) = parts(&mut cluster);
    cluster.kill(second);
    cluster.depart(first);
    cluster.run(ms(500));
    assert!(!cluster.may_exit(first), "the only copy ends");
    cluster.wipe(second);
    cluster
        .run_until(SOON, |c| c.may_exit(first))
        .expect("it may end once another holds the ledger");
    cluster.kill(first);
    primary(&mut cluster);
    assert_eq!(cluster.read_version(), Some(1));
    cluster.apply_configuration(1, 2);
}

/// Where nobody comes for a while the last copy is put onto a witness before it goes.
#[test]
fn primary_when_it_cannot_hand_over_in_full_then_hands_over_to_whoever_is_there() {
    let mut cluster = Cluster::with_three_members();
    let (first, second, witness) = parts(&mut cluster);
    cluster.kill(second);
    cluster.depart(first);
    cluster
        .run_until(SOON, |c| c.is_primary(witness))
        .expect("the witness takes over");
    cluster.kill(first);
    cluster.wipe(second);
    primary(&mut cluster);
    assert_eq!(cluster.read_version(), Some(1));
}

#[test]
fn members_when_all_depart_then_they_end_soon() {
    let mut cluster = Cluster::with_three_members();
    primary(&mut cluster);
    (0..3).for_each(|n| cluster.depart(n));
    let all = |c: &Cluster| (0..3).all(|n| c.may_exit(n));
    let took = cluster.run_until(SOON, all).expect("all end");
    assert!(
        took < ms(100),
        "nobody is there to wait for, and they waited {took:?}"
    );
    (0..3).for_each(|n| cluster.kill(n));
    (0..3).for_each(|n| cluster.restart(n));
    primary(&mut cluster);
    assert_eq!(cluster.read_version(), Some(1));
}

#[rstest]
#[case::primary(0)]
#[case::replica(1)]
#[case::witness(2)]
fn planned_replacement_when_a_loss_follows_then_it_is_borne(#[case] part: usize) {
    let mut cluster = Cluster::with_three_members();
    primary(&mut cluster);
    let new = cluster.add_machine("r/d");
    cluster
        .run_until(SOON, |c| c.is_voter(new))
        .expect("the new one joins");
    cluster
        .run_until(SOON, |c| c.current_membership().is_stable())
        .expect("agreed");
    let replicas = cluster.replicas();
    let witness = (0..3).find(|n| !replicas.contains(n)).unwrap();
    let old = [replicas[0], replicas[1], witness][part];
    cluster.depart(old);
    cluster
        .run_until(SOON, |c| c.may_exit(old))
        .expect("the old one ends");
    cluster.kill(old);
    // Not after some seconds of silence: the next loss may come at once.
    let settled = |c: &Cluster| {
        c.primary().is_some() && !c.is_voter(old) && c.current_membership().is_stable()
    };
    let took = cluster
        .run_until(SOON, settled)
        .expect("it has no say any more");
    assert!(took < LEASE, "four voters, one of them gone, for {took:?}");
    let next = primary(&mut cluster);
    cluster.kill(next);
    primary(&mut cluster);
    assert_eq!(cluster.read_version(), Some(1));
    cluster.apply_configuration(1, 2);
}

/// The primary is lost right after its membership with a new voter has been agreed on, of which that voter was not told.
#[test]
fn voter_when_not_told_yet_then_it_may_promise() {
    let mut cluster = Cluster::with_three_members();
    let (first, second, witness) = parts(&mut cluster);
    cluster.kill(witness);
    cluster.run(ms(3500));
    // Installing memberships doesn't reach the new one, but all else does.
    let new = cluster.add_machine("r/d");
    cluster.message_loss = Some(std::rc::Rc::new(move |_, to, message| {
        to == new && matches!(message, Message::InstallMembership { .. })
    }));
    cluster
        .run_until(SOON, |c| {
            c.is_voter(new) && c.current_membership().is_stable()
        })
        .expect("it becomes a voter");
    assert_eq!(cluster.membership(new).epoch, 0);
    cluster.kill(first);
    cluster.message_loss = None;
    cluster
        .run_until(SOON, |c| c.is_primary(second))
        .expect("the other replica and the new voter are a majority");
    assert_eq!(cluster.read_version(), Some(1));
}

/// Between the membership with both sets of voters and the one that settles it, the loss of any one must not stop all.
#[test]
fn change_of_voters_when_committed_then_stable_at_once() {
    let mut cluster = Cluster::with_three_members();
    primary(&mut cluster);
    let new = cluster.add_machine("r/d");
    cluster
        .run_until(SOON, |c| c.is_voter(new))
        .expect("the new one joins");
    let took = cluster
        .run_until(SOON, |c| {
            c.is_voter(new) && c.current_membership().is_stable()
        })
        .expect("settled");
    assert!(took < ms(50), "unsettled for {took:?}");
}

/// One machine after the other is replaced, each time with a kill between.
#[test]
fn members_when_replaced_repeatedly_with_kills_between_then_requests_are_applied() {
    let mut cluster = Cluster::with_three_members();
    let mut alive = vec![0, 1, 2];
    for round in 0..6 {
        let first = primary(&mut cluster);
        // Gone for good: the primary, another replica, and so on.
        let replicas = cluster.replicas();
        let gone = if round % 2 == 0 { first } else { replicas[1] };
        cluster.kill(gone);
        cluster.run(ms(1000));
        let new = cluster.add_machine(&format!("r/n{round}"));
        alive.retain(|n| *n != gone);
        alive.push(new);
        // Lost for as long as the operators count it: from then on the next one may go.
        cluster.run(ms(4000));
        assert!(
            cluster.is_voter(new) && !cluster.is_voter(gone),
            "round {round}: {:?}",
            cluster.memberships()
        );
        let next = alive[0];
        cluster.kill(next);
        let took = cluster.apply_configuration(1 + round, 2 + round);
        assert!(took < ms(4000), "round {round}: {took:?}");
        cluster.restart(next);
        cluster.run(ms(4000));
    }
    assert_eq!(cluster.read_version(), Some(7));
}

/// A wiped machine counts as lost until its new id is a voter in place of the old one.
#[rstest]
#[case::primary(0)]
#[case::replica(1)]
#[case::witness(2)]
fn wiped_machine_when_it_is_back_then_it_is_a_voter_in_time(#[case] part: usize) {
    let mut cluster = Cluster::with_three_members();
    let (first, second, witness) = parts(&mut cluster);
    let wiped = [first, second, witness][part];
    cluster.kill(wiped);
    cluster.run(ms(500));
    cluster.wipe(wiped);
    let done = |c: &Cluster| {
        c.is_voter(wiped) && c.current_membership().is_stable() && c.replicas().len() == 2
    };
    let took = cluster.run_until(SOON, done).expect("it joins");
    assert!(took < ms(2000), "{took:?}");
}

/// One that came while a voter was about to be missed joins once that voter is given up, however long that takes.
#[test]
fn member_when_it_came_too_early_then_it_joins_later() {
    let mut cluster = Cluster::with_three_members();
    let (_, _, witness) = parts(&mut cluster);
    cluster.set_isolated(witness, true);
    cluster.run(ms(900));
    let new = cluster.add_machine("r/d");
    cluster
        .run_until(SOON, |c| c.is_voter(new) && !c.is_voter(witness))
        .expect("it takes the lost one's place");
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
fn voters_missing_after_the_worst_loss(
    #[case] budget: configuration::FaultBudget,
    #[case] zones: &[&str],
    #[case] missing: i64,
) {
    let seat = |zone: &&str| {
        let (region, zone) = zone.split_once('/').unwrap();
        MemberInfo {
            zone: zone.into(),
            region: region.into(),
            ..MemberInfo::default()
        }
    };
    let seats: Vec<MemberInfo> = zones.iter().map(seat).collect();
    assert_eq!(
        majority_shortfall(&budget, &seats.iter().collect::<Vec<_>>()),
        missing
    );
}

/// Of three first voters two stand in one zone or region: while no others are there, none of them is dropped. With two
/// voters the loss of either would leave nobody who acts.
#[rstest]
#[case::zones(budget(1, 1, 0), &["r/a", "r/a", "r/b"], "r/c")]
#[case::regions(budget(1, 0, 1), &["r/a", "r/b", "s/c"], "t/d")]
#[case::regions_alone(budget(0, 0, 1), &["r/a", "r/b", "s/c"], "t/d")]
#[case::regions_later(budget(0, 0, 1), &["s/c", "r/a", "r/b"], "t/d")]
fn voter_when_others_are_few_then_not_dropped_for_its_place(
    #[case] budget: configuration::FaultBudget,
    #[case] zones: &[&str],
    #[case] joins: &str,
) {
    let mut cluster = Cluster::start(budget, zones);
    cluster.run(ms(15_000));
    assert_eq!(
        cluster.current_membership().voters.len(),
        3,
        "{:?}",
        cluster.memberships()
    );
    assert_eq!(cluster.voter_counts.1, 3, "fewest voters at any time");
    // Once one more is there, a majority survives the loss of any zone or region.
    cluster.add_machine(joins);
    cluster
        .run_until(ms(15_000), |c| {
            let voters = c.current_membership().voters;
            let all: Vec<&MemberInfo> = voters.iter().collect();
            c.current_membership().is_stable() && majority_shortfall(&budget, &all) <= 0
        })
        .expect("a membership that bears the loss");
    assert!(cluster.voter_counts.1 >= 3, "fewest voters at any time");
}

/// Which members are voters depends on where they are: any zone may be lost, and a majority is left.
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

/// Machines removed one after the other, without others in their place, down to what the budget needs.
#[test]
fn members_when_several_are_removed_then_in_turn() {
    let mut cluster = Cluster::start(budget(1, 0, 0), &["r/a", "r/b", "r/c", "r/a", "r/b"]);
    cluster.apply_configuration(0, 1);
    cluster
        .run_until(SOON, |c| {
            c.current_membership().voters.len() == 5 && c.current_membership().is_stable()
        })
        .expect("all join");
    for round in 0..2 {
        let first = primary(&mut cluster);
        cluster.depart(first);
        cluster
            .run_until(SOON, |c| c.may_exit(first))
            .expect("it ends");
        cluster.kill(first);
        cluster.run(ms(1000));
        assert_eq!(
            cluster.current_membership().voters.len(),
            4 - round,
            "{:?}",
            cluster.memberships()
        );
    }
    let next = primary(&mut cluster);
    cluster.kill(next);
    let took = cluster.apply_configuration(1, 2);
    assert!(took < ms(4000), "{took:?}");
}

/// Machines of which two may be lost, before the fourth and fifth have joined: all power goes, and one disk with it.
#[rstest]
#[case::of_the_primary(0)]
#[case::of_a_replica(1)]
#[case::of_another(2)]
fn disk_when_lost_before_more_members_have_joined_then_reads_are_answered(#[case] part: usize) {
    let mut cluster = Cluster::start(budget(2, 0, 0), &["r/a", "r/b", "r/c"]);
    cluster.apply_configuration(0, 1);
    let lost = cluster.replicas()[part];
    (0..3).for_each(|n| cluster.kill(n));
    cluster.run(ms(300));
    (0..3)
        .filter(|n| *n != lost)
        .for_each(|n| cluster.restart(n));
    // The machine itself stays away: nobody takes its place.
    cluster
        .run_until(SOON, |c| c.primary().is_some())
        .expect("the two others go on");
    assert_eq!(cluster.read_version(), Some(1));
    let refused =
        cluster.send_command(cluster.primary().unwrap(), Cluster::configure_command(1, 2));
    cluster.run(ms(4000));
    assert_ne!(
        cluster.answer(refused),
        Some(ResultCode::Ok),
        "two replicas don't bear two losses"
    );
    let (fourth, fifth) = (cluster.add_machine("r/a"), cluster.add_machine("r/b"));
    cluster
        .run_until(SOON, |c| c.is_voter(fourth) && c.is_voter(fifth))
        .expect("both join");
    cluster.apply_configuration(1, 3);
    assert_eq!(cluster.replicas().len(), 3);
    cluster.kill(cluster.replicas()[0]);
    cluster.apply_configuration(3, 4);
}

/// A voter that leaves for good serves on for a while, and is heard of until its end: it doesn't become a voter again,
/// beside which the next loss would leave no majority.
#[test]
fn member_when_departed_for_good_then_it_is_no_voter_again() {
    let mut cluster = Cluster::start(budget(1, 0, 0), &["r/a", "r/b", "r/c", "r/a"]);
    cluster.apply_configuration(0, 1);
    cluster
        .run_until(SOON, |c| {
            c.current_membership().voters.len() == 4 && c.current_membership().is_stable()
        })
        .expect("four voters");
    let leaver = cluster.primary().unwrap();
    cluster.depart(leaver);
    cluster
        .run_until(SOON, |c| {
            !c.is_primary(leaver) && c.primary().is_some() && !c.is_voter(leaver)
        })
        .expect("it is dropped");
    cluster.run(ms(1200));
    cluster.kill(leaver);
    let again = cluster.run_until(ms(10_000), |c| c.is_voter(leaver));
    assert!(again.is_none(), "{:?}", cluster.memberships());
    let next = cluster.primary().unwrap();
    cluster.kill(next);
    cluster.apply_configuration(1, 2);
}
