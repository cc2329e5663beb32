//! Makes a plan smaller while it still violates an invariant, and prints it as code for a test.

use crate::faults::{Fault, TriggeredFault};
use crate::plan::{ClientWorkload, Plan};
use crate::world::run;
use std::time::Duration;

/// Faults no longer than this are not halved.
const MIN_HALVED: Duration = Duration::from_millis(20);
/// Runs that shrinking may take.
const MAX_RUNS: usize = 400;

/// A smaller plan that still violates something; the plan itself if it violates nothing.
pub fn shrink(plan: &Plan) -> Plan {
    let mut shrinking = Shrinking {
        best: plan.clone(),
        runs: 0,
    };
    while shrinking.try_smaller_plans() && shrinking.runs < MAX_RUNS {}
    shrinking.best
}

struct Shrinking {
    best: Plan,
    runs: usize,
}

impl Shrinking {
    /// Keeps a plan if it violates something; whether it does.
    fn keep_if_violating(&mut self, plan: Plan) -> bool {
        self.runs += 1;
        let violates = self.runs <= MAX_RUNS && !run(&plan).violations.is_empty();
        if violates {
            self.best = plan;
        }
        violates
    }

    /// Tries each smaller plan once. Whether one of them was kept.
    fn try_smaller_plans(&mut self) -> bool {
        let fewer = self.try_fewer_faults();
        let shorter = self.try_shorter_faults();
        let smaller = self.try_smaller_workload();
        fewer | shorter | smaller
    }

    fn try_fewer_faults(&mut self) -> bool {
        let mut kept = false;
        for index in (0..self.best.faults.len()).rev() {
            let mut plan = self.best.clone();
            plan.faults.remove(index);
            kept |= self.keep_if_violating(plan);
        }
        for index in (0..self.best.triggered_faults.len()).rev() {
            let mut plan = self.best.clone();
            plan.triggered_faults.remove(index);
            kept |= self.keep_if_violating(plan);
        }
        kept
    }

    fn try_shorter_faults(&mut self) -> bool {
        let mut kept = false;
        for index in 0..self.best.faults.len() {
            let mut plan = self.best.clone();
            let (at, fault) = plan.faults[index];
            plan.faults[index] = (at, fault.with_duration(fault.duration() / 2));
            kept |= can_be_halved(fault) && self.keep_if_violating(plan);
        }
        for index in 0..self.best.triggered_faults.len() {
            let mut plan = self.best.clone();
            let fault = plan.triggered_faults[index].fault;
            plan.triggered_faults[index].fault = fault.with_duration(fault.duration() / 2);
            kept |= can_be_halved(fault) && self.keep_if_violating(plan);
        }
        kept
    }

    /// Tries plans with one request in flight for each client, one client, and no agents.
    fn try_smaller_workload(&mut self) -> bool {
        let mut kept = false;
        if let Some(workload) = self.best.workload {
            if workload.max_in_flight > 1 {
                kept |= self.keep_if_violating(self.with_workload(ClientWorkload {
                    max_in_flight: 1,
                    ..workload
                }));
            }
            if workload.clients > 1 {
                kept |= self.keep_if_violating(self.with_workload(ClientWorkload {
                    clients: 1,
                    ..workload
                }));
            }
        }
        if self.best.agents > 0 {
            kept |= self.keep_if_violating(Plan {
                agents: 0,
                ..self.best.clone()
            });
        }
        kept
    }

    fn with_workload(&self, workload: ClientWorkload) -> Plan {
        Plan {
            workload: Some(workload),
            ..self.best.clone()
        }
    }
}

fn can_be_halved(fault: Fault) -> bool {
    fault.duration() > MIN_HALVED && !matches!(fault, Fault::Term(..))
}

fn duration_as_code(d: Duration) -> String {
    format!("Duration::from_nanos({})", d.as_nanos())
}

