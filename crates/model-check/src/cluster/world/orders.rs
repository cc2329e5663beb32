//! Orders on their way to a member, and what their answers claim.

use super::actions::Run;
use super::event::Event;
use super::World;
use crate::cluster::operator::{
    Operators, Order, Result as OrderResult, MOST_ATTEMPTS, RETRY_PAUSE,
};
use crate::search::Breach;
use configuration::{Configuration, ResultCode};
use control_plane::member::Input;
use protocol::Command;
use std::sync::Arc;

impl World {
    pub(super) fn send_order(&mut self, run: &Run, number: usize, to: usize) -> Result<(), Breach> {
        let order = &self.operators.orders[number];
        if order.result != OrderResult::Open || order.attempts >= MOST_ATTEMPTS {
            return Ok(());
        }
        let count = self.machines.len();
        let there = |n: &usize| self.machines[*n].process.is_some() && !self.machines[*n].frozen;
        let Some(to) = (0..count).map(|n| (to + n) % count).find(there) else {
            self.schedule(RETRY_PAUSE, Event::Retry(number));
            return Ok(());
        };
        let order = &mut self.operators.orders[number];
        order.attempts += 1;
        order.at = Some(to);
        let (ticket, command) = (
            Operators::ticket(number, order.attempts),
            (*order.command).clone(),
        );
        self.step(run, to, Input::Command { ticket, command })
    }

    /// A primary has decided an order; its answer may be lost.
    pub(super) fn decided(&mut self, n: usize, ticket: u64, code: u16) -> Result<(), Breach> {
        let (epoch, order) = (self.epoch(n), Operators::order(ticket));
        let Some(order) = self.operators.orders.get(order).cloned() else {
            return Ok(());
        };
        let facts = Arc::make_mut(&mut self.facts);
        facts.acts(epoch)?;
        if code != ResultCode::Ok.number() {
            return Ok(());
        }
        match &*order.command {
            Command::Configure { .. } => facts.confirms(order.content, order.base, order.version),
            Command::Drain { host } => {
                facts.confirms_drain(host);
                Ok(())
            }
            Command::Read { .. } => Ok(()),
        }
    }

    pub(super) fn answered(
        &mut self,
        n: usize,
        ticket: u64,
        code: ResultCode,
        body: &[u8],
    ) -> Result<(), Breach> {
        let number = Operators::order(ticket);
        let Some(order) = self.operators.orders.get(number).cloned() else {
            return Ok(());
        };
        if order.result != OrderResult::Open {
            return Ok(());
        }
        if code.status() >= 500 && code != ResultCode::NoConfiguration {
            self.schedule(RETRY_PAUSE, Event::Retry(number));
            return Ok(());
        }
        let acts = self.machines[n]
            .process
            .as_ref()
            .is_some_and(|p| p.member.is_acting_primary());
        if acts && code == ResultCode::Ok {
            self.decided(n, ticket, code.number())?;
        }
        let facts = Arc::make_mut(&mut self.facts);
        match &*order.command {
            Command::Read { .. } => {
                let read = Configuration::read(body, 0).map_or(0, |d| d.version);
                facts.reads(order.known, read)?;
            }
            Command::Configure { .. } if code == ResultCode::Ok => {
                facts.confirms(order.content, order.base, order.version)?;
            }
            Command::Configure { .. } => facts.refuses(order.content, order.base, &order.json())?,
            Command::Drain { host } => facts.confirms_drain(host),
        }
        self.operators.orders[number].result = if code == ResultCode::Ok {
            OrderResult::Confirmed
        } else {
            OrderResult::Refused
        };
        Ok(())
    }
}

impl Operators {
    /// Orders without an answer that a machine has.
    pub(super) fn waiting_at(&self, n: usize) -> impl Iterator<Item = usize> + '_ {
        let waits = move |o: &&Order| o.at == Some(n) && o.result == OrderResult::Open;
        self.orders
            .iter()
            .enumerate()
            .filter(move |(_, o)| waits(o))
            .map(|(number, _)| number)
    }
}
