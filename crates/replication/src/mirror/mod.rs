//! Mirror: a process's copy of the state that the control plane publishes.

mod hosts;
mod known_versions;
mod origin_state;
mod origins;
mod replicated_state;
mod unconfirmed;

use crate::timing::STALE_AGE_MS;
use crate::update::{Pull, Update, AGE_UNKNOWN};
use configuration::Configuration;
use origins::Origins;
use protocol::{Addr, ControlPlaneInfo, CoordinatorRecord, HostRecord, OriginVersion, Subscriber};
use replicated_state::{Applied, StateMirror};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use unconfirmed::Unconfirmed;

/// Number of low bits of [`ControlPlaneInfo::version`] that count changes within one epoch.
const CHANGE_NUMBER_BITS: u32 = 16;

/// Everything that a mirror shows at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Index of the last change of the replicated state.
    pub index: u64,
    /// Configuration; its version is 0 if none has arrived yet.
    pub configuration: Arc<Configuration>,
    /// Hosts by id, merged from all origins and the draining hosts. See [`crate::phase`].
    pub hosts: BTreeMap<String, HostRecord>,
    /// Names of the coordinators that pull now, merged from all origins.
    pub coordinators: BTreeSet<String>,
    /// Addresses on which the coordinators' proxies accept prompt placements, by machine name.
    pub hints_addrs: BTreeMap<String, Addr>,
    /// Ids of the hosts that are draining or gone according to the replicated state.
    pub draining_hosts: Arc<BTreeSet<String>>,
    /// Members of the control plane.
    pub control_plane: ControlPlaneInfo,
}

/// Configuration version that a mirror shows. Both fields are 0 while a configuration is withheld.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VisibleVersion {
    /// Version of the configuration.
    pub configuration_version: u64,
    /// Index of the last change of the replicated state.
    pub index: u64,
}

/// Copy of the published state. It applies only what is newer than its content, and sends each puller exactly what that
/// puller lacks.
#[derive(Clone)]
pub struct Mirror {
    member_id: u64,
    generation: u64,
    state: StateMirror,
    origins: Origins,
    control_plane: ControlPlaneInfo,
    /// Time up to which no committed change is missing here, in ns of this process's clock. It is negative for a time
    /// before the process started, as another process may have had its contact with the primary before then.
    confirmed_at_ns: Option<i64>,
    unconfirmed: Unconfirmed,
    /// Last result of [`Mirror::next_tick`] and its generation. Computing it visits every record.
    cached_next_tick: Cell<Option<(u64, Option<Duration>)>>,
}

const NANOSECONDS_PER_MS: i64 = 1_000_000;

/// Converts a time of this process's clock to ns.
fn to_nanoseconds(time: Duration) -> i64 {
    i64::try_from(time.as_nanos()).unwrap_or(i64::MAX)
}

impl Mirror {
    /// Creates an empty mirror. `member_id` is 0 for a process that is not a member; `heartbeat_period` is the interval
    /// between two heartbeats of a host.
    pub fn new(member_id: u64, heartbeat_period: Duration) -> Self {
        Self {
            member_id,
            generation: 0,
            state: StateMirror::new(),
            origins: Origins::new(heartbeat_period),
            control_plane: ControlPlaneInfo::default(),
            confirmed_at_ns: None,
            unconfirmed: Unconfirmed::Shown,
            cached_next_tick: Cell::new(None),
        }
    }

    /// Disables the history of configurations, for a process from which nobody pulls.
    pub fn without_history(mut self) -> Self {
        self.state.disable_history();
        self
    }

    /// Withholds an unconfirmed configuration, for a process that starts without state. A configuration is unconfirmed
    /// if the age of the sending member is above [`STALE_AGE_MS`] or unknown. The latest one received is shown once a
    /// member in contact with a primary has answered, after [`CONFIRMATION_TIMEOUT`](crate::CONFIRMATION_TIMEOUT), or
    /// when all members have answered that they have no contact ([`Mirror::show_unconfirmed`]).
    pub fn withholding_unconfirmed(mut self) -> Self {
        self.unconfirmed = Unconfirmed::Awaited;
        self
    }

    /// Shows a withheld configuration, as no reachable member knows of a newer one.
    pub fn show_unconfirmed(&mut self) {
        if self.unconfirmed.is_withholding() {
            self.unconfirmed.show();
            self.generation += 1;
        }
    }

    /// Sets this process's member id, for a process that learns it only after the mirror was created.
    pub fn set_member(&mut self, member_id: u64) {
        self.member_id = member_id;
    }

    /// Returns the generation, which rises with each change of the content of [`Mirror::snapshot`].
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Index of the last change of the replicated state.
    pub fn index(&self) -> u64 {
        self.state.index
    }

