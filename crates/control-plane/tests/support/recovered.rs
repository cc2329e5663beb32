//! Recovery of a cluster from one replica's disk, as an operator does it.

use super::event_cluster::Cluster;
use control_plane::recovery::{RecoveredRecords, SurvivingReplica};
use control_plane::runtime::identity::{Identity, StoredLog};

/// The id that a recovered member gets.
pub const RECOVERED_ID: u64 = 0xabcdef;

/// The records of a member's identity file.
pub fn identity_records(cluster: &Cluster, n: usize) -> Vec<Vec<u8>> {
    let identity = Identity {
        id: cluster.id(n),
        incarnation: 5,
        ..Identity::default()
    };
    vec![protocol::encode_record(&identity)]
}

/// Names of the voters that a recovery from this replica gives up.
pub fn lost_member_names(survivor: &SurvivingReplica) -> Vec<String> {
    survivor
        .other_voters()
        .iter()
        .map(|voter| voter.name.clone())
        .collect()
}

/// Recovers the cluster from the stopped replica `n` and starts it as [`RECOVERED_ID`].
pub fn recover(cluster: &mut Cluster, n: usize) {
    let survivor =
        SurvivingReplica::read(&identity_records(cluster, n), cluster.records(n)).unwrap();
    let RecoveredRecords {
        identity,
        log: records,
    } = survivor
        .recover(&lost_member_names(&survivor), RECOVERED_ID)
        .unwrap();
    let identity: Identity = protocol::decode_record(&identity).unwrap();
    assert_eq!(
        (
            identity.id,
            identity.incarnation,
            identity.initial_voters.len()
        ),
        (RECOVERED_ID, 5, 0)
    );
    // The first record of the log names its owner; the member starts from the records after it.
    cluster.restart_as(n, RECOVERED_ID, StoredLog::from_records(records).records);
}
