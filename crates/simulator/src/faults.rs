//! Faults: what can happen to a member, and when.

use std::time::Duration;

/// What happens to a member, for how long.
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
    /// The process stands still.
    Freeze(usize, Duration),
    /// The member is cut off from the others; in one direction only where said.
    Cut(usize, Duration, Option<bool>),
    /// The disk answers nothing.
    Stall(usize, Duration),
    /// The disk takes so many times as long.
    Slow(usize, Duration, u32),
    /// The disk takes nothing more.
    Full(usize, Duration),
    /// All processes are killed at once and come back with their disks.
    KillAll(Duration),
    /// All machines lose power; one of them loses its disk, where said.
    PowerAll(Duration, Option<usize>),
    /// The process is asked to end, ends and is started again.
    Term(usize, Duration),
    /// The process is asked to end, ends and never comes back.
    Retire(usize),
    /// A new machine starts.
    Join,
    /// Two members can't reach each other.
    CutPair(usize, usize, Duration),
    /// All machines of a zone, agents too, are cut off from the others; in one direction only where said.
    CutZone(usize, Duration, Option<bool>),
    /// An agent's process is killed and started again, with nothing that it knew.
    Agent(usize, Duration),
}

impl Fault {
    /// The same fault at another member.
    pub fn aimed_at(self, n: usize) -> Self {
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
    pub fn length(self) -> Duration {
        match self {
            Self::Kill(_, d) | Self::Power(_, d) | Self::Wipe(_, d) | Self::Replace(_, d) => d,
            Self::Freeze(_, d) | Self::Cut(_, d, _) | Self::Stall(_, d) | Self::Slow(_, d, _) => d,
            Self::Full(_, d) | Self::KillAll(d) | Self::PowerAll(d, _) => d,
            Self::Term(_, d) => d + TERM_TIME,
            Self::CutPair(_, _, d) | Self::CutZone(_, d, _) | Self::Agent(_, d) => d,
            Self::Retire(_) | Self::Join => Duration::ZERO,
        }
    }

    /// The same fault with another length.
    pub fn lasting(self, d: Duration) -> Self {
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
            Self::Agent(k, _) => Self::Agent(k, d),
            Self::Retire(_) | Self::Join => self,
        }
    }
}

/// Time that a process that was asked to end has for it.
pub(crate) const TERM_TIME: Duration = Duration::from_millis(1200);

/// Something that members do, to which a fault can be aimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Moment {
    /// A candidate, or a primary that changes its view, has made the new view and sends it; it is the subject.
    Composed,
    /// A replica has got a new view with its ledger and starts to write it; it is the subject.
    Installing,
    /// A candidate asks a replica for its ledger; the replica is the subject.
    Fetching,
    /// A member has acknowledged an order; it is the subject.
    Acknowledged,
    /// An order was sent to a member; it is the subject.
    OrderSent,
    /// A view whose voters differ from those before was made; the new voter, or else the composer, is the subject.
    Unsettled,
    /// A member was asked to leave; it is the subject.
    Leaving,
    /// A member acts that didn't at the step before; it is the subject.
    TookOver,
    /// A member has started; it is the subject.
    Started,
    /// A voter sends a promise; it is the subject.
    Promised,
}

/// Whom a fault meets that is aimed at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    /// The moment's subject.
    Subject,
    /// Whoever acts then; the subject where nobody does.
    Primary,
    /// A member beside the subject: the so-manieth of them.
    Other(usize),
}

/// A fault that waits for a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Aimed {
    /// The moment.
    pub moment: Moment,
    /// Which time that it comes, from 1 on.
    pub nth: u32,
    /// How long after it.
    pub delay: Duration,
    /// Whom it meets.
    pub who: Who,
    /// The fault; whom it names doesn't matter.
    pub fault: Fault,
}
