//! Recovery from one replica's disk after a majority of the voters is lost for good
//! (`docs/operators/losing-a-majority.md`).

mod support;

use configuration::ResultCode;
use control_plane::recovery::{latest_epoch, RecoveryError, SurvivingReplica};
use std::time::Duration;
use support::event_cluster::Cluster;
use support::recovered::{identity_records, lost_member_names, recover, RECOVERED_ID};
use support::{budget, ms};

/// Time within which a primary acts and new members join.
const JOIN_TIMEOUT: Duration = ms(8000);

/// A cluster of three stopped members, and the replica that isn't lost.
fn cluster_with_one_survivor() -> (Cluster, usize) {
    let mut cluster = Cluster::with_three_members();
    let surviving_machine = cluster.replicas()[1];
    (0..3).for_each(|n| cluster.kill(n));
    (cluster, surviving_machine)
}

#[test]
fn requests_when_no_majority_is_left_then_none_is_applied() {
    let (mut cluster, surviving_machine) = cluster_with_one_survivor();
    cluster.restart(surviving_machine);
    let ticket = cluster.send_command(surviving_machine, Cluster::configure_command(1, 2));
    cluster.run(ms(10_000));
    assert_eq!(
        (cluster.primary(), cluster.answer(ticket)),
        (None, Some(ResultCode::NoPrimary))
    );
}

#[test]
fn recovered_replica_when_others_join_then_it_accepts_changes() {
    let (mut cluster, surviving_machine) = cluster_with_one_survivor();
    recover(&mut cluster, surviving_machine);
    cluster
        .run_until(JOIN_TIMEOUT, |c| c.is_primary(surviving_machine))
        .expect("the recovered member becomes primary alone");
    assert_eq!(cluster.read_version(), Some(1));
    // Nothing new is acknowledged while it would be on one disk only, as the next loss would take it.
    let ticket = cluster.send_command(surviving_machine, Cluster::configure_command(1, 2));
    cluster.run(ms(100));
    assert_eq!(cluster.answer(ticket), Some(ResultCode::NoPrimary));
    cluster.add_machine("r/d");
    cluster.add_machine("r/e");
    cluster.apply_configuration(1, 2);
    cluster
        .run_until(JOIN_TIMEOUT, |c| {
            c.current_membership().voters.len() == 3 && c.current_membership().is_stable()
        })
        .expect("three voters");
    cluster.kill(surviving_machine);
    cluster.apply_configuration(2, 3);
}

/// A budget of two lost machines needs five voters: four members join the recovered one, one after the other.
#[test]
fn recovered_replica_when_two_losses_are_allowed_then_grows_to_five_voters() {
    let mut cluster = Cluster::start(budget(2, 0, 0), &["r/a", "r/b", "r/c", "r/a", "r/b"]);
    cluster.apply_configuration(0, 1);
    cluster.run(ms(5000));
    let surviving_machine = cluster.replicas()[1];
    (0..5).for_each(|n| cluster.kill(n));
    recover(&mut cluster, surviving_machine);
    for zone in ["r/c", "r/a", "r/b", "r/c"] {
        cluster.add_machine(zone);
    }
    cluster
        .run_until(JOIN_TIMEOUT, |c| {
            c.current_membership().voters.len() == 5 && c.current_membership().is_stable()
        })
        .expect("five voters");
    cluster.apply_configuration(1, 2);
    cluster.kill(surviving_machine);
    cluster.apply_configuration(2, 3);
}

/// Members that were given up restart, and would be a majority of the old membership.
#[test]
fn given_up_members_when_restarted_then_they_follow_the_recovered_member() {
    let (mut cluster, surviving_machine) = cluster_with_one_survivor();
    recover(&mut cluster, surviving_machine);
    cluster
        .run_until(JOIN_TIMEOUT, |c| c.is_primary(surviving_machine))
        .expect("the recovered member becomes primary alone");
    let given_up: Vec<usize> = (0..3).filter(|n| *n != surviving_machine).collect();
    given_up.iter().for_each(|n| cluster.restart(*n));
    cluster.apply_configuration(1, 2);
    cluster.run(ms(3000));
    assert_eq!(cluster.read_version(), Some(2));
    let acting = (0..3).filter(|n| cluster.is_primary(*n)).count();
    assert_eq!(acting, 1, "{:?}", cluster.memberships());
    assert!(given_up.iter().all(|n| cluster.is_voter(*n)));
}

