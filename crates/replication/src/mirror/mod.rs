//! What the control plane says, as far as this process knows it.

mod hosts;
mod ledger;
mod sources;
mod withheld;

pub use withheld::CONFIRMATION_TIMEOUT;

use crate::news::{Pull, Update, AGE_UNKNOWN};
use crate::puller::STALE_AGE_MS;
use configuration::Configuration;
use ledger::{Applied, LedgerMirror};
use protocol::{Addr, ControlPlaneInfo, CoordinatorRecord, HostRecord, OriginVersion, Subscriber};
use sources::Sources;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use withheld::Withheld;

/// Fleets of one epoch, told apart in the low bits of the mark.
const MARK_BITS: u32 = 16;

/// The merged truth at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Number of the ledger's last change.
    pub index: u64,
    /// The configuration; version 0 where none has come yet.
    pub configuration: Arc<Configuration>,
    /// Hosts by identity, merged over all sources and drains; see [`crate::phase`].
    pub hosts: BTreeMap<String, HostRecord>,
    /// Names of the coordinators that pull now, over all sources.
    pub coordinators: BTreeSet<String>,
    /// Where their proxies take hints, by the machines' names.
    pub hints_addrs: BTreeMap<String, Addr>,
    /// Hosts that the ledger has as leaving or gone.
    pub draining_hosts: Arc<BTreeSet<String>>,
    /// The control plane.
    pub control_plane: ControlPlaneInfo,
}

/// The mirror. Takes only what is newer than what it has; hands on exactly what a puller lacks.
#[derive(Clone)]
pub struct Mirror {
    member: u64,
    generation: u64,
    ledger: LedgerMirror,
    sources: Sources,
    fleet: ControlPlaneInfo,
    /// Until when it is proved that nothing is missing here, in ns of this process's clock; negative for a time before
    /// its start, as proofs that others hand on may be older than this process.
    fresh: Option<i64>,
    withheld: Withheld,
    /// What [`Mirror::next_tick`] found, and at which generation; finding it looks at every record.
    due: Cell<Option<(u64, Option<Duration>)>>,
}

const NANOSECONDS_PER_MS: i64 = 1_000_000;

/// A time of this process's clock, in ns.
fn nanoseconds(time: Duration) -> i64 {
    i64::try_from(time.as_nanos()).unwrap_or(i64::MAX)
}

impl Mirror {
    /// An empty one. `member` is this process's identity, 0 where it is no member; `beat` is the time between
    /// a host's heartbeats.
    pub fn new(member: u64, beat: Duration) -> Self {
        Self {
            member,
            generation: 0,
            ledger: LedgerMirror::new(),
            sources: Sources::new(beat),
            fleet: ControlPlaneInfo::default(),
            fresh: None,
            withheld: Withheld::Never,
            due: Cell::new(None),
        }
    }

    /// For a process that hands nothing on: no older documents are kept.
    pub fn without_history(mut self) -> Self {
        self.ledger.forget_history();
        self
    }

    /// For a process that starts with nothing: a configuration from a member that is cut off from a primary (its news
    /// are older than [`STALE_AGE_MS`], or it has had no proof in its life) isn't shown before a member that isn't has
    /// answered, or [`CONFIRMATION_TIMEOUT`] is over, or all members have told that they know no better
    /// ([`Mirror::show_withheld`]). What is shown then is the newest that was heard of.
    pub fn withholding_unconfirmed(mut self) -> Self {
        self.withheld = Withheld::Nothing;
        self
    }

    /// Nobody who can be reached knows better: what is withheld is shown.
    pub fn show_unconfirmed(&mut self) {
        if self.withheld.holds() {
            self.withheld.end();
            self.generation += 1;
        }
    }

    /// Sets this process's identity, where it is known later than the mirror.
    pub fn set_member(&mut self, member: u64) {
        self.member = member;
    }

    /// Rises with each change of what [`Mirror::view`] tells.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Number of the ledger's last change.
    pub fn index(&self) -> u64 {
        self.ledger.seq
    }

