//! Steps of the members' state machines, and what their outputs cause.

use super::event::EventKind;
use super::state::World;
use crate::faults::FaultTrigger;
use control_plane::member::{Input, Output};

impl World<'_> {
    /// Hands an input to a member, carries out its outputs, and checks what must hold after each step.
    pub(super) fn step(&mut self, n: usize, input: Input) {
        let mut outputs = Vec::new();
        let now = self.clock(n);
        self.observe_input(n, &input);
        let Some(member) = self.nodes[n].member.as_mut() else {
            return;
        };
        member.step(now, input, &mut outputs);
        self.report.highest_epoch = self.report.highest_epoch.max(member.promised_epoch());
        self.report.steps += 1;
        for output in outputs {
            self.mirror_output(n, &output);
            self.perform_output(n, output);
        }
        self.mirror_membership(n);
        self.check_single_primary(n);
        let acts = self.somebody_acts();
        self.record_gap(acts);
        let acting = acts.then_some(self.acting);
        if acting != self.traced_primary {
            self.primary_changed(acting);
        }
    }

    /// Records the spans of time without an acting primary.
    fn record_gap(&mut self, acts: bool) {
        match (acts, self.gap_started_at) {
            (true, Some(from)) => {
                self.report.gaps.push(self.now - from);
                self.gap_started_at = None;
            }
            (false, None) => self.gap_started_at = Some(self.now),
            _ => {}
        }
    }

    fn primary_changed(&mut self, acting: Option<usize>) {
        self.traced_primary = acting;
        self.trace(|world| {
            let membership = acting.and_then(|n| world.nodes[n].member.as_ref()?.membership());
            let summary = membership.map(super::network::summarize_membership);
            format!("acting primary: {acting:?}, {summary:?}")
        });
        if let Some(acting) = acting {
            self.fire_trigger(FaultTrigger::TookOver, acting);
        }
    }

    fn perform_output(&mut self, n: usize, output: Output) {
        match output {
            Output::Send { to, message } => self.send(n, &to, message),
            Output::Write {
                ticket,
                records,
                rewrite,
            } => self.start_write(n, ticket, records, rewrite),
            Output::Answer { ticket, code, body } => {
                self.response_from_member(n, ticket, self.rewrite_result_code(code), &body);
            }
            Output::PublishState {
                index,
                configuration,
                drains,
            } => self.check_published(n, index, &configuration, &drains),
            Output::RestoreState {
                index,
                configuration,
                drains,
            } => self.check_restored(n, index, &configuration, &drains),
            Output::Wake { at } => {
                let at = self.now + self.true_delay(n, at.saturating_sub(self.clock(n)));
                self.nodes[n].wake = at;
                self.schedule(at, n, EventKind::Wake);
            }
            // The process ends.
            Output::DepartureComplete if self.plan.strict => self.nodes[n].member = None,
            Output::DepartureComplete => {}
        }
    }
}
