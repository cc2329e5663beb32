//! Bugs that are put into the world round the members, or into what they are told, to show that the checkers find them.

/// A seeded bug.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededBug {
    /// None.
    Nothing,
    /// Writes are confirmed before they are synced.
    NoSync,
    /// A disk forgets every promise.
    ForgetsPromises,
    /// A wiped member comes back with its old id, as a voter.
    WipedMemberVotes,
    /// Members are told a budget of one loss less than what happens.
    TooFewReplicas,
    /// Membership configurations reach disks without their snapshot.
    NoSnapshot,
    /// Every tenth write is lost.
    LosesEveryTenthWrite,
    /// A member's clock stands still while its process is frozen: its lease seems to last.
    ClockStopsInFreeze,
    /// Any member answers reads by what it published last.
    ReadsAnywhere,
    /// A member answers reads by what it restored at its start, until it hears of a lease.
    RestoredAsFresh,
    /// A replica that is told a membership with a snapshot counts as having it at once, and gets it later.
    CountedBeforeSnapshot,
    /// Membership configurations reach disks and members as if their voters had been the previous voters.
    PreviousVotersForgotten,
    /// Snapshots lack the applied requests.
    AppliedRequestsNotInSnapshot,
    /// Snapshots lack the drains.
    DrainsNotInSnapshot,
    /// The last change on a disk is skipped at the start.
    ReplaySkipsLastChange,
    /// A change counts as committed on a disk once it is written there.
    CommittedAheadOfReplicas,
    /// A replica confirms a change before it writes it.
    ReplicaConfirmsEarly,
    /// A voter forgets the lease that it has granted.
    GrantedLeaseForgotten,
    /// A candidate gets the snapshot that the membership began with.
    FetchedSnapshotIsOld,
    /// Every tenth answer of the primary goes to the request after the right one.
    AnswersMixedUp,
    /// A request with an unclear outcome is acknowledged.
    UnclearAcknowledged,
    /// A request with an unclear outcome is rejected.
    UnclearRejected,
    /// A request that builds on a version above the one in force is rejected.
    EarlyProposalRejected,
    /// An agent forgets what it knew when a connection comes up.
    MirrorReset,
    /// Initial voters are voters only while their disks are empty.
    InitialVotersForgotten,
}

impl SeededBug {
    /// All of them, with their names on the command line.
    const NAMED: [(&'static str, Self); 24] = [
        ("NoSync", Self::NoSync),
        ("ForgetsPromises", Self::ForgetsPromises),
        ("WipedVotes", Self::WipedMemberVotes),
        ("TooFewReplicas", Self::TooFewReplicas),
        ("NoSnapshot", Self::NoSnapshot),
        ("LosesEveryTenthWrite", Self::LosesEveryTenthWrite),
        ("ClockStopsInFreeze", Self::ClockStopsInFreeze),
        ("ReadsAnywhere", Self::ReadsAnywhere),
        ("RestoredAsFresh", Self::RestoredAsFresh),
        ("CountedBeforeLedger", Self::CountedBeforeSnapshot),
        ("VotersBeforeForgotten", Self::PreviousVotersForgotten),
        (
            "TakenCallsNotInSnapshot",
            Self::AppliedRequestsNotInSnapshot,
        ),
        ("DrainsNotInSnapshot", Self::DrainsNotInSnapshot),
        ("ReplaySkipsLastChange", Self::ReplaySkipsLastChange),
        ("CommittedAheadOfReplicas", Self::CommittedAheadOfReplicas),
        ("ReplicaConfirmsEarly", Self::ReplicaConfirmsEarly),
        ("GrantedLeaseForgotten", Self::GrantedLeaseForgotten),
        ("FetchedLedgerIsOld", Self::FetchedSnapshotIsOld),
        ("AnswersMixedUp", Self::AnswersMixedUp),
        ("TimeoutConfirmed", Self::UnclearAcknowledged),
        ("TimeoutRefused", Self::UnclearRejected),
        ("EarlyRefused", Self::EarlyProposalRejected),
        ("MirrorGoesBack", Self::MirrorReset),
        ("InitialVotersForgotten", Self::InitialVotersForgotten),
    ];

    /// All of them, without [`SeededBug::Nothing`].
    pub fn all() -> impl Iterator<Item = Self> {
        Self::NAMED.iter().map(|(_, bug)| *bug)
    }

    /// The bug of a name on the command line.
    pub fn from_name(name: &str) -> Option<Self> {
        let named = Self::NAMED.iter().find(|(known, _)| *known == name);
        named.map(|(_, bug)| *bug)
    }

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        let named = Self::NAMED.iter().find(|(_, bug)| *bug == self);
        named.map_or("Nothing", |(name, _)| name)
    }
}
