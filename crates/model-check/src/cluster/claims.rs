//! The safety claims, over what the members were seen to say and to write.

use crate::search::Breach;
use configuration::Configuration;
use protocol::{MemberInfo, MembershipConfig, Message, Record};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// One view for each epoch.
pub const ONE_VIEW: &str = "one view for each epoch";
/// A view acts only once all its replicas and a majority of its voters and of those before have it on disk.
pub const AGREED: &str = "a view acts only when old and new voters agreed";
/// No acknowledgement under a view that a later one has replaced.
pub const FENCED: &str = "no acknowledgement under a replaced view";
/// An acknowledged change is in the ledger of every later primary.
pub const KEPT: &str = "an acknowledged change is kept";
/// One content for each number of a change.
pub const ONE_CONTENT: &str = "one content for each number";
/// No word under an older epoch after a promise.
pub const PROMISE: &str = "no word against a promise";
/// A wiped disk never speaks under its old identity.
pub const IDENTITY: &str = "a wiped member is another one";
/// Of several orders on one version one is confirmed at most.
pub const ONE_ORDER: &str = "one order for each version";
/// A taken order is never refused, a refused one never takes effect.
pub const ANSWER: &str = "answers are true";
/// A read is no older than a change acknowledged before it was sent.
pub const READ: &str = "reads are current";
/// What calls itself fresh lacks nothing that was acknowledged before.
pub const AGE: &str = "the age told is true";
/// A reader never goes back.
pub const FORWARD: &str = "readers never go back";

#[derive(Clone, Debug, Hash)]
struct ViewFacts {
    hash: u64,
    replicas: Vec<u64>,
    voters: Vec<u64>,
    before: Vec<u64>,
    on_disk: BTreeSet<u64>,
    /// Number of the last change in the ledger that it began with.
    begins_with: Option<u64>,
}

impl ViewFacts {
    /// Whether nobody older may act any more.
    fn agreed(&self) -> bool {
        let most =
            |ids: &[u64]| 2 * ids.iter().filter(|id| self.on_disk.contains(id)).count() > ids.len();
        let replicas = self.replicas.iter().all(|id| self.on_disk.contains(id));
        replicas && most(&self.voters) && most(&self.before)
    }
}

/// A ledger that was shown as acknowledged.
#[derive(Clone, Copy, Debug)]
struct Shown {
    content: u64,
    document: u64,
    /// Epoch of the view under which it was acknowledged.
    epoch: u64,
    at: Duration,
}

/// What was seen so far.
#[derive(Clone, Debug, Default)]
pub(super) struct Facts {
    views: BTreeMap<u64, ViewFacts>,
    /// The highest epoch that each identity was heard to promise.
    promised: BTreeMap<u64, u64>,
    /// Identities whose disks are gone.
    wiped: BTreeSet<u64>,
    /// Ledgers shown, by the number of their last change.
    shown: BTreeMap<u64, Shown>,
    /// The order confirmed on each version.
    confirmed_on: BTreeMap<u64, usize>,
    /// Newest configuration confirmed.
    pub(super) newest_confirmed: u64,
    confirmed_drains: BTreeSet<String>,
    /// Contents of refused orders.
    refused: BTreeMap<u64, usize>,
}

