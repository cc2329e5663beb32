//! Manual ejection: the district hosts that operators have taken out of service, applied to the endpoint list last
//! received from its source. No I/O.
//!
//! The decision module sees an ejected host as draining, even if its source reports it ready. The start time of a
//! restored host is the time of the restore or the one reported by its source, whichever is later.

use crate::core::Endpoint;
use crate::interface::{ListKind, ServerState};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Limit on the hosts that are ejected at once; a list has a few hundred entries.
const MAX_EJECTED: usize = 4096;
/// How long the time of a restore is kept, in milliseconds: longer than any cold start.
const RESTORE_RETENTION_MS: u64 = 600_000;

/// The reason why a host was not ejected or restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EjectionError {
    /// No source and no other process has listed a host with this id.
    #[error("no such district host")]
    UnknownHost,
    /// The limit on ejected hosts is reached.
    #[error("too many district hosts are out")]
    TooManyEjected,
}

/// The ejected hosts, and the endpoint list last received from its source. The serialized field names are part of the
/// hot restart protocol.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ManualEjections {
    #[serde(rename = "out")]
    ejected: BTreeSet<String>,
    /// The times of recent restores by host id, in Unix milliseconds.
    #[serde(rename = "back")]
    restored_at_ms: BTreeMap<String, u64>,
    #[serde(rename = "listed")]
    endpoints: BTreeMap<String, Endpoint>,
    /// Ids that the other process of the coordinator knows and that are not listed here yet.
    #[serde(skip)]
    expected_ids: BTreeSet<String>,
}

impl ManualEjections {
    /// Applies an update of the list. Returns the update for the decision module.
    pub fn apply_update(&mut self, kind: ListKind, endpoints: Vec<Endpoint>) -> Vec<Endpoint> {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.endpoints.clear();
        }
        for endpoint in &endpoints {
            if endpoint.state == ServerState::Gone {
                self.endpoints.remove(&endpoint.id);
            } else {
                self.endpoints.insert(endpoint.id.clone(), endpoint.clone());
            }
        }
        endpoints
            .into_iter()
            .map(|endpoint| self.with_ejection_applied(endpoint))
            .collect()
    }

    /// An endpoint as the decision module sees it: draining if ejected, and not started before its last restore.
    fn with_ejection_applied(&self, mut endpoint: Endpoint) -> Endpoint {
        if endpoint.state == ServerState::Ready && self.ejected.contains(&endpoint.id) {
            endpoint.state = ServerState::Draining;
        }
        let restored_at_ms = self.restored_at_ms.get(&endpoint.id).copied();
        endpoint.up_since_ms = endpoint.up_since_ms.max(restored_at_ms.unwrap_or(0));
        endpoint
    }

    /// Records that the other process knows this host, so that it can be ejected before it is listed here.
    pub fn expect_host(&mut self, id: &str) {
        if !self.endpoints.contains_key(id) && self.expected_ids.len() < MAX_EJECTED {
            self.expected_ids.insert(id.to_owned());
        }
    }

    /// Ejects or restores a host at the Unix time `now_ms`, in milliseconds. Returns the update for the decision
    /// module, which is empty if nothing changed or if the host is not listed yet.
    ///
    /// # Errors
    /// [`EjectionError::UnknownHost`] if no source and no other process has listed this host,
    /// [`EjectionError::TooManyEjected`] if the limit on ejected hosts is reached.
    pub fn set_ejected(
        &mut self,
        id: &str,
        ejected: bool,
        now_ms: u64,
    ) -> Result<Vec<Endpoint>, EjectionError> {
        let was_ejected = self.ejected.contains(id);
        let is_known = self.endpoints.contains_key(id) || self.expected_ids.contains(id);
        if !was_ejected && !is_known {
            return Err(EjectionError::UnknownHost);
        }
        if was_ejected == ejected {
            return Ok(Vec::new());
        }
        if ejected {
            self.eject(id)?;
        } else {
            self.restore(id, now_ms);
        }
        let endpoint = self.endpoints.get(id).cloned();
        Ok(endpoint
            .map(|endpoint| self.with_ejection_applied(endpoint))
            .into_iter()
            .collect())
    }

    fn eject(&mut self, id: &str) -> Result<(), EjectionError> {
        if self.ejected.len() >= MAX_EJECTED {
            return Err(EjectionError::TooManyEjected);
        }
        self.ejected.insert(id.to_owned());
        Ok(())
    }

    fn restore(&mut self, id: &str, now_ms: u64) {
        self.ejected.remove(id);
        self.restored_at_ms
            .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < RESTORE_RETENTION_MS);
        self.restored_at_ms.insert(id.to_owned(), now_ms);
    }

    /// The list last received from its source, without the ejections.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.endpoints.values().cloned().collect()
    }

    /// The ids of the ejected hosts.
    pub fn ejected(&self) -> impl Iterator<Item = &str> {
        self.ejected.iter().map(String::as_str)
    }
}
