//! Members that are cut off, one way or both, or stand still for twenty seconds: what they take for proof, what they
//! answer, and that the others go on. Simulated time; what a cut holds up comes when it ends.

mod support;

use configuration::ResultCode;
use rstest::rstest;
use support::partition_cluster::{configuration, replace, PartitionCluster, ACK, CUT, READ};
use support::{ms, LEASE};

#[test]
fn members_when_nothing_fails_then_all_have_a_recent_primary_contact() {
    let mut core = PartitionCluster::started(3, 1);
    for _ in 0..40 {
        core.run(ms(53));
        for n in 0..3 {
            assert!(core.age(n).expect("proof") < ms(600), "{:?}", core.age(n));
        }
    }
}

/// Renewals that lay in a buffer while the member stood still say nothing of now.
#[rstest]
#[case::a_replica(false)]
#[case::a_witness(true)]
fn member_when_it_wakes_then_old_messages_are_no_primary_contact(#[case] witness: bool) {
    let mut core = PartitionCluster::started(3, 1);
    core.request_until_definite(&[0], replace(0, 5));
    let (primary, replicas) = (core.primary(), core.replicas());
    let sleeper = (0..3).find(|n| {
        if witness {
            !replicas.contains(n)
        } else {
            replicas.contains(n) && *n != primary
        }
    });
    let sleeper = sleeper.unwrap();
    core.run(ms(1000));
    core.nodes[sleeper].paused = true;
    core.run(CUT);
    let awake = core.others(&[sleeper]);
    assert_eq!(
        core.request_until_definite(&awake, replace(5, 7)).1,
        ResultCode::Ok
    );
    core.resume(sleeper);
    // Everything that waited is handed over at this one moment.
    while core.step_next(sleeper) {
        assert!(
            core.age(sleeper).unwrap() >= CUT,
            "proof after {:?}",
            core.age(sleeper)
        );
    }
    core.run(ms(1000));
    assert!(
        core.age(sleeper).unwrap() < ms(600),
        "then the primary proves it anew"
    );
    let clock = core.clock(sleeper);
    assert!(
        core.nodes[sleeper]
            .member
            .primary_contact(clock)
            .unwrap()
            .fleet_index
            >= 2
    );
}

#[test]
fn primary_when_it_wakes_after_its_lease_then_it_confirms_and_tells_nothing() {
    let mut core = PartitionCluster::started(3, 1);
    core.request_until_definite(&[0], replace(0, 5));
    let old = core.primary();
    core.nodes[old].paused = true;
    let awake = core.others(&[old]);
    let (took, code) = core.request_until_definite(&awake, replace(5, 7));
    assert!(
        code == ResultCode::Ok && took < ACK,
        "{code:?} after {took:?}"
    );
    core.run(CUT);
    // They come first of all when it wakes.
    let calls = [
        core.call(old, READ),
        core.call(old, replace(5, 6)),
        core.call(old, replace(7, 9)),
    ];
    core.nodes[old].inbox.rotate_right(3);
    core.resume(old);
    // Before anything has reached it, too: its status is asked for by people.
    assert!(!core.nodes[old].member.is_acting_primary_at(core.clock(old)));
    core.step_next(old);
    assert!(!core.nodes[old].member.is_acting_primary());
    core.run(ACK);
    let answers: Vec<(ResultCode, &[u8])> = calls
        .iter()
        .map(|t| (core.answers[t].1, &*core.answers[t].2))
        .collect();
    assert_eq!(
        answers.iter().map(|a| a.0).collect::<Vec<_>>(),
        [ResultCode::Ok, ResultCode::OtherBase, ResultCode::Ok]
    );
    assert!(
        answers[0].1 != configuration(5),
        "an old configuration was read"
    );
}

