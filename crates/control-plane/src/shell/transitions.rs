//! Changes of a member's state, found by comparing it before and after each step: a line in the log for each, and
//! counts. The state machine itself knows nothing of this.

use crate::member::{
    candidate_of, DiskState, ElectionPhase, GrantSummary, Member, MemberSummary, Output, RoleSummary,
};
use protocol::{MemberInfo, Message, View};
use std::fmt;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Why a primary no longer acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepDownCause {
    /// Its lease ended: no majority of the voters granted it again in time.
    LeaseEnded,
    /// It promised a higher epoch to another candidate, or accepted that one's view.
    HigherEpoch,
    /// Its own disk refuses writes or stalls: it yields.
    Disk,
    /// It was asked to end: it yields.
    Leaving,
}

/// What a member is in its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// Not in it, or no view is known: it only mirrors.
    Joining,
    /// A voter that keeps epochs and views alone.
    Witness,
    /// A voter that has each acknowledged change on its disk.
    Replica,
    /// The replica that takes changes.
    Primary,
}

impl Position {
    fn of(summary: &MemberSummary) -> Self {
        match &summary.view {
            Some(view) if view.epoch > 0 && view.primary == summary.id => Position::Primary,
            Some(view) if view.replicas.contains(&summary.id) => Position::Replica,
            Some(view) if view.seat(summary.id).is_some() => Position::Witness,
            _ => Position::Joining,
        }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(match self {
            Position::Joining => "joining",
            Position::Witness => "witness",
            Position::Replica => "replica",
            Position::Primary => "primary",
        })
    }
}

/// One change of state.
#[derive(Clone, Debug, PartialEq)]
pub enum Transition {
    /// The ledger that was acknowledged when the process last ended is shown, before any primary acts.
    LedgerRestored {
        /// Number of its last change.
        seq: u64,
        /// Version of its configuration.
        version: u64,
    },
    /// It saw no lease and asks who would promise.
    ElectionStarted {
        /// Epoch of the view that it knows.
        view: u64,
    },
    /// It gathers promises under a new epoch.
    PromisesRequested {
        /// The new epoch.
        epoch: u64,
    },
    /// As primary it changes its view: it gathers promises under a new epoch.
    ViewChangeStarted {
        /// Epoch of the view that ends.
        from: u64,
        /// The new epoch.
        epoch: u64,
    },
    /// It stands no longer.
    ElectionAbandoned {
        /// The epoch; 0 where it was still in the pre-vote.
        epoch: u64,
        /// How far it had come.
        phase: ElectionPhase,
    },
    /// It is the primary of a view that a majority has.
    ElectionWon {
        /// Epoch of the view.
        epoch: u64,
        /// Number of the ledger's last change that it starts from.
        ledger: Option<u64>,
    },
    /// As primary it has a majority's lease: it acknowledges and answers.
    LeaseHeld {
        /// Epoch of its view.
        epoch: u64,
    },
    /// As primary it has no lease for the moment: it acknowledges and answers nothing.
    LeaseLapsed {
        /// Epoch of its view.
        epoch: u64,
    },
    /// It is primary no longer.
    SteppedDown {
        /// Epoch of its view.
        epoch: u64,
        /// Why.
        cause: StepDownCause,
    },
    /// It promised an epoch to somebody else: it takes nothing of earlier ones any more.
    Promised {
        /// The epoch.
        epoch: u64,
        /// The view that it knows, whose voters name the candidate.
        view: Option<Arc<View>>,
    },
    /// A view is on its disk.
    ViewAccepted {
        /// The view.
        view: Arc<View>,
        /// Voters that the view before didn't have; none where no view was known.
        added: Vec<MemberInfo>,
        /// Voters that this view has no longer.
        removed: Vec<MemberInfo>,
        /// What this member is in it.
        position: Position,
        /// What it was before.
        before: Position,
    },
    /// It took another member's ledger whole.
    SnapshotTaken {
        /// Epoch of the view that brought it.
        epoch: u64,
        /// Number of its last change.
        seq: u64,
    },
    /// It sent its ledger whole.
    SnapshotSent {
        /// To whom.
        to: MemberInfo,
        /// Epoch of the view or of the candidate that it is for.
        epoch: u64,
        /// Number of its last change.
        seq: u64,
    },
    /// As a voter it granted a primary its first lease of a view.
    LeaseGranted {
        /// The primary.
        primary: MemberInfo,
        /// Epoch of its view.
        epoch: u64,
    },
    /// The lease that it granted ended or was given back.
    LeaseOver {
        /// The primary.
        primary: MemberInfo,
        /// Epoch of its view.
        epoch: u64,
    },
    /// Its disk takes writes again, refuses them or stalls.
    Disk {
        /// How it is now.
        state: DiskState,
    },
    /// It was asked to end.
    Leaving,
}