    /// Returns the latest configuration, even while it is withheld; its version is 0 if none has arrived yet.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.state.configuration
    }

    /// Returns the configuration version that is shown.
    pub fn visible_version(&self) -> VisibleVersion {
        if self.unconfirmed.is_withholding() {
            return VisibleVersion::default();
        }
        VisibleVersion {
            configuration_version: self.state.configuration.version,
            index: self.state.index,
        }
    }

    /// Members of the control plane.
    pub fn control_plane(&self) -> &ControlPlaneInfo {
        &self.control_plane
    }

    /// Estimates how many coordinators pull now: the sum of the origins' counts, divided by the number of members from
    /// which each coordinator pulls.
    pub fn coordinator_estimate(&self) -> usize {
        self.origins.coordinator_estimate()
    }

    /// Returns an upper bound of the time for which this process may have missed committed changes, in ms;
    /// [`AGE_UNKNOWN`] if it has had no contact with a primary, direct or through others.
    pub fn age_ms(&self, now: Duration) -> u32 {
        match self.confirmed_at_ns {
            Some(at) => {
                let age = to_nanoseconds(now).saturating_sub(at).max(0) / NANOSECONDS_PER_MS;
                u32::try_from(age).unwrap_or(AGE_UNKNOWN)
            }
            None => AGE_UNKNOWN,
        }
    }

    /// Records a contact with the primary: no change committed before `at` is missing here.
    pub fn record_primary_contact(&mut self, at: Duration) {
        self.confirmed_at_ns = self.confirmed_at_ns.max(Some(to_nanoseconds(at)));
    }

    /// Sets the committed state of this process's own replica. Returns whether it was newer.
    pub fn set_replicated_state<'a>(
        &mut self,
        index: u64,
        configuration: Arc<Configuration>,
        draining_hosts: impl IntoIterator<Item = &'a String>,
    ) -> bool {
        let draining_hosts = draining_hosts.into_iter().cloned().collect();
        let newer = self.state.set(index, configuration, draining_hosts);
        self.bump_generation_if(newer)
    }

    /// Sets the control plane's members as known to this process itself: those of a higher epoch, or a change within
    /// the epoch if this process is the primary. Other processes learn of that change by their pulls. Returns whether
    /// it was new.
    pub fn set_control_plane(
        &mut self,
        epoch: u64,
        primary: u64,
        members: Vec<protocol::MemberInfo>,
    ) -> bool {
        let first_version = epoch.saturating_mul(1 << CHANGE_NUMBER_BITS).max(1);
        let version = if first_version > self.control_plane.version {
            first_version
        } else if epoch == self.control_plane.epoch
            && primary == self.member_id
            && self.control_plane.members != members
        {
            self.control_plane.version + 1
        } else {
            return false;
        };
        self.control_plane = ControlPlaneInfo {
            version,
            epoch,
            primary,
            members,
        };
        self.bump_generation_if(true)
    }

    /// Raises the generation if `changed` is true, and returns `changed`.
    fn bump_generation_if(&mut self, changed: bool) -> bool {
        self.generation += u64::from(changed);
        changed
    }

    /// Applies the parts of an update that are newer than the content. Returns whether there were any.
    pub fn apply(&mut self, now: Duration, update: &Update) -> bool {
        let before = self.generation;
        let mut all_applied = true;
        if let Some(configuration) = &update.configuration {
            let applied = self.state.apply(configuration, update.tenants.as_ref());
            all_applied = applied != Applied::BaseMismatch;
            let is_newer = self.bump_generation_if(applied == Applied::Newer);
            if is_newer && update.age_ms > STALE_AGE_MS {
                self.unconfirmed.on_unconfirmed(now);
            }
        }
        for id in &update.removed_origins {
            self.remove_origin(now, *id);
        }
        for origin in &update.origins {
            let newer = self.origins.apply(now, origin);
            self.bump_generation_if(newer);
        }
        if let Some(control_plane) = update
            .control_plane
            .as_ref()
            .filter(|received| received.version > self.control_plane.version)
        {
            self.control_plane = control_plane.clone();
            self.bump_generation_if(true);
        }
        if all_applied {
            self.adopt_age(now, update.age_ms);
        }
        self.generation != before
    }

    /// Takes over the age of a sender once all its records are applied here.
    fn adopt_age(&mut self, now: Duration, age_ms: u32) {
        if age_ms <= STALE_AGE_MS {
            let shown = self.unconfirmed.show();
            self.bump_generation_if(shown);
        }
        if age_ms != AGE_UNKNOWN {
            let at = to_nanoseconds(now).saturating_sub(i64::from(age_ms) * NANOSECONDS_PER_MS);
            self.confirmed_at_ns = self.confirmed_at_ns.max(Some(at));
        }
    }

    /// Removes an origin. Its hosts are kept for a few heartbeat periods, so that they can call another member. The
    /// origin returns only with a new incarnation or, within that time, with a new change.
    pub fn remove_origin(&mut self, now: Duration, member_id: u64) {
        let is_new = self.origins.remove(now, member_id);
        self.bump_generation_if(is_new);
    }

    /// Drops expired records. Returns whether the snapshot changed.
    pub fn tick(&mut self, now: Duration) -> bool {
        self.cached_next_tick.set(None);
        let before = self.generation;
        if self.unconfirmed.deadline().is_some_and(|at| now >= at) {
            self.show_unconfirmed();
        }
        let dropped = self.origins.tick(now);
        self.bump_generation_if(dropped);
        self.generation != before
    }

    /// Returns the time at which [`Mirror::tick`] next has something to do.
    pub fn next_tick(&self) -> Option<Duration> {
        if let Some((generation, next_tick)) = self.cached_next_tick.get() {
            if generation == self.generation {
                return next_tick;
            }
        }
        let next_tick = self
            .origins
            .next_tick()
            .into_iter()
            .chain(self.unconfirmed.deadline())
            .min();
        self.cached_next_tick
            .set(Some((self.generation, next_tick)));
        next_tick
    }

    /// Returns the version of each origin held here, for a pull.
    pub fn version_vector(&self) -> Vec<OriginVersion> {
        self.origins.version_vector()
    }

    /// Returns the pull that requests what this mirror lacks.
    pub fn pull(&self, subscriber: &Subscriber, wait_ms: u32) -> Pull {
        // A confirmation of the withheld configuration is not an update, so a waiting pull would delay it until the
        // wait is over.
        let wait_ms = if self.unconfirmed.is_withholding() {
            0
        } else {
            wait_ms
        };
        Pull {
            subscriber: subscriber.clone(),
            wait_ms,
            index: self.state.index,
            configuration_version: self.state.version_to_request(),
            control_plane_version: self.control_plane.version,
            origins: self.version_vector(),
        }
    }

    /// Returns an update that contains only this mirror's age.
    pub fn empty_update(&self, now: Duration) -> Update {
        Update {
            member: self.member_id,
            age_ms: self.age_ms(now),
            ..Update::default()
        }
    }

    /// Returns exactly what the puller lacks; `None` if it lacks nothing.
    pub fn update_for(&self, now: Duration, pull: &Pull) -> Option<Update> {
        let mut update = self.empty_update(now);
        if self.state.index > pull.index && !self.unconfirmed.is_withholding() {
            let (configuration, tenants) = self
                .state
                .update_since(pull.configuration_version, pull.index);
            update.configuration = Some(configuration);
            update.tenants = tenants;
        }
        if self.control_plane.version > pull.control_plane_version {
            update.control_plane = Some(self.control_plane.clone());
        }
        (update.origins, update.removed_origins) = self.origins.updates_since(&pull.origins);
        (!update.is_empty()).then_some(update)
    }

    /// Returns the highest known incarnation of a member that supersedes `incarnation`: a later one, or `incarnation`
    /// itself if it is known to be closed.
    pub fn superseding_incarnation(&self, member_id: u64, incarnation: u64) -> Option<u64> {
        self.origins.superseding_incarnation(member_id, incarnation)
    }

    /// Records incarnations in a puller's version vector that are newer than those known here.
    pub fn observe_incarnations(&mut self, version_vector: &[OriginVersion]) {
        let has_newer = self.origins.observe_incarnations(version_vector);
        self.bump_generation_if(has_newer);
    }

    /// Returns the latest record of a host among all origins except the member `own_id`.
    pub fn host_at_other_origins(&self, own_id: u64, host: &str) -> Option<&HostRecord> {
        self.origins.host_at_other_origins(own_id, host)
    }

    /// Returns everything that is shown now. Merges the records of all origins, so the cost grows with their number.
    pub fn snapshot(&self) -> Snapshot {
        let (index, configuration, draining_hosts) = self.visible_state();
        let hosts = hosts::merge_hosts(
            self.origins.hosts(),
            &draining_hosts,
            self.origins.arrivals(),
        );
        let coordinators: Vec<&CoordinatorRecord> = self.origins.pulling_coordinators().collect();
        Snapshot {
            index,
            configuration,
            hosts,
            hints_addrs: coordinators
                .iter()
                .filter(|record| record.hints_addr.port > 0)
                .map(|record| (record.name.clone(), record.hints_addr))
                .collect(),
            coordinators: coordinators
                .iter()
                .map(|record| record.name.clone())
                .collect(),
            draining_hosts,
            control_plane: self.control_plane.clone(),
        }
    }

    fn visible_state(&self) -> (u64, Arc<Configuration>, Arc<BTreeSet<String>>) {
        if self.unconfirmed.is_withholding() {
            return Default::default();
        }
        (
            self.state.index,
            self.state.configuration.clone(),
            self.state.draining_hosts.clone(),
        )
    }
}