fn fault_as_code(fault: Fault) -> String {
    let d = duration_as_code(fault.duration());
    let member_and_duration = |n: usize| format!("({n}, {d})");
    let text = match fault {
        Fault::Kill(n, _) => format!("Kill{}", member_and_duration(n)),
        Fault::Power(n, _) => format!("Power{}", member_and_duration(n)),
        Fault::Wipe(n, _) => format!("Wipe{}", member_and_duration(n)),
        Fault::Replace(n, _) => format!("Replace{}", member_and_duration(n)),
        Fault::Freeze(n, _) => format!("Freeze{}", member_and_duration(n)),
        Fault::Cut(n, _, direction) => format!("Cut({n}, {d}, CutDirection::{direction:?})"),
        Fault::Stall(n, _) => format!("Stall{}", member_and_duration(n)),
        Fault::Slow(n, _, x) => format!("Slow({n}, {d}, {x})"),
        Fault::Full(n, _) => format!("Full{}", member_and_duration(n)),
        Fault::KillAll(_) => format!("KillAll({d})"),
        Fault::PowerAll(_, wiped) => format!("PowerAll({d}, {wiped:?})"),
        Fault::Term(n, back) => format!("Term({n}, {})", duration_as_code(back)),
        Fault::Retire(n) => format!("Retire({n})"),
        Fault::Join => "Join".to_owned(),
        Fault::CutPair(a, b, _) => format!("CutPair({a}, {b}, {d})"),
        Fault::CutZone(zone, _, direction) => {
            format!("CutZone({zone}, {d}, CutDirection::{direction:?})")
        }
        Fault::Split(parts, _) => format!("Split({parts:#b}, {d})"),
        Fault::Agent(k, _) => format!("Agent{}", member_and_duration(k)),
    };
    format!("Fault::{text}")
}

fn triggered_fault_as_code(triggered: &TriggeredFault) -> String {
    let TriggeredFault {
        trigger,
        nth,
        delay,
        target,
        fault,
    } = triggered;
    let (delay, fault) = (duration_as_code(*delay), fault_as_code(*fault));
    format!("TriggeredFault {{ trigger: FaultTrigger::{trigger:?}, nth: {nth}, delay: {delay}, target: FaultTarget::{target:?}, fault: {fault} }}")
}

fn workload_as_code(workload: &ClientWorkload) -> String {
    let ClientWorkload {
        clients,
        max_in_flight,
        lost_response_percent,
        max_response_delay,
        resend_percent,
        max_pause,
        padding_bytes,
        unconfirmed_base_percent,
    } = workload;
    let max_response_delay = duration_as_code(*max_response_delay);
    let max_pause = duration_as_code(*max_pause);
    format!(
        "Some(ClientWorkload {{ clients: {clients}, max_in_flight: {max_in_flight}, \
         lost_response_percent: {lost_response_percent}, max_response_delay: {max_response_delay}, \
         resend_percent: {resend_percent}, max_pause: {max_pause}, padding_bytes: {padding_bytes}, \
         unconfirmed_base_percent: {unconfirmed_base_percent} }})"
    )
}

/// The plan as Rust code.
pub fn plan_as_code(plan: &Plan) -> String {
    let faults = plan.faults.iter();
    let faults: Vec<String> = faults
        .map(|(at, fault)| format!("({}, {})", duration_as_code(*at), fault_as_code(*fault)))
        .collect();
    let triggered = plan.triggered_faults.iter();
    let triggered: Vec<String> = triggered.map(triggered_fault_as_code).collect();
    let workload = plan.workload.as_ref();
    let workload = workload.map_or_else(|| "None".to_owned(), workload_as_code);
    let Plan {
        seed,
        members,
        machine_losses,
        zone_losses,
        region_losses,
        seeds_share_a_zone,
        clock_drift_ppm,
        strict,
        safety_only,
        recovers,
        agents,
        ..
    } = plan;
    format!(
        "Plan {{ members: {members}, machine_losses: {machine_losses}, zone_losses: {zone_losses}, \
         region_losses: {region_losses}, seeds_share_a_zone: {seeds_share_a_zone}, \
         clock_drift_ppm: {clock_drift_ppm}, duration: {}, faults: vec![{}], triggered_faults: vec![{}], \
         strict: {strict}, safety_only: {safety_only}, recovers: {recovers}, agents: {agents}, workload: {workload}, \
         ..Plan::without_faults({seed}) }}",
        duration_as_code(plan.duration),
        faults.join(", "),
        triggered.join(", ")
    )
}
