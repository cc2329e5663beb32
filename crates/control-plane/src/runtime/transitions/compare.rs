//! From two summaries of a member, or from what it asks for, to the changes of state.

use super::{MembershipRole, StepDownCause, Transition};
use crate::member::{DiskState, LeaseGrantSummary, MemberSummary, Output, RoleSummary};
use protocol::{MemberInfo, Message};

/// The changes of state between two moments, in the order in which they are told.
pub fn between(before: &MemberSummary, after: &MemberSummary) -> Vec<Transition> {
    let leaving = (after.departing && !before.departing).then_some(Transition::Leaving);
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
        (RoleSummary::Primary { epoch, .. }, RoleSummary::Follower) => {
            let cause = step_down_cause(before, after);
            Some(Transition::SteppedDown { epoch, cause })
        }
        (RoleSummary::Candidate { epoch, phase }, RoleSummary::Follower) => {
            Some(Transition::ElectionAbandoned { epoch, phase })
        }
        _ => None,
    }
}

fn step_down_cause(before: &MemberSummary, after: &MemberSummary) -> StepDownCause {
    if after.departing {
        StepDownCause::Leaving
    } else if after.promised_epoch > before.promised_epoch {
        StepDownCause::HigherEpoch
    } else if after.disk != DiskState::Healthy {
        StepDownCause::Disk
    } else {
        StepDownCause::LeaseEnded
    }
}

fn promised(before: &MemberSummary, after: &MemberSummary) -> Option<Transition> {
    let epoch = after.promised_epoch;
    let own = match after.role {
        RoleSummary::Candidate { epoch: own, .. } | RoleSummary::Primary { epoch: own, .. } => {
            own == epoch
        }
        RoleSummary::Follower => false,
    };
    let risen = epoch > before.promised_epoch && !own;
    risen.then(|| Transition::Promised {
        epoch,
        view: after.membership.clone(),
    })
}

fn accepted(before: &MemberSummary, after: &MemberSummary) -> Vec<Transition> {
    let Some(view) = after
        .membership
        .as_ref()
        .filter(|_| epoch_of(after) > epoch_of(before))
    else {
        return Vec::new();
    };
    let old: &[MemberInfo] = before
        .membership
        .as_ref()
        .map_or(&view.voters, |v| &v.voters);
    let (position, was) = (MembershipRole::of(after), MembershipRole::of(before));
    let mut transitions = vec![Transition::ViewAccepted {
        view: view.clone(),
        added: beyond(&view.voters, old),
        removed: beyond(old, &view.voters),
        position,
        before: was,
    }];
    let seq = after
        .durable_index
        .filter(|_| position == MembershipRole::Replica);
    transitions.extend(seq.map(|seq| Transition::SnapshotTaken {
        epoch: view.epoch,
        seq,
    }));
    transitions
}

fn epoch_of(summary: &MemberSummary) -> Option<u64> {
    summary.membership.as_ref().map(|v| v.epoch)
}

/// Those of `seats` that aren't among `others`.
fn beyond(seats: &[MemberInfo], others: &[MemberInfo]) -> Vec<MemberInfo> {
    seats
        .iter()
        .filter(|s| !others.iter().any(|o| o.id == s.id))
        .cloned()
        .collect()
}

fn taken_role(before: &MemberSummary, after: &MemberSummary) -> Vec<Transition> {
    let (was_leading, was_leased) = match before.role {
        RoleSummary::Primary { epoch, leased } => (Some(epoch), leased),
        _ => (None, false),
    };
    match after.role {
        RoleSummary::Follower => Vec::new(),
        RoleSummary::Candidate { epoch, .. } => {
            let asked = match before.role {
                RoleSummary::Candidate { epoch, .. } => Some(epoch),
                _ => None,
            };
            match (was_leading, asked) {
                (_, Some(asked)) if asked == epoch => Vec::new(),
                (Some(from), _) => vec![Transition::ViewChangeStarted { from, epoch }],
                _ if epoch == 0 => {
                    vec![Transition::ElectionStarted {
                        view: epoch_of(after).unwrap_or(0),
                    }]
                }
                _ => vec![Transition::PromisesRequested { epoch }],
            }
        }
        RoleSummary::Primary { epoch, leased } => {
            let same = was_leading == Some(epoch);
            let won = (!same).then_some(Transition::ElectionWon {
                epoch,
                ledger: after.durable_index,
            });
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
    let ended = before.lease_grant.filter(|_| after.lease_grant.is_none())?;
    // Whoever won has taken the lease's place.
    let leads = matches!(after.role, RoleSummary::Primary { .. });
    let primary = holder(before, ended);
    (!leads).then_some(Transition::LeaseOver {
        primary,
        epoch: ended.epoch,
    })
}

fn lease_granted(before: &MemberSummary, after: &MemberSummary) -> Option<Transition> {
    let grant = after
        .lease_grant
        .filter(|g| before.lease_grant != Some(*g))?;
    Some(Transition::LeaseGranted {
        primary: holder(after, grant),
        epoch: grant.epoch,
    })
}

fn holder(summary: &MemberSummary, grant: LeaseGrantSummary) -> MemberInfo {
    let known = summary
        .membership
        .as_ref()
        .and_then(|v| v.voter(grant.primary));
    known.cloned().unwrap_or_else(|| MemberInfo {
        id: grant.primary,
        ..MemberInfo::default()
    })
}

/// The change of state that an output of the state machine stands for.
pub fn of_output(output: &Output) -> Option<Transition> {
    match output {
        Output::RestoreState {
            index,
            configuration,
            ..
        } => Some(Transition::LedgerRestored {
            seq: *index,
            version: configuration.version,
        }),
        Output::Send {
            to,
            message:
                Message::InstallMembership {
                    membership,
                    snapshot: Some(snapshot),
                },
        } => {
            let (to, epoch, seq) = (to.clone(), membership.epoch, snapshot.index);
            Some(Transition::SnapshotSent { to, epoch, seq })
        }
        Output::Send {
            to,
            message: Message::SnapshotReply {
                epoch, snapshot, ..
            },
        } => {
            let (to, epoch, seq) = (to.clone(), *epoch, snapshot.index);
            Some(Transition::SnapshotSent { to, epoch, seq })
        }
        _ => None,
    }
}
