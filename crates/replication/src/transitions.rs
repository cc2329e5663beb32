//! Log lines of an agent about its pulls: changes of the preferred member, the loss of contact with a primary, and the
//! applied configurations. Changes are found by comparison, as the puller itself doesn't log.

use crate::mirror::VisibleVersion;
use crate::puller::{PullSummary, Puller};
use protocol::Addr;
use std::net::SocketAddrV4;

/// Log target of these lines.
const TARGET: &str = "agent::state";

/// Change that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PullTransition {
    /// Another member is preferred: pulls wait there for updates.
    PreferredMember {
        /// Address of the member.
        member: Addr,
        /// Whether no member was preferred before, so that this process's state is confirmed again.
        fresh_again: bool,
    },
    /// No member that answers is in contact with a primary, so this process's state is growing old.
    NoFreshMember {
        /// Number of members that answer without contact with a primary.
        stale: usize,
    },
    /// A configuration was applied.
    ConfigurationApplied {
        /// Version of the configuration.
        version: u64,
        /// Index of the change that brought it.
        index: u64,
    },
}

/// Detector of changes in a puller and its mirror.
#[derive(Clone, Copy, Debug, Default)]
pub struct PullRecorder {
    pulls: PullSummary,
    version: u64,
}

impl PullRecorder {
    /// Compares the source of updates with the previous call. Returns the change, if there is one.
    pub fn observe_pulls(&mut self, puller: &Puller) -> Option<PullTransition> {
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

    /// Compares the configuration shown by the mirror with the previous call. Returns the change, if there is one.
    pub fn observe_configuration(&mut self, visible: VisibleVersion) -> Option<PullTransition> {
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
