//! The simulated world: how a plan is run.
//!
//! The state is in [`state`], machines in [`node`], events in [`event`]. Each of the other modules adds one concern to the
//! world: the members' steps, their machines, disks and network, faults and their budget, clients, subscribers, checks.

mod budget;
mod checks;
mod clients;
mod disk;
mod event;
mod fault_injection;
mod machines;
mod member_mirrors;
mod member_steps;
mod network;
mod node;
mod pulls;
mod request_log;
mod responses;
mod seeded_bugs;
mod single_client_calls;
mod state;
mod subscriber;
mod subscriber_checks;
mod subscriber_events;
mod triggers;
mod unconfirmed_bases;

use crate::plan::{ms, Plan, Report};
use control_plane::member::Input;
use event::EventKind;
use state::World;
use std::cmp::Reverse;
use subscriber::ProcessId;

/// A run ends after this many steps of members, whatever its plan says.
const MAX_STEPS: u64 = 2_000_000;
/// Members start at random within this many milliseconds.
const START_SPREAD_MS: u64 = 300;
/// When the single client makes its first call.
const SINGLE_CLIENT_START: std::time::Duration = ms(2000);
/// When clients may send their first requests.
const CLIENTS_START: std::time::Duration = ms(1500);
/// When the checkers run first.
const CHECKS_START: std::time::Duration = ms(4000);

/// Runs a plan until its end or the first violation.
pub fn run(plan: &Plan) -> Report {
    let mut world = World::new(plan);
    world.schedule_start();
    let end = world.now + plan.duration;
    while let Some(Reverse((at, number, node))) = world.queue.pop() {
        if at > end || world.report.steps > MAX_STEPS || !world.report.violations.is_empty() {
            break;
        }
        world.now = world.now.max(at);
        if let Some(event) = world.events.remove(&number) {
            world.handle_event(node, event);
        }
    }
    world.finish(end)
}

impl World<'_> {
    /// Adds the plan's machines and schedules what the plan says. The order of the calls is the order of random draws.
    fn schedule_start(&mut self) {
        let plan = self.plan;
        for n in 0..plan.members {
            self.add_machine(n as u64 + 1);
            let delay = ms(self.random_below(START_SPREAD_MS));
            self.schedule(self.now + delay, n, EventKind::Start);
        }
        let seeds = self.nodes.iter().take(machines::INITIAL_VOTERS);
        self.initial_voters = seeds.map(|n| n.info.clone()).collect();
        for (at, fault) in &plan.faults {
            self.schedule(self.now + *at, 0, EventKind::InjectFault(*fault));
        }
        match &plan.workload {
            None => {
                let at = self.now + SINGLE_CLIENT_START;
                self.schedule(at, 0, EventKind::SingleClientTurn);
            }
            Some(workload) => {
                for client in 0..workload.clients {
                    let at = self.now + CLIENTS_START;
                    self.schedule(at, 0, EventKind::ClientTurn(client));
                }
            }
        }
        for agent in 0..plan.agents {
            self.start_subscriber(ProcessId::Agent(agent));
            self.start_subscriber(ProcessId::Proxy(agent));
        }
        if plan.strict {
            self.schedule(self.now + CHECKS_START, 0, EventKind::RunChecks);
        }
    }

    fn handle_event(&mut self, n: usize, event: EventKind) {
        if self.nodes[n].frozen && !event.outlives_process() {
            self.nodes[n].deferred_events.push((n, event));
            return;
        }
        match event {
            EventKind::Wake if self.now >= self.nodes[n].wake => self.step(n, Input::Tick),
            // The member has asked for a later time since.
            EventKind::Wake => {}
            EventKind::Deliver {
                from,
                incarnation,
                message,
            } => self.deliver(from, incarnation, *message, n),
            EventKind::DeliverLate {
                from,
                incarnation,
                message,
            } => self.deliver_late(from, incarnation, *message, n),
            EventKind::WriteCompleted {
                ticket,
                records,
                rewrite,
                result,
            } => self.write_completed(n, ticket, records, rewrite, result),
            EventKind::Start => self.start(n),
            EventKind::AnnounceReachable => self.announce_reachable(n),
            EventKind::RequestArrives { ticket } => self.request_arrives(n, ticket),
            event => self.handle_world_event(event),
        }
    }

    /// Handles an event that doesn't hang on the process of one machine.
    fn handle_world_event(&mut self, event: EventKind) {
        match event {
            EventKind::SingleClientTurn => self.single_client_turn(),
            EventKind::ClientTurn(client) => self.client_turn(client),
            EventKind::ResponseArrives { ticket, response } => {
                self.response_arrives(ticket, response);
            }
            EventKind::ResendRequest { content } => self.resend_request(content),
            EventKind::InjectTriggered { number, subject } => {
                self.inject_triggered(number, subject);
            }
            EventKind::Subscriber {
                process,
                incarnation,
                event,
            } => self.handle_subscriber_event(process, incarnation, event),
            EventKind::StartSubscriber(process) => self.start_subscriber(process),
            EventKind::EndProcess(n, back) => self.end_process(n, back),
            EventKind::RunChecks => self.run_checks(),
            EventKind::InjectFault(fault) if self.plan.strict => self.inject_within_budget(fault),
            EventKind::InjectFault(fault) => self.inject(fault),
            EventKind::HealFault(fault) => self.heal(fault),
            EventKind::Wake
            | EventKind::Deliver { .. }
            | EventKind::DeliverLate { .. }
            | EventKind::WriteCompleted { .. }
            | EventKind::Start
            | EventKind::AnnounceReachable
            | EventKind::RequestArrives { .. } => {}
        }
    }
}