pub(super) fn hash_of<T: Hash>(value: T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn ids(seats: &[MemberInfo]) -> Vec<u64> {
    seats.iter().map(|s| s.id).collect()
}

impl Facts {
    /// Hash for the state's fingerprint.
    pub(super) fn fingerprint(&self, now: Duration, lease: Duration) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.views, &self.promised, &self.wiped).hash(&mut hasher);
        (
            &self.confirmed_on,
            self.newest_confirmed,
            &self.confirmed_drains,
            &self.refused,
        )
            .hash(&mut hasher);
        for (index, shown) in &self.shown {
            (
                index,
                shown.content,
                crate::canonical::relative(now, shown.at, lease),
            )
                .hash(&mut hasher);
        }
        hasher.finish()
    }

    pub(super) fn wiped(&mut self, id: u64) {
        self.wiped.insert(id);
    }

    /// A view counts on the voters of one before it only where old and new voters agreed on that one.
    fn follows_agreed(&self, epoch: u64, before: &[u64]) -> Result<(), Breach> {
        let set = |ids: &[u64]| ids.iter().copied().collect::<BTreeSet<u64>>();
        let before = set(before);
        let brought = |v: &&ViewFacts| set(&v.voters) == before && set(&v.before) != before;
        let mut changes = self
            .views
            .range(..epoch)
            .map(|v| v.1)
            .filter(brought)
            .peekable();
        if changes.peek().is_none() || changes.any(ViewFacts::agreed) {
            return Ok(());
        }
        let detail = format!(
            "{epoch} counts on the voters of a view that old and new voters haven't agreed on"
        );
        Err(Breach::new(AGREED, detail))
    }

    fn see_view(&mut self, view: &MembershipConfig) -> Result<&mut ViewFacts, Breach> {
        let (voters, before) = (ids(&view.voters), ids(&view.previous_voters));
        let hash = hash_of((view.primary, &view.replicas, &voters, &before));
        if !self.views.contains_key(&view.epoch) {
            self.follows_agreed(view.epoch, &before)?;
        }
        let facts = self.views.entry(view.epoch).or_insert_with(|| ViewFacts {
            hash,
            replicas: view.replicas.clone(),
            voters,
            before,
            on_disk: BTreeSet::new(),
            begins_with: None,
        });
        if facts.hash == hash {
            Ok(facts)
        } else {
            Err(Breach::new(
                ONE_VIEW,
                format!("two views of epoch {}", view.epoch),
            ))
        }
    }

    /// A member starts: what it promised, as others heard, has to be known to it.
    pub(super) fn starts(&self, id: u64, promised: u64) -> Result<(), Breach> {
        if self.wiped.contains(&id) {
            return Err(Breach::new(
                IDENTITY,
                format!("{id} starts again, its disk is gone"),
            ));
        }
        let told = self.promised.get(&id).copied().unwrap_or_default();
        if promised < told {
            Err(Breach::new(
                PROMISE,
                format!("{id} starts with {promised}, it promised {told}"),
            ))
        } else {
            Ok(())
        }
    }

    /// Records are on the disk of a member.
    pub(super) fn on_disk(&mut self, id: u64, records: &[Vec<u8>]) -> Result<(), Breach> {
        for record in records {
            if let Ok(Record::Accepted {
                membership,
                snapshot,
            }) = protocol::decode_record(record)
            {
                let facts = self.see_view(&membership)?;
                facts.on_disk.insert(id);
                facts.begins_with = snapshot.map(|s| s.index).or(facts.begins_with);
                if facts.agreed() {
                    let begins_with = facts.begins_with.unwrap_or_default();
                    self.taken_over(membership.epoch, begins_with)?;
                }
            }
        }
        Ok(())
    }

    /// A member speaks.
    pub(super) fn says(&mut self, id: u64, message: &Message) -> Result<(), Breach> {
        let word = match message {
            Message::Promise {
                epoch,
                granted: true,
                ..
            } => {
                let before = self.promised.get(&id).copied().unwrap_or_default();
                if *epoch <= before {
                    let detail = format!("{id} promises {epoch} after {before}");
                    return Err(Breach::new(PROMISE, detail));
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
                self.see_view(membership)?;
                None
            }
            _ => None,
        };
        let Some(epoch) = word else { return Ok(()) };
        if self.wiped.contains(&id) {
            return Err(Breach::new(
                IDENTITY,
                format!("{id} speaks of epoch {epoch}, its disk is gone"),
            ));
        }
        let promised = self.promised.get(&id).copied().unwrap_or_default();
        if epoch < promised {
            let detail = format!("{id} goes along with {epoch} after promising {promised}");
            return Err(Breach::new(PROMISE, detail));
        }
        self.promised.insert(id, epoch);
        Ok(())
    }

    /// A view is agreed on: its ledger has to hold all that was acknowledged before.
    fn taken_over(&self, epoch: u64, begins_with: u64) -> Result<(), Breach> {
        let missing = self
            .shown
            .range(begins_with + 1..)
            .find(|s| s.1.epoch < epoch);
        match missing {
            Some((missing, _)) => {
                let detail = format!(
                    "view {epoch} begins with change {begins_with}, {missing} was acknowledged"
                );
                Err(Breach::new(KEPT, detail))
            }
            None => Ok(()),
        }
    }

    /// A primary of an epoch shows its ledger, or answers by it.
    pub(super) fn acts(&self, epoch: u64) -> Result<(), Breach> {
        let agreed = self.views.get(&epoch).is_some_and(ViewFacts::agreed);
        if !agreed {
            let detail = format!("{epoch} acts: {:?}", self.views.get(&epoch));
            return Err(Breach::new(AGREED, detail));
        }
        match self.views.range(epoch + 1..).find(|v| v.1.agreed()) {
            Some((later, _)) => Err(Breach::new(
                FENCED,
                format!("{epoch} acts after {later} is agreed on"),
            )),
            None => Ok(()),
        }
    }

    /// A primary shows its acknowledged ledger.
    pub(super) fn shows(
        &mut self,
        now: Duration,
        epoch: u64,
        index: u64,
        document: &Configuration,
        drains: &[String],
    ) -> Result<(), Breach> {
        let newest = self.shown.last_key_value().map_or(0, |s| *s.0);
        if index < newest {
            return Err(Breach::new(
                KEPT,
                format!("change {index} shown after {newest}"),
            ));
        }
        if document.version < self.newest_confirmed {
            let detail = format!(
                "version {} shown, confirmed is {}",
                document.version, self.newest_confirmed
            );
            return Err(Breach::new(KEPT, detail));
        }
        if let Some(drain) = self.confirmed_drains.iter().find(|d| !drains.contains(d)) {
            return Err(Breach::new(KEPT, format!("drain {drain} is lost")));
        }
        self.same_content(now, epoch, index, document, drains)?;
        if let Some(order) = self.refused.get(&hash_of(document.to_json())) {
            return Err(Breach::new(
                ANSWER,
                format!("order {order} was refused and is in force"),
            ));
        }
        Ok(())
    }

    /// A ledger is shown under its number, perhaps once more after a start.
    pub(super) fn same_content(
        &mut self,
        now: Duration,
        epoch: u64,
        index: u64,
        document: &Configuration,
        drains: &[String],
    ) -> Result<(), Breach> {
        let document = hash_of(document.to_json());
        let content = hash_of((document, drains));
        let shown = self.shown.entry(index).or_insert(Shown {
            content,
            document,
            epoch,
            at: now,
        });
        if shown.content == content {
            Ok(())
        } else {
            Err(Breach::new(
                ONE_CONTENT,
                format!("change {index} has two contents"),
            ))
        }
    }

    /// An order is confirmed.
    pub(super) fn confirms(&mut self, order: usize, base: u64, version: u64) -> Result<(), Breach> {
        let other = *self.confirmed_on.entry(base).or_insert(order);
        if other != order {
            return Err(Breach::new(
                ONE_ORDER,
                format!("orders {other} and {order} on version {base}"),
            ));
        }
        self.newest_confirmed = self.newest_confirmed.max(version);
        Ok(())
    }

    pub(super) fn confirms_drain(&mut self, host: &str) {
        self.confirmed_drains.insert(host.to_owned());
    }

    /// An order is refused for good; `json` is its content.
    pub(super) fn refuses(&mut self, order: usize, base: u64, json: &str) -> Result<(), Breach> {
        let content = hash_of(json);
        let confirmed = self.confirmed_on.get(&base) == Some(&order);
        if confirmed || self.shown.values().any(|s| s.document == content) {
            return Err(Breach::new(
                ANSWER,
                format!("order {order} was taken and is refused"),
            ));
        }
        self.refused.insert(content, order);
        Ok(())
    }

    /// A read that was sent when version `known` was confirmed is answered with `version`.
    pub(super) fn reads(&self, known: u64, version: u64) -> Result<(), Breach> {
        if version < known {
            Err(Breach::new(
                READ,
                format!("version {version} read, {known} was confirmed before"),
            ))
        } else {
            Ok(())
        }
    }

    /// Somebody with change `index` says that nothing acknowledged before `fresh_at` is missing.
    pub(super) fn claims_fresh(
        &self,
        who: &str,
        fresh_at: Duration,
        index: u64,
    ) -> Result<(), Breach> {
        let missing = self.shown.range(index + 1..).find(|s| s.1.at < fresh_at);
        match missing {
            Some((missing, shown)) => {
                let detail = format!(
                    "{who} has change {index} and says it lacks nothing up to {fresh_at:?}; change {missing} was acknowledged at {:?}",
                    shown.at
                );
                Err(Breach::new(AGE, detail))
            }
            None => Ok(()),
        }
    }
}