/// The changes of state between two moments, in the order in which they are told.
pub fn between(before: &MemberSummary, after: &MemberSummary) -> Vec<Transition> {
    let leaving = (after.leaving && !before.leaving).then_some(Transition::Leaving);
    let disk = (after.disk != before.disk).then_some(Transition::Disk { state: after.disk });
    let mut transitions: Vec<Transition> = leaving.into_iter().chain(disk).collect();
    transitions.extend(left_role(before, after));
    transitions.extend(promised(before, after));
    transitions.extend(lease_over(before, after));
    transitions.extend(accepted(before, after));
    transitions.extend(taken_role(before, after));
    transitions.extend(lease_granted(before, after));
    transitions
}

fn left_role(before: &MemberSummary, after: &MemberSummary) -> Option<Transition> {
    match (before.role, after.role) {
        (RoleSummary::Primary { epoch, .. }, RoleSummary::Idle) => {
            let cause = step_down_cause(before, after);
            Some(Transition::SteppedDown { epoch, cause })
        }
        (RoleSummary::Candidate { epoch, phase }, RoleSummary::Idle) => {
            Some(Transition::ElectionAbandoned { epoch, phase })
        }
        _ => None,
    }
}

fn step_down_cause(before: &MemberSummary, after: &MemberSummary) -> StepDownCause {
    if after.leaving {
        StepDownCause::Leaving
    } else if after.promised > before.promised {
        StepDownCause::HigherEpoch
    } else if after.disk != DiskState::Fit {
        StepDownCause::Disk
    } else {
        StepDownCause::LeaseEnded
    }
}

fn promised(before: &MemberSummary, after: &MemberSummary) -> Option<Transition> {
    let epoch = after.promised;
    let own = match after.role {
        RoleSummary::Candidate { epoch: own, .. } | RoleSummary::Primary { epoch: own, .. } => own == epoch,
        RoleSummary::Idle => false,
    };
    let risen = epoch > before.promised && !own;
    risen.then(|| Transition::Promised { epoch, view: after.view.clone() })
}

fn accepted(before: &MemberSummary, after: &MemberSummary) -> Vec<Transition> {
    let Some(view) = after.view.as_ref().filter(|_| epoch_of(after) > epoch_of(before)) else {
        return Vec::new();
    };
    let old: &[MemberInfo] = before.view.as_ref().map_or(&view.voters, |v| &v.voters);
    let (position, was) = (Position::of(after), Position::of(before));
    let mut transitions = vec![Transition::ViewAccepted {
        view: view.clone(),
        added: beyond(&view.voters, old),
        removed: beyond(old, &view.voters),
        position,
        before: was,
    }];
    let seq = after.ledger.filter(|_| position == Position::Replica);
    transitions.extend(seq.map(|seq| Transition::SnapshotTaken { epoch: view.epoch, seq }));
    transitions
}

fn epoch_of(summary: &MemberSummary) -> Option<u64> {
    summary.view.as_ref().map(|v| v.epoch)
}

/// Those of `seats` that aren't among `others`.
fn beyond(seats: &[MemberInfo], others: &[MemberInfo]) -> Vec<MemberInfo> {
    seats.iter().filter(|s| !others.iter().any(|o| o.id == s.id)).cloned().collect()
}

fn taken_role(before: &MemberSummary, after: &MemberSummary) -> Vec<Transition> {
    let (was_leading, was_leased) = match before.role {
        RoleSummary::Primary { epoch, leased } => (Some(epoch), leased),
        _ => (None, false),
    };
    match after.role {
        RoleSummary::Idle => Vec::new(),
        RoleSummary::Candidate { epoch, .. } => {
            let asked = match before.role {
                RoleSummary::Candidate { epoch, .. } => Some(epoch),
                _ => None,
            };
            match (was_leading, asked) {
                (_, Some(asked)) if asked == epoch => Vec::new(),
                (Some(from), _) => vec![Transition::ViewChangeStarted { from, epoch }],
                _ if epoch == 0 => {
                    vec![Transition::ElectionStarted { view: epoch_of(after).unwrap_or(0) }]
                }
                _ => vec![Transition::PromisesRequested { epoch }],
            }
        }
        RoleSummary::Primary { epoch, leased } => {
            let same = was_leading == Some(epoch);
            let won = (!same).then_some(Transition::ElectionWon { epoch, ledger: after.ledger });
            let lease = match (same && was_leased, leased) {
                (false, true) => Some(Transition::LeaseHeld { epoch }),
                (true, false) => Some(Transition::LeaseLapsed { epoch }),
                _ => None,
            };
            won.into_iter().chain(lease).collect()
        }
    }
}

