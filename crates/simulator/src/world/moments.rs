//! Moments to which faults are aimed.

use super::{What, World};
use crate::faults::{Moment, Who};

impl World<'_> {
    /// Something has happened to a member: the faults that wait for it are on their way.
    pub(super) fn moment(&mut self, moment: Moment, subject: usize) {
        if self.armed.is_empty() {
            return;
        }
        let count = self.moments.entry(moment).or_insert(0);
        *count += 1;
        let count = *count;
        for number in 0..self.armed.len() {
            let aimed = self.armed[number];
            if aimed.moment == moment && aimed.nth == count {
                self.at(self.now + aimed.delay, 0, What::Aimed { number, subject });
            }
        }
    }

    /// An aimed fault strikes; where the budget doesn't allow it, it waits for the next such moment.
    pub(super) fn aim(&mut self, number: usize, subject: usize) {
        let aimed = self.armed[number];
        let target = match aimed.who {
            Who::Subject => subject,
            Who::Primary => self.last_acting.unwrap_or(subject),
            Who::Other(nth) => {
                let others: Vec<usize> = (0..self.nodes.len())
                    .filter(|n| *n != subject && !self.nodes[*n].gone)
                    .collect();
                if others.is_empty() {
                    subject
                } else {
                    others[nth % others.len()]
                }
            }
        };
        if !self.strike_now(aimed.fault.aimed_at(target)) {
            self.armed[number].nth = self.moments.get(&aimed.moment).copied().unwrap_or(0) + 1;
        }
    }
}
