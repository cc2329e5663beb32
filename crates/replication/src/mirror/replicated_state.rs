//! Replicated state in a mirror: the configuration and the draining hosts, and the parts of them that a puller lacks.

use configuration::{Configuration, ConfigurationDelta, TenantsDelta};
use protocol::{ConfigurationUpdate, TenantsUpdate};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// Maximum number of configurations kept to compute the changes for pullers.
const MAX_PAST_CONFIGURATIONS: usize = 32;
/// Maximum size of the kept configurations, in bytes of JSON of the items that differ between them. The latest one is
/// kept whatever its size.
const MAX_HISTORY_BYTES: usize = 4 << 20;
/// Maximum number of kept changes of the draining hosts, per configuration that may be kept.
const DRAINING_CHANGES_PER_CONFIGURATION: usize = 8;

/// Configuration that is or was in force.
#[derive(Clone)]
struct PastConfiguration {
    configuration: Arc<Configuration>,
    /// Size of its items that the preceding configuration doesn't have, in bytes of JSON.
    bytes: usize,
}

/// Effect of one or several changes of the replicated state on the draining hosts.
#[derive(Clone)]
struct DrainingChange {
    /// Index of the last of these changes.
    index: u64,
    added: Vec<String>,
    removed: Vec<String>,
}

/// Changes of the draining hosts since an index.
struct DrainingDelta {
    /// Index that the changes extend; 0 if `added` holds all draining hosts.
    base_index: u64,
    added: Vec<String>,
    removed: Vec<String>,
}

/// Result of applying an update of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Applied {
    /// The update was newer and has been applied.
    Newer,
    /// The content was known already.
    Known,
    /// The update extends another state than the one here, so it couldn't be applied.
    BaseMismatch,
}

/// Replicated state, as far as this process knows it to be committed.
#[derive(Clone)]
pub(super) struct StateMirror {
    /// Index of the last change.
    pub(super) index: u64,
    /// Configuration; its version is 0 if none has arrived yet.
    pub(super) configuration: Arc<Configuration>,
    /// Ids of hosts that are draining or gone.
    pub(super) draining_hosts: Arc<BTreeSet<String>>,
    /// Latest configurations, the one in force last.
    history: VecDeque<PastConfiguration>,
    /// Maximum length of `history`.
    max_history: usize,
    /// Whether an update couldn't be applied, so that the next pull asks for the whole configuration.
    needs_full_configuration: bool,
    /// Latest changes of the draining hosts, each starting where the preceding one ends.
    draining_changes: VecDeque<DrainingChange>,
    /// Index at which the first of them starts.
    draining_floor: u64,
}

impl StateMirror {
    pub(super) fn new() -> Self {
        Self {
            index: 0,
            configuration: Arc::default(),
            draining_hosts: Arc::default(),
            history: VecDeque::new(),
            max_history: MAX_PAST_CONFIGURATIONS,
            needs_full_configuration: false,
            draining_changes: VecDeque::new(),
            draining_floor: 0,
        }
    }

    /// Disables the history, for a process from which nobody pulls.
    pub(super) fn disable_history(&mut self) {
        self.max_history = 0;
    }

    /// Returns the configuration version for a pull; 0 asks for the whole configuration.
    pub(super) fn version_to_request(&self) -> u64 {
        if self.needs_full_configuration {
            0
        } else {
            self.configuration.version
        }
    }

    /// Sets a committed state. Returns whether it was newer.
    pub(super) fn set(
        &mut self,
        index: u64,
        configuration: Arc<Configuration>,
        draining_hosts: BTreeSet<String>,
    ) -> bool {
        if index <= self.index || configuration.version < self.configuration.version {
            return false;
        }
        self.index = index;
        self.set_configuration(configuration);
        let added = draining_hosts
            .difference(&self.draining_hosts)
            .cloned()
            .collect();
        let removed = self
            .draining_hosts
            .difference(&draining_hosts)
            .cloned()
            .collect();
        self.draining_changes.push_back(DrainingChange {
            index,
            added,
            removed,
        });
        while self.draining_changes.len() > self.max_history * DRAINING_CHANGES_PER_CONFIGURATION {
            self.draining_floor = self
                .draining_changes
                .pop_front()
                .map_or(index, |change| change.index);
        }
        self.draining_hosts = Arc::new(draining_hosts);
        true
    }

    /// Sets a newer configuration and adds it to the history, which is then cut to its limits.
    fn set_configuration(&mut self, configuration: Arc<Configuration>) {
        self.needs_full_configuration = false;
        if configuration.version <= self.configuration.version {
            return;
        }
        let bytes = configuration.unshared_bytes(&self.configuration);
        self.configuration = configuration.clone();
        self.history.push_back(PastConfiguration {
            configuration,
            bytes,
        });
        let mut total_bytes: usize = self.history.iter().map(|past| past.bytes).sum();
        while self.history.len() > self.max_history
            || (self.history.len() > 1 && total_bytes > MAX_HISTORY_BYTES)
        {
            total_bytes -= self.history.pop_front().map_or(0, |past| past.bytes);
        }
    }