fn lease_over(before: &MemberSummary, after: &MemberSummary) -> Option<Transition> {
    let ended = before.grant.filter(|_| after.grant.is_none())?;
    // Whoever won has taken the lease's place.
    let leads = matches!(after.role, RoleSummary::Primary { .. });
    let primary = holder(before, ended);
    (!leads).then_some(Transition::LeaseOver { primary, epoch: ended.epoch })
}

fn lease_granted(before: &MemberSummary, after: &MemberSummary) -> Option<Transition> {
    let grant = after.grant.filter(|g| before.grant != Some(*g))?;
    Some(Transition::LeaseGranted { primary: holder(after, grant), epoch: grant.epoch })
}

fn holder(summary: &MemberSummary, grant: GrantSummary) -> MemberInfo {
    let known = summary.view.as_ref().and_then(|v| v.seat(grant.primary));
    known.cloned().unwrap_or_else(|| MemberInfo { id: grant.primary, ..MemberInfo::default() })
}

/// The change of state that an output of the state machine stands for.
pub fn of_output(output: &Output) -> Option<Transition> {
    match output {
        Output::Restore { seq, document, .. } => {
            Some(Transition::LedgerRestored { seq: *seq, version: document.version })
        }
        Output::Send { to, message: Message::InstallView { view, snapshot: Some(snapshot) } } => {
            let (to, epoch, seq) = (to.clone(), view.epoch, snapshot.seq);
            Some(Transition::SnapshotSent { to, epoch, seq })
        }
        Output::Send { to, message: Message::LedgerReply { epoch, snapshot, .. } } => {
            let (to, epoch, seq) = (to.clone(), *epoch, snapshot.seq);
            Some(Transition::SnapshotSent { to, epoch, seq })
        }
        _ => None,
    }
}

/// Counts of changes since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransitionCounters {
    /// Pre-votes started, those that aren't told one by one among them.
    pub elections: u64,
    /// Times that it became primary of a view.
    pub elections_won: u64,
    /// Leases lost while it was primary.
    pub leases_lost: u64,
    /// Views accepted.
    pub views: u64,
    /// Ledgers sent whole.
    pub snapshots_sent: u64,
    /// Ledgers taken whole.
    pub snapshots_taken: u64,
    /// Times that the disk began to refuse or to stall.
    pub disk_faults: u64,
}

/// Follows a member step by step.
#[derive(Debug)]
pub struct Recorder {
    last: MemberSummary,
    counters: TransitionCounters,
    /// Whether the last that was told is that it stands: as long as nothing else changes, further tries are
    /// counted and not told.
    standing: bool,
}

impl Recorder {
    /// For a member that hasn't taken a step yet.
    pub fn new(member: &Member) -> Self {
        Self { last: member.summary(None), counters: TransitionCounters::default(), standing: false }
    }

    /// What the member was after its last step.
    pub fn summary(&self) -> &MemberSummary {
        &self.last
    }

    /// Takes what the member is after a step, and tells what has changed since the step before.
    pub fn after_step(&mut self, member: &Member) -> Vec<Transition> {
        let after = member.summary(Some(&self.last));
        if after == self.last {
            return Vec::new();
        }
        let mut told = between(&self.last, &after);
        self.last = after;
        told.iter().for_each(|t| self.count(t));
        told.retain(|t| self.worth_telling(t));
        told
    }

    /// Takes what the member asks for, and tells where that stands for a change.
    pub fn of_output(&mut self, output: &Output) -> Option<Transition> {
        let told = of_output(output)?;
        self.count(&told);
        Some(told)
    }

    /// Counts since the start.
    pub fn counters(&self) -> TransitionCounters {
        self.counters
    }

    /// A member that is cut off stands again and again: told once.
    fn worth_telling(&mut self, transition: &Transition) -> bool {
        match transition {
            Transition::ElectionStarted { .. } => !std::mem::replace(&mut self.standing, true),
            Transition::ElectionAbandoned { phase: ElectionPhase::PreVote, .. } => false,
            _ => {
                self.standing = false;
                true
            }
        }
    }

