//! Faults: what can happen to a machine, and what triggers it.

use std::time::Duration;

/// Which messages a cut loses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutDirection {
    /// All to and from the machines that are cut off.
    Both,
    /// Those that they send.
    Outbound,
    /// Those that are sent to them.
    Inbound,
}

impl CutDirection {
    /// Whether the cut loses messages of a direction.
    pub(crate) fn includes(self, outbound: bool) -> bool {
        match self {
            Self::Both => true,
            Self::Outbound => outbound,
            Self::Inbound => !outbound,
        }
    }
}

/// A fault: what happens, to which machine, for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The process is killed and started again; the disk keeps what was written.
    Kill(usize, Duration),
    /// The machine loses power: what was not synced is gone.
    Power(usize, Duration),
    /// The machine loses its disk and comes back at the same address.
    Wipe(usize, Duration),
    /// The machine goes for good and another one comes at another address.
    Replace(usize, Duration),
    /// The process is frozen.
    Freeze(usize, Duration),
    /// The machine is cut off from the others.
    Cut(usize, Duration, CutDirection),
    /// Writes don't complete.
    Stall(usize, Duration),
    /// Writes take this many times as long.
    Slow(usize, Duration, u32),
    /// Writes are refused: the disk is full.
    Full(usize, Duration),
    /// All processes are killed at once and come back with their disks.
    KillAll(Duration),
    /// All machines lose power; this one of them, if any, loses its disk.
    PowerAll(Duration, Option<usize>),
    /// The process is asked to leave, ends, and is started again.
    Term(usize, Duration),
    /// The process is asked to leave, ends, and never comes back.
    Retire(usize),
    /// A new machine starts.
    Join,
    /// Two members can't reach each other.
    CutPair(usize, usize, Duration),
    /// All machines of a zone, agents too, are cut off from the others.
    CutZone(usize, Duration, CutDirection),
    /// The members are cut into two parts, whatever the budget of losses says; all others reach both. Bit N of the mask
    /// names the part of machine N.
    Split(u32, Duration),
    /// An agent's process is killed and started again without its state.
    Agent(usize, Duration),
}

impl Fault {
    /// Whether it strikes all machines at once.
    pub(crate) fn strikes_all(self) -> bool {
        matches!(self, Self::KillAll(_) | Self::PowerAll(..))
    }

    /// Whether a disk is lost for good.
    pub(crate) fn loses_disk(self) -> bool {
        matches!(
            self,
            Self::Wipe(..) | Self::Replace(..) | Self::Retire(_) | Self::PowerAll(_, Some(_))
        )
    }

    /// The same fault at another member.
    pub fn at_member(self, n: usize) -> Self {
        match self {
            Self::Kill(_, d) => Self::Kill(n, d),
            Self::Power(_, d) => Self::Power(n, d),
            Self::Wipe(_, d) => Self::Wipe(n, d),
            Self::Replace(_, d) => Self::Replace(n, d),
            Self::Freeze(_, d) => Self::Freeze(n, d),
            Self::Cut(_, d, way) => Self::Cut(n, d, way),
            Self::Stall(_, d) => Self::Stall(n, d),
            Self::Slow(_, d, x) => Self::Slow(n, d, x),
            Self::Full(_, d) => Self::Full(n, d),
            Self::Term(_, d) => Self::Term(n, d),
            Self::Retire(_) => Self::Retire(n),
            Self::CutPair(_, other, d) => Self::CutPair(n, other, d),
            other => other,
        }
    }

    /// How long it lasts.
    pub fn duration(self) -> Duration {
        match self {
            Self::Kill(_, d) | Self::Power(_, d) | Self::Wipe(_, d) | Self::Replace(_, d) => d,
            Self::Freeze(_, d) | Self::Cut(_, d, _) | Self::Stall(_, d) | Self::Slow(_, d, _) => d,
            Self::Full(_, d) | Self::KillAll(d) | Self::PowerAll(d, _) => d,
            Self::Term(_, d) => d + GRACEFUL_SHUTDOWN_TIME,
            Self::CutPair(_, _, d) | Self::CutZone(_, d, _) | Self::Agent(_, d) => d,
            Self::Split(_, d) => d,
            Self::Retire(_) | Self::Join => Duration::ZERO,
        }
    }

    /// The same fault for another time.
    pub fn with_duration(self, d: Duration) -> Self {
        match self {
            Self::Kill(n, _) => Self::Kill(n, d),
            Self::Power(n, _) => Self::Power(n, d),
            Self::Wipe(n, _) => Self::Wipe(n, d),
            Self::Replace(n, _) => Self::Replace(n, d),
            Self::Freeze(n, _) => Self::Freeze(n, d),
            Self::Cut(n, _, way) => Self::Cut(n, d, way),
            Self::Stall(n, _) => Self::Stall(n, d),
            Self::Slow(n, _, x) => Self::Slow(n, d, x),
            Self::Full(n, _) => Self::Full(n, d),
            Self::KillAll(_) => Self::KillAll(d),
            Self::PowerAll(_, wiped) => Self::PowerAll(d, wiped),
            Self::Term(n, _) => Self::Term(n, d),
            Self::CutPair(a, b, _) => Self::CutPair(a, b, d),
            Self::CutZone(zone, _, way) => Self::CutZone(zone, d, way),
            Self::Split(parts, _) => Self::Split(parts, d),
            Self::Agent(k, _) => Self::Agent(k, d),
            Self::Retire(_) | Self::Join => self,
        }
    }
}

/// Time between the request to shut down gracefully and the end of the process.
pub(crate) const GRACEFUL_SHUTDOWN_TIME: Duration = Duration::from_millis(1200);

/// Something that members do, after which a fault can be injected. Each names a machine, its subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultTrigger {
    /// A candidate or primary sends a membership configuration that it has composed; it is the subject.
    MembershipComposed,
    /// A replica has received a membership with its snapshot and starts to write it; it is the subject.
    Installing,
    /// A candidate asks a replica for its snapshot; the replica is the subject.
    FetchingSnapshot,
    /// A request was acknowledged; the acting primary is the subject.
    Acknowledged,
    /// A configuration request was sent to a member; it is the subject.
    RequestSent,
    /// A membership whose voters differ from the previous ones was composed; the new voter, or else the composer, is the
    /// subject.
    VotersChanging,
    /// A member was asked to leave; it is the subject.
    Leaving,
    /// A member acts that didn't at the step before; it is the subject.
    TookOver,
    /// A member has started; it is the subject.
    Started,
    /// A voter sends a promise; it is the subject.
    Promised,
}

/// The machine that a triggered fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultTarget {
    /// The trigger's subject.
    Subject,
    /// The acting primary; the subject if there is none.
    Primary,
    /// Another machine than the subject, by its place among the others.
    Other(usize),
}

/// A fault that waits for a trigger.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TriggeredFault {
    /// The trigger.
    pub trigger: FaultTrigger,
    /// At which time that the trigger fires, from 1 on.
    pub nth: u32,
    /// How long after that.
    pub delay: Duration,
    /// What it strikes.
    pub target: FaultTarget,
    /// The fault; the machine that it names doesn't matter.
    pub fault: Fault,
}
