//! The safety invariants, checked against what members were observed to send, write and publish.

use crate::search::Violation;
use configuration::Configuration;
use protocol::{MemberInfo, MembershipConfig, Message, Record};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// There is one membership configuration for each epoch.
pub const ONE_MEMBERSHIP_PER_EPOCH: &str = "one membership for each epoch";
/// A primary acts only once all its replicas, a majority of its voters and a majority of the previous voters have its
/// membership on disk.
pub const JOINTLY_COMMITTED: &str =
    "a primary acts only when old and new voters committed its membership";
/// No primary acts under a membership that a later one has replaced.
pub const FENCED: &str = "no action under a replaced membership";
/// An acknowledged change is in the state of every later primary.
pub const DURABLE: &str = "an acknowledged change is durable";
/// There is one state for each index.
pub const ONE_STATE_PER_INDEX: &str = "one state for each index";
/// No member follows an older epoch after a promise.
pub const PROMISES_HOLD: &str = "promises hold";
/// A member whose disk was wiped never uses its old id again.
pub const NEW_IDENTITY_AFTER_WIPE: &str = "a wiped member has a new id";
/// Of several requests on one base at most one is acknowledged.
pub const ONE_REQUEST_PER_BASE: &str = "one request for each base";
/// An accepted request is never rejected, a rejected one never takes effect.
pub const ANSWERS_HOLD: &str = "answers hold";
/// A read is no older than a change that was acknowledged before the read was sent.
pub const READS_CURRENT: &str = "reads are current";
/// A mirror lacks nothing that was acknowledged before the time for which it claims to be up to date.
pub const AGE_TRUE: &str = "stated ages are true";
/// What a reader has in force never goes back.
pub const READERS_NEVER_GO_BACK: &str = "readers never go back";

/// What was observed of a membership configuration.
#[derive(Clone, Debug, Hash)]
struct MembershipFacts {
    hash: u64,
    replicas: Vec<u64>,
    voters: Vec<u64>,
    previous_voters: Vec<u64>,
    /// Members that have it on disk.
    on_disk: BTreeSet<u64>,
    /// Index of the last change in the snapshot that it began with.
    begins_with: Option<u64>,
}

impl MembershipFacts {
    /// Whether it is committed: no primary of an older epoch may act any more.
    fn is_committed(&self) -> bool {
        let majority =
            |ids: &[u64]| 2 * ids.iter().filter(|id| self.on_disk.contains(id)).count() > ids.len();
        let replicas = self.replicas.iter().all(|id| self.on_disk.contains(id));
        replicas && majority(&self.voters) && majority(&self.previous_voters)
    }
}

/// A state that was published as acknowledged.
#[derive(Clone, Copy, Debug)]
struct PublishedState {
    content: u64,
    document: u64,
    /// Epoch under which it was acknowledged.
    epoch: u64,
    at: Duration,
}

/// What was observed so far.
#[derive(Clone, Debug, Default)]
pub(super) struct Observations {
    memberships: BTreeMap<u64, MembershipFacts>,
    /// The highest epoch that each member id has promised.
    promised: BTreeMap<u64, u64>,
    /// Ids of members whose disks were wiped.
    wiped: BTreeSet<u64>,
    /// Published states, by the index of their last change.
    published: BTreeMap<u64, PublishedState>,
    /// The request acknowledged on each base.
    acknowledged_by_base: BTreeMap<u64, usize>,
    /// Newest acknowledged version.
    pub(super) newest_acknowledged: u64,
    acknowledged_drains: BTreeSet<String>,
    /// Rejected requests by the hash of their content.
    rejected: BTreeMap<u64, usize>,
}

