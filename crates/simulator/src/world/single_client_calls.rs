//! The calls of the single client, and which member a client calls.

use super::checks::QUIET_BEFORE_CALL;
use super::clients::FIRST_CLIENT_TICKET;
use super::event::EventKind;
use super::state::World;
use crate::plan::ms;
use configuration::ResultCode;
use control_plane::member::Input;
use std::time::Duration;

/// A call without a definite answer is made again after this.
const RETRY_AFTER: Duration = ms(1000);
/// Calls that the single client has open at most.
const MAX_OPEN_CALLS: usize = 6;
/// Kinds of calls that are drawn from.
const CALL_KINDS: u64 = 16;

impl World<'_> {
    /// Hands a member's answer to its client.
    pub(super) fn response_from_member(
        &mut self,
        n: usize,
        ticket: u64,
        code: ResultCode,
        body: &[u8],
    ) {
        if ticket >= FIRST_CLIENT_TICKET {
            return self.response_sent(n, ticket, code, body);
        }
        let call = self.single_client.calls.get(&ticket);
        let is_quiet = call.is_some_and(|c| c.made_at > self.quiet_since + QUIET_BEFORE_CALL);
        let client = &mut self.single_client;
        if let Err(violation) = client.answered(self.now, ticket, code, body, is_quiet) {
            self.report_violation(n, violation);
        }
    }

    /// The member that a client calls: at the first attempt one that may have a fault, afterwards a healthy one. What a
    /// member answers right after a freeze is watched closely, so reads often go to frozen members.
    pub(super) fn choose_member(&mut self, is_read: bool, is_retry: bool) -> Option<usize> {
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].member.is_some() && !self.nodes[*n].gone)
            .collect();
        let healthy: Vec<usize> = up.iter().copied().filter(|n| self.is_healthy(*n)).collect();
        let frozen: Vec<usize> = up
            .iter()
            .copied()
            .filter(|n| self.nodes[*n].frozen)
            .collect();
        let candidates = if is_retry && !healthy.is_empty() {
            healthy
        } else if is_read && !frozen.is_empty() && self.random_below(4) > 0 {
            frozen
        } else {
            up
        };
        if candidates.is_empty() {
            return None;
        }
        let index = self.random_below(candidates.len() as u64) as usize;
        Some(candidates[index])
    }

    /// The single client retries calls without a definite answer, makes a new one, and schedules its next turn.
    pub(super) fn single_client_turn(&mut self) {
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].member.is_some() && !self.nodes[*n].frozen)
            .collect();
        if !up.is_empty() {
            let member = up[self.random_below(up.len() as u64) as usize];
            self.learn_primary_from_mirror(member);
            self.retry_calls(member);
            if self.single_client.calls.len() < MAX_OPEN_CALLS {
                let kind = self.random_below(CALL_KINDS);
                let ticket = self.single_client.make_call(self.now, kind);
                self.send_call(ticket, member);
            }
        }
        let pause = ms(20 + self.random_below(160));
        self.schedule(self.now + pause, 0, EventKind::SingleClientTurn);
    }

    fn retry_calls(&mut self, member: usize) {
        let calls = self.single_client.calls.iter();
        let stale = calls.filter(|c| self.now >= c.1.sent_at + RETRY_AFTER);
        let stale: Vec<u64> = stale.map(|c| *c.0).collect();
        for ticket in stale {
            if let Some(call) = self.single_client.calls.get_mut(&ticket) {
                call.sent_at = self.now;
                self.send_call(ticket, member);
            }
        }
    }

    fn send_call(&mut self, ticket: u64, member: usize) {
        let Some(call) = self.single_client.calls.get(&ticket) else {
            return;
        };
        let command = call.command.clone();
        self.step(member, Input::Command { ticket, command });
    }
}
