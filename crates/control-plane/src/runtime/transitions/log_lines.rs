//! The lines of the log: one for each change of state, with its values.

use super::{MembershipRole, Transition};
use crate::member::{candidate_of, DiskState, MemberSummary};
use protocol::MemberInfo;
use std::fmt;
use std::net::SocketAddrV4;

/// What the lines name as their place.
const TARGET: &str = "control_plane::state";

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
    let epoch = Maybe(summary.membership.as_ref().map(|view| view.epoch));
    log::info!(target: TARGET, epoch:% = epoch,
        promised = summary.promised_epoch,
        ledger:% = Maybe(summary.durable_index),
        role:% = MembershipRole::of(summary);
        "state on disk"
    );
}

/// Writes the line of a change.
pub fn log(transition: &Transition) {
    match transition {
        Transition::LedgerRestored { seq, version } => {
            log::info!(target: TARGET, seq, version; "ledger restored, not confirmed by a primary yet");
        }
        Transition::ElectionStarted { view } => {
            log::info!(target: TARGET, view; "stands for election");
        }
        Transition::PromisesRequested { epoch } => {
            log::info!(target: TARGET, epoch; "asks for promises");
        }
        Transition::ViewChangeStarted { from, epoch } => {
            log::info!(target: TARGET, epoch, from; "changes its view");
        }
        Transition::ElectionAbandoned { epoch, phase } => {
            log::info!(target: TARGET, epoch, phase:?; "gives up the election");
        }
        Transition::ElectionWon { epoch, ledger } => {
            log::info!(target: TARGET, epoch, ledger:% = Maybe(*ledger); "primary of a view");
        }
        Transition::LeaseHeld { epoch } => {
            log::info!(target: TARGET, epoch; "holds the lease: acts as primary");
        }
        Transition::LeaseLapsed { epoch } => {
            log::warn!(target: TARGET, epoch; "lease lapsed: doesn't act");
        }
        Transition::SteppedDown { epoch, cause } => {
            log::warn!(target: TARGET, epoch, cause:?; "primary no longer");
        }
        Transition::Promised { epoch, view } => {
            let candidate = view.as_ref().and_then(|view| candidate_of(*epoch, view));
            log::info!(target: TARGET, epoch, candidate:% = Names(candidate.into_iter().collect()); "promised an epoch");
        }
        Transition::ViewAccepted {
            view,
            added,
            removed,
            position,
            before,
        } => {
            let replicas = view
                .replicas
                .iter()
                .filter_map(|id| view.voter(*id))
                .collect();
            log::info!(target: TARGET, epoch = view.epoch,
                primary:% = Names(view.voter(view.primary).into_iter().collect()),
                replicas:% = Names(replicas),
                voters:% = Names(view.voters.iter().collect()),
                added:% = Names(added.iter().collect()),
                removed:% = Names(removed.iter().collect()),
                settled = view.is_stable(),
                role:% = position,
                was:% = before;
                "view accepted"
            );
        }
        Transition::SnapshotTaken { epoch, seq } => {
            log::info!(target: TARGET, epoch, seq; "snapshot taken");
        }
        Transition::SnapshotSent { to, epoch, seq } => {
            log::info!(target: TARGET, epoch, seq, to:% = Name(to); "snapshot sent");
        }
        Transition::LeaseGranted { primary, epoch } => {
            log::info!(target: TARGET, epoch, primary:% = Name(primary); "follows a primary");
        }
        Transition::LeaseOver { primary, epoch } => {
            log::info!(target: TARGET, epoch, primary:% = Name(primary); "lease of the primary is over");
        }
        Transition::Disk {
            state: DiskState::Healthy,
        } => log::info!(target: TARGET, "disk takes writes again"),
        Transition::Disk {
            state: DiskState::Refused,
        } => log::warn!(target: TARGET, "disk refuses writes"),
        Transition::Disk {
            state: DiskState::Stalled,
        } => log::warn!(target: TARGET, "disk stalls"),
        Transition::Leaving => log::info!(target: TARGET, "member leaves"),
    }
}
