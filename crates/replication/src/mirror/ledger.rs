//! The ledger's part of a mirror: the configuration and the drains, and what of them a puller lacks.

use configuration::{Configuration, ConfigurationDelta};
use protocol::ConfigurationUpdate;
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// Documents kept to tell what changed since.
const HISTORY: usize = 32;
/// Bytes of JSON of the items that differ between them; the one in force is kept whatever its length.
const MAX_HISTORY_BYTES: usize = 4 << 20;
/// Changes of the drains kept, for each document kept.
const DRAIN_CHANGES: usize = 8;

/// A document that was in force, or is.
#[derive(Clone)]
struct PastDocument {
    document: Arc<Configuration>,
    /// Bytes of its items that the one before doesn't have.
    bytes: usize,
}

/// What a change of the ledger, or several, did to the drains.
#[derive(Clone)]
struct DrainChange {
    /// Number of the change that it leads to.
    seq: u64,
    added: Vec<String>,
    gone: Vec<String>,
}

/// What became of news of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Applied {
    /// They were taken.
    Taken,
    /// All that they tell was here already.
    Known,
    /// What they tell is missing here now: they add to something else.
    Missing,
}

/// The ledger as far as this process knows it to be acknowledged.
#[derive(Clone)]
pub(super) struct LedgerMirror {
    /// Number of the last change.
    pub(super) seq: u64,
    /// The configuration; version 0 where none has come yet.
    pub(super) document: Arc<Configuration>,
    /// Hosts that are leaving or gone.
    pub(super) drains: Arc<BTreeSet<String>>,
    /// The latest documents, the one in force last.
    history: VecDeque<PastDocument>,
    depth: usize,
    /// A change couldn't be applied: the whole configuration is asked for.
    unsure: bool,
    /// The latest changes of the drains, each from where the one before leads to.
    drain_changes: VecDeque<DrainChange>,
    /// Number of the ledger's change from which the first of them leads on.
    drain_floor: u64,
}

impl LedgerMirror {
    pub(super) fn new() -> Self {
        Self {
            seq: 0,
            document: Arc::default(),
            drains: Arc::default(),
            history: VecDeque::new(),
            depth: HISTORY,
            unsure: false,
            drain_changes: VecDeque::new(),
            drain_floor: 0,
        }
    }

    /// Keeps no older documents: nothing is handed on.
    pub(super) fn forget_history(&mut self) {
        self.depth = 0;
    }

    /// The version to ask for changes since; 0 asks for the whole.
    pub(super) fn asked_version(&self) -> u64 {
        if self.unsure {
            0
        } else {
            self.document.version
        }
    }

    /// Takes an acknowledged state. True where it was newer.
    pub(super) fn set(
        &mut self,
        seq: u64,
        document: Arc<Configuration>,
        drains: BTreeSet<String>,
    ) -> bool {
        if seq <= self.seq || document.version < self.document.version {
            return false;
        }
        self.seq = seq;
        self.remember(document);
        let added = drains.difference(&self.drains).cloned().collect();
        let gone = self.drains.difference(&drains).cloned().collect();
        self.drain_changes
            .push_back(DrainChange { seq, added, gone });
        while self.drain_changes.len() > self.depth * DRAIN_CHANGES {
            self.drain_floor = self.drain_changes.pop_front().map_or(seq, |c| c.seq);
        }
        self.drains = Arc::new(drains);
        true
    }

    fn remember(&mut self, document: Arc<Configuration>) {
        self.unsure = false;
        if document.version > self.document.version {
            let bytes = document.unshared_bytes(&self.document);
            self.document = document.clone();
            self.history.push_back(PastDocument { document, bytes });
            let mut total: usize = self.history.iter().map(|d| d.bytes).sum();
            while self.history.len() > self.depth
                || (self.history.len() > 1 && total > MAX_HISTORY_BYTES)
            {
                total -= self.history.pop_front().map_or(0, |d| d.bytes);
            }
        }
    }

    /// Takes news of it, where they are newer and add to what is here.
    pub(super) fn apply(&mut self, news: &ConfigurationUpdate) -> Applied {
        if news.index <= self.seq || news.version < self.document.version {
            return Applied::Known;
        }
        let Some(drains) = self.drains_after(news) else {
            return Applied::Missing;
        };
        let document = if news.version == self.document.version {
            Some(self.document.clone())
        } else {
            let whole = Configuration::default();
            let base = if news.base_version == 0 {
                &whole
            } else {
                &*self.document
            };
            if news.base_version != base.version {
                return Applied::Missing;
            }
            base.patched(&delta(news)).ok().map(Arc::new)
        };
        if let Some(document) = document {
            if self.set(news.index, document, drains) {
                Applied::Taken
            } else {
                Applied::Missing
            }
        } else {
            self.unsure = true;
            Applied::Missing
        }
    }

    /// The drains that news lead to; none where they add to others than those here.
    fn drains_after(&self, news: &ConfigurationUpdate) -> Option<BTreeSet<String>> {
        let mut drains: BTreeSet<String> = match news.drains_base_index {
            0 => BTreeSet::new(),
            from if from == self.seq => (*self.drains).clone(),
            _ => return None,
        };
        drains.extend(news.drains.iter().cloned());
        for gone in &news.removed_drains {
            drains.remove(gone);
        }
        Some(drains)
    }

    /// What became of the drains since the ledger's change `since`: number to add to, those added, those gone.
    fn drains_since(&self, since: u64) -> (u64, Vec<String>, Vec<String>) {
        // Between two places that are known here, hosts may have come and gone that aren't.
        let known = since == self.drain_floor || self.drain_changes.iter().any(|c| c.seq == since);
        if since == 0 || !known {
            return (0, self.drains.iter().cloned().collect(), Vec::new());
        }
        let later = || self.drain_changes.iter().filter(|c| c.seq > since);
        let added: BTreeSet<&String> = later()
            .flat_map(|c| &c.added)
            .filter(|d| self.drains.contains(*d))
            .collect();
        let gone: BTreeSet<&String> = later()
            .flat_map(|c| &c.gone)
            .filter(|d| !self.drains.contains(*d))
            .collect();
        (
            since,
            added.into_iter().cloned().collect(),
            gone.into_iter().cloned().collect(),
        )
    }

    /// What somebody lacks who has this version and this change of the ledger.
    pub(super) fn news(&self, version: u64, seq: u64) -> ConfigurationUpdate {
        let (drains_from, drains, gone_drains) = self.drains_since(seq);
        let newest = &self.document;
        let none = Configuration::default();
        let base = self
            .history
            .iter()
            .map(|d| &*d.document)
            .find(|d| d.version == version)
            .unwrap_or(&none);
        let delta = base.delta(newest);
        ConfigurationUpdate {
            index: self.seq,
            base_version: delta.base_version,
            version: delta.version,
            routes: delta.routes,
            services: delta.services,
            removed_routes: delta.removed_routes,
            removed_services: delta.removed_services,
            limits: delta.limits.into_iter().collect(),
            drains_base_index: drains_from,
            drains,
            removed_drains: gone_drains,
        }
    }
}

fn delta(news: &ConfigurationUpdate) -> ConfigurationDelta {
    ConfigurationDelta {
        base_version: news.base_version,
        version: news.version,
        routes: news.routes.clone(),
        services: news.services.clone(),
        removed_routes: news.removed_routes.clone(),
        removed_services: news.removed_services.clone(),
        limits: news.limits.first().cloned(),
    }
}
