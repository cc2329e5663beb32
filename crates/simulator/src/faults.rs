//! Faults: what can happen to a member, and bugs planted to see whether the checkers find them.

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
}

/// A bug planted into the world round the members, or into what they are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// None.
    Nothing,
    /// Writes are confirmed before they are synced.
    NoSync,
    /// A disk forgets every promise.
    ForgetsPromises,
    /// A wiped member comes back with its old identity, as if it had a say.
    WipedVotes,
    /// The budget told is one loss less than what happens.
    TooFewReplicas,
    /// Views reach disks without their ledger.
    NoSnapshot,
    /// A change reaches the disk twice in place of the next.
    LosesEveryTenthWrite,
}
