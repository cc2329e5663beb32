//! What an operator does when a majority of the voters is lost for good: one stopped replica's records are written
//! anew, so that it goes on as the only voter, as somebody else and in a new generation of epochs
//! (`docs/operators/losing-a-majority.md`). No I/O.

use crate::member::epoch::recovery_epoch;
use crate::replicated_state::ReplicatedState;
use crate::runtime::identity::{latest_identity, Identity, IdentityError, LogOwner, StoredLog};
use protocol::{MemberInfo, MembershipConfig, Record};
use snafu::{OptionExt, ResultExt, Snafu};
use std::collections::BTreeSet;

/// Why a folder is not recovered from.
#[derive(Debug, Snafu)]
#[allow(missing_docs, reason = "the display texts say what the fields are")]
pub enum Refusal {
    /// The identity's file tells none.
    #[snafu(display("no identity is kept here"))]
    NoIdentity,
    /// The identity can't be read.
    #[snafu(display("the identity"))]
    Identity { source: IdentityError },
    /// The ledger is another member's.
    #[snafu(display(
        "the ledger belongs to {owner:016x}, the identity's file to {identity:016x}"
    ))]
    OtherOwner { owner: u64, identity: u64 },
    /// A record can't be understood.
    #[snafu(display("record {number} can't be understood"))]
    Unreadable {
        number: usize,
        source: protocol::DecodeError,
    },
    /// A change doesn't follow the one before.
    #[snafu(display("record {number}: change {index} doesn't fit what is before it"))]
    Gap { number: usize, index: u64 },
    /// No view was ever accepted.
    #[snafu(display("no view was ever accepted here"))]
    NoView,
    /// It is a witness, or was left out.
    #[snafu(display(
        "this member holds no ledger in its latest view (epoch {epoch}): it is no replica"
    ))]
    NoReplica { epoch: u64 },
    /// The operator has not named all members that are given up, or one that isn't there.
    #[snafu(display("--lost has to name these members and no other: {}", wanted.join(",")))]
    Lost { wanted: Vec<String> },
}

/// Epoch of the latest view that a member accepted, by its ledger's records; 0 where it accepted none.
pub fn latest_view(records: &[Vec<u8>]) -> u64 {
    let views = records
        .iter()
        .filter_map(|r| match protocol::decode_record(r) {
            Ok(Record::Accepted { membership, .. }) => Some(membership.epoch),
            _ => None,
        });
    views.max().unwrap_or(0)
}

/// What a stopped member's records hold.
#[derive(Clone, Debug)]
pub struct Survivor {
    identity: Identity,
    promised: u64,
    view: MembershipConfig,
    ledger: ReplicatedState,
    committed: u64,
}

impl Survivor {
    /// Reads the records of a member's identity and ledger files.
    ///
    /// # Errors
    /// Where the member isn't a replica of the latest view that it accepted, or a record isn't as it should be.
    pub fn read(identity: &[Vec<u8>], records: &[Vec<u8>]) -> Result<Self, Refusal> {
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
        let (mut promised, mut committed) = (0, 0);
        let mut latest: Option<(MembershipConfig, Option<ReplicatedState>)> = None;
        for (index, record) in records.iter().enumerate() {
            let number = index + 1;
            match protocol::decode_record(record).context(UnreadableSnafu { number })? {
                Record::Promised { epoch } => promised = promised.max(epoch),
                Record::Accepted {
                    membership,
                    snapshot,
                } => {
                    promised = promised.max(membership.epoch);
                    let index = snapshot.as_ref().map_or(0, |s| s.index);
                    let ledger = snapshot.map(|s| ReplicatedState::of(&s)).transpose();
                    let ledger = ledger.ok().context(GapSnafu { number, index })?;
                    latest = Some((membership, ledger));
                }
                Record::Change { index, change, .. } => {
                    let held = latest.as_mut().and_then(|l| l.1.as_mut());
                    let held = held.context(GapSnafu { number, index })?;
                    let next = Some(&*held)
                        .filter(|h| h.index + 1 == index)
                        .and_then(|h| h.after(&change).ok());
                    *held = next.context(GapSnafu { number, index })?;
                }
                Record::Committed { index } => committed = index,
            }
        }
        let (view, ledger) = latest.context(NoViewSnafu)?;
        let replica = view.replicas.contains(&identity.id);
        let ledger = ledger
            .filter(|_| replica)
            .context(NoReplicaSnafu { epoch: view.epoch })?;
        Ok(Self {
            identity,
            promised,
            view,
            ledger,
            committed,
        })
    }

    /// Epoch of the latest view accepted here.
    pub fn epoch(&self) -> u64 {
        self.view.epoch
    }

    /// Number of the last change on this disk; all that was acknowledged in this view is among them.
    pub fn last_change(&self) -> u64 {
        self.ledger.index
    }

    /// Number of the last change that this disk knows to have been acknowledged.
    pub fn known_acknowledged(&self) -> u64 {
        self.committed
    }

    /// Version of the configuration that is kept.
    pub fn version(&self) -> u64 {
        self.ledger.configuration.version
    }

    /// All other voters, which are given up.
    pub fn others(&self) -> Vec<&MemberInfo> {
        let all = self.view.voters.iter().chain(&self.view.previous_voters);
        let mut named = BTreeSet::from([self.identity.id]);
        all.filter(|s| named.insert(s.id)).collect()
    }

    /// The records of a member with the identity `id` that goes on alone from what is held here: those of its
    /// identity's file and of its ledger's. `lost` names all others, by name or by identity in hexadecimal.
    ///
    /// # Errors
    /// Where `lost` names others than [`Survivor::others`].
    pub fn recovered(&self, lost: &[String], id: u64) -> Result<(Vec<u8>, Vec<Vec<u8>>), Refusal> {
        let hex = |seat: &MemberInfo| format!("{:016x}", seat.id);
        let names = |seat: &MemberInfo, word: &String| seat.name == *word || hex(seat) == *word;
        let others = self.others();
        let all = others.iter().all(|o| lost.iter().any(|l| names(o, l)));
        let only = lost.iter().all(|l| others.iter().any(|o| names(o, l)));
        if !all || !only {
            let word = |s: &&MemberInfo| {
                if s.name.is_empty() {
                    hex(s)
                } else {
                    s.name.clone()
                }
            };
            return LostSnafu {
                wanted: others.iter().map(word).collect::<Vec<_>>(),
            }
            .fail();
        }
        let epoch = recovery_epoch(self.promised, id);
        let seat = self
            .view
            .voter(self.identity.id)
            .cloned()
            .unwrap_or_default();
        let voters = vec![MemberInfo { id, ..seat }];
        let view = MembershipConfig {
            epoch,
            primary: id,
            replicas: vec![id],
            voters: voters.clone(),
            previous_voters: voters,
        };
        let index = self.ledger.index;
        let snapshot = Some(self.ledger.snapshot());
        let records = [
            Record::Accepted {
                membership: view,
                snapshot,
            },
            Record::Promised { epoch },
            Record::Committed { index },
        ];
        let identity = Identity {
            id,
            incarnation: self.identity.incarnation,
            initial_voters: Vec::new(),
        };
        let owner = protocol::encode_record(&LogOwner {
            identity: identity.clone(),
        });
        let records = records.iter().map(protocol::encode_record);
        Ok((
            protocol::encode_record(&identity),
            std::iter::once(owner).chain(records).collect(),
        ))
    }
}
