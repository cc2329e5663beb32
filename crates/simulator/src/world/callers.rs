//! The callers: when they call whom.

use super::orders::FIRST_TICKET;
use super::{What, World};
use crate::plan::ms;
use configuration::ResultCode;
use control_plane::member::Input;

impl World<'_> {
    /// An answer goes to its caller.
    pub(super) fn answered(&mut self, n: usize, ticket: u64, code: ResultCode, body: &[u8]) {
        if ticket >= FIRST_TICKET {
            return self.order_answered(n, ticket, code, body);
        }
        let calm = self
            .operator
            .calls
            .get(&ticket)
            .is_some_and(|c| c.made > self.calm_since + ms(3000));
        if let Err(breach) = self.operator.answered(self.now, ticket, code, body, calm) {
            self.report
                .breaches
                .push(format!("{:?} node {n}: {breach}", self.now));
        }
    }

    /// Whom an operator calls: at the first try one that may be in trouble, afterwards one that is well. What one that
    /// stood still answers before it hears of others is watched closely, so reads often go to such a one.
    pub(super) fn called_member(&mut self, reads: bool, again: bool) -> Option<usize> {
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].member.is_some() && !self.nodes[*n].gone)
            .collect();
        let well: Vec<usize> = up.iter().copied().filter(|n| self.is_well(*n)).collect();
        let frozen: Vec<usize> = up
            .iter()
            .copied()
            .filter(|n| self.nodes[*n].frozen)
            .collect();
        let from = match again && !well.is_empty() {
            true => well,
            false if reads && !frozen.is_empty() && self.pick(4) > 0 => frozen,
            false => up,
        };
        (!from.is_empty()).then(|| from[self.pick(from.len() as u64) as usize])
    }

    pub(super) fn call(&mut self) {
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].member.is_some() && !self.nodes[*n].frozen)
            .collect();
        if !up.is_empty() {
            let member = up[self.pick(up.len() as u64) as usize];
            self.member_learns(member);
            // Calls without a clear answer are made again, elsewhere.
            let stale: Vec<u64> = self
                .operator
                .calls
                .iter()
                .filter(|c| self.now >= c.1.sent + ms(1000))
                .map(|c| *c.0)
                .collect();
            for ticket in stale {
                if let Some(call) = self.operator.calls.get_mut(&ticket) {
                    (call.sent, call.member) = (self.now, member);
                    let command = call.command.clone();
                    self.step(member, Input::Command { ticket, command });
                }
            }
            if self.operator.calls.len() < 6 {
                let kind = self.pick(16);
                let ticket = self.operator.make(self.now, kind, member);
                let command = self.operator.calls[&ticket].command.clone();
                self.step(member, Input::Command { ticket, command });
            }
        }
        let next = ms(20 + self.pick(160));
        self.at(self.now + next, 0, What::Call);
    }
}
