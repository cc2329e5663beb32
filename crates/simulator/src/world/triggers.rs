//! Triggers: what members do, and the faults that wait for it.

use super::event::EventKind;
use super::state::World;
use crate::faults::{FaultTarget, FaultTrigger};

impl World<'_> {
    /// A trigger fires for a machine: faults that wait for it are scheduled.
    pub(super) fn fire_trigger(&mut self, trigger: FaultTrigger, subject: usize) {
        if self.armed.is_empty() {
            return;
        }
        let count = self.trigger_counts.entry(trigger).or_insert(0);
        *count += 1;
        let count = *count;
        for number in 0..self.armed.len() {
            let armed = self.armed[number];
            if armed.trigger == trigger && armed.nth == count {
                self.schedule(
                    self.now + armed.delay,
                    0,
                    EventKind::InjectTriggered { number, subject },
                );
            }
        }
    }

    /// Injects a triggered fault. Where the budget doesn't allow it, the fault waits for the trigger's next time.
    pub(super) fn inject_triggered(&mut self, number: usize, subject: usize) {
        let armed = self.armed[number];
        let target = match armed.target {
            FaultTarget::Subject => subject,
            FaultTarget::Primary => self.traced_primary.unwrap_or(subject),
            FaultTarget::Other(nth) => {
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
        if !self.try_inject(armed.fault.at_member(target)) {
            let count = self.trigger_counts.get(&armed.trigger).copied();
            self.armed[number].nth = count.unwrap_or(0) + 1;
        }
    }
}
