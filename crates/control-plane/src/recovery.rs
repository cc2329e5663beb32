//! Recovery after a majority of the voters is lost for good. An operator has the records of one stopped replica
//! rewritten, so that it continues as the only voter, with a new member id and in a new generation of epochs
//! (`docs/operators/losing-a-majority.md`). No I/O.

use crate::member::epoch::recovery_epoch;
use crate::replicated_state::ReplicatedState;
use crate::runtime::identity::{latest_identity, Identity, IdentityError, LogOwner, StoredLog};
use protocol::{Change, MemberInfo, MembershipConfig, Record, Snapshot};
use snafu::{OptionExt, ResultExt, Snafu};
use std::collections::BTreeSet;

/// Reason why a member's records can't be used for a recovery.
#[derive(Debug, Snafu)]
#[allow(missing_docs, reason = "the display texts name the fields")]
pub enum RecoveryError {
    /// The identity file contains no identity.
    #[snafu(display("the identity file contains no identity"))]
    NoIdentity,
    /// The identity can't be decoded.
    #[snafu(display("the identity can't be decoded"))]
    Identity { source: IdentityError },
    /// The log belongs to another member.
    #[snafu(display(
        "the log belongs to member {owner:016x}, the identity file to member {identity:016x}"
    ))]
    OtherOwner { owner: u64, identity: u64 },
    /// A record can't be decoded.
    #[snafu(display("record {number} can't be decoded"))]
    Unreadable {
        number: usize,
        source: protocol::DecodeError,
    },
    /// A change or a snapshot can't be applied to the state that the records before it give.
    #[snafu(display(
        "record {number}: change {index} can't be applied after the records before it"
    ))]
    Inapplicable { number: usize, index: u64 },
    /// No membership configuration was ever accepted.
    #[snafu(display("this member never accepted a membership configuration"))]
    NoMembership,
    /// The latest membership configuration doesn't list the member as a replica: it is a witness or was removed.
    #[snafu(display(
        "this member can't be recovered from: it is no replica in the latest membership that it accepted (epoch {epoch})"
    ))]
    NoReplica { epoch: u64 },
    /// The operator's list of lost members isn't exactly the set of the other voters.
    #[snafu(display("--lost has to name exactly these members: {}", wanted.join(",")))]
    LostMembersMismatch { wanted: Vec<String> },
}

/// Returns the epoch of the latest membership configuration that a log's records contain; 0 if there is none.
pub fn latest_epoch(records: &[Vec<u8>]) -> u64 {
    let epochs = records
        .iter()
        .filter_map(|record| match protocol::decode_record(record) {
            Ok(Record::Accepted { membership, .. }) => Some(membership.epoch),
            _ => None,
        });
    epochs.max().unwrap_or(0)
}

/// Contents of the files that a recovered member starts from.
#[derive(Clone, Debug)]
pub struct RecoveredRecords {
    /// The only record of the identity file.
    pub identity: Vec<u8>,
    /// The records of the log, the owner first.
    pub log: Vec<Vec<u8>>,
}

/// State that results from replaying a log's records.
#[derive(Debug, Default)]
struct ReplayedLog {
    promised_epoch: u64,
    commit_index: u64,
    membership: Option<MembershipConfig>,
    state: Option<ReplicatedState>,
}

impl ReplayedLog {
    fn replay(records: &[Vec<u8>]) -> Result<Self, RecoveryError> {
        let mut content = Self::default();
        for (position, record) in records.iter().enumerate() {
            let number = position + 1;
            match protocol::decode_record(record).context(UnreadableSnafu { number })? {
                Record::Promised { epoch } => content.raise_promised_epoch(epoch),
                Record::Accepted {
                    membership,
                    snapshot,
                } => content.accept_membership(number, membership, snapshot.as_ref())?,
                Record::Change { index, change, .. } => {
                    content.apply_change(number, index, &change)?;
                }
                Record::Committed { index } => content.commit_index = index,
            }
        }
        Ok(content)
    }

    fn raise_promised_epoch(&mut self, epoch: u64) {
        self.promised_epoch = self.promised_epoch.max(epoch);
    }

    fn accept_membership(
        &mut self,
        number: usize,
        membership: MembershipConfig,
        snapshot: Option<&Snapshot>,
    ) -> Result<(), RecoveryError> {
        self.raise_promised_epoch(membership.epoch);
        let index = snapshot.map_or(0, |s| s.index);
        let state = snapshot.map(ReplicatedState::from_snapshot).transpose();
        self.state = state.ok().context(InapplicableSnafu { number, index })?;
        self.membership = Some(membership);
        Ok(())
    }

    fn apply_change(
        &mut self,
        number: usize,
        index: u64,
        change: &Change,
    ) -> Result<(), RecoveryError> {
        let state = self.state.as_ref().filter(|s| s.index + 1 == index);
        let next = state.and_then(|state| state.apply(change).ok());
        self.state = Some(next.context(InapplicableSnafu { number, index })?);
        Ok(())
    }
}

/// A stopped replica from whose records the control plane can be recovered.
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
    /// Fails if the member isn't a replica in the latest membership configuration that it accepted, if the files belong
    /// to different members, or if a record is missing or invalid.
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
        let content = ReplayedLog::replay(&records)?;
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

    /// Epoch of the latest membership configuration that this replica accepted.
    pub fn epoch(&self) -> u64 {
        self.membership.epoch
    }

    /// Index of the last change in this replica's log. Every change that was acknowledged in this epoch is included.
    pub fn last_index(&self) -> u64 {
        self.state.index
    }

    /// Index of the last change that this replica's log records as committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Version of the configuration after the last change in the log.
    pub fn configuration_version(&self) -> u64 {
        self.state.configuration.version
    }

    /// The voters other than this replica, those of an unfinished membership change included. A recovery removes them.
    pub fn other_voters(&self) -> Vec<&MemberInfo> {
        let membership = &self.membership;
        let voters = membership.voters.iter().chain(&membership.previous_voters);
        let mut seen = BTreeSet::from([self.identity.id]);
        voters.filter(|voter| seen.insert(voter.id)).collect()
    }

    /// Builds the records of a member with the id `id` that is the only voter and has this replica's state. `lost` lists
    /// all other voters, by name or by member id in hexadecimal.
    ///
    /// # Errors
    /// Fails if `lost` doesn't list exactly [`SurvivingReplica::other_voters`].
    pub fn recover(&self, lost: &[String], id: u64) -> Result<RecoveredRecords, RecoveryError> {
        self.check_lost_members(lost)?;
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

    fn check_lost_members(&self, lost: &[String]) -> Result<(), RecoveryError> {
        let voters = self.other_voters();
        let is_every_voter_listed = voters
            .iter()
            .all(|v| lost.iter().any(|l| matches_name_or_id(v, l)));
        let is_every_entry_a_voter = lost
            .iter()
            .all(|l| voters.iter().any(|v| matches_name_or_id(v, l)));
        if is_every_voter_listed && is_every_entry_a_voter {
            return Ok(());
        }
        let wanted: Vec<String> = voters.into_iter().map(display_name).collect();
        LostMembersMismatchSnafu { wanted }.fail()
    }
}

fn hexadecimal_id(member: &MemberInfo) -> String {
    format!("{:016x}", member.id)
}

fn matches_name_or_id(member: &MemberInfo, name_or_id: &str) -> bool {
    member.name == name_or_id || hexadecimal_id(member) == name_or_id
}

fn display_name(member: &MemberInfo) -> String {
    if member.name.is_empty() {
        hexadecimal_id(member)
    } else {
        member.name.clone()
    }
}
