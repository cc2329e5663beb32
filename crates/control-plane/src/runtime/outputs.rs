//! Carries out the state machine's outputs: messages, writes, replies and published state.

use super::event_loop::EventLoop;
use super::storage::{StateFile, Write};
use super::CommandReply;
use crate::member::Output;
use configuration::Configuration;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

impl EventLoop {
    /// Carries out one output of the state machine.
    pub(super) fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => self.services.peers.send(&to, &message),
            Output::Write {
                ticket,
                records,
                rewrite,
            } => self.write(ticket, records, rewrite),
            Output::Answer { ticket, code, body } => {
                self.reply(ticket, CommandReply { code, body });
            }
            Output::PublishState {
                index,
                configuration,
                drains,
            }
            | Output::RestoreState {
                index,
                configuration,
                drains,
            } => self.publish_state(index, configuration, &drains),
            Output::Wake { at } => self.schedule_wake(at),
            Output::DepartureComplete => self.has_departed = true,
        }
    }

    fn write(&self, ticket: u64, records: Vec<Vec<u8>>, rewrite: bool) {
        let write = Write {
            ticket,
            records,
            rewrite,
            file: StateFile::Log,
        };
        // The storage thread runs until the process ends, so the send can't fail before that.
        let _ = self.services.storage.send(write);
    }

    fn reply(&mut self, ticket: u64, reply: CommandReply) {
        if let Some(reply_sender) = self.reply_senders.remove(&ticket) {
            // The caller may have stopped waiting.
            let _ = reply_sender.send(reply);
        }
    }

    fn publish_state(&self, index: u64, configuration: Arc<Configuration>, drains: &[String]) {
        self.services
            .history
            .borrow_mut()
            .record(&configuration, SystemTime::now());
        self.services
            .mirror
            .update(|mirror, _| mirror.set_replicated_state(index, configuration, drains));
    }

    fn schedule_wake(&mut self, at: Duration) {
        self.wake_at = Some(self.wake_at.map_or(at, |wake_at| wake_at.min(at)));
    }
}
