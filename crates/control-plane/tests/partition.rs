//! Members that are partitioned in one or both directions, or paused, for twenty seconds: what counts as proof of
//! contact with the primary, how they answer requests, and that the majority keeps applying requests. Runs on simulated
//! time; messages on a blocked link arrive when it is unblocked.

mod support;

use configuration::ResultCode;
use rstest::rstest;
use support::partition_cluster::{
    configuration, replace_command, PartitionCluster, ACK_TIMEOUT, PARTITION_DURATION, READ_COMMAND,
};
use support::{ms, LEASE};

#[test]
fn members_when_nothing_fails_then_all_have_a_recent_primary_contact() {
    let mut cluster = PartitionCluster::with_members(3, 1);
    for _ in 0..40 {
        cluster.run(ms(53));
        for n in 0..3 {
            assert!(
                cluster
                    .contact_age(n)
                    .expect("it has had contact with the primary")
                    < ms(600),
                "{:?}",
                cluster.contact_age(n)
            );
        }
    }
}

/// Lease renewals that were buffered while a member was paused don't prove that it is in contact with the primary now.
#[rstest]
#[case::a_replica(false)]
#[case::a_witness(true)]
fn member_when_resumed_then_buffered_messages_are_no_primary_contact(#[case] is_witness: bool) {
    let mut cluster = PartitionCluster::with_members(3, 1);
    cluster.request_until_definite(&[0], replace_command(0, 5));
    let (primary, replicas) = (cluster.primary(), cluster.replicas());
    let paused = (0..3).find(|n| {
        if is_witness {
            !replicas.contains(n)
        } else {
            replicas.contains(n) && *n != primary
        }
    });
    let paused = paused.unwrap();
    cluster.run(ms(1000));
    cluster.nodes[paused].is_paused = true;
    cluster.run(PARTITION_DURATION);
    let running = cluster.others(&[paused]);
    assert_eq!(
        cluster
            .request_until_definite(&running, replace_command(5, 7))
            .1,
        ResultCode::Ok
    );
    cluster.resume(paused);
    // All buffered inputs are handled at the same simulated time.
    while cluster.handle_next_input(paused) {
        assert!(
            cluster.contact_age(paused).unwrap() >= PARTITION_DURATION,
            "a buffered message counted as contact: {:?}",
            cluster.contact_age(paused)
        );
    }
    cluster.run(ms(1000));
    assert!(
        cluster.contact_age(paused).unwrap() < ms(600),
        "new renewals prove contact again"
    );
    let clock = cluster.clock(paused);
    assert!(
        cluster.nodes[paused]
            .member
            .primary_contact(clock)
            .unwrap()
            .fleet_index
            >= 2
    );
}

#[test]
fn primary_when_resumed_after_its_lease_then_it_answers_nothing_from_its_old_state() {
    let mut cluster = PartitionCluster::with_members(3, 1);
    cluster.request_until_definite(&[0], replace_command(0, 5));
    let old_primary = cluster.primary();
    cluster.nodes[old_primary].is_paused = true;
    let running = cluster.others(&[old_primary]);
    let (took, code) = cluster.request_until_definite(&running, replace_command(5, 7));
    assert!(
        code == ResultCode::Ok && took < ACK_TIMEOUT,
        "{code:?} after {took:?}"
    );
    cluster.run(PARTITION_DURATION);
    // These commands are the first inputs that it handles when it resumes.
    let tickets = [
        cluster.send_command(old_primary, READ_COMMAND),
        cluster.send_command(old_primary, replace_command(5, 6)),
        cluster.send_command(old_primary, replace_command(7, 9)),
    ];
    cluster.nodes[old_primary].inbox.rotate_right(3);
    cluster.resume(old_primary);
    // Its status page must not show it as primary even before it handles an input.
    assert!(!cluster.nodes[old_primary]
        .member
        .is_acting_primary_at(cluster.clock(old_primary)));
    cluster.handle_next_input(old_primary);
    assert!(!cluster.nodes[old_primary].member.is_acting_primary());
    cluster.run(ACK_TIMEOUT);
    let answers: Vec<(ResultCode, &[u8])> = tickets
        .iter()
        .map(|t| (cluster.answers[t].1, &*cluster.answers[t].2))
        .collect();
    assert_eq!(
        answers.iter().map(|a| a.0).collect::<Vec<_>>(),
        [ResultCode::Ok, ResultCode::OtherBase, ResultCode::Ok]
    );
    assert!(
        answers[0].1 != configuration(5),
        "the read returned an outdated configuration"
    );
}

