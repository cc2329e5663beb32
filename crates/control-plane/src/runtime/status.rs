//! The status of a member, as callers and the mirror get it, and its counters in the log.

use super::control_server::ControlCounters;
use super::event_loop::EventLoop;
use super::member_status::{MemberStatus, PublishedControlPlane};
use protocol::{MemberInfo, MembershipConfig};

impl EventLoop {
    /// The state machine's status now.
    pub(super) fn status(&self) -> MemberStatus {
        let now = self.origin.elapsed();
        MemberStatus {
            membership: self.member.membership().cloned(),
            is_acting_primary: self.member.is_acting_primary_at(now),
            primary: self.member.primary(),
            promised_epoch: self.member.promised_epoch(),
            is_disk_healthy: self.member.disk_healthy(),
            since_primary_contact: self
                .member
                .primary_contact(now)
                .map(|contact| now.saturating_sub(contact.at)),
        }
    }

    /// Tells the mirror who is in the control plane, and how fresh its content is.
    pub(super) fn publish_control_plane(&mut self) {
        let now = self.origin.elapsed();
        let contact = self.member.primary_contact(now);
        let Some(membership) = self
            .member
            .membership()
            .filter(|membership| membership.epoch > 0)
        else {
            return;
        };
        let current = PublishedControlPlane {
            epoch: membership.epoch,
            primary: membership.primary,
            members: self.known_members(membership),
        };
        let has_changed = current != self.published;
        self.services.mirror.update(|mirror, _| {
            if has_changed {
                mirror.set_control_plane(current.epoch, current.primary, current.members.clone());
            }
            // A contact proves nothing about changes that haven't come yet.
            if let Some(contact) = contact.filter(|contact| mirror.index() >= contact.fleet_index) {
                mirror.record_primary_contact(contact.at);
            }
        });
        self.published = current;
    }

    /// The voters, then the other members that can be reached. What a member says of itself goes first.
    fn known_members(&self, membership: &MembershipConfig) -> Vec<MemberInfo> {
        let reachable = self.services.peers.reachable_members();
        let mut members: Vec<MemberInfo> = membership
            .voters
            .iter()
            .map(|voter| {
                let reached = reachable.iter().find(|member| member.id == voter.id);
                reached.unwrap_or(voter).clone()
            })
            .collect();
        let others = reachable
            .iter()
            .filter(|member| membership.voter(member.id).is_none());
        members.extend(others.cloned());
        members
    }

    /// Writes the log line of counters.
    pub(super) fn log_counters(&self, control: &ControlCounters) {
        let peers = self.services.peers.counters();
        let transitions = self.recorder.counters();
        log::info!(
            steps = self.steps,
            connections = control.connections.get(),
            connections_rejected = control.connections_rejected.get(),
            requests_succeeded = control.succeeded.get(),
            requests_rejected = control.rejected.get(),
            requests_failed = control.failed.get(),
            peers_connected = peers.connected,
            peers_disconnected = peers.disconnected,
            messages_sent = peers.sent,
            bytes_sent = peers.sent_bytes,
            messages_dropped = peers.dropped,
            messages_received = peers.received,
            pre_votes = transitions.pre_votes,
            memberships_installed = transitions.memberships_installed,
            leases_lost = transitions.leases_lost,
            memberships_accepted = transitions.memberships_accepted,
            snapshots_sent = transitions.snapshots_sent,
            snapshots_installed = transitions.snapshots_installed,
            disk_faults = transitions.disk_faults;
            "counters"
        );
    }
}
