//! What can happen in a state: the default and the deviations from it.

use super::event::Event;
use super::state::{World, MAX_MACHINES};
use crate::cluster::faults::{Action, Faults, Way};
use crate::cluster::machine::Machine;
use crate::cluster::Scenario;
use crate::search::Choice;
use std::sync::Arc;

impl World {
    /// What happens next if nothing deviates.
    pub fn default_action(&self) -> Action {
        if !self.network.is_empty() {
            return Action::Deliver(0);
        }
        self.pending_write()
            .map_or(Action::Advance, Action::EndWrite)
    }

    fn pending_write(&self) -> Option<usize> {
        let writes = |m: &Arc<Machine>| {
            m.process.as_ref().is_some_and(|p| !p.writes.is_empty()) && !m.frozen
        };
        self.machines.iter().position(writes)
    }

    pub(in crate::cluster) fn choices(&self, scenario: &Scenario) -> Vec<Choice<Action>> {
        if self.remaining(scenario).is_zero() {
            return Vec::new();
        }
        let default = self.default_action();
        let mut choices = vec![Choice {
            action: default.clone(),
            cost: 0,
        }];
        let faults = &scenario.faults;
        for place in 1..self.network.len().min(faults.reorder_window) {
            choices.push(Choice {
                action: Action::Deliver(place),
                cost: 0,
            });
        }
        if self
            .begun
            .is_some_and(|begun| self.now < begun + scenario.faults_until)
        {
            let deviations = self.network_deviations(faults).into_iter();
            let deviations = deviations.chain(self.machine_deviations(faults, &default));
            choices.extend(deviations.map(|action| Choice { action, cost: 1 }));
        }
        choices
    }

    fn network_deviations(&self, faults: &Faults) -> Vec<Action> {
        let mut all = Vec::new();
        if self.network.is_empty() {
            let pulls = self
                .events
                .first()
                .is_some_and(|e| matches!(e.1, Event::Pull));
            if pulls && self.late_updates.is_none() {
                let machines = 0..self.machines.len();
                all.extend(machines.flat_map(|n| {
                    faults
                        .late_updates
                        .iter()
                        .map(move |d| Action::DelayUpdates(n, *d))
                }));
            }
            return all;
        }
        all.extend(faults.lose.then_some(Action::Lose));
        all.extend((faults.reorder && self.network.len() > 1).then_some(Action::Reorder));
        all.extend(faults.duplicate.iter().map(|d| Action::Duplicate(*d)));
        all.extend(faults.delay.iter().map(|d| Action::Delay(*d)));
        all.extend(faults.timer_first.then_some(Action::Advance));
        all.extend(
            faults
                .crash_sending
                .iter()
                .map(|d| Action::CrashSending(*d)),
        );
        all
    }

    /// Faults of machines. One that has nothing to do with the next message comes to the same after it: nothing of it
    /// is tried before.
    fn machine_deviations(&self, faults: &Faults, default: &Action) -> Vec<Action> {
        let mut all = Vec::new();
        for machine in self.machines.iter().filter(|m| m.process.is_some()) {
            let n = machine.index;
            let (takes, sent) = match default {
                Action::Deliver(_) => (self.network[0].to == n, self.network[0].from_machine == n),
                Action::EndWrite(at) => (*at == n, false),
                _ => (true, true),
            };
            if takes || sent {
                all.extend(faults.cut.iter().map(|d| Action::Cut(n, Way::Both, *d)));
                all.extend(
                    faults
                        .cut_one_way
                        .iter()
                        .map(|d| Action::Cut(n, Way::Out, *d)),
                );
                all.extend(
                    faults
                        .cut_one_way
                        .iter()
                        .map(|d| Action::Cut(n, Way::In, *d)),
                );
            }
            if !takes {
                continue;
            }
            all.extend(faults.crash.iter().map(|d| Action::Crash(n, *d)));
            if self.wipes < faults.max_wipes {
                all.extend(faults.wipe.iter().map(|d| Action::Wipe(n, *d)));
            }
            if self.replaced < faults.max_replaced && self.machines.len() < MAX_MACHINES {
                all.extend(faults.replace.iter().map(|d| Action::Replace(n, *d)));
            }
            if !machine.frozen && machine.leaving.is_none() {
                all.extend(faults.freeze.iter().map(|d| Action::Freeze(n, *d)));
                all.extend(faults.leave.iter().map(|d| Action::Leave(n, *d)));
            }
            if !machine.slow {
                all.extend(faults.slow_disk.iter().map(|d| Action::Slow(n, *d)));
            }
        }
        all
    }
}
