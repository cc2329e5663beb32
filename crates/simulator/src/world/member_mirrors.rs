//! The mirrors of members: kept by pulls from other members, and by what their own state machines publish.

use super::state::World;
use super::subscriber::ProcessId;
use control_plane::member::Output;
use protocol::ControlPlaneInfo;

impl World<'_> {
    /// A member's process tells its mirror what its state machine asked for, as the process in service does.
    pub(super) fn mirror_output(&mut self, n: usize, output: &Output) {
        let Some(subscriber) = self.subscribers.get_mut(&ProcessId::Member(n)) else {
            return;
        };
        let generation = subscriber.mirror.generation();
        if let Output::PublishState {
            index,
            configuration,
            drains,
        }
        | Output::RestoreState {
            index,
            configuration,
            drains,
        } = output
        {
            subscriber
                .mirror
                .set_replicated_state(*index, configuration.clone(), drains);
            self.follow_up(ProcessId::Member(n), generation);
        }
    }

    /// After each step of a member, its mirror hears who is in the control plane and how fresh its ledger is.
    pub(super) fn mirror_membership(&mut self, n: usize) {
        let now = self.clock(n);
        let node = &self.nodes[n];
        let Some(member) = node.member.as_ref() else {
            return;
        };
        let Some(subscriber) = self.subscribers.get_mut(&ProcessId::Member(n)) else {
            return;
        };
        let Some(membership) = member.membership().filter(|v| v.epoch > 0) else {
            return;
        };
        let generation = subscriber.mirror.generation();
        if subscriber.published_membership != (membership.epoch, membership.primary) {
            subscriber.published_membership = (membership.epoch, membership.primary);
            subscriber.mirror.set_control_plane(
                membership.epoch,
                membership.primary,
                membership.voters.clone(),
            );
        }
        if let Some(proof) = member
            .primary_contact(now)
            .filter(|proof| subscriber.mirror.index() >= proof.fleet_index)
        {
            subscriber.mirror.record_primary_contact(proof.at);
        }
        if subscriber.mirror.generation() != generation {
            self.follow_up(ProcessId::Member(n), generation);
        }
    }

    /// Before a command: the member hears from its mirror who the primary is.
    pub(super) fn learn_primary_from_mirror(&mut self, n: usize) {
        let Some(subscriber) = self.subscribers.get(&ProcessId::Member(n)) else {
            return;
        };
        let ControlPlaneInfo {
            epoch,
            primary,
            members,
            ..
        } = subscriber.mirror.control_plane();
        if let (Some(primary), Some(member)) = (
            members.iter().find(|s| s.id == *primary),
            self.nodes[n].member.as_mut(),
        ) {
            member.learn_primary(*epoch, primary.clone());
        }
    }
}