    /// Applies an update if it is newer and extends the state that is here.
    pub(super) fn apply(
        &mut self,
        update: &ConfigurationUpdate,
        tenants: Option<&TenantsUpdate>,
    ) -> Applied {
        if update.index <= self.index || update.version < self.configuration.version {
            return Applied::Known;
        }
        let Some(draining_hosts) = self.draining_hosts_after(update) else {
            return Applied::BaseMismatch;
        };
        let Some(base) = self.base_for(update) else {
            return Applied::BaseMismatch;
        };
        let configuration = if update.version == self.configuration.version {
            self.configuration.clone()
        } else if let Ok(patched) = base.patched(&configuration_delta(update, tenants)) {
            Arc::new(patched)
        } else {
            self.needs_full_configuration = true;
            return Applied::BaseMismatch;
        };
        if self.set(update.index, configuration, draining_hosts) {
            Applied::Newer
        } else {
            Applied::BaseMismatch
        }
    }

    /// Returns the configuration that an update extends; `None` if it isn't the one here. An update that doesn't change
    /// the configuration extends any.
    fn base_for(&self, update: &ConfigurationUpdate) -> Option<Arc<Configuration>> {
        let base = if update.base_version == 0 {
            Arc::default()
        } else {
            self.configuration.clone()
        };
        let leaves_configuration = update.version == self.configuration.version;
        (leaves_configuration || update.base_version == base.version).then_some(base)
    }

    /// Returns the draining hosts after an update; `None` if it extends another state than the one here.
    fn draining_hosts_after(&self, update: &ConfigurationUpdate) -> Option<BTreeSet<String>> {
        let mut draining_hosts: BTreeSet<String> = match update.drains_base_index {
            0 => BTreeSet::new(),
            base if base == self.index => (*self.draining_hosts).clone(),
            _ => return None,
        };
        draining_hosts.extend(update.drains.iter().cloned());
        for removed in &update.removed_drains {
            draining_hosts.remove(removed);
        }
        Some(draining_hosts)
    }

    /// Returns the changes of the draining hosts since the change with index `since`.
    fn draining_changes_since(&self, since: u64) -> DrainingDelta {
        // Between two known indexes, hosts may have been added and removed again by changes that weren't kept.
        let is_kept = since == self.draining_floor
            || self
                .draining_changes
                .iter()
                .any(|change| change.index == since);
        if since == 0 || !is_kept {
            return DrainingDelta {
                base_index: 0,
                added: self.draining_hosts.iter().cloned().collect(),
                removed: Vec::new(),
            };
        }
        let later = || {
            self.draining_changes
                .iter()
                .filter(|change| change.index > since)
        };
        let added: BTreeSet<&String> = later()
            .flat_map(|change| &change.added)
            .filter(|host| self.draining_hosts.contains(*host))
            .collect();
        let removed: BTreeSet<&String> = later()
            .flat_map(|change| &change.removed)
            .filter(|host| !self.draining_hosts.contains(*host))
            .collect();
        DrainingDelta {
            base_index: since,
            added: added.into_iter().cloned().collect(),
            removed: removed.into_iter().cloned().collect(),
        }
    }

    /// Returns what a puller lacks that has this configuration version and all changes up to `index`.
    pub(super) fn update_since(
        &self,
        version: u64,
        index: u64,
    ) -> (ConfigurationUpdate, Option<TenantsUpdate>) {
        let draining = self.draining_changes_since(index);
        let empty = Configuration::default();
        let base = self
            .history
            .iter()
            .map(|past| &*past.configuration)
            .find(|configuration| configuration.version == version)
            .unwrap_or(&empty);
        let delta = base.delta(&self.configuration);
        let tenants = delta.tenants.map(|tenants| TenantsUpdate {
            present: tenants.present,
            tenants: tenants.tenants,
            removed: tenants.removed,
        });
        let update = ConfigurationUpdate {
            index: self.index,
            base_version: delta.base_version,
            version: delta.version,
            routes: delta.routes,
            services: delta.services,
            removed_routes: delta.removed_routes,
            removed_services: delta.removed_services,
            limits: delta.limits.into_iter().collect(),
            drains_base_index: draining.base_index,
            drains: draining.added,
            removed_drains: draining.removed,
        };
        (update, tenants)
    }
}

/// Converts an update to a change of the configuration.
fn configuration_delta(
    update: &ConfigurationUpdate,
    tenants: Option<&TenantsUpdate>,
) -> ConfigurationDelta {
    ConfigurationDelta {
        base_version: update.base_version,
        version: update.version,
        routes: update.routes.clone(),
        services: update.services.clone(),
        removed_routes: update.removed_routes.clone(),
        removed_services: update.removed_services.clone(),
        limits: update.limits.first().cloned(),
        tenants: tenants.map(|tenants| TenantsDelta {
            present: tenants.present,
            tenants: tenants.tenants.clone(),
            removed: tenants.removed.clone(),
        }),
    }
}
