//! Configuration requests whose base version isn't in force yet. The primary holds them for a limited time.
//!
//! An operator may send a request that builds on another one in flight. It can't be rejected, because a late copy of
//! it could still be applied once its base is in force. It is planned again as soon as its base is in force, and
//! otherwise ends with an indefinite result.

use super::commands::CommandSource;
use super::{Member, Output};
use configuration::ResultCode;
use protocol::Command;
use std::time::Duration;

/// How long the primary holds such a request. Including the round trip to the primary this is less than the second
/// after which a caller turns to another member, so that callers learn of a mistyped base.
const EARLY_PROPOSAL_TIMEOUT: Duration = Duration::from_millis(500);
/// How many such requests are held at once: as many as operators may have in flight.
const MAX_EARLY_PROPOSALS: usize = 8;

/// A held request and its base version.
#[derive(Clone, Debug)]
struct EarlyProposal {
    base: u64,
    source: CommandSource,
    command: Command,
    expires_at: Duration,
}

/// The requests that a primary holds, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct EarlyProposals {
    proposals: Vec<EarlyProposal>,
}

impl EarlyProposals {
    pub(super) fn contains(&self, source: CommandSource) -> bool {
        self.proposals.iter().any(|p| p.source == source)
    }

    /// Removes and returns the requests whose base version is in force or was.
    fn take_ready(&mut self, version: u64) -> Vec<(CommandSource, Command)> {
        self.proposals
            .extract_if(.., |p| p.base <= version)
            .map(|p| (p.source, p.command))
            .collect()
    }

    /// Removes the expired requests, and returns the source and the base version of each.
    fn take_expired(&mut self, now: Duration) -> Vec<(CommandSource, u64)> {
        self.proposals
            .extract_if(.., |p| p.expires_at <= now)
            .map(|p| (p.source, p.base))
            .collect()
    }

    pub(super) fn next_expiry(&self) -> Option<Duration> {
        self.proposals.iter().map(|p| p.expires_at).min()
    }
}

impl Member {
    /// Holds a request until its base version is in force. If too many are held already, it is answered at once.
    pub(super) fn hold_early_proposal(
        &mut self,
        source: CommandSource,
        command: Command,
        out: &mut Vec<Output>,
    ) {
        let Command::Configure { base, .. } = &command else {
            return;
        };
        let base = *base;
        let Some(primary) = self.role.primary_mut() else {
            return;
        };
        let held = &mut primary.early_proposals.proposals;
        if held.len() >= MAX_EARLY_PROPOSALS {
            return self.answer_base_not_in_force(source, base, out);
        }
        held.push(EarlyProposal {
            base,
            source,
            command,
            expires_at: self.now + EARLY_PROPOSAL_TIMEOUT,
        });
    }

    /// Queues the held requests whose base version has come into force.
    pub(super) fn requeue_early_proposals(&mut self) {
        let (Some(primary), Some(log)) = (self.role.primary_mut(), &self.log) else {
            return;
        };
        let version = log.appended().configuration.version;
        for (source, command) in primary.early_proposals.take_ready(version) {
            primary.propose(source, command);
        }
    }

    /// Ends the held requests that have expired.
    pub(super) fn expire_early_proposals(&mut self, out: &mut Vec<Output>) {
        let Some(primary) = self.role.primary_mut() else {
            return;
        };
        for (source, base) in primary.early_proposals.take_expired(self.now) {
            self.answer_base_not_in_force(source, base, out);
        }
    }

    fn answer_base_not_in_force(
        &mut self,
        source: CommandSource,
        base: u64,
        out: &mut Vec<Output>,
    ) {
        let Some(primary) = self.role.primary() else {
            return;
        };
        let text = primary.replication.committed().other_base_text(base);
        self.answer(source, ResultCode::BaseNotInForce, text, out);
    }
}
