//! An operator goes on from one replica's disk when a majority is lost for good
//! (`docs/operators/losing-a-majority.md`).

mod support;

use configuration::ResultCode;
use control_plane::recovery::{latest_epoch, RecoveryError, SurvivingReplica};
use std::time::Duration;
use support::event_cluster::Cluster;
use support::recovered::{identity_records, lost_member_names, recover, RECOVERED_ID};
use support::{budget, ms};

const SOON: Duration = ms(8000);

/// Three members of which all but one replica are lost; that replica.
fn all_but_one_lost() -> (Cluster, usize) {
    let mut cluster = Cluster::with_three_members();
    let left = cluster.replicas()[1];
    (0..3).for_each(|n| cluster.kill(n));
    (cluster, left)
}

#[test]
fn requests_when_no_majority_is_left_then_none_is_applied() {
    let (mut cluster, left) = all_but_one_lost();
    cluster.restart(left);
    let ticket = cluster.send_command(left, Cluster::configure_command(1, 2));
    cluster.run(ms(10_000));
    assert_eq!(
        (cluster.primary(), cluster.answer(ticket)),
        (None, Some(ResultCode::NoPrimary))
    );
}

#[test]
fn recovered_replica_when_others_join_then_it_accepts_changes() {
    let (mut cluster, left) = all_but_one_lost();
    recover(&mut cluster, left);
    cluster
        .run_until(SOON, |c| c.is_primary(left))
        .expect("it acts alone");
    assert_eq!(cluster.read_version(), Some(1));
    // On one disk alone nothing new is acknowledged: the next loss would take it.
    let ticket = cluster.send_command(left, Cluster::configure_command(1, 2));
    cluster.run(ms(100));
    assert_eq!(cluster.answer(ticket), Some(ResultCode::NoPrimary));
    cluster.add_machine("r/d");
    cluster.add_machine("r/e");
    cluster.apply_configuration(1, 2);
    cluster
        .run_until(SOON, |c| {
            c.current_membership().voters.len() == 3 && c.current_membership().is_stable()
        })
        .expect("three voters");
    cluster.kill(left);
    cluster.apply_configuration(2, 3);
}

/// Where two machines may be lost, five voters are needed: the one that is left grows to them one by one.
#[test]
fn recovered_replica_when_two_losses_are_allowed_then_five_voters_are_there() {
    let mut cluster = Cluster::start(budget(2, 0, 0), &["r/a", "r/b", "r/c", "r/a", "r/b"]);
    cluster.apply_configuration(0, 1);
    cluster.run(ms(5000));
    let left = cluster.replicas()[1];
    (0..5).for_each(|n| cluster.kill(n));
    recover(&mut cluster, left);
    for zone in ["r/c", "r/a", "r/b", "r/c"] {
        cluster.add_machine(zone);
    }
    cluster
        .run_until(SOON, |c| {
            c.current_membership().voters.len() == 5 && c.current_membership().is_stable()
        })
        .expect("five voters");
    cluster.apply_configuration(1, 2);
    cluster.kill(left);
    cluster.apply_configuration(2, 3);
}

/// Members that were given up come back, as a majority of their own, before and after others have joined.
#[test]
fn given_up_members_when_they_come_back_then_they_follow() {
    let (mut cluster, left) = all_but_one_lost();
    recover(&mut cluster, left);
    cluster
        .run_until(SOON, |c| c.is_primary(left))
        .expect("it acts alone");
    let old: Vec<usize> = (0..3).filter(|n| *n != left).collect();
    old.iter().for_each(|n| cluster.restart(*n));
    cluster.apply_configuration(1, 2);
    cluster.run(ms(3000));
    assert_eq!(cluster.read_version(), Some(2));
    let acting = (0..3).filter(|n| cluster.is_primary(*n)).count();
    assert_eq!(acting, 1, "{:?}", cluster.memberships());
    assert!(old.iter().all(|n| cluster.is_voter(*n)));
}

/// They have taken a change of their own by then: it goes, the recovered ledger stays, and only one side has a primary.
#[test]
fn given_up_members_when_they_acted_meanwhile_then_they_step_down() {
    let (mut cluster, left) = all_but_one_lost();
    let old: Vec<usize> = (0..3).filter(|n| *n != left).collect();
    recover(&mut cluster, left);
    cluster.set_isolated(left, true);
    old.iter().for_each(|n| cluster.restart(*n));
    cluster
        .run_until(SOON, |c| old.iter().any(|n| c.is_primary(*n)))
        .expect("the old majority acts");
    cluster.run(ms(20_000));
    assert!(cluster.is_primary(left));
    cluster.set_isolated(left, false);
    cluster.run(ms(4000));
    let acting: Vec<usize> = (0..3).filter(|n| cluster.is_primary(*n)).collect();
    assert_eq!(acting.len(), 1, "{:?}", cluster.memberships());
    assert_eq!(cluster.current_membership().voters.len(), 3);
    assert!(
        cluster.is_voter(left),
        "the recovered lineage holds on: {:?}",
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
    let refused = SurvivingReplica::read(
        &identity_records(&cluster, witness),
        cluster.records(witness),
    );
    assert!(matches!(refused, Err(RecoveryError::NoReplica { epoch: e }) if e == epoch));
    // It knows of the membership all the same.
    assert_eq!(latest_epoch(cluster.records(witness)), epoch);
}

#[test]
fn recovery_when_lost_members_are_not_named_exactly_then_refused() {
    let (cluster, left) = all_but_one_lost();
    let survivor =
        SurvivingReplica::read(&identity_records(&cluster, left), cluster.records(left)).unwrap();
    assert_eq!(
        (survivor.configuration_version(), survivor.last_index()),
        (1, 1)
    );
    let all = lost_member_names(&survivor);
    assert_eq!(all.len(), 2);
    let more = [all.clone(), vec!["core-9".into()]].concat();
    for wrong in [&all[..1], &[], &more] {
        assert!(
            matches!(survivor.recover(wrong, RECOVERED_ID), Err(RecoveryError::LostMembersMismatch { wanted }) if wanted == all)
        );
    }
    let by_id: Vec<String> = survivor
        .other_voters()
        .iter()
        .map(|s| format!("{:016x}", s.id))
        .collect();
    assert!(survivor.recover(&by_id, RECOVERED_ID).is_ok());
}

#[test]
fn recovery_when_records_are_invalid_then_refused() {
    let (cluster, left) = all_but_one_lost();
    let (identity, records) = (
        identity_records(&cluster, left),
        cluster.records(left).to_vec(),
    );
    assert!(matches!(
        SurvivingReplica::read(&[], &records),
        Err(RecoveryError::NoIdentity)
    ));
    assert!(matches!(
        SurvivingReplica::read(&identity, &[]),
        Err(RecoveryError::NoMembership)
    ));
    let mut broken = records.clone();
    broken[1].push(0);
    assert!(matches!(
        SurvivingReplica::read(&identity, &broken),
        Err(RecoveryError::Unreadable { number: 2, .. })
    ));
    let change = protocol::Change::Drain { host: "i-1".into() };
    let mut gap = records;
    gap.push(protocol::encode_record(&protocol::Record::Change {
        epoch: 1,
        index: 99,
        change,
    }));
    assert!(matches!(
        SurvivingReplica::read(&identity, &gap),
        Err(RecoveryError::Inapplicable { index: 99, .. })
    ));
}
