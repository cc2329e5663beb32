//! District hosts taken out by hand: an overlay between the sources of the list and the module. No I/O.
//!
//! To the module a banned host is one that drains, whatever its source says. A host called back counts as
//! started at that moment, or when its source says, if that is later.

use crate::core::Endpoint;
use crate::interface::{ListKind, ServerState};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Hosts out by hand at once: a list has a few hundred lines.
const MOST: usize = 4096;
/// A call back that is older than any cold start lasts is forgotten.
const FORGET_MS: u64 = 600_000;

/// Why a call is not obeyed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EjectionError {
    /// No source has named such a host.
    #[error("no such district host")]
    Unknown,
    /// The set is full.
    #[error("too many district hosts are out")]
    Full,
}

/// The hosts that are out by hand, over the list as its source last told it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ManualEjections {
    out: BTreeSet<String>,
    /// When hosts were called back, in Unix milliseconds.
    back: BTreeMap<String, u64>,
    listed: BTreeMap<String, Endpoint>,
    /// Hosts that the other process of the coordinator has heard of before this one.
    #[serde(skip)]
    expected: BTreeSet<String>,
}

impl ManualEjections {
    /// Takes news of the list; gives what the module is to be told.
    pub fn news(&mut self, kind: ListKind, hosts: Vec<Endpoint>) -> Vec<Endpoint> {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.listed.clear();
        }
        for host in &hosts {
            if host.state == ServerState::Gone {
                self.listed.remove(&host.id);
            } else {
                self.listed.insert(host.id.clone(), host.clone());
            }
        }
        hosts.into_iter().map(|host| self.seen(host)).collect()
    }

    /// A host as the module is to see it.
    fn seen(&self, mut host: Endpoint) -> Endpoint {
        if host.state == ServerState::Ready && self.out.contains(&host.id) {
            host.state = ServerState::Draining;
        }
        let back = self.back.get(&host.id).copied();
        host.up_since_ms = host.up_since_ms.max(back.unwrap_or(0));
        host
    }

    fn told(&self, id: &str) -> Vec<Endpoint> {
        self.listed
            .get(id)
            .cloned()
            .map(|host| self.seen(host))
            .into_iter()
            .collect()
    }

    /// The other process knows this host: an order for it is in place before it is listed here.
    pub fn expect(&mut self, id: &str) {
        if !self.listed.contains_key(id) && self.expected.len() < MOST {
            self.expected.insert(id.to_owned());
        }
    }

    /// Takes a host out, or calls it back at this Unix time; gives what the module is to be told of it.
    /// A call that changes nothing tells nothing.
    ///
    /// # Errors
    /// If nobody has this id, or too many are out.
    pub fn order(
        &mut self,
        id: &str,
        offline: bool,
        now_ms: u64,
    ) -> Result<Vec<Endpoint>, EjectionError> {
        let was_out = self.out.contains(id);
        if !was_out && !self.listed.contains_key(id) && !self.expected.contains(id) {
            return Err(EjectionError::Unknown);
        }
        if was_out == offline {
            return Ok(Vec::new());
        }
        if offline {
            if self.out.len() >= MOST {
                return Err(EjectionError::Full);
            }
            self.out.insert(id.to_owned());
        } else {
            self.out.remove(id);
            self.back
                .retain(|_, at| now_ms.saturating_sub(*at) < FORGET_MS);
            self.back.insert(id.to_owned(), now_ms);
        }
        Ok(self.told(id))
    }

    /// The list as its source last told it.
    pub fn listed(&self) -> Vec<Endpoint> {
        self.listed.values().cloned().collect()
    }

    /// The ids that are out.
    pub fn out(&self) -> impl Iterator<Item = &str> {
        self.out.iter().map(String::as_str)
    }
}
