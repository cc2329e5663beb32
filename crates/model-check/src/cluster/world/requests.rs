//! How requests are sent to members, and what their answers say.

use super::context::ActionContext;
use super::event::Event;
use super::state::World;
use crate::cluster::clients::{Clients, PendingRequest, RequestOutcome, MAX_ATTEMPTS, RETRY_DELAY};
use crate::search::Violation;
use configuration::{Configuration, ResultCode};
use control_plane::member::Input;
use protocol::Command;
use std::sync::Arc;

impl World {
    pub(super) fn send_request(
        &mut self,
        context: &ActionContext,
        number: usize,
        to: usize,
    ) -> Result<(), Violation> {
        let request = &self.clients.requests[number];
        if request.outcome != RequestOutcome::Open || request.attempts >= MAX_ATTEMPTS {
            return Ok(());
        }
        let count = self.machines.len();
        let is_up = |n: &usize| self.machines[*n].process.is_some() && !self.machines[*n].frozen;
        let Some(to) = (0..count).map(|n| (to + n) % count).find(is_up) else {
            self.schedule(RETRY_DELAY, Event::Retry(number));
            return Ok(());
        };
        let request = &mut self.clients.requests[number];
        request.attempts += 1;
        request.at = Some(to);
        let (ticket, command) = (
            Clients::ticket(number, request.attempts),
            (*request.command).clone(),
        );
        self.step(context, to, Input::Command { ticket, command })
    }

    /// A primary has answered a request; the answer may be lost on its way.
    pub(super) fn primary_decided(
        &mut self,
        n: usize,
        ticket: u64,
        code: u16,
    ) -> Result<(), Violation> {
        let (epoch, request) = (self.epoch(n), Clients::number_of(ticket));
        let Some(request) = self.clients.requests.get(request).cloned() else {
            return Ok(());
        };
        let observations = Arc::make_mut(&mut self.observations);
        observations.check_acting(epoch)?;
        if code != ResultCode::Ok.number() {
            return Ok(());
        }
        match &*request.command {
            Command::Configure { .. } => {
                observations.acknowledge(request.content, request.base, request.version)
            }
            Command::Drain { host } => {
                observations.acknowledge_drain(host);
                Ok(())
            }
            Command::Read { .. } | Command::Coordinate { .. } => Ok(()),
        }
    }

    pub(super) fn answered(
        &mut self,
        n: usize,
        ticket: u64,
        code: ResultCode,
        body: &[u8],
    ) -> Result<(), Violation> {
        let number = Clients::number_of(ticket);
        let Some(request) = self.clients.requests.get(number).cloned() else {
            return Ok(());
        };
        if request.outcome != RequestOutcome::Open {
            return Ok(());
        }
        if code.status() >= 500 && code != ResultCode::NoConfiguration {
            self.schedule(RETRY_DELAY, Event::Retry(number));
            return Ok(());
        }
        let acts = self.machines[n]
            .process
            .as_ref()
            .is_some_and(|p| p.member.is_acting_primary());
        if acts && code == ResultCode::Ok {
            self.primary_decided(n, ticket, code.number())?;
        }
        let observations = Arc::make_mut(&mut self.observations);
        match &*request.command {
            Command::Read { .. } => {
                let read = Configuration::read(body, 0).map_or(0, |d| d.version);
                observations.check_read(request.newest_at_send, read)?;
            }
            Command::Configure { .. } if code == ResultCode::Ok => {
                observations.acknowledge(request.content, request.base, request.version)?;
            }
            Command::Configure { .. } => {
                observations.reject(request.content, request.base, &request.json())?;
            }
            Command::Drain { host } => observations.acknowledge_drain(host),
            Command::Coordinate { .. } => {}
        }
        self.clients.requests[number].outcome = if code == ResultCode::Ok {
            RequestOutcome::Acknowledged
        } else {
            RequestOutcome::Rejected
        };
        Ok(())
    }
}

impl Clients {
    /// Requests that were sent to a machine and have no answer.
    pub(super) fn waiting_at(&self, n: usize) -> impl Iterator<Item = usize> + '_ {
        let waits = move |o: &&PendingRequest| o.at == Some(n) && o.outcome == RequestOutcome::Open;
        self.requests
            .iter()
            .enumerate()
            .filter(move |(_, o)| waits(o))
            .map(|(number, _)| number)
    }
}