/// Also two of five, and the primary among those that are cut off.
#[rstest]
#[case::the_primary(3, 1, true)]
#[case::another(3, 1, false)]
#[case::two_of_five_with_the_primary(5, 2, true)]
#[case::two_of_five(5, 2, false)]
fn members_when_partitioned_for_twenty_seconds_then_requests_are_applied_by_the_majority(
    #[case] members: usize,
    #[case] losses: u32,
    #[case] with_primary: bool,
) {
    let mut core = PartitionCluster::started(members, losses);
    assert_eq!(
        core.request_until_definite(&[0], replace(0, 5)).1,
        ResultCode::Ok
    );
    let primary = core.primary();
    let rest = core.others(&[primary]);
    let lost: Vec<usize> = if with_primary {
        std::iter::once(primary)
            .chain(rest.iter().copied())
            .take(losses as usize)
            .collect()
    } else {
        rest.iter().copied().take(losses as usize).collect()
    };
    core.cut_off(&lost);
    let healthy = core.others(&lost);
    let end = core.now + CUT;
    // An order at the cut and others all the while, each sent to the healthy side.
    let mut version = 5;
    while core.now < end {
        let (took, code) = core.request_until_definite(&healthy, replace(version, version + 2));
        assert!(
            code == ResultCode::Ok && took < ACK,
            "{code:?} after {took:?}"
        );
        version += 2;
        for n in &lost {
            let since_cut = core.now + CUT - end;
            assert!(!core.nodes[*n].member.is_acting_primary() || since_cut < LEASE);
            let proved = core.age(*n);
            assert!(
                proved.is_some_and(|age| age + ms(500) >= since_cut.saturating_sub(LEASE)),
                "{proved:?}"
            );
        }
        core.run(ms(900));
    }
    // Cut off, it neither confirms nor refuses: it may not know what is in force.
    let calls: Vec<u64> = lost
        .iter()
        .flat_map(|n| [READ, replace(5, 6), replace(version, 99)].map(|c| (*n, c)))
        .collect::<Vec<_>>()
        .into_iter()
        .map(|(n, c)| core.call(n, c))
        .collect();
    core.run(ACK);
    for ticket in &calls {
        let code = core.answers[ticket].1;
        assert_eq!(code.status(), 503, "{code:?}");
    }
    assert!(
        lost.iter().all(|n| core.nodes[*n].published_version <= 5),
        "nothing that the others didn't agree on"
    );
    core.heal();
    core.run(ms(3000));
    for n in 0..members {
        assert!(core.age(n).expect("proof") < ms(600));
        assert_eq!(core.request(n, READ).2, configuration(version), "at {n}");
    }
}

#[rstest]
#[case::it_hears_but_isn_t_heard(true)]
#[case::it_is_heard_but_hears_nothing(false)]
fn member_when_partitioned_one_way_then_its_contact_ages(
    #[case] hears: bool,
    #[values(false, true)] the_primary: bool,
) {
    let mut core = PartitionCluster::started(3, 1);
    assert_eq!(
        core.request_until_definite(&[0], replace(0, 5)).1,
        ResultCode::Ok
    );
    let primary = core.primary();
    let one = if the_primary {
        primary
    } else {
        core.others(&[primary])[0]
    };
    for other in core.others(&[one]) {
        if hears {
            core.cut(one, other);
        } else {
            core.cut(other, one);
        }
    }
    let (healthy, cut_at) = (core.others(&[one]), core.now);
    for version in [5, 7, 9, 11, 13] {
        let (took, code) = core.request_until_definite(&healthy, replace(version, version + 2));
        assert!(
            code == ResultCode::Ok && took < ACK,
            "{code:?} after {took:?}"
        );
        core.run(ms(2500));
        // What it hears still proves nothing once its own word isn't heard.
        let since = (core.now - cut_at).saturating_sub(LEASE + ms(500));
        assert!(
            core.age(one).unwrap() >= since,
            "{:?} after {since:?}",
            core.age(one)
        );
    }
    let read = core.request(one, READ);
    assert!(read.1.status() == 503, "{:?}", read.1);
    core.heal();
    core.run(ms(3000));
    assert!(core.age(one).unwrap() < ms(600));
    assert_eq!(core.request(one, READ).2, configuration(15));
}

