//! Members that take inputs, what they ask for, and the disks that they write to.

use super::context::ActionContext;
use super::event::Event;
use super::state::World;
use crate::cluster::machine::PendingWrite;
use crate::search::Violation;
use configuration::Configuration;
use control_plane::member::{Input, Output};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

impl World {
    pub(super) fn end_write(&mut self, context: &ActionContext, n: usize) -> Result<(), Violation> {
        let process = self.machine(n).process.as_mut();
        let Some(write) = process.and_then(|p| p.writes.pop_front()) else {
            return Ok(());
        };
        self.apply_write(n, &write)?;
        self.step(
            context,
            n,
            Input::WriteCompleted {
                ticket: write.ticket,
                result: Ok(()),
            },
        )
    }

    fn apply_write(&mut self, n: usize, write: &PendingWrite) -> Result<(), Violation> {
        self.machine(n).apply_write(write);
        let id = self.machines[n].process.as_ref().map_or(0, |p| p.info.id);
        Arc::make_mut(&mut self.observations).observe_write(id, &write.records)
    }

    /// A member takes an input; a fast disk ends each write at once.
    pub(super) fn step(
        &mut self,
        context: &ActionContext,
        n: usize,
        input: Input,
    ) -> Result<(), Violation> {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let now = self.now;
            let Some(process) = &mut self.machine(n).process else {
                return Ok(());
            };
            let clock = process.clock(now);
            let mut outputs = Vec::new();
            process.member.step(clock, input, &mut outputs);
            for output in outputs {
                if let Some(write) = self.perform_output(context, n, output)? {
                    self.apply_write(n, &write)?;
                    inputs.push_back(Input::WriteCompleted {
                        ticket: write.ticket,
                        result: Ok(()),
                    });
                }
            }
        }
        let now = self.now;
        if let Some(process) = &mut self.machine(n).process {
            process.publish_freshness(now);
        }
        self.refresh_fingerprint(n);
        self.check_age(context, n)
    }

    /// Does what a member asks for; a write that ends at once is handed back.
    fn perform_output(
        &mut self,
        context: &ActionContext,
        n: usize,
        output: Output,
    ) -> Result<Option<PendingWrite>, Violation> {
        let is_muted = context.muted == Some(n);
        match output {
            Output::Write {
                ticket,
                records,
                rewrite,
            } => {
                let write = PendingWrite {
                    ticket,
                    records,
                    rewrite,
                };
                return Ok(self.start_write(n, write));
            }
            Output::Wake { at } => {
                if let Some(process) = &mut self.machine(n).process {
                    process.wake = at;
                }
            }
            _ if is_muted => {}
            Output::Send { to, message } => self.send(context, n, &to, message)?,
            Output::Answer { ticket, code, body } => {
                let code = context.scenario.seeded_bug.answer(code);
                self.answered(n, ticket, code, &body)?;
            }
            Output::PublishState {
                index,
                configuration,
                drains,
            } => {
                let epoch = self.epoch(n);
                let observations = Arc::make_mut(&mut self.observations);
                observations.check_acting(epoch)?;
                observations.check_published(self.now, epoch, index, &configuration, &drains)?;
                self.publish_to_mirror(n, index, configuration, &drains);
            }
            Output::RestoreState {
                index,
                configuration,
                drains,
            } => {
                let epoch = self.epoch(n);
                let observations = Arc::make_mut(&mut self.observations);
                observations.check_same_state(self.now, epoch, index, &configuration, &drains)?;
                self.publish_to_mirror(n, index, configuration, &drains);
            }
            Output::DepartureComplete => {
                let end = Event::Kill(n, self.machines[n].incarnations);
                self.schedule(Duration::ZERO, end);
            }
        }
        Ok(None)
    }

    /// Queues a write at a slow disk; hands back one that a fast disk ends at once.
    fn start_write(&mut self, n: usize, write: PendingWrite) -> Option<PendingWrite> {
        if !self.machines[n].slow {
            return Some(write);
        }
        if let Some(process) = &mut self.machine(n).process {
            process.writes.push_back(write);
        }
        None
    }

    fn publish_to_mirror(
        &mut self,
        n: usize,
        index: u64,
        configuration: Arc<Configuration>,
        drains: &[String],
    ) {
        if let Some(process) = &mut self.machine(n).process {
            process
                .mirror
                .get()
                .set_replicated_state(index, configuration, drains);
        }
    }

    pub(super) fn epoch(&self, n: usize) -> u64 {
        let process = self.machines[n].process.as_ref();
        process
            .and_then(|p| p.member.membership())
            .map_or(0, |v| v.epoch)
    }
}
