//! Recovery after a majority of the voters is lost for good. An operator has the records of one stopped replica rewritten,
//! so that it goes on as the only voter, with a new member id and in a new generation of epochs
//! (`docs/operators/losing-a-majority.md`). No I/O.

use crate::member::epoch::recovery_epoch;
use crate::replicated_state::ReplicatedState;
use crate::runtime::identity::{latest_identity, Identity, IdentityError, LogOwner, StoredLog};
use protocol::{Change, MemberInfo, MembershipConfig, Record, Snapshot};
use snafu::{OptionExt, ResultExt, Snafu};
use std::collections::BTreeSet;

/// Why a member's records can't be recovered from.
#[derive(Debug, Snafu)]
#[allow(missing_docs, reason = "the display texts say what the fields are")]
pub enum RecoveryError {
    /// The identity file has no identity.
    #[snafu(display("no identity is kept here"))]
    NoIdentity,
    /// The identity can't be read.
    #[snafu(display("the identity"))]
    Identity { source: IdentityError },
    /// The log belongs to another member.
    #[snafu(display(
        "the ledger belongs to {owner:016x}, the identity's file to {identity:016x}"
    ))]
    OtherOwner { owner: u64, identity: u64 },
    /// A record can't be decoded.
    #[snafu(display("record {number} can't be understood"))]
    Unreadable {
        number: usize,
        source: protocol::DecodeError,
    },
    /// A change doesn't follow the one before.
    #[snafu(display("record {number}: change {index} doesn't fit what is before it"))]
    Gap { number: usize, index: u64 },
    /// No membership configuration was ever accepted.
    #[snafu(display("no view was ever accepted here"))]
    NoMembership,
    /// The member is a witness, or was left out.
    #[snafu(display(
        "this member holds no ledger in its latest view (epoch {epoch}): it is no replica"
    ))]
    NoReplica { epoch: u64 },
    /// The operator hasn't named all members that are given up, or has named one that doesn't exist.
    #[snafu(display("--lost has to name these members and no other: {}", wanted.join(",")))]
    Lost { wanted: Vec<String> },
}

/// Epoch of the latest membership configuration that a member accepted, by its log's records; 0 if it accepted none.
pub fn latest_epoch(records: &[Vec<u8>]) -> u64 {
    let epochs = records
        .iter()
        .filter_map(|record| match protocol::decode_record(record) {
            Ok(Record::Accepted { membership, .. }) => Some(membership.epoch),
            _ => None,
        });
    epochs.max().unwrap_or(0)
}

/// The records that a recovered member starts from.
#[derive(Clone, Debug)]
pub struct RecoveredRecords {
    /// The record of its identity file.
    pub identity: Vec<u8>,
    /// The records of its log.
    pub log: Vec<Vec<u8>>,
}

/// What a log's records come to.
#[derive(Debug, Default)]
struct LogContent {
    promised_epoch: u64,
    commit_index: u64,
    membership: Option<MembershipConfig>,
    state: Option<ReplicatedState>,
}

impl LogContent {
    fn read(records: &[Vec<u8>]) -> Result<Self, RecoveryError> {
        let mut content = Self::default();
        for (position, record) in records.iter().enumerate() {
            let number = position + 1;
            match protocol::decode_record(record).context(UnreadableSnafu { number })? {
                Record::Promised { epoch } => content.observe_epoch(epoch),
                Record::Accepted {
                    membership,
                    snapshot,
                } => content.accept(number, membership, snapshot.as_ref())?,
                Record::Change { index, change, .. } => content.apply(number, index, &change)?,
                Record::Committed { index } => content.commit_index = index,
            }
        }
        Ok(content)
    }

    fn observe_epoch(&mut self, epoch: u64) {
        self.promised_epoch = self.promised_epoch.max(epoch);
    }

    fn accept(
        &mut self,
        number: usize,
        membership: MembershipConfig,
        snapshot: Option<&Snapshot>,
    ) -> Result<(), RecoveryError> {
        self.observe_epoch(membership.epoch);
        let index = snapshot.map_or(0, |s| s.index);
        let state = snapshot.map(ReplicatedState::from_snapshot).transpose();
        self.state = state.ok().context(GapSnafu { number, index })?;
        self.membership = Some(membership);
        Ok(())
    }

    fn apply(&mut self, number: usize, index: u64, change: &Change) -> Result<(), RecoveryError> {
        let state = self.state.as_ref().filter(|s| s.index + 1 == index);
        let next = state.and_then(|state| state.apply(change).ok());
        self.state = Some(next.context(GapSnafu { number, index })?);
        Ok(())
    }
}