pub(super) fn hash_of<T: Hash>(value: T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn ids(members: &[MemberInfo]) -> Vec<u64> {
    members.iter().map(|m| m.id).collect()
}

impl Observations {
    /// Hash for the state's fingerprint.
    pub(super) fn fingerprint(&self, now: Duration, lease: Duration) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.memberships, &self.promised, &self.wiped).hash(&mut hasher);
        (
            &self.acknowledged_by_base,
            self.newest_acknowledged,
            &self.acknowledged_drains,
            &self.rejected,
        )
            .hash(&mut hasher);
        for (index, published) in &self.published {
            (
                index,
                published.content,
                crate::canonical::relative(now, published.at, lease),
            )
                .hash(&mut hasher);
        }
        hasher.finish()
    }

    pub(super) fn observe_wipe(&mut self, id: u64) {
        self.wiped.insert(id);
    }

    /// A membership builds on the voters of an earlier one only if old and new voters committed that one.
    fn check_follows_committed(&self, epoch: u64, before: &[u64]) -> Result<(), Violation> {
        let set = |ids: &[u64]| ids.iter().copied().collect::<BTreeSet<u64>>();
        let before = set(before);
        let introduces =
            |v: &&MembershipFacts| set(&v.voters) == before && set(&v.previous_voters) != before;
        let mut changes = self
            .memberships
            .range(..epoch)
            .map(|v| v.1)
            .filter(introduces)
            .peekable();
        if changes.peek().is_none() || changes.any(MembershipFacts::is_committed) {
            return Ok(());
        }
        let detail = format!(
            "{epoch} builds on the voters of a membership that old and new voters haven't committed"
        );
        Err(Violation::new(JOINTLY_COMMITTED, detail))
    }

    /// Records a membership configuration that was sent or written.
    fn observe_membership(
        &mut self,
        membership: &MembershipConfig,
    ) -> Result<&mut MembershipFacts, Violation> {
        let (voters, before) = (ids(&membership.voters), ids(&membership.previous_voters));
        let epoch = membership.epoch;
        let hash = hash_of((membership.primary, &membership.replicas, &voters, &before));
        if !self.memberships.contains_key(&epoch) {
            self.check_follows_committed(epoch, &before)?;
        }
        let facts = self.memberships.entry(epoch);
        let facts = facts.or_insert_with(|| MembershipFacts {
            hash,
            replicas: membership.replicas.clone(),
            voters,
            previous_voters: before,
            on_disk: BTreeSet::new(),
            begins_with: None,
        });
        if facts.hash != hash {
            let detail = format!("two memberships of epoch {epoch}");
            return Err(Violation::new(ONE_MEMBERSHIP_PER_EPOCH, detail));
        }
        Ok(facts)
    }

    /// A member starts: it has to know what it has promised.
    pub(super) fn observe_start(&self, id: u64, promised: u64) -> Result<(), Violation> {
        if self.wiped.contains(&id) {
            return Err(Violation::new(
                NEW_IDENTITY_AFTER_WIPE,
                format!("{id} starts again, its disk is gone"),
            ));
        }
        let known = self.promised.get(&id).copied().unwrap_or_default();
        if promised < known {
            Err(Violation::new(
                PROMISES_HOLD,
                format!("{id} starts with {promised}, it promised {known}"),
            ))
        } else {
            Ok(())
        }
    }

    /// A member has written records to its disk.
    pub(super) fn observe_write(&mut self, id: u64, records: &[Vec<u8>]) -> Result<(), Violation> {
        for record in records {
            if let Ok(Record::Accepted {
                membership,
                snapshot,
            }) = protocol::decode_record(record)
            {
                let facts = self.observe_membership(&membership)?;
                facts.on_disk.insert(id);
                facts.begins_with = snapshot.map(|s| s.index).or(facts.begins_with);
                if facts.is_committed() {
                    let begins_with = facts.begins_with.unwrap_or_default();
                    self.check_takeover(membership.epoch, begins_with)?;
                }
            }
        }
        Ok(())
    }

    /// A member sends a message.
    pub(super) fn observe_message(&mut self, id: u64, message: &Message) -> Result<(), Violation> {
        let followed = match message {
            Message::Promise {
                epoch,
                granted: true,
                ..
            } => {
                let before = self.promised.get(&id).copied().unwrap_or_default();
                if *epoch <= before {
                    let detail = format!("{id} promises {epoch} after {before}");
                    return Err(Violation::new(PROMISES_HOLD, detail));
                }
                self.promised.insert(id, *epoch);
                Some(*epoch)
            }
            Message::InstallMembershipReply {
                epoch,
                accepted: true,
                ..
            }
            | Message::AppendReply {
                epoch,
                accepted: true,
                ..
            }
            | Message::LeaseReply {
                epoch,
                granted: true,
                ..
            } => Some(*epoch),
            Message::InstallMembership { membership, .. } => {
                self.observe_membership(membership)?;
                None
            }
            _ => None,
        };
        let Some(epoch) = followed else { return Ok(()) };
        if self.wiped.contains(&id) {
            return Err(Violation::new(
                NEW_IDENTITY_AFTER_WIPE,
                format!("{id} follows epoch {epoch}, its disk is gone"),
            ));
        }
        let promised = self.promised.get(&id).copied().unwrap_or_default();
        if epoch < promised {
            let detail = format!("{id} follows {epoch} after promising {promised}");
            return Err(Violation::new(PROMISES_HOLD, detail));
        }
        self.promised.insert(id, epoch);
        Ok(())
    }

    /// A membership is committed: its state has to hold all that was acknowledged before.
    fn check_takeover(&self, epoch: u64, begins_with: u64) -> Result<(), Violation> {
        let missing = self
            .published
            .range(begins_with + 1..)
            .find(|s| s.1.epoch < epoch);
        match missing {
            Some((missing, _)) => {
                let detail = format!(
                    "epoch {epoch} begins with change {begins_with}, {missing} was acknowledged"
                );
                Err(Violation::new(DURABLE, detail))
            }
            None => Ok(()),
        }
    }

    /// The primary of an epoch publishes its state or answers from it.
    pub(super) fn check_acting(&self, epoch: u64) -> Result<(), Violation> {
        let is_committed = self
            .memberships
            .get(&epoch)
            .is_some_and(MembershipFacts::is_committed);
        if !is_committed {
            let detail = format!("{epoch} acts: {:?}", self.memberships.get(&epoch));
            return Err(Violation::new(JOINTLY_COMMITTED, detail));
        }
        match self
            .memberships
            .range(epoch + 1..)
            .find(|v| v.1.is_committed())
        {
            Some((later, _)) => Err(Violation::new(
                FENCED,
                format!("{epoch} acts after {later} is committed"),
            )),
            None => Ok(()),
        }
    }

    /// A primary publishes its acknowledged state.
    pub(super) fn check_published(
        &mut self,
        now: Duration,
        epoch: u64,
        index: u64,
        document: &Configuration,
        drains: &[String],
    ) -> Result<(), Violation> {
        let newest = self.published.last_key_value().map_or(0, |s| *s.0);
        if index < newest {
            return Err(Violation::new(
                DURABLE,
                format!("change {index} published after {newest}"),
            ));
        }
        if document.version < self.newest_acknowledged {
            let detail = format!(
                "version {} published, {} was acknowledged",
                document.version, self.newest_acknowledged
            );
            return Err(Violation::new(DURABLE, detail));
        }
        if let Some(drain) = self
            .acknowledged_drains
            .iter()
            .find(|d| !drains.contains(d))
        {
            return Err(Violation::new(DURABLE, format!("drain {drain} is lost")));
        }
        self.check_same_state(now, epoch, index, document, drains)?;
        if let Some(request) = self.rejected.get(&hash_of(document.to_json())) {
            return Err(Violation::new(
                ANSWERS_HOLD,
                format!("request {request} was rejected and is in force"),
            ));
        }
        Ok(())
    }

    /// A state is published under its index, perhaps again after a start.
    pub(super) fn check_same_state(
        &mut self,
        now: Duration,
        epoch: u64,
        index: u64,
        document: &Configuration,
        drains: &[String],
    ) -> Result<(), Violation> {
        let document = hash_of(document.to_json());
        let content = hash_of((document, drains));
        let published = self.published.entry(index).or_insert(PublishedState {
            content,
            document,
            epoch,
            at: now,
        });
        if published.content == content {
            Ok(())
        } else {
            Err(Violation::new(
                ONE_STATE_PER_INDEX,
                format!("change {index} has two states"),
            ))
        }
    }

    /// A request is acknowledged.
    pub(super) fn acknowledge(
        &mut self,
        request: usize,
        base: u64,
        version: u64,
    ) -> Result<(), Violation> {
        let other = *self.acknowledged_by_base.entry(base).or_insert(request);
        if other != request {
            return Err(Violation::new(
                ONE_REQUEST_PER_BASE,
                format!("requests {other} and {request} on version {base}"),
            ));
        }
        self.newest_acknowledged = self.newest_acknowledged.max(version);
        Ok(())
    }

    pub(super) fn acknowledge_drain(&mut self, host: &str) {
        self.acknowledged_drains.insert(host.to_owned());
    }

    /// A request is rejected for good; `json` is its content.
    pub(super) fn reject(
        &mut self,
        request: usize,
        base: u64,
        json: &str,
    ) -> Result<(), Violation> {
        let content = hash_of(json);
        let is_acknowledged = self.acknowledged_by_base.get(&base) == Some(&request);
        if is_acknowledged || self.published.values().any(|s| s.document == content) {
            return Err(Violation::new(
                ANSWERS_HOLD,
                format!("request {request} was accepted and is rejected"),
            ));
        }
        self.rejected.insert(content, request);
        Ok(())
    }

    /// A read that was sent when version `newest` was acknowledged is answered with `version`.
    pub(super) fn check_read(&self, newest: u64, version: u64) -> Result<(), Violation> {
        if version < newest {
            Err(Violation::new(
                READS_CURRENT,
                format!("version {version} read, {newest} was acknowledged before"),
            ))
        } else {
            Ok(())
        }
    }

    /// A mirror with change `seq` claims that it lacks nothing acknowledged before `fresh_at`.
    pub(super) fn check_freshness(
        &self,
        who: &str,
        fresh_at: Duration,
        index: u64,
    ) -> Result<(), Violation> {
        let missing = self
            .published
            .range(index + 1..)
            .find(|s| s.1.at < fresh_at);
        match missing {
            Some((missing, published)) => {
                let detail = format!(
                    "{who} has change {index} and says it lacks nothing up to {fresh_at:?}; change {missing} was acknowledged at {:?}",
                    published.at
                );
                Err(Violation::new(AGE_TRUE, detail))
            }
            None => Ok(()),
        }
    }
}
