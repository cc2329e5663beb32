//! What an agent logs about its pulls: the member that it prefers, since when no member is in contact with a primary,
//! and the configurations that it applied. Found by comparison, as the puller itself doesn't log.

use crate::mirror::VisibleVersion;
use crate::puller::{PullSummary, Puller};
use protocol::Addr;
use std::net::SocketAddrV4;

/// The log target of these lines.
const TARGET: &str = "agent::state";

/// A change worth a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PullTransition {
    /// Another member is preferred: pulls wait there for updates.
    PreferredMember {
        /// Its address.
        member: Addr,
        /// Whether no member was preferred before: what this process has is confirmed again.
        fresh_again: bool,
    },
    /// No member that answers is in contact with a primary: what this process has grows old.
    NoFreshMember {
        /// How many members answer without contact to a primary.
        stale: usize,
    },
    /// A configuration was applied.
    ConfigurationApplied {
        /// The version.
        version: u64,
        /// Index of the change that brought it.
        index: u64,
    },
}

/// Follows a puller and its mirror, and finds what changed.
#[derive(Clone, Copy, Debug, Default)]
pub struct PullRecorder {
    pulls: PullSummary,
    version: u64,
}

impl PullRecorder {
    /// Compares where updates come from with the last call; the change, if there is one.
    pub fn pulls(&mut self, puller: &Puller) -> Option<PullTransition> {
        let after = puller.summary();
        let before = std::mem::replace(&mut self.pulls, after);
        match after.preferred {
            member if member == before.preferred => None,
            Some(member) => {
                let fresh_again = before.preferred.is_none();
                Some(PullTransition::PreferredMember {
                    member,
                    fresh_again,
                })
            }
            None => Some(PullTransition::NoFreshMember { stale: after.stale }),
        }
    }

    /// Compares the configuration that the mirror shows with the last call; the change, if there is one.
    pub fn configuration(&mut self, visible: VisibleVersion) -> Option<PullTransition> {
        let version = visible.configuration_version;
        let changed = std::mem::replace(&mut self.version, version) != version;
        changed.then_some(PullTransition::ConfigurationApplied {
            version,
            index: visible.index,
        })
    }
}

/// Logs a change.
pub fn log(transition: &PullTransition) {
    match transition {
        PullTransition::PreferredMember {
            member,
            fresh_again,
        } => {
            let member = SocketAddrV4::from(member);
            log::info!(target: TARGET, member:% = member, fresh_again; "preferred member changed");
        }
        PullTransition::NoFreshMember { stale } => {
            log::warn!(target: TARGET, stale; "no member is in contact with a primary: serving the last known state");
        }
        PullTransition::ConfigurationApplied { version, index } => {
            log::info!(target: TARGET, version, index; "configuration applied");
        }
    }
}
