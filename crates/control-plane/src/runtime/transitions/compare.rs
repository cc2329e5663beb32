//! Derives state transitions from two summaries of a member, or from one of its outputs.

use super::{MembershipRole, StepDownCause, Transition};
use crate::member::{DiskState, LeaseGrantSummary, MemberSummary, Output, RoleSummary};
use protocol::{MemberInfo, Message};

/// Returns the transitions from `before` to `after`, in the order in which they are logged.
pub fn transitions_between(before: &MemberSummary, after: &MemberSummary) -> Vec<Transition> {
    let mut transitions = Vec::new();
    if after.departing && !before.departing {
        transitions.push(Transition::ShutdownStarted);
    }
    if after.disk != before.disk {
        transitions.push(Transition::DiskStateChanged { state: after.disk });
    }
    transitions.extend(role_ended(before, after));
    transitions.extend(epoch_promised(before, after));
    transitions.extend(primary_lease_expired(before, after));
    transitions.extend(membership_accepted(before, after));
    transitions.extend(role_began(before, after));
    transitions.extend(lease_granted(before, after));
    transitions
}

/// Returns the transition that an output of the state machine represents, if any.
pub fn transition_from_output(output: &Output) -> Option<Transition> {
    match output {
        Output::RestoreState {
            index,
            configuration,
            ..
        } => Some(Transition::StateRestored {
            index: *index,
            version: configuration.version,
        }),
        Output::Send { to, message } => snapshot_sent(to, message),
        _ => None,
    }
}

fn snapshot_sent(to: &MemberInfo, message: &Message) -> Option<Transition> {
    let (epoch, snapshot) = match message {
        Message::InstallMembership {
            membership,
            snapshot: Some(snapshot),
        } => (membership.epoch, snapshot),
        Message::SnapshotReply {
            epoch, snapshot, ..
        } => (*epoch, snapshot),
        _ => return None,
    };
    Some(Transition::SnapshotSent {
        to: to.clone(),
        epoch,
        index: snapshot.index,
    })
}

fn role_ended(before: &MemberSummary, after: &MemberSummary) -> Option<Transition> {
    match (before.role, after.role) {
        (RoleSummary::Primary { epoch, .. }, RoleSummary::Follower) => {
            let cause = step_down_cause(before, after);
            Some(Transition::SteppedDown { epoch, cause })
        }
        (RoleSummary::Candidate { epoch, phase }, RoleSummary::Follower) => {
            Some(Transition::CampaignFailed { epoch, phase })
        }
        _ => None,
    }
}

fn step_down_cause(before: &MemberSummary, after: &MemberSummary) -> StepDownCause {
    if after.departing {
        StepDownCause::Shutdown
    } else if after.promised_epoch > before.promised_epoch {
        StepDownCause::HigherEpoch
    } else if after.disk != DiskState::Healthy {
        StepDownCause::DiskUnhealthy
    } else {
        StepDownCause::LeaseExpired
    }
}

fn epoch_promised(before: &MemberSummary, after: &MemberSummary) -> Option<Transition> {
    let epoch = after.promised_epoch;
    let is_own = match after.role {
        RoleSummary::Candidate { epoch: own, .. } | RoleSummary::Primary { epoch: own, .. } => {
            own == epoch
        }
        RoleSummary::Follower => false,
    };
    if is_own || epoch <= before.promised_epoch {
        return None;
    }
    Some(Transition::EpochPromised {
        epoch,
        membership: after.membership.clone(),
    })
}

fn membership_accepted(before: &MemberSummary, after: &MemberSummary) -> Vec<Transition> {
    if membership_epoch(after) <= membership_epoch(before) {
        return Vec::new();
    }
    let Some(membership) = &after.membership else {
        return Vec::new();
    };
    let voters = &membership.voters;
    let old_voters: &[MemberInfo] = match &before.membership {
        Some(membership) => &membership.voters,
        None => voters,
    };
    let role = MembershipRole::of(after);
    let mut transitions = vec![Transition::MembershipAccepted {
        membership: membership.clone(),
        added: missing_from(voters, old_voters),
        removed: missing_from(old_voters, voters),
        role,
        previous_role: MembershipRole::of(before),
    }];
    if role == MembershipRole::Replica {
        let epoch = membership.epoch;
        let installed = |index| Transition::SnapshotInstalled { epoch, index };
        transitions.extend(after.durable_index.map(installed));
    }
    transitions
}

