//! Processes that mirror the control plane: members, agents and proxies, each with the product's own mirror and puller.

use protocol::{Addr, Subscriber};
use replication::{Mirror, Pull, Puller, Update};
use std::collections::BTreeMap;
use std::time::Duration;

/// Machine numbers of agents and their proxies begin here.
pub(super) const FIRST_AGENT_MACHINE: usize = 100;
/// Address of the first agent.
const FIRST_AGENT_IP: u32 = 0x7f00_0001;
/// Port of the agents.
const AGENT_PORT: u16 = 7661;

/// A process that pulls or is pulled from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ProcessId {
    Member(usize),
    Agent(usize),
    Proxy(usize),
}

impl ProcessId {
    /// Its machine on the network.
    pub(super) fn machine(self) -> usize {
        match self {
            Self::Member(n) => n,
            Self::Agent(k) | Self::Proxy(k) => FIRST_AGENT_MACHINE + k,
        }
    }
}

/// The address of an agent.
pub(super) fn agent_addr(agent: usize) -> Addr {
    Addr {
        ip: FIRST_AGENT_IP + agent as u32,
        port: AGENT_PORT,
    }
}

/// What happens to such a process.
#[derive(Debug)]
pub(super) enum SubscriberEvent {
    /// The puller's timer fires.
    Tick,
    /// A connection is open.
    Connected(u64),
    /// A connection failed or was closed by the other side.
    Failed(u64),
    /// A pull arrives.
    PullArrives {
        from: ProcessId,
        from_incarnation: u32,
        link: u64,
        pull: Box<Pull>,
    },
    /// The answer to a pull arrives.
    UpdateArrives { link: u64, update: Box<Update> },
    /// The pull of this number has waited as long as it asked for.
    PullTimedOut(u64),
}

/// A pull that waits for an update.
pub(super) struct WaitingPull {
    pub(super) number: u64,
    pub(super) from: ProcessId,
    pub(super) from_incarnation: u32,
    pub(super) link: u64,
    pub(super) pull: Pull,
}

/// What a process had in force: index of the latest change, and the configuration's version.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct InForce {
    pub(super) index: u64,
    pub(super) version: u64,
}

impl InForce {
    pub(super) fn of(mirror: &Mirror) -> Self {
        Self {
            index: mirror.index(),
            version: mirror.configuration().version,
        }
    }
}

/// A process that mirrors the control plane.
pub(super) struct SubscriberProcess {
    pub(super) incarnation: u32,
    pub(super) started_at: Duration,
    pub(super) mirror: Mirror,
    pub(super) puller: Puller,
    pub(super) subscriber: Subscriber,
    /// Where each open connection leads.
    pub(super) links: BTreeMap<u64, ProcessId>,
    pub(super) waiting: Vec<WaitingPull>,
    /// Version of the control-plane info that the puller was told.
    pub(super) puller_info_version: u64,
    pub(super) next_tick_at: Duration,
    /// What it had in force after its latest event.
    pub(super) in_force: InForce,
    /// Epoch and primary that a member's mirror was told.
    pub(super) published_membership: (u64, u64),
}