/// One of three or two of five members are partitioned, the primary among them or not.
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
    let mut cluster = PartitionCluster::with_members(members, losses);
    assert_eq!(
        cluster
            .request_until_definite(&[0], replace_command(0, 5))
            .1,
        ResultCode::Ok
    );
    let primary = cluster.primary();
    let rest = cluster.others(&[primary]);
    let partitioned: Vec<usize> = if with_primary {
        std::iter::once(primary)
            .chain(rest.iter().copied())
            .take(losses as usize)
            .collect()
    } else {
        rest.iter().copied().take(losses as usize).collect()
    };
    cluster.partition(&partitioned);
    let majority = cluster.others(&partitioned);
    let end = cluster.now + PARTITION_DURATION;
    // The majority is sent requests one after the other while the partition lasts.
    let mut version = 5;
    while cluster.now < end {
        let (took, code) =
            cluster.request_until_definite(&majority, replace_command(version, version + 2));
        assert!(
            code == ResultCode::Ok && took < ACK_TIMEOUT,
            "{code:?} after {took:?}"
        );
        version += 2;
        for n in &partitioned {
            let since_partition = cluster.now + PARTITION_DURATION - end;
            assert!(!cluster.nodes[*n].member.is_acting_primary() || since_partition < LEASE);
            let contact_age = cluster.contact_age(*n);
            assert!(
                contact_age
                    .is_some_and(|age| age + ms(500) >= since_partition.saturating_sub(LEASE)),
                "{contact_age:?}"
            );
        }
        cluster.run(ms(900));
    }
    // A partitioned member may not know what is in force, so it neither confirms nor rejects.
    let tickets: Vec<u64> = partitioned
        .iter()
        .flat_map(|n| {
            [
                READ_COMMAND,
                replace_command(5, 6),
                replace_command(version, 99),
            ]
            .map(|c| (*n, c))
        })
        .collect::<Vec<_>>()
        .into_iter()
        .map(|(n, c)| cluster.send_command(n, c))
        .collect();
    cluster.run(ACK_TIMEOUT);
    for ticket in &tickets {
        let code = cluster.answers[ticket].1;
        assert_eq!(code.status(), 503, "{code:?}");
    }
    assert!(
        partitioned
            .iter()
            .all(|n| cluster.nodes[*n].published_version <= 5),
        "a partitioned member published a version newer than the one before the partition"
    );
    cluster.heal();
    cluster.run(ms(3000));
    for n in 0..members {
        assert!(
            cluster
                .contact_age(n)
                .expect("it has had contact with the primary")
                < ms(600)
        );
        assert_eq!(
            cluster.request(n, READ_COMMAND).2,
            configuration(version),
            "at {n}"
        );
    }
}

#[rstest]
#[case::outbound_links_blocked(true)]
#[case::inbound_links_blocked(false)]
fn member_when_partitioned_one_way_then_its_contact_ages(
    #[case] outbound: bool,
    #[values(false, true)] is_primary: bool,
) {
    let mut cluster = PartitionCluster::with_members(3, 1);
    assert_eq!(
        cluster
            .request_until_definite(&[0], replace_command(0, 5))
            .1,
        ResultCode::Ok
    );
    let primary = cluster.primary();
    let member = if is_primary {
        primary
    } else {
        cluster.others(&[primary])[0]
    };
    for other in cluster.others(&[member]) {
        if outbound {
            cluster.block_link(member, other);
        } else {
            cluster.block_link(other, member);
        }
    }
    let (majority, partitioned_at) = (cluster.others(&[member]), cluster.now);
    for version in [5, 7, 9, 11, 13] {
        let (took, code) =
            cluster.request_until_definite(&majority, replace_command(version, version + 2));
        assert!(
            code == ResultCode::Ok && took < ACK_TIMEOUT,
            "{code:?} after {took:?}"
        );
        cluster.run(ms(2500));
        // Messages that still reach it prove no contact once its own replies don't get through.
        let since = (cluster.now - partitioned_at).saturating_sub(LEASE + ms(500));
        assert!(
            cluster.contact_age(member).unwrap() >= since,
            "{:?} after {since:?}",
            cluster.contact_age(member)
        );
    }
    let read = cluster.request(member, READ_COMMAND);
    assert!(read.1.status() == 503, "{:?}", read.1);
    cluster.heal();
    cluster.run(ms(3000));
    assert!(cluster.contact_age(member).unwrap() < ms(600));
    assert_eq!(cluster.request(member, READ_COMMAND).2, configuration(15));
}

