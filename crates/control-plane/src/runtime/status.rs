//! What is told of the member: to callers, to the mirror that others pull from, and as counters in the log.

use super::control_server::ControlCounters;
use super::event_loop::EventLoop;
use protocol::{MemberInfo, MembershipConfig};
use std::time::Duration;

/// What a member's state machine says of itself.
#[derive(Debug)]
pub(super) struct MemberStatus {
    pub(super) view: Option<MembershipConfig>,
    pub(super) acts: bool,
    pub(super) primary: Option<MemberInfo>,
    pub(super) promised: u64,
    pub(super) fit: bool,
    /// Since the latest proof from a primary; none before there was one.
    pub(super) age: Option<Duration>,
}

/// What the mirror was told of the control plane.
#[derive(Default, PartialEq)]
pub(super) struct PublishedControlPlane {
    epoch: u64,
    primary: u64,
    members: Vec<MemberInfo>,
}

impl EventLoop {
    /// What the state machine says of itself now.
    pub(super) fn status(&self) -> MemberStatus {
        let now = self.origin.elapsed();
        MemberStatus {
            view: self.member.membership().cloned(),
            acts: self.member.is_acting_primary_at(now),
            primary: self.member.primary(),
            promised: self.member.promised_epoch(),
            fit: self.member.disk_healthy(),
            age: self
                .member
                .primary_contact(now)
                .map(|proof| now.saturating_sub(proof.at)),
        }
    }

    /// Tells the mirror who is in the control plane, and how fresh what it has is.
    pub(super) fn show(&mut self) {
        let now = self.origin.elapsed();
        let proof = self.member.primary_contact(now);
        let Some(view) = self.member.membership().filter(|v| v.epoch > 0) else {
            return;
        };
        let reached = self.links.seats();
        let seat = |voter: &MemberInfo| {
            reached
                .iter()
                .find(|s| s.id == voter.id)
                .unwrap_or(voter)
                .clone()
        };
        let others = reached
            .iter()
            .filter(|s| view.voter(s.id).is_none())
            .cloned();
        let members = view.voters.iter().map(seat).chain(others).collect();
        let known = PublishedControlPlane {
            epoch: view.epoch,
            primary: view.primary,
            members,
        };
        let news = known != self.known;
        self.mirror.update(|mirror, _| {
            if news {
                mirror.set_fleet(known.epoch, known.primary, known.members.clone());
            }
            // It proves nothing about changes that haven't come yet.
            if let Some(proof) = proof.filter(|proof| mirror.ledger() >= proof.commit_index) {
                mirror.proved(proof.at);
            }
        });
        self.known = known;
    }

    /// Writes the line of counters.
    pub(super) fn count(&self, control: &ControlCounters) {
        let links = self.links.counters();
        let transitions = self.recorder.counters();
        log::info!(
            steps = self.steps,
            connections = control.connections.get(),
            crowded = control.crowded.get(),
            done = control.done.get(),
            refused = control.refused.get(),
            failed = control.failed.get(),
            links_up = links.connected,
            links_down = links.broken,
            sent = links.sent,
            sent_bytes = links.sent_bytes,
            dropped = links.dropped,
            heard = links.heard,
            elections = transitions.elections,
            elections_won = transitions.elections_won,
            leases_lost = transitions.leases_lost,
            views = transitions.views,
            snapshots_sent = transitions.snapshots_sent,
            snapshots_taken = transitions.snapshots_taken,
            disk_faults = transitions.disk_faults;
            "counters"
        );
    }
}
