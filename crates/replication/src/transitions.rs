//! What an agent's log tells of its pulls: from whom it takes the news, and since when it has nobody to take them
//! from. Found by comparing, as the puller knows nothing of a log.

use crate::puller::Puller;
use protocol::Addr;
use std::net::SocketAddrV4;

/// What the lines name as their place.
const TARGET: &str = "agent::state";

/// Whom news are waited for at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PullSummary {
    /// The leading member's address; none where no member both answers and is up to date.
    pub leader: Option<Addr>,
    /// Members that answer, but may have missed what the primary acknowledged.
    pub stale: usize,
}

/// One change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PullTransition {
    /// News are waited for at another member.
    Follows {
        /// Its address.
        leader: Addr,
        /// Whether nobody led before: what this process has is fresh from now on.
        fresh_again: bool,
    },
    /// No member that answers is up to date: what this process has grows old.
    NobodyLeads {
        /// Members that answer, but may have missed something.
        stale: usize,
    },
    /// A version of the configuration was taken.
    Configuration {
        /// The version.
        version: u64,
        /// Number of the ledger's change that brought it.
        ledger: u64,
    },
}

/// Follows a puller and its mirror.
#[derive(Clone, Copy, Debug, Default)]
pub struct PullRecorder {
    pulls: PullSummary,
    version: u64,
}

impl PullRecorder {
    /// Takes how the pulls stand now; what has changed since the last time.
    pub fn pulls(&mut self, puller: &Puller) -> Option<PullTransition> {
        let after = puller.summary();
        let before = std::mem::replace(&mut self.pulls, after);
        match after.leader {
            leader if leader == before.leader => None,
            Some(leader) => {
                let fresh_again = before.leader.is_none();
                Some(PullTransition::Follows {
                    leader,
                    fresh_again,
                })
            }
            None => Some(PullTransition::NobodyLeads { stale: after.stale }),
        }
    }

    /// Takes what the mirror has now; what has changed since the last time.
    pub fn configuration(&mut self, version: u64, ledger: u64) -> Option<PullTransition> {
        let changed = std::mem::replace(&mut self.version, version) != version;
        changed.then_some(PullTransition::Configuration { version, ledger })
    }
}

/// Writes the line of a change.
pub fn log(transition: &PullTransition) {
    match transition {
        PullTransition::Follows {
            leader,
            fresh_again,
        } => {
            let leader = SocketAddrV4::from(leader);
            log::info!(target: TARGET, member:% = leader, fresh_again; "pulls from another member");
        }
        PullTransition::NobodyLeads { stale } => {
            log::warn!(target: TARGET, stale; "no member is up to date: goes on with what it has");
        }
        PullTransition::Configuration { version, ledger } => {
            log::info!(target: TARGET, version, ledger; "configuration taken");
        }
    }
}
