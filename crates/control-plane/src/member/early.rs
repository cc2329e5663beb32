//! Orders that build on a version which isn't in force yet, held by the primary for a while.
//!
//! An operator may send an order that builds on another one still under way. Such an order can't be refused, as a
//! late copy of it could be taken once its base is in force. It waits here: it is planned again as soon as its base
//! is there, and otherwise ends without a clear answer.

use super::commands::Source;
use super::{Member, Output, Role};
use configuration::ResultCode;
use protocol::Command;
use std::time::Duration;

/// How long the primary holds such an order: with the ways to the primary and back less than the second that a caller
/// waits before it goes elsewhere, so that a mistyped base is told.
pub(super) const EARLY_PATIENCE: Duration = Duration::from_millis(500);
/// Orders that are held at once: as many as operators may have under way.
const MAX_EARLY_ORDERS: usize = 8;

/// An order whose base isn't in force yet.
#[derive(Clone, Debug)]
struct EarlyOrder {
    base: u64,
    source: Source,
    command: Command,
    until: Duration,
}

/// The early orders that a primary holds, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct EarlyOrders(Vec<EarlyOrder>);

impl EarlyOrders {
    /// Whether a call is among them.
    pub(super) fn contains(&self, source: Source) -> bool {
        self.0.iter().any(|order| order.source == source)
    }

    /// Takes out those whose base is reached or passed by `version`.
    pub(super) fn take_ready(&mut self, version: u64) -> Vec<(Source, Command)> {
        self.0
            .extract_if(.., |order| order.base <= version)
            .map(|order| (order.source, order.command))
            .collect()
    }

    /// Takes out those whose time is over: the caller and the base.
    fn take_expired(&mut self, now: Duration) -> Vec<(Source, u64)> {
        self.0
            .extract_if(.., |order| order.until <= now)
            .map(|order| (order.source, order.base))
            .collect()
    }

    /// When the next one ends.
    pub(super) fn next_end(&self) -> Option<Duration> {
        self.0.iter().map(|order| order.until).min()
    }
}

impl Member {
    /// Holds an order until its base is in force; where too many are held, its caller hears at once.
    pub(super) fn hold_early(&mut self, source: Source, command: Command, out: &mut Vec<Output>) {
        let (Role::Primary(state), Command::Configure { base, .. }) = (&mut self.role, &command)
        else {
            return;
        };
        let base = *base;
        if state.early.0.len() >= MAX_EARLY_ORDERS {
            return self.answer_early(source, base, out);
        }
        state.early.0.push(EarlyOrder {
            base,
            source,
            command,
            until: self.now + EARLY_PATIENCE,
        });
    }

    /// Ends the early orders that have waited too long.
    pub(super) fn end_early(&mut self, out: &mut Vec<Output>) {
        let Role::Primary(state) = &mut self.role else {
            return;
        };
        for (source, base) in state.early.take_expired(self.now) {
            self.answer_early(source, base, out);
        }
    }

    fn answer_early(&mut self, source: Source, base: u64, out: &mut Vec<Output>) {
        let Role::Primary(state) = &self.role else {
            return;
        };
        let told = state.told_base(base);
        self.answer(source, ResultCode::BaseNotInForce, told, out);
    }
}