/// It shows what its disk knows to be acknowledged, and says that nobody has confirmed it.
#[rstest]
#[case::alone(1)]
#[case::again_and_again(4)]
fn member_when_restarted_while_partitioned_then_its_state_is_unconfirmed(#[case] times: usize) {
    let mut core = PartitionCluster::started(3, 1);
    assert_eq!(
        core.request_until_definite(&[0], replace(0, 5)).1,
        ResultCode::Ok
    );
    core.run(ms(1000));
    let primary = core.primary();
    let one = core.replicas().into_iter().find(|n| *n != primary).unwrap();
    core.cut_off(&[one]);
    let healthy = core.others(&[one]);
    for _ in 0..times {
        core.restart(one);
        core.run(CUT / times as u32);
        assert_eq!(
            (core.nodes[one].published_version, core.age(one)),
            (5, None)
        );
    }
    assert_eq!(
        core.request_until_definite(&healthy, replace(5, 7)).1,
        ResultCode::Ok
    );
    assert_eq!(core.request(one, READ).1, ResultCode::NoPrimary);
    // What was under way to an earlier incarnation comes now.
    core.heal();
    core.step_next(one);
    assert_eq!(core.age(one), None);
    core.run(ms(3000));
    assert!(core.age(one).unwrap() < ms(600));
    assert_eq!(core.request(one, READ).2, configuration(7));
}

/// Those cut off are restarted, then the others.
#[test]
fn members_when_all_restart_during_a_partition_then_the_majority_goes_on() {
    let mut core = PartitionCluster::started(3, 1);
    assert_eq!(
        core.request_until_definite(&[0], replace(0, 5)).1,
        ResultCode::Ok
    );
    let one = core.primary();
    core.cut_off(&[one]);
    let healthy = core.others(&[one]);
    assert_eq!(
        core.request_until_definite(&healthy, replace(5, 7)).1,
        ResultCode::Ok
    );
    core.restart(one);
    core.run(ms(5000));
    healthy.iter().for_each(|n| core.restart(*n));
    let (took, code) = core.request_until_definite(&healthy, replace(7, 9));
    assert!(
        code == ResultCode::Ok && took < ACK,
        "{code:?} after {took:?}"
    );
    core.run(CUT);
    assert_eq!(
        (core.nodes[one].published_version, core.age(one)),
        (5, None)
    );
    core.heal();
    core.run(ms(3000));
    assert_eq!(core.request(one, READ).2, configuration(9));
}

/// Its copy follows the order, but nobody grants the lease any more: the answer waits, and is no false yes.
#[test]
fn request_when_in_flight_at_the_partition_then_it_gets_no_false_answer() {
    for after in 0..12 {
        let mut core = PartitionCluster::started(3, 1);
        assert_eq!(
            core.request_until_definite(&[0], replace(0, 5)).1,
            ResultCode::Ok
        );
        let old = core.primary();
        let ticket = core.call(old, replace(5, 7));
        core.run(ms(after));
        core.cut_off(&[old]);
        core.run(ACK);
        let first = core.answers[&ticket].1;
        assert!(
            matches!(
                first,
                ResultCode::Ok | ResultCode::Unclear | ResultCode::NoPrimary
            ),
            "{first:?}"
        );
        // The same again on the other side is taken whether it got there before or not.
        let healthy = core.others(&[old]);
        let (took, code) = core.request_until_definite(&healthy, replace(5, 7));
        assert!(
            code == ResultCode::Ok && took < ACK,
            "{code:?} after {took:?}"
        );
        core.heal();
        core.run(ms(3000));
        for n in 0..3 {
            assert_eq!(core.request(n, READ).2, configuration(7));
        }
    }
}
