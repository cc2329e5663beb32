//! An operator goes on from one replica's disk.

use super::event_cluster::Cluster;
use control_plane::recovery::{RecoveredRecords, SurvivingReplica};
use control_plane::runtime::identity::{Identity, StoredLog};

/// The identity that a recovered member gets.
pub const RECOVERED_ID: u64 = 0xabcdef;

pub fn identity(cluster: &Cluster, n: usize) -> Vec<Vec<u8>> {
    let identity = Identity {
        id: cluster.id(n),
        incarnation: 5,
        ..Identity::default()
    };
    vec![protocol::encode_record(&identity)]
}

pub fn names(survivor: &SurvivingReplica) -> Vec<String> {
    survivor
        .other_voters()
        .iter()
        .map(|s| s.name.clone())
        .collect()
}

pub fn recover(cluster: &mut Cluster, n: usize) {
    let survivor = SurvivingReplica::read(&identity(cluster, n), cluster.records(n)).unwrap();
    let RecoveredRecords {
        identity,
        log: records,
    } = survivor.recover(&names(&survivor), RECOVERED_ID).unwrap();
    let identity: Identity = protocol::decode_record(&identity).unwrap();
    assert_eq!(
        (
            identity.id,
            identity.incarnation,
            identity.initial_voters.len()
        ),
        (RECOVERED_ID, 5, 0)
    );
    // The ledger's file begins with whose it is.
    cluster.restart_as(n, RECOVERED_ID, StoredLog::from_records(records).records);
}
