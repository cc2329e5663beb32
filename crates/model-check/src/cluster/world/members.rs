//! Members that take inputs, what they ask for, and the disks that they write to.

use super::actions::Run;
use super::event::Event;
use super::World;
use crate::cluster::machine::PendingWrite;
use crate::search::Breach;
use configuration::Configuration;
use control_plane::member::{Input, Output};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

impl World {
    pub(super) fn end_write(&mut self, run: &Run, n: usize) -> Result<(), Breach> {
        let process = self.machine(n).process.as_mut();
        let Some(write) = process.and_then(|p| p.writes.pop_front()) else {
            return Ok(());
        };
        self.write(n, &write)?;
        self.step(
            run,
            n,
            Input::WriteCompleted {
                ticket: write.ticket,
                result: Ok(()),
            },
        )
    }

    fn write(&mut self, n: usize, write: &PendingWrite) -> Result<(), Breach> {
        self.machine(n).put(write);
        let id = self.machines[n].process.as_ref().map_or(0, |p| p.seat.id);
        Arc::make_mut(&mut self.facts).on_disk(id, &write.records)
    }

    /// A member takes an input; a fast disk ends each write at once.
    pub(super) fn step(&mut self, run: &Run, n: usize, input: Input) -> Result<(), Breach> {
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
                if let Some(write) = self.perform(run, n, output)? {
                    self.write(n, &write)?;
                    inputs.push_back(Input::WriteCompleted {
                        ticket: write.ticket,
                        result: Ok(()),
                    });
                }
            }
        }
        let now = self.now;
        if let Some(process) = &mut self.machine(n).process {
            process.show(now);
        }
        self.changed(n);
        self.check_age(run, n)
    }

    /// Does what a member asks for; a write that ends at once is handed back.
    fn perform(
        &mut self,
        run: &Run,
        n: usize,
        output: Output,
    ) -> Result<Option<PendingWrite>, Breach> {
        let mute = run.mute == Some(n);
        match output {
            Output::Write {
                ticket,
                records,
                rewrite,
            } => {
                let slow = self.machines[n].slow;
                let write = PendingWrite {
                    ticket,
                    records,
                    rewrite,
                };
                if !slow {
                    return Ok(Some(write));
                }
                if let Some(process) = &mut self.machine(n).process {
                    process.writes.push_back(write);
                }
            }
            Output::Wake { at } => {
                if let Some(process) = &mut self.machine(n).process {
                    process.wake = at;
                }
            }
            _ if mute => {}
            Output::Send { to, message } => self.send(run, n, &to, message)?,
            Output::Answer { ticket, code, body } => {
                let code = run.scenario.planted.answer(code);
                self.answered(n, ticket, code, &body)?;
            }
            Output::PublishState {
                index,
                configuration,
                drains,
            } => {
                let epoch = self.epoch(n);
                let facts = Arc::make_mut(&mut self.facts);
                facts.acts(epoch)?;
                facts.shows(self.now, epoch, index, &configuration, &drains)?;
                self.show(n, index, configuration, &drains);
            }
            Output::RestoreState {
                index,
                configuration,
                drains,
            } => {
                let epoch = self.epoch(n);
                Arc::make_mut(&mut self.facts).same_content(
                    self.now,
                    epoch,
                    index,
                    &configuration,
                    &drains,
                )?;
                self.show(n, index, configuration, &drains);
            }
            Output::DepartureComplete => {
                self.schedule(Duration::ZERO, Event::Kill(n, self.machines[n].lives))
            }
        }
        Ok(None)
    }

    fn show(&mut self, n: usize, index: u64, configuration: Arc<Configuration>, drains: &[String]) {
        if let Some(process) = &mut self.machine(n).process {
            process
                .mirror
                .get()
                .set_ledger(index, configuration, drains);
        }
    }

    pub(super) fn epoch(&self, n: usize) -> u64 {
        let process = self.machines[n].process.as_ref();
        process
            .and_then(|p| p.member.membership())
            .map_or(0, |v| v.epoch)
    }
}
