//! What the state machine asks for, carried out: messages, writes, answers, and what is shown.

use super::event_loop::EventLoop;
use super::storage;
use crate::member::Output;
use configuration::{Configuration, ResultCode};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

impl EventLoop {
    /// Does what an output asks for.
    pub(super) fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => self.links.send(&to, &message),
            Output::Write {
                ticket,
                records,
                rewrite,
            } => self.write(ticket, records, rewrite),
            Output::Answer { ticket, code, body } => self.answer_caller(ticket, code, body),
            Output::PublishState {
                index,
                configuration,
                drains,
            }
            | Output::RestoreState {
                index,
                configuration,
                drains,
            } => {
                self.show_ledger(index, configuration, &drains);
            }
            Output::Wake { at } => self.wake_by(at),
            Output::DepartureComplete => self.left = true,
        }
    }

    fn write(&self, ticket: u64, records: Vec<Vec<u8>>, rewrite: bool) {
        let write = storage::Write {
            ticket,
            records,
            rewrite,
            file: storage::File::Log,
        };
        // The thread ends with the process only.
        let _ = self.disk.send(write);
    }

    fn answer_caller(&mut self, ticket: u64, code: ResultCode, body: Vec<u8>) {
        if let Some(caller) = self.callers.remove(&ticket) {
            // A caller that has gone gets no answer.
            let _ = caller.send((code, body));
        }
    }

    fn show_ledger(&self, index: u64, document: Arc<Configuration>, drains: &[String]) {
        self.history.borrow_mut().note(&document, SystemTime::now());
        self.mirror
            .update(|mirror, _| mirror.set_ledger(index, document, drains));
    }

    fn wake_by(&mut self, at: Duration) {
        self.wake = Some(self.wake.map_or(at, |wake| wake.min(at)));
    }
}
