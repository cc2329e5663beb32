//! Generations of epochs. Epochs of one generation are made by elections; a new generation is made by an operator
//! alone, who has given members up (`recovery`). No member makes an epoch of a generation that it has no view of, so
//! those who were given up can neither outbid nor replace the one that was recovered, and end their part once they
//! have heard of it.

use super::{Member, Role};

/// Bits of an epoch below its generation.
const GENERATION_SHIFT: u32 = 48;

/// The generation of an epoch.
pub(crate) fn generation(epoch: u64) -> u64 {
    epoch >> GENERATION_SHIFT
}

/// The first epoch above all those of an epoch's generation.
pub(crate) fn next_generation(epoch: u64) -> u64 {
    (generation(epoch) + 1) << GENERATION_SHIFT
}

impl Member {
    /// Whether an operator has gone on without the view that this member knows.
    pub(super) fn given_up(&self) -> bool {
        let own = self.view.as_ref().map_or(0, |v| generation(v.epoch));
        self.view.is_some() && generation(self.seen) > own
    }

    /// One that was given up acts no more and stands no more.
    pub(super) fn end_if_given_up(&mut self) {
        if self.given_up() && !matches!(self.role, Role::Follower) {
            self.step_down();
        }
    }
}
