//! The status of a member for the status page and the mirror, and the log line of its counters.

use super::control_server::ControlCounters;
use super::event_loop::EventLoop;
use super::member_status::{MemberStatus, PublishedControlPlane};
use protocol::{MemberInfo, MembershipConfig};

impl EventLoop {
    /// Returns the state machine's current status.
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

    /// Publishes the control plane's members in the mirror if they have changed, and records the latest contact with a
    /// primary.
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
        let has_changed = current != self.published_control_plane;
        self.services.mirror.update(|mirror, _| {
            if has_changed {
                mirror.set_control_plane(current.epoch, current.primary, current.members.clone());
            }
            // A contact confirms the mirror's content only if all changes up to the contact have arrived.
            if let Some(contact) = contact.filter(|contact| mirror.index() >= contact.fleet_index) {
                mirror.record_primary_contact(contact.at);
            }
        });
        self.published_control_plane = current;
    }

    /// Returns the voters, then the other reachable members. For a reachable voter, its own information takes
    /// precedence over the membership configuration's.
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

    /// Logs the counters.
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