/// A stopped replica that can go on alone.
#[derive(Clone, Debug)]
pub struct SurvivingReplica {
    identity: Identity,
    promised_epoch: u64,
    membership: MembershipConfig,
    state: ReplicatedState,
    commit_index: u64,
}

impl SurvivingReplica {
    /// Reads the records of a member's identity file and of its log.
    ///
    /// # Errors
    /// If the member isn't a replica of the latest membership configuration that it accepted, or a record is invalid.
    pub fn read(identity: &[Vec<u8>], records: &[Vec<u8>]) -> Result<Self, RecoveryError> {
        let identity = latest_identity(identity)
            .context(IdentitySnafu)?
            .context(NoIdentitySnafu)?;
        let StoredLog { owner, records } = StoredLog::from_records(records.to_vec());
        if let Some(owner) = owner.map(|o| o.id).filter(|id| *id != identity.id) {
            return OtherOwnerSnafu {
                owner,
                identity: identity.id,
            }
            .fail();
        }
        let content = LogContent::read(&records)?;
        let membership = content.membership.context(NoMembershipSnafu)?;
        let is_replica = membership.replicas.contains(&identity.id);
        let epoch = membership.epoch;
        let state = content.state.filter(|_| is_replica);
        Ok(Self {
            identity,
            promised_epoch: content.promised_epoch,
            membership,
            state: state.context(NoReplicaSnafu { epoch })?,
            commit_index: content.commit_index,
        })
    }

    /// Epoch of the latest membership configuration that was accepted here.
    pub fn epoch(&self) -> u64 {
        self.membership.epoch
    }

    /// Index of the last change on this disk. All changes that were acknowledged in this epoch are included.
    pub fn last_index(&self) -> u64 {
        self.state.index
    }

    /// Index of the last change that this disk knows to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Version of the configuration that is kept.
    pub fn configuration_version(&self) -> u64 {
        self.state.configuration.version
    }

    /// All other voters. They are given up.
    pub fn other_voters(&self) -> Vec<&MemberInfo> {
        let membership = &self.membership;
        let voters = membership.voters.iter().chain(&membership.previous_voters);
        let mut seen = BTreeSet::from([self.identity.id]);
        voters.filter(|voter| seen.insert(voter.id)).collect()
    }

    /// The records of a member with the id `id` that goes on alone from this replica's state. `lost` names all other
    /// voters, by name or by member id in hexadecimal.
    ///
    /// # Errors
    /// If `lost` doesn't name exactly [`SurvivingReplica::other_voters`].
    pub fn recover(&self, lost: &[String], id: u64) -> Result<RecoveredRecords, RecoveryError> {
        self.check_lost(lost)?;
        let epoch = recovery_epoch(self.promised_epoch, id);
        let own_info = self.membership.voter(self.identity.id).cloned();
        let voters = vec![MemberInfo {
            id,
            ..own_info.unwrap_or_default()
        }];
        let membership = MembershipConfig {
            epoch,
            primary: id,
            replicas: vec![id],
            voters: voters.clone(),
            previous_voters: voters,
        };
        let identity = Identity {
            id,
            incarnation: self.identity.incarnation,
            initial_voters: Vec::new(),
        };
        let owner = LogOwner {
            identity: identity.clone(),
        };
        let records = [
            Record::Accepted {
                membership,
                snapshot: Some(self.state.snapshot()),
            },
            Record::Promised { epoch },
            Record::Committed {
                index: self.state.index,
            },
        ];
        let mut log = vec![protocol::encode_record(&owner)];
        log.extend(records.iter().map(protocol::encode_record));
        Ok(RecoveredRecords {
            identity: protocol::encode_record(&identity),
            log,
        })
    }

    fn check_lost(&self, lost: &[String]) -> Result<(), RecoveryError> {
        let voters = self.other_voters();
        let are_all_named = voters.iter().all(|v| lost.iter().any(|l| is_named(v, l)));
        let are_all_known = lost.iter().all(|l| voters.iter().any(|v| is_named(v, l)));
        if are_all_named && are_all_known {
            return Ok(());
        }
        let wanted: Vec<String> = voters.into_iter().map(name_or_id).collect();
        LostSnafu { wanted }.fail()
    }
}

fn hexadecimal_id(member: &MemberInfo) -> String {
    format!("{:016x}", member.id)
}

fn is_named(member: &MemberInfo, name_or_id: &str) -> bool {
    member.name == name_or_id || hexadecimal_id(member) == name_or_id
}

fn name_or_id(member: &MemberInfo) -> String {
    if member.name.is_empty() {
        hexadecimal_id(member)
    } else {
        member.name.clone()
    }
}