    fn count(&mut self, transition: &Transition) {
        let counters = &mut self.counters;
        let counter = match transition {
            Transition::ElectionStarted { .. } => &mut counters.elections,
            Transition::ElectionWon { .. } => &mut counters.elections_won,
            Transition::LeaseLapsed { .. } => &mut counters.leases_lost,
            Transition::SteppedDown { cause: StepDownCause::LeaseEnded, .. } => &mut counters.leases_lost,
            Transition::ViewAccepted { .. } => &mut counters.views,
            Transition::SnapshotSent { .. } => &mut counters.snapshots_sent,
            Transition::SnapshotTaken { .. } => &mut counters.snapshots_taken,
            Transition::Disk { state: DiskState::Refused | DiskState::Stalled } => &mut counters.disk_faults,
            _ => return,
        };
        *counter += 1;
    }
}

/// How a member is named in the log: by its machine, or by its address where that isn't known.
struct Name<'a>(&'a MemberInfo);

impl fmt::Display for Name<'_> {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            seat if !seat.name.is_empty() => to.write_str(&seat.name),
            seat if seat.addr.port != 0 => SocketAddrV4::from(&seat.addr).fmt(to),
            seat => write!(to, "{:016x}", seat.id),
        }
    }
}

/// Members' names with commas between them; `-` for none.
struct Names<'a>(Vec<&'a MemberInfo>);

impl fmt::Display for Names<'_> {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        if self.0.is_empty() {
            return to.write_str("-");
        }
        for (n, seat) in self.0.iter().enumerate() {
            let comma = if n > 0 { "," } else { "" };
            write!(to, "{comma}{}", Name(seat))?;
        }
        Ok(())
    }
}

/// A number that may be missing: `-` then.
struct Maybe(Option<u64>);

impl fmt::Display for Maybe {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            Some(number) => number.fmt(to),
            None => to.write_str("-"),
        }
    }
}

/// Writes the line of what a member's disk held at its start.
pub fn log_start(summary: &MemberSummary) {
    let epoch = Maybe(epoch_of(summary));
    log::info!(
        epoch:% = epoch,
        promised = summary.promised,
        ledger:% = Maybe(summary.ledger),
        role:% = Position::of(summary);
        "state on disk"
    );
}

/// Writes the line of a change.
pub fn log(transition: &Transition) {
    match transition {
        Transition::LedgerRestored { seq, version } => {
            log::info!(seq, version; "ledger restored, not confirmed by a primary yet");
        }
        Transition::ElectionStarted { view } => log::info!(view; "stands for election"),
        Transition::PromisesRequested { epoch } => log::info!(epoch; "asks for promises"),
        Transition::ViewChangeStarted { from, epoch } => log::info!(epoch, from; "changes its view"),
        Transition::ElectionAbandoned { epoch, phase } => {
            log::info!(epoch, phase:?; "gives up the election");
        }
        Transition::ElectionWon { epoch, ledger } => {
            log::info!(epoch, ledger:% = Maybe(*ledger); "primary of a view");
        }
        Transition::LeaseHeld { epoch } => log::info!(epoch; "holds the lease: acts as primary"),
        Transition::LeaseLapsed { epoch } => log::warn!(epoch; "lease lapsed: doesn't act"),
        Transition::SteppedDown { epoch, cause } => log::warn!(epoch, cause:?; "primary no longer"),
        Transition::Promised { epoch, view } => {
            let candidate = view.as_ref().and_then(|view| candidate_of(*epoch, view));
            log::info!(epoch, candidate:% = Names(candidate.into_iter().collect()); "promised an epoch");
        }
        Transition::ViewAccepted { view, added, removed, position, before } => {
            let replicas = view.replicas.iter().filter_map(|id| view.seat(*id)).collect();
            log::info!(
                epoch = view.epoch,
                primary:% = Names(view.seat(view.primary).into_iter().collect()),
                replicas:% = Names(replicas),
                voters:% = Names(view.voters.iter().collect()),
                added:% = Names(added.iter().collect()),
                removed:% = Names(removed.iter().collect()),
                settled = view.settled(),
                role:% = position,
                was:% = before;
                "view accepted"
            );
        }
        Transition::SnapshotTaken { epoch, seq } => log::info!(epoch, seq; "snapshot taken"),
        Transition::SnapshotSent { to, epoch, seq } => {
            log::info!(epoch, seq, to:% = Name(to); "snapshot sent");
        }
        Transition::LeaseGranted { primary, epoch } => {
            log::info!(epoch, primary:% = Name(primary); "follows a primary");
        }
        Transition::LeaseOver { primary, epoch } => {
            log::info!(epoch, primary:% = Name(primary); "lease of the primary is over");
        }
        Transition::Disk { state: DiskState::Fit } => log::info!("disk takes writes again"),
        Transition::Disk { state: DiskState::Refused } => log::warn!("disk refuses writes"),
        Transition::Disk { state: DiskState::Stalled } => log::warn!("disk stalls"),
        Transition::Leaving => log::info!("member leaves"),
    }
}
