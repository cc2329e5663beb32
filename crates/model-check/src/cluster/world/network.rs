//! The network: messages, partitions, and members that show each other that they are reachable.

use super::context::ActionContext;
use super::envelope::Envelope;
use super::state::{World, MAX_MACHINES};
use crate::canonical;
use crate::cluster::faults::Way;
use crate::cluster::invariants::hash_of;
use crate::cluster::machine::{member_addr, LEASE};
use crate::search::Violation;
use control_plane::member::Input;
use protocol::{MemberInfo, Message};
use std::sync::Arc;

impl World {
    pub(super) fn cut_off(&mut self, n: usize, way: Way) {
        let others = 0..MAX_MACHINES;
        let pairs = others.filter(|o| *o != n).flat_map(|o| [(n, o), (o, n)]);
        self.cut.extend(pairs.filter(|pair| way.cuts(n, *pair)));
        self.cut.sort_unstable();
        self.cut.dedup();
        let cut = &self.cut;
        // What is on its way over a cut way is lost.
        self.network
            .retain(|e| !cut.contains(&(e.from_machine, e.to)));
    }

    pub(super) fn reaches(&self, from: usize, to: usize) -> bool {
        from != to && !self.cut.contains(&(from, to))
    }

    /// Members show each other that they are there.
    pub(super) fn announce_all(&mut self, context: &ActionContext) -> Result<(), Violation> {
        for n in 0..self.machines.len() {
            self.announce_reachable(context, n)?;
        }
        Ok(())
    }

    pub(super) fn announce_reachable(
        &mut self,
        context: &ActionContext,
        n: usize,
    ) -> Result<(), Violation> {
        let Some(process) = self.machines[n]
            .process
            .as_ref()
            .filter(|_| !self.machines[n].frozen)
        else {
            return Ok(());
        };
        let info = process.info.clone();
        for to in 0..self.machines.len() {
            let there = self.machines[to].process.is_some() && !self.machines[to].frozen;
            if there && self.reaches(n, to) {
                self.step(
                    context,
                    to,
                    Input::PeerReachable {
                        member: info.clone(),
                    },
                )?;
            }
        }
        Ok(())
    }

    pub(super) fn deliver(
        &mut self,
        context: &ActionContext,
        envelope: &Arc<Envelope>,
    ) -> Result<(), Violation> {
        let n = envelope.to;
        let machine = &self.machines[n];
        if machine
            .process
            .as_ref()
            .is_none_or(|p| p.incarnation != envelope.to_incarnation)
        {
            return Ok(());
        }
        if machine.frozen {
            self.deferred.push(envelope.clone());
            return Ok(());
        }
        let input = Input::Message {
            from: envelope.from.clone(),
            message: envelope.message.clone(),
        };
        self.step(context, n, input)
    }

    pub(super) fn send(
        &mut self,
        context: &ActionContext,
        n: usize,
        to: &MemberInfo,
        message: Message,
    ) -> Result<(), Violation> {
        let Some(process) = &self.machines[n].process else {
            return Ok(());
        };
        let (sender, membership_snapshot) =
            (process.info.clone(), process.membership_snapshot.clone());
        Arc::make_mut(&mut self.observations).observe_message(sender.id, &message)?;
        if let Message::CommandResult {
            request_id, code, ..
        } = &message
        {
            self.primary_decided(n, *request_id, *code)?;
        }
        let seeded_bug = context.scenario.seeded_bug;
        let message = seeded_bug.rewrite(message, membership_snapshot.as_deref());
        let target = self
            .machines
            .iter()
            .position(|m| member_addr(m.index) == to.addr);
        let up = target.filter(|t| self.machines[*t].process.is_some() && self.reaches(n, *t));
        let membership = self.machines[n]
            .process
            .as_ref()
            .and_then(|p| p.member.membership());
        for (from, answer) in seeded_bug.forged_answers(&message, to, up.is_some(), membership) {
            self.enqueue(from, n, n, answer);
        }
        if let Some(target) = up {
            self.enqueue(sender, n, target, message);
        }
        Ok(())
    }

    fn enqueue(&mut self, from: MemberInfo, from_machine: usize, to: usize, message: Message) {
        let clock_of = |n: usize| self.machines[n].process.as_ref().map(|p| p.clock(self.now));
        let asked_by = match &message {
            Message::RenewLease { .. } => clock_of(from_machine),
            _ => clock_of(to),
        };
        let hash = canonical::hash_of_message(&message, asked_by, LEASE);
        let hash = hash_of((hash, from.id, from_machine, to));
        let to_incarnation = self.machines[to]
            .process
            .as_ref()
            .map_or(0, |p| p.incarnation);
        self.network.push_back(Arc::new(Envelope {
            from,
            from_machine,
            to,
            to_incarnation,
            message,
            hash,
        }));
    }
}