/// The members that were given up elect a primary of their own while the recovered member is isolated. After that the
/// recovered member's state stays, and only one member is the primary.
#[test]
fn given_up_members_when_they_elected_a_primary_then_it_steps_down() {
    let (mut cluster, surviving_machine) = cluster_with_one_survivor();
    let given_up: Vec<usize> = (0..3).filter(|n| *n != surviving_machine).collect();
    recover(&mut cluster, surviving_machine);
    cluster.set_isolated(surviving_machine, true);
    given_up.iter().for_each(|n| cluster.restart(*n));
    cluster
        .run_until(JOIN_TIMEOUT, |c| given_up.iter().any(|n| c.is_primary(*n)))
        .expect("the old majority elects a primary");
    cluster.run(ms(20_000));
    assert!(cluster.is_primary(surviving_machine));
    cluster.set_isolated(surviving_machine, false);
    cluster.run(ms(4000));
    let acting: Vec<usize> = (0..3).filter(|n| cluster.is_primary(*n)).collect();
    assert_eq!(acting.len(), 1, "{:?}", cluster.memberships());
    assert_eq!(cluster.current_membership().voters.len(), 3);
    assert!(
        cluster.is_voter(surviving_machine),
        "the recovered member is no voter any more: {:?}",
        cluster.memberships()
    );
    cluster.apply_configuration(1, 2);
}

#[test]
fn recovery_when_the_member_is_a_witness_then_refused() {
    let mut cluster = Cluster::with_three_members();
    let replicas = cluster.replicas();
    let witness = (0..3).find(|n| !replicas.contains(n)).unwrap();
    let epoch = cluster.membership(witness).epoch;
    (0..3).for_each(|n| cluster.kill(n));
    let result = SurvivingReplica::read(
        &identity_records(&cluster, witness),
        cluster.records(witness),
    );
    assert!(matches!(result, Err(RecoveryError::NoReplica { epoch: e }) if e == epoch));
    // Its log has the epoch of the membership all the same.
    assert_eq!(latest_epoch(cluster.records(witness)), epoch);
}

#[test]
fn recovery_when_lost_members_are_not_named_exactly_then_refused() {
    let (cluster, surviving_machine) = cluster_with_one_survivor();
    let survivor = SurvivingReplica::read(
        &identity_records(&cluster, surviving_machine),
        cluster.records(surviving_machine),
    )
    .unwrap();
    assert_eq!(
        (survivor.configuration_version(), survivor.last_index()),
        (1, 1)
    );
    let lost_names = lost_member_names(&survivor);
    assert_eq!(lost_names.len(), 2);
    let too_many = [lost_names.clone(), vec!["core-9".into()]].concat();
    for wrong_names in [&lost_names[..1], &[], &too_many] {
        assert!(
            matches!(survivor.recover(wrong_names, RECOVERED_ID), Err(RecoveryError::LostMembersMismatch { wanted }) if wanted == lost_names)
        );
    }
    let lost_ids: Vec<String> = survivor
        .other_voters()
        .iter()
        .map(|voter| format!("{:016x}", voter.id))
        .collect();
    assert!(survivor.recover(&lost_ids, RECOVERED_ID).is_ok());
}

#[test]
fn recovery_when_records_are_invalid_then_refused() {
    let (cluster, surviving_machine) = cluster_with_one_survivor();
    let (identity, records) = (
        identity_records(&cluster, surviving_machine),
        cluster.records(surviving_machine).to_vec(),
    );
    assert!(matches!(
        SurvivingReplica::read(&[], &records),
        Err(RecoveryError::NoIdentity)
    ));
    assert!(matches!(
        SurvivingReplica::read(&identity, &[]),
        Err(RecoveryError::NoMembership)
    ));
    let mut invalid_records = records.clone();
    invalid_records[1].push(0);
    assert!(matches!(
        SurvivingReplica::read(&identity, &invalid_records),
        Err(RecoveryError::Unreadable { number: 2, .. })
    ));
    let change = protocol::Change::Drain { host: "i-1".into() };
    let mut records_with_gap = records;
    records_with_gap.push(protocol::encode_record(&protocol::Record::Change {
        epoch: 1,
        index: 99,
        change,
    }));
    assert!(matches!(
        SurvivingReplica::read(&identity, &records_with_gap),
        Err(RecoveryError::Inapplicable { index: 99, .. })
    ));
}
