//! Log lines of state transitions, one per transition (see `docs/operators/bad-day.md`).

use super::{MembershipRole, Transition};
use crate::member::{candidate_of, DiskState, MemberSummary};
use protocol::{MemberInfo, MembershipConfig};
use std::fmt;
use std::net::SocketAddrV4;

/// Log target of the lines.
const LOG_TARGET: &str = "control_plane::state";

/// Displays a member as its machine's name, or else its address, or else its id.
struct MemberName<'a>(&'a MemberInfo);

impl fmt::Display for MemberName<'_> {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            member if !member.name.is_empty() => to.write_str(&member.name),
            member if member.addr.port != 0 => SocketAddrV4::from(&member.addr).fmt(to),
            member => write!(to, "{:016x}", member.id),
        }
    }
}

/// Displays members separated by commas, and `-` if there are none.
struct MemberNames<'a>(Vec<&'a MemberInfo>);

impl fmt::Display for MemberNames<'_> {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        if self.0.is_empty() {
            return to.write_str("-");
        }
        for (index, member) in self.0.iter().enumerate() {
            let comma = if index > 0 { "," } else { "" };
            write!(to, "{comma}{}", MemberName(member))?;
        }
        Ok(())
    }
}

/// Displays a number, and `-` if it is missing.
struct OrDash(Option<u64>);

impl fmt::Display for OrDash {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            Some(number) => number.fmt(to),
            None => to.write_str("-"),
        }
    }
}

/// Writes the log lines of one member's state transitions.
pub struct TransitionLog {
    /// Name of the member's machine, which each line contains.
    member: String,
}

impl TransitionLog {
    /// Creates the log of the member on the machine named `member`.
    pub fn new(member: String) -> Self {
        Self { member }
    }

    /// Logs the state that was on the member's disk when it started.
    pub fn log_start(&self, summary: &MemberSummary) {
        let epoch = summary
            .membership
            .as_ref()
            .map(|membership| membership.epoch);
        log::info!(target: LOG_TARGET, member = self.member.as_str(),
            epoch:% = OrDash(epoch),
            promised = summary.promised_epoch,
            index:% = OrDash(summary.durable_index),
            role:% = MembershipRole::of(summary);
            "state on disk"
        );
    }

    /// Logs a transition.
    pub fn log(&self, transition: &Transition) {
        match transition {
            Transition::PreVoteStarted { .. }
            | Transition::CandidacyStarted { .. }
            | Transition::MembershipChangeStarted { .. }
            | Transition::CampaignFailed { .. }
            | Transition::EpochPromised { .. }
            | Transition::MembershipInstalled { .. } => self.log_campaign(transition),
            Transition::BecamePrimary { .. }
            | Transition::LeaseLost { .. }
            | Transition::SteppedDown { .. }
            | Transition::LeaseGranted { .. }
            | Transition::PrimaryLeaseExpired { .. } => self.log_lease(transition),
            Transition::StateRestored { .. }
            | Transition::SnapshotInstalled { .. }
            | Transition::SnapshotSent { .. } => self.log_state(transition),
            Transition::MembershipAccepted { .. } => self.log_membership(transition),
            Transition::DiskStateChanged { state } => self.log_disk(*state),
            Transition::ShutdownStarted => {
                log::info!(target: LOG_TARGET, member = self.member.as_str(); "shutting down");
            }
        }
    }

    fn log_campaign(&self, transition: &Transition) {
        let member = self.member.as_str();
        match transition {
            Transition::PreVoteStarted { epoch } => {
                log::info!(target: LOG_TARGET, member, epoch; "starting pre-vote");
            }
            Transition::CandidacyStarted { epoch } => {
                log::info!(target: LOG_TARGET, member, epoch; "became candidate");
            }
            Transition::MembershipChangeStarted { from, epoch } => {
                log::info!(target: LOG_TARGET, member, epoch, from; "starting membership change");
            }
            Transition::CampaignFailed { epoch, phase } => {
                log::info!(target: LOG_TARGET, member, epoch, phase:?; "campaign failed");
            }
            Transition::EpochPromised { epoch, membership } => {
                let candidate = membership
                    .as_ref()
                    .and_then(|membership| candidate_of(*epoch, membership));
                let candidate = MemberNames(candidate.into_iter().collect());
                log::info!(target: LOG_TARGET, member, epoch, candidate:%; "promised epoch");
            }
            Transition::MembershipInstalled { epoch, index } => {
                let index = OrDash(*index);
                log::info!(target: LOG_TARGET, member, epoch, index:%; "membership installed");
            }
            _ => {}
        }
    }

    fn log_lease(&self, transition: &Transition) {
        let member = self.member.as_str();
        match transition {
            Transition::BecamePrimary { epoch } => {
                log::info!(target: LOG_TARGET, member, epoch; "became primary");
            }
            Transition::LeaseLost { epoch } => {
                log::warn!(target: LOG_TARGET, member, epoch; "primary lost its lease");
            }
            Transition::SteppedDown { epoch, cause } => {
                log::warn!(target: LOG_TARGET, member, epoch, cause:?; "stepped down");
            }
            Transition::LeaseGranted { primary, epoch } => {
                let primary = MemberName(primary);
                log::info!(target: LOG_TARGET, member, epoch, primary:%; "following primary");
            }
            Transition::PrimaryLeaseExpired { primary, epoch } => {
                let primary = MemberName(primary);
                log::info!(target: LOG_TARGET, member, epoch, primary:%; "primary lease expired");
            }
            _ => {}
        }
    }

    fn log_state(&self, transition: &Transition) {
        let member = self.member.as_str();
        match transition {
            Transition::StateRestored { index, version } => {
                log::info!(target: LOG_TARGET, member, index, version; "state restored, unconfirmed");
            }
            Transition::SnapshotInstalled { epoch, index } => {
                log::info!(target: LOG_TARGET, member, epoch, index; "snapshot installed");
            }
            Transition::SnapshotSent { to, epoch, index } => {
                let to = MemberName(to);
                log::info!(target: LOG_TARGET, member, epoch, index, to:%; "snapshot sent");
            }
            _ => {}
        }
    }

    fn log_membership(&self, transition: &Transition) {
        let Transition::MembershipAccepted {
            membership,
            added,
            removed,
            role,
            previous_role,
        } = transition
        else {
            return;
        };
        log::info!(target: LOG_TARGET, member = self.member.as_str(),
            epoch = membership.epoch,
            primary:% = primary_name(membership),
            replicas:% = replica_names(membership),
            voters:% = MemberNames(membership.voters.iter().collect()),
            added:% = MemberNames(added.iter().collect()),
            removed:% = MemberNames(removed.iter().collect()),
            stable = membership.is_stable(),
            role:%,
            previous_role:%;
            "membership accepted"
        );
    }

    fn log_disk(&self, state: DiskState) {
        let member = self.member.as_str();
        match state {
            DiskState::Healthy => {
                log::info!(target: LOG_TARGET, member; "disk healthy");
            }
            DiskState::Refused => log::warn!(target: LOG_TARGET, member; "disk refuses writes"),
            DiskState::Stalled => log::warn!(target: LOG_TARGET, member; "disk stalled"),
        }
    }
}

fn primary_name(membership: &MembershipConfig) -> MemberNames<'_> {
    MemberNames(membership.voter(membership.primary).into_iter().collect())
}

fn replica_names(membership: &MembershipConfig) -> MemberNames<'_> {
    let replicas = membership.replicas.iter();
    MemberNames(replicas.filter_map(|id| membership.voter(*id)).collect())
}