fn membership_epoch(summary: &MemberSummary) -> Option<u64> {
    summary
        .membership
        .as_ref()
        .map(|membership| membership.epoch)
}

/// Returns the members of `members` that aren't in `others`.
fn missing_from(members: &[MemberInfo], others: &[MemberInfo]) -> Vec<MemberInfo> {
    members
        .iter()
        .filter(|member| !others.iter().any(|other| other.id == member.id))
        .cloned()
        .collect()
}

fn role_began(before: &MemberSummary, after: &MemberSummary) -> Vec<Transition> {
    match after.role {
        RoleSummary::Follower => Vec::new(),
        RoleSummary::Candidate { epoch, .. } => candidate_transition(before, after, epoch)
            .into_iter()
            .collect(),
        RoleSummary::Primary { epoch, leased } => primary_transitions(before, after, epoch, leased),
    }
}

fn candidate_transition(
    before: &MemberSummary,
    after: &MemberSummary,
    epoch: u64,
) -> Option<Transition> {
    match before.role {
        RoleSummary::Candidate { epoch: asked, .. } if asked == epoch => None,
        RoleSummary::Primary { epoch: from, .. } => {
            Some(Transition::MembershipChangeStarted { from, epoch })
        }
        _ if epoch == 0 => Some(Transition::PreVoteStarted {
            epoch: membership_epoch(after).unwrap_or(0),
        }),
        _ => Some(Transition::CandidacyStarted { epoch }),
    }
}

fn primary_transitions(
    before: &MemberSummary,
    after: &MemberSummary,
    epoch: u64,
    is_leased: bool,
) -> Vec<Transition> {
    let (was_same, was_leased) = match before.role {
        RoleSummary::Primary {
            epoch: before,
            leased,
        } => (before == epoch, leased),
        _ => (false, false),
    };
    let mut transitions = Vec::new();
    if !was_same {
        transitions.push(Transition::MembershipInstalled {
            epoch,
            index: after.durable_index,
        });
    }
    match (was_same && was_leased, is_leased) {
        (false, true) => transitions.push(Transition::BecamePrimary { epoch }),
        (true, false) => transitions.push(Transition::LeaseLost { epoch }),
        _ => {}
    }
    transitions
}

fn primary_lease_expired(before: &MemberSummary, after: &MemberSummary) -> Option<Transition> {
    let ended = before.lease_grant?;
    // A member that became primary itself has replaced the lease that it granted.
    let is_primary = matches!(after.role, RoleSummary::Primary { .. });
    if after.lease_grant.is_some() || is_primary {
        return None;
    }
    Some(Transition::PrimaryLeaseExpired {
        primary: lease_holder(before, ended),
        epoch: ended.epoch,
    })
}

fn lease_granted(before: &MemberSummary, after: &MemberSummary) -> Option<Transition> {
    let grant = after.lease_grant?;
    if before.lease_grant == Some(grant) {
        return None;
    }
    Some(Transition::LeaseGranted {
        primary: lease_holder(after, grant),
        epoch: grant.epoch,
    })
}

/// Returns the holder of a lease, with its id alone if the membership configuration doesn't contain it.
fn lease_holder(summary: &MemberSummary, grant: LeaseGrantSummary) -> MemberInfo {
    let known = summary
        .membership
        .as_ref()
        .and_then(|membership| membership.voter(grant.primary));
    known.cloned().unwrap_or_else(|| MemberInfo {
        id: grant.primary,
        ..MemberInfo::default()
    })
}