/// A restarted member publishes the state that its log records as committed, and reports no contact with a primary.
#[rstest]
#[case::once(1)]
#[case::four_times(4)]
fn member_when_restarted_while_partitioned_then_its_state_is_unconfirmed(#[case] restarts: usize) {
    let mut cluster = PartitionCluster::with_members(3, 1);
    assert_eq!(
        cluster
            .request_until_definite(&[0], replace_command(0, 5))
            .1,
        ResultCode::Ok
    );
    cluster.run(ms(1000));
    let primary = cluster.primary();
    let member = cluster
        .replicas()
        .into_iter()
        .find(|n| *n != primary)
        .unwrap();
    cluster.partition(&[member]);
    let majority = cluster.others(&[member]);
    for _ in 0..restarts {
        cluster.restart(member);
        cluster.run(PARTITION_DURATION / restarts as u32);
        assert_eq!(
            (
                cluster.nodes[member].published_version,
                cluster.contact_age(member)
            ),
            (5, None)
        );
    }
    assert_eq!(
        cluster
            .request_until_definite(&majority, replace_command(5, 7))
            .1,
        ResultCode::Ok
    );
    assert_eq!(
        cluster.request(member, READ_COMMAND).1,
        ResultCode::NoPrimary
    );
    // Messages that were sent to an earlier incarnation arrive now.
    cluster.heal();
    cluster.handle_next_input(member);
    assert_eq!(cluster.contact_age(member), None);
    cluster.run(ms(3000));
    assert!(cluster.contact_age(member).unwrap() < ms(600));
    assert_eq!(cluster.request(member, READ_COMMAND).2, configuration(7));
}

/// The partitioned member is restarted first, then the others.
#[test]
fn members_when_all_restart_during_a_partition_then_the_majority_goes_on() {
    let mut cluster = PartitionCluster::with_members(3, 1);
    assert_eq!(
        cluster
            .request_until_definite(&[0], replace_command(0, 5))
            .1,
        ResultCode::Ok
    );
    let member = cluster.primary();
    cluster.partition(&[member]);
    let majority = cluster.others(&[member]);
    assert_eq!(
        cluster
            .request_until_definite(&majority, replace_command(5, 7))
            .1,
        ResultCode::Ok
    );
    cluster.restart(member);
    cluster.run(ms(5000));
    majority.iter().for_each(|n| cluster.restart(*n));
    let (took, code) = cluster.request_until_definite(&majority, replace_command(7, 9));
    assert!(
        code == ResultCode::Ok && took < ACK_TIMEOUT,
        "{code:?} after {took:?}"
    );
    cluster.run(PARTITION_DURATION);
    assert_eq!(
        (
            cluster.nodes[member].published_version,
            cluster.contact_age(member)
        ),
        (5, None)
    );
    cluster.heal();
    cluster.run(ms(3000));
    assert_eq!(cluster.request(member, READ_COMMAND).2, configuration(9));
}

/// The primary is partitioned while a request is being replicated. Even if a replica stored the change, the primary
/// doesn't confirm it without a lease, because the other side may have elected a new primary.
#[test]
fn request_when_in_flight_at_the_partition_then_its_answer_is_not_wrong() {
    for partition_after_ms in 0..12 {
        let mut cluster = PartitionCluster::with_members(3, 1);
        assert_eq!(
            cluster
                .request_until_definite(&[0], replace_command(0, 5))
                .1,
            ResultCode::Ok
        );
        let old_primary = cluster.primary();
        let ticket = cluster.send_command(old_primary, replace_command(5, 7));
        cluster.run(ms(partition_after_ms));
        cluster.partition(&[old_primary]);
        cluster.run(ACK_TIMEOUT);
        let first_code = cluster.answers[&ticket].1;
        assert!(
            matches!(
                first_code,
                ResultCode::Ok | ResultCode::Unclear | ResultCode::NoPrimary
            ),
            "{first_code:?}"
        );
        // The majority confirms the repeated request whether it had received it before or not.
        let majority = cluster.others(&[old_primary]);
        let (took, code) = cluster.request_until_definite(&majority, replace_command(5, 7));
        assert!(
            code == ResultCode::Ok && took < ACK_TIMEOUT,
            "{code:?} after {took:?}"
        );
        cluster.heal();
        cluster.run(ms(3000));
        for n in 0..3 {
            assert_eq!(cluster.request(n, READ_COMMAND).2, configuration(7));
        }
    }
}
