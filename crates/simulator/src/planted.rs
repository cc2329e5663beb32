//! Bugs planted into the world round the members, or into what they are told, to see whether the checkers find
//! them.

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
    /// A member's clock stands still while the process does: its lease seems to last.
    ClockStopsInFreeze,
    /// Any member answers reads by what it last showed.
    ReadsAnywhere,
    /// A member answers reads by what it knew at its start, until it hears of a lease.
    RestoredAsFresh,
    /// Whoever is told a view with a ledger says at once that it has it, and gets it later.
    CountedBeforeLedger,
    /// Views reach disks and members as if their voters had been the voters before.
    VotersBeforeForgotten,
    /// Ledgers are handed on without the calls that were taken.
    TakenCallsNotInSnapshot,
    /// Ledgers are handed on without the drains.
    DrainsNotInSnapshot,
    /// The last change on a disk is skipped at the start.
    ReplaySkipsLastChange,
    /// A change counts on a disk as acknowledged once it is written.
    CommittedAheadOfReplicas,
    /// A replica confirms a change before it writes it.
    ReplicaConfirmsEarly,
    /// A voter forgets the lease that it has granted.
    GrantedLeaseForgotten,
    /// A candidate gets the ledger as it was when the view began.
    FetchedLedgerIsOld,
    /// Every tenth answer of the primary goes to the call after the right one.
    AnswersMixedUp,
    /// A call without a clear answer is confirmed.
    TimeoutConfirmed,
    /// A call without a clear answer is refused.
    TimeoutRefused,
    /// An order that builds on a version above the one in force is refused.
    EarlyRefused,
    /// An agent forgets what it knew when a connection comes up.
    MirrorGoesBack,
    /// Initial voters have their say only while their disks are empty.
    InitialVotersForgotten,
}

impl Planted {
    /// All of them.
    pub const ALL: [Planted; 24] = [
        Self::NoSync,
        Self::ForgetsPromises,
        Self::WipedVotes,
        Self::TooFewReplicas,
        Self::NoSnapshot,
        Self::LosesEveryTenthWrite,
        Self::ClockStopsInFreeze,
        Self::ReadsAnywhere,
        Self::RestoredAsFresh,
        Self::CountedBeforeLedger,
        Self::VotersBeforeForgotten,
        Self::TakenCallsNotInSnapshot,
        Self::DrainsNotInSnapshot,
        Self::ReplaySkipsLastChange,
        Self::CommittedAheadOfReplicas,
        Self::ReplicaConfirmsEarly,
        Self::GrantedLeaseForgotten,
        Self::FetchedLedgerIsOld,
        Self::AnswersMixedUp,
        Self::TimeoutConfirmed,
        Self::TimeoutRefused,
        Self::EarlyRefused,
        Self::MirrorGoesBack,
        Self::InitialVotersForgotten,
    ];
}
