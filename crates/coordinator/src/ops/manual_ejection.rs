//! Manual ejection: district hosts that the operators took out of service, kept over the endpoint list as its
//! source last told it. No I/O.
//!
//! To the decision module an ejected host is one that drains, whatever its source says. A restored host counts as
//! started at the moment of the restore, or when its source says, if that is later.

use crate::core::Endpoint;
use crate::interface::{ListKind, ServerState};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Limit on the hosts that are ejected at once; a list has a few hundred lines.
const MAX_EJECTED: usize = 4096;
/// How long a restore is remembered, in milliseconds: longer than any cold start lasts.
const RESTORE_RETENTION_MS: u64 = 600_000;

/// Why a host was not ejected or restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EjectionError {
    /// No source has named such a host.
    #[error("no such district host")]
    UnknownHost,
    /// As many hosts are ejected as may be.
    #[error("too many district hosts are out")]
    TooManyEjected,
}

/// The ejected hosts, over the list as its source last told it. The names of the fields in the serialized form
/// belong to the hot restart's messages.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ManualEjections {
    #[serde(rename = "out")]
    ejected: BTreeSet<String>,
    /// When hosts were restored, in Unix milliseconds.
    #[serde(rename = "back")]
    restored_at_ms: BTreeMap<String, u64>,
    #[serde(rename = "listed")]
    endpoints: BTreeMap<String, Endpoint>,
    /// Hosts that the other process of the coordinator knows and that are not listed here yet.
    #[serde(skip)]
    expected: BTreeSet<String>,
}

impl ManualEjections {
    /// Applies an update of the list. Returns the update that the decision module is to get.
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
            .map(|endpoint| self.overlaid(endpoint))
            .collect()
    }

    /// An endpoint as the decision module is to see it.
    fn overlaid(&self, mut endpoint: Endpoint) -> Endpoint {
        if endpoint.state == ServerState::Ready && self.ejected.contains(&endpoint.id) {
            endpoint.state = ServerState::Draining;
        }
        let restored_at_ms = self.restored_at_ms.get(&endpoint.id).copied();
        endpoint.up_since_ms = endpoint.up_since_ms.max(restored_at_ms.unwrap_or(0));
        endpoint
    }

    /// Records that the other process knows this host: it may be ejected before it is listed here.
    pub fn expect(&mut self, id: &str) {
        if !self.endpoints.contains_key(id) && self.expected.len() < MAX_EJECTED {
            self.expected.insert(id.to_owned());
        }
    }

    /// Ejects a host, or restores it, at this Unix time in milliseconds. Returns the update that the decision
    /// module is to get: empty if nothing changed or if the host is not listed yet.
    ///
    /// # Errors
    /// [`EjectionError::UnknownHost`] if nobody has named this host, [`EjectionError::TooManyEjected`] if as many
    /// are ejected as may be.
    pub fn set_ejected(
        &mut self,
        id: &str,
        ejected: bool,
        now_ms: u64,
    ) -> Result<Vec<Endpoint>, EjectionError> {
        let was_ejected = self.ejected.contains(id);
        let is_known = self.endpoints.contains_key(id) || self.expected.contains(id);
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
            .map(|endpoint| self.overlaid(endpoint))
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

    /// The list as its source last told it.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.endpoints.values().cloned().collect()
    }

    /// The ids of the ejected hosts.
    pub fn ejected(&self) -> impl Iterator<Item = &str> {
        self.ejected.iter().map(String::as_str)
    }
}
