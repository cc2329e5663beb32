//! Messages on their way, the ways that are cut, and members that show each other that they are there.

use super::actions::Run;
use super::{World, MOST_MACHINES};
use crate::canonical;
use crate::cluster::claims::hash_of;
use crate::cluster::faults::Way;
use crate::cluster::machine::{inner, LEASE};
use crate::search::Breach;
use control_plane::member::Input;
use protocol::{MemberInfo, Message};
use std::sync::Arc;

/// A message on its way.
#[derive(Clone, Debug)]
pub(super) struct Envelope {
    pub(super) from: MemberInfo,
    pub(super) from_machine: usize,
    pub(super) to: usize,
    /// The process that it is for: a connection ends with it.
    pub(super) to_life: u32,
    pub(super) message: Message,
    pub(super) hash: u64,
}

impl World {
    pub(super) fn cut_off(&mut self, n: usize, way: Way) {
        let others = 0..MOST_MACHINES;
        let pairs = others.filter(|o| *o != n).flat_map(|o| [(n, o), (o, n)]);
        self.cut.extend(pairs.filter(|pair| cuts(n, way, *pair)));
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
    pub(super) fn hello(&mut self, run: &Run) -> Result<(), Breach> {
        for n in 0..self.machines.len() {
            self.greet(run, n)?;
        }
        Ok(())
    }

    pub(super) fn greet(&mut self, run: &Run, n: usize) -> Result<(), Breach> {
        let Some(process) = self.machines[n]
            .process
            .as_ref()
            .filter(|_| !self.machines[n].frozen)
        else {
            return Ok(());
        };
        let seat = process.seat.clone();
        for to in 0..self.machines.len() {
            let there = self.machines[to].process.is_some() && !self.machines[to].frozen;
            if there && self.reaches(n, to) {
                self.step(
                    run,
                    to,
                    Input::PeerReachable {
                        member: seat.clone(),
                    },
                )?;
            }
        }
        Ok(())
    }

    pub(super) fn deliver(&mut self, run: &Run, envelope: &Arc<Envelope>) -> Result<(), Breach> {
        let n = envelope.to;
        let machine = &self.machines[n];
        if machine
            .process
            .as_ref()
            .is_none_or(|p| p.life != envelope.to_life)
        {
            return Ok(());
        }
        if machine.frozen {
            self.held.push(envelope.clone());
            return Ok(());
        }
        let input = Input::Message {
            from: envelope.from.clone(),
            message: envelope.message.clone(),
        };
        self.step(run, n, input)
    }

    pub(super) fn send(
        &mut self,
        run: &Run,
        n: usize,
        to: &MemberInfo,
        message: Message,
    ) -> Result<(), Breach> {
        let Some(process) = &self.machines[n].process else {
            return Ok(());
        };
        let (seat, at_start) = (process.seat.clone(), process.at_start.clone());
        Arc::make_mut(&mut self.facts).says(seat.id, &message)?;
        if let Message::CommandResult {
            request_id, code, ..
        } = &message
        {
            self.decided(n, *request_id, *code)?;
        }
        let planted = run.scenario.planted;
        let message = planted.rewrite(message, at_start.as_deref());
        let target = self.machines.iter().position(|m| inner(m.index) == to.addr);
        let up = target.filter(|t| self.machines[*t].process.is_some() && self.reaches(n, *t));
        let view = self.machines[n]
            .process
            .as_ref()
            .and_then(|p| p.member.membership());
        for (from, answer) in planted.forged_answers(&message, to, up.is_some(), view) {
            self.post(from, n, n, answer);
        }
        if let Some(target) = up {
            self.post(seat, n, target, message);
        }
        Ok(())
    }

    fn post(&mut self, from: MemberInfo, from_machine: usize, to: usize, message: Message) {
        let clock_of = |n: usize| self.machines[n].process.as_ref().map(|p| p.clock(self.now));
        let asked_by = match &message {
            Message::RenewLease { .. } => clock_of(from_machine),
            _ => clock_of(to),
        };
        let hash = canonical::hash_of_message(&message, asked_by, LEASE);
        let hash = hash_of((hash, from.id, from_machine, to));
        let to_life = self.machines[to].process.as_ref().map_or(0, |p| p.life);
        self.network.push_back(Arc::new(Envelope {
            from,
            from_machine,
            to,
            to_life,
            message,
            hash,
        }));
    }
}

/// Whether a cut of a machine takes the way from one machine to another.
pub(super) fn cuts(n: usize, way: Way, (from, to): (usize, usize)) -> bool {
    match way {
        Way::Both => from == n || to == n,
        Way::Out => from == n,
        Way::In => to == n,
    }
}
