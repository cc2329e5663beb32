//! The attempts in flight on one connection to a modelled host.

use crate::event_log::AttemptEnd;
use crate::host::{ArrivingPart, Host};
use crate::outbox::{Outbox, Reply};
use std::collections::HashMap;
use std::rc::Rc;

/// The attempts in flight on a connection; those that are left at its end are recorded as cut.
pub struct OpenAttempts {
    host: Rc<Host>,
    coordinator: u16,
    /// Receives the ends of parts.
    pub outbox: Rc<Outbox>,
    attempts: HashMap<u64, (String, AnswerFormat)>,
}

/// The form of a part's answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnswerFormat {
    /// The attempt's number in hex.
    Plain,
    /// Hits for a search of this shard: how many at most, and whether it is sorted.
    Search(u32, u64, bool),
}

impl OpenAttempts {
    /// No attempts yet.
    pub fn new(host: Rc<Host>, coordinator: u16) -> Self {
        Self {
            host,
            coordinator,
            outbox: Outbox::new(),
            attempts: HashMap::new(),
        }
    }

    /// Number of attempts in flight, withdrawn ones included: their work still occupies this connection.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether no attempt is in flight.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// A part arrives under its name on the wire: its attempt number, and its end if it ends at once.
    pub fn arrive(
        &mut self,
        id: &str,
        form: AnswerFormat,
        arrival: ArrivingPart,
    ) -> (u64, Option<AttemptEnd>) {
        let (attempt, end) = self.host.arrive(self.coordinator, arrival, &self.outbox);
        if end.is_none() {
            self.attempts.insert(attempt, (id.to_owned(), form));
        }
        (attempt, end)
    }

    /// The sender withdraws a part.
    pub fn withdraw(&self, id: &str) {
        for (attempt, _) in self.attempts.iter().filter(|(_, (i, _))| *i == id) {
            self.host
                .ended(self.coordinator, *attempt, AttemptEnd::Withdrawn);
        }
    }

    /// An attempt ends: its name on the wire and its answer's form, if it is one of these.
    pub fn answered(&mut self, reply: &Reply) -> Option<(String, AnswerFormat)> {
        let known = self.attempts.remove(&reply.attempt)?;
        self.host.ended(self.coordinator, reply.attempt, reply.end);
        Some(known)
    }
}

impl Drop for OpenAttempts {
    fn drop(&mut self) {
        self.outbox.close();
        for attempt in self.attempts.keys() {
            self.host.ended(self.coordinator, *attempt, AttemptEnd::Cut);
        }
    }
}
