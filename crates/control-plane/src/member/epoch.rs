//! The composition of an epoch: a generation, the round of an election, and the low bits of the candidate's member id.
//!
//! The candidate's bits make the epochs of different candidates differ. Each election raises the round. Only an
//! operator who recovers a system that has lost its majority (`crate::recovery`) raises the generation. No member
//! prepares an epoch of a generation that it has no membership configuration of. The members left out of the recovery
//! can therefore neither outbid nor replace the recovered one, and they stop once they learn of it.

use super::Member;
use protocol::{MemberInfo, MembershipConfig};

/// Number of bits below the generation.
const GENERATION_SHIFT: u32 = 48;
/// Number of low bits, which come from the candidate's member id.
const CANDIDATE_BITS: u32 = 20;
const CANDIDATE_MASK: u64 = (1 << CANDIDATE_BITS) - 1;

/// The generation of an epoch.
fn generation(epoch: u64) -> u64 {
    epoch >> GENERATION_SHIFT
}

/// The epoch of `candidate` in the round that follows that of `highest`.
pub(super) fn next_epoch(highest: u64, candidate: u64) -> u64 {
    let round = (highest >> CANDIDATE_BITS) + 1;
    (round << CANDIDATE_BITS) | (candidate & CANDIDATE_MASK)
}

/// The epoch with which `candidate` continues alone after a recovery: the first of the generation that follows that of
/// `highest`.
pub(crate) fn recovery_epoch(highest: u64, candidate: u64) -> u64 {
    let next_generation = (generation(highest) + 1) << GENERATION_SHIFT;
    next_generation | (1 << CANDIDATE_BITS) | (candidate & CANDIDATE_MASK)
}

/// The voter, current or previous, of a membership configuration that prepared an epoch.
pub fn candidate_of(epoch: u64, membership: &MembershipConfig) -> Option<&MemberInfo> {
    membership
        .voters
        .iter()
        .chain(&membership.previous_voters)
        .find(|voter| voter.id & CANDIDATE_MASK == epoch & CANDIDATE_MASK)
}

impl Member {
    /// Whether an operator has recovered the system into a newer generation than that of this member's membership
    /// configuration.
    pub(super) fn is_superseded(&self) -> bool {
        self.membership
            .as_ref()
            .is_some_and(|own| generation(self.highest_epoch_seen) > generation(own.epoch))
    }

    /// Steps down if a recovery has superseded this member: it may be neither candidate nor primary.
    pub(super) fn step_down_if_superseded(&mut self) {
        if self.is_superseded() && !self.role.is_follower() {
            self.step_down();
        }
    }
}