    /// The configuration; version 0 where none has come yet.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.ledger.document
    }

    /// Version of the configuration that is shown, and number of the ledger's change; 0 while one is withheld.
    pub fn visible_version(&self) -> (u64, u64) {
        if self.withheld.holds() {
            (0, 0)
        } else {
            (self.ledger.document.version, self.ledger.seq)
        }
    }

    /// The control plane.
    pub fn control_plane(&self) -> &ControlPlaneInfo {
        &self.fleet
    }

    /// About how many coordinators pull now, by number alone: each is counted by as many members as it pulls from.
    pub fn coordinator_estimate(&self) -> usize {
        self.sources.coordinators()
    }

    /// Since when, at most, this process may have missed what the primary acknowledged, in ms; [`AGE_UNKNOWN`] where
    /// it has had no proof at all.
    pub fn age_ms(&self, now: Duration) -> u32 {
        match self.fresh {
            Some(at) => {
                let age = nanoseconds(now).saturating_sub(at).max(0) / NANOSECONDS_PER_MS;
                u32::try_from(age).unwrap_or(AGE_UNKNOWN)
            }
            None => AGE_UNKNOWN,
        }
    }

    /// There was proof that nothing acknowledged before `at` is missing here.
    pub fn record_primary_contact(&mut self, at: Duration) {
        self.fresh = self.fresh.max(Some(nanoseconds(at)));
    }

    /// Takes the ledger's acknowledged state from this process's own ledger. True where it was newer.
    pub fn set_replicated_state<'a>(
        &mut self,
        seq: u64,
        document: Arc<Configuration>,
        drains: impl IntoIterator<Item = &'a String>,
    ) -> bool {
        let newer = self
            .ledger
            .set(seq, document, drains.into_iter().cloned().collect());
        self.changed(newer)
    }

    /// Takes a fleet that this process knows itself: one of a higher epoch, or, where this process is the
    /// primary, a change within the epoch. The others hear of such changes by their pulls.
    pub fn set_control_plane(
        &mut self,
        epoch: u64,
        primary: u64,
        members: Vec<protocol::MemberInfo>,
    ) -> bool {
        let base = epoch.saturating_mul(1 << MARK_BITS).max(1);
        let mark = if base > self.fleet.version {
            base
        } else if epoch == self.fleet.epoch
            && primary == self.member
            && self.fleet.members != members
        {
            self.fleet.version + 1
        } else {
            return false;
        };
        self.fleet = ControlPlaneInfo {
            version: mark,
            epoch,
            primary,
            members,
        };
        self.changed(true)
    }

    /// Counts a change of what is told; hands `changed` back.
    fn changed(&mut self, changed: bool) -> bool {
        self.generation += u64::from(changed);
        changed
    }

    /// Takes news: only what is newer than what is here. True where something was taken.
    pub fn apply(&mut self, now: Duration, news: &Update) -> bool {
        let before = self.generation;
        let mut whole = true;
        if let Some(config) = &news.configuration {
            let applied = self.ledger.apply(config);
            whole = applied != Applied::Missing;
            let taken = self.changed(applied == Applied::Taken);
            if taken && news.age_ms > STALE_AGE_MS {
                self.withheld.begin(now);
            }
        }
        for id in &news.removed_origins {
            self.remove_origin(now, *id);
        }
        for source in &news.origins {
            let newer = self.sources.apply(now, source);
            self.changed(newer);
        }
        if let Some(fleet) = news
            .control_plane
            .as_ref()
            .filter(|f| f.version > self.fleet.version)
        {
            self.fleet = fleet.clone();
            self.changed(true);
        }
        if whole {
            self.take_age(now, news.age_ms);
        }
        self.generation != before
    }

    /// Nothing is missing here that the speaker has, who may have missed what was acknowledged for `age_ms`.
    fn take_age(&mut self, now: Duration, age_ms: u32) {
        if age_ms <= STALE_AGE_MS {
            let shown = self.withheld.end();
            self.changed(shown);
        }
        if age_ms != AGE_UNKNOWN {
            let at = nanoseconds(now).saturating_sub(i64::from(age_ms) * NANOSECONDS_PER_MS);
            self.fresh = self.fresh.max(Some(at));
        }
    }

    /// A source is no more: its hosts stay for a few beat periods, so that they can call another member. It
    /// comes back only with a new life or, within that time, with a new change.
    pub fn remove_origin(&mut self, now: Duration, id: u64) {
        let new = self.sources.retire(now, id);
        self.changed(new);
    }

    /// Drops what is over. True where the view changed.
    pub fn tick(&mut self, now: Duration) -> bool {
        self.due.set(None);
        let before = self.generation;
        if self.withheld.until().is_some_and(|at| now >= at) {
            self.show_unconfirmed();
        }
        let dropped = self.sources.tick(now);
        self.changed(dropped);
        self.generation != before
    }

    /// When [`Mirror::tick`] next has something to do.
    pub fn next_tick(&self) -> Option<Duration> {
        if let Some((_, due)) = self
            .due
            .get()
            .filter(|(generation, _)| *generation == self.generation)
        {
            return due;
        }
        let due = self
            .sources
            .next_tick()
            .into_iter()
            .chain(self.withheld.until())
            .min();
        self.due.set(Some((self.generation, due)));
        due
    }

    /// What this mirror has of each source, for a pull.
    pub fn version_vector(&self) -> Vec<OriginVersion> {
        self.sources.vector()
    }

    /// Asks for what this mirror lacks.
    pub fn pull(&self, caller: &Subscriber, wait_ms: u32) -> Pull {
        // That what is withheld is the current one is no news: it has to be asked for.
        let wait_ms = if self.withheld.holds() { 0 } else { wait_ms };
        Pull {
            subscriber: caller.clone(),
            wait_ms,
            index: self.ledger.seq,
            configuration_version: self.ledger.asked_version(),
            control_plane_version: self.fleet.version,
            origins: self.version_vector(),
        }
    }

    /// News that say only how old this mirror may be.
    pub fn empty_update(&self, now: Duration) -> Update {
        Update {
            member: self.member,
            age_ms: self.age_ms(now),
            ..Update::default()
        }
    }

    /// Exactly what the puller lacks; `None` where that is nothing.
    pub fn update_for(&self, now: Duration, pull: &Pull) -> Option<Update> {
        let mut news = self.empty_update(now);
        if self.ledger.seq > pull.index && !self.withheld.holds() {
            news.configuration = Some(self.ledger.news(pull.configuration_version, pull.index));
        }
        if self.fleet.version > pull.control_plane_version {
            news.control_plane = Some(self.fleet.clone());
        }
        (news.origins, news.removed_origins) = self.sources.news(&pull.origins);
        (!news.is_empty()).then_some(news)
    }

    /// The highest number of a life of member `id` that makes the one numbered `life` count as over.
    pub fn superseding_incarnation(&self, id: u64, life: u64) -> Option<u64> {
        self.sources.later_life(id, life)
    }

    /// Takes note of lives that a puller knows by its vector and that are newer than those known here.
    pub fn observe_incarnations(&mut self, vector: &[OriginVersion]) {
        let heard = self.sources.hear_of_lives(vector);
        self.changed(heard);
    }

    /// The newest record of a host among all sources but `own` (a member's identity).
    pub fn host_at_other_origins(&self, own: u64, host: &str) -> Option<&HostRecord> {
        self.sources.host_elsewhere(own, host)
    }

    /// The merged truth.
    pub fn snapshot(&self) -> Snapshot {
        let (ledger, document, drains) = if self.withheld.holds() {
            Default::default()
        } else {
            (
                self.ledger.seq,
                self.ledger.document.clone(),
                self.ledger.drains.clone(),
            )
        };
        let hosts = hosts::merged(self.sources.hosts(), &drains, self.sources.arrivals());
        let pulling: Vec<&CoordinatorRecord> = self.sources.pulling().collect();
        Snapshot {
            index: ledger,
            configuration: document,
            hosts,
            hints_addrs: pulling
                .iter()
                .filter(|r| r.hints_addr.port > 0)
                .map(|r| (r.name.clone(), r.hints_addr))
                .collect(),
            coordinators: pulling.iter().map(|r| r.name.clone()).collect(),
            draining_hosts: drains,
            control_plane: self.fleet.clone(),
        }
    }
}
