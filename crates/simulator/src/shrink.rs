//! Makes a plan that breaks something smaller, while it still does, and prints it so that it can be pasted into a
//! test.

use crate::faults::{Aimed, Fault};
use crate::plan::Plan;
use crate::world::run;
use std::time::Duration;

/// Runs that shrinking may take.
const MOST_RUNS: usize = 400;

/// A smaller plan that still breaks something; the plan itself where it breaks nothing.
pub fn shrink(plan: &Plan) -> Plan {
    let mut shrinking = Shrinking {
        best: plan.clone(),
        runs: 0,
    };
    while shrinking.pass() && shrinking.runs < MOST_RUNS {}
    shrinking.best
}

struct Shrinking {
    best: Plan,
    runs: usize,
}

impl Shrinking {
    /// Takes a plan if it breaks something.
    fn take(&mut self, plan: Plan) -> bool {
        self.runs += 1;
        let breaks = self.runs <= MOST_RUNS && !run(&plan).breaches.is_empty();
        if breaks {
            self.best = plan;
        }
        breaks
    }

    /// Tries each smaller plan once. Whether one of them was taken.
    fn pass(&mut self) -> bool {
        let mut smaller = false;
        for index in (0..self.best.faults.len()).rev() {
            let mut plan = self.best.clone();
            plan.faults.remove(index);
            smaller |= self.take(plan);
        }
        for index in (0..self.best.aimed.len()).rev() {
            let mut plan = self.best.clone();
            plan.aimed.remove(index);
            smaller |= self.take(plan);
        }
        for index in 0..self.best.faults.len() {
            let mut plan = self.best.clone();
            let (at, fault) = plan.faults[index];
            plan.faults[index] = (at, fault.lasting(fault.length() / 2));
            let worth =
                fault.length() > Duration::from_millis(20) && !matches!(fault, Fault::Term(..));
            smaller |= worth && self.take(plan);
        }
        for index in 0..self.best.aimed.len() {
            let mut plan = self.best.clone();
            let fault = plan.aimed[index].fault;
            plan.aimed[index].fault = fault.lasting(fault.length() / 2);
            let worth =
                fault.length() > Duration::from_millis(20) && !matches!(fault, Fault::Term(..));
            smaller |= worth && self.take(plan);
        }
        if let Some(orders) = self.best.orders {
            let one = |at_once, operators| {
                Some(crate::plan::Orders {
                    at_once,
                    operators,
                    ..orders
                })
            };
            if orders.at_once > 1 {
                smaller |= self.take(Plan {
                    orders: one(1, orders.operators),
                    ..self.best.clone()
                });
            }
            if orders.operators > 1 {
                smaller |= self.take(Plan {
                    orders: one(orders.at_once, 1),
                    ..self.best.clone()
                });
            }
        }
        if self.best.agents > 0 {
            smaller |= self.take(Plan {
                agents: 0,
                ..self.best.clone()
            });
        }
        smaller
    }
}

fn time(d: Duration) -> String {
    format!("Duration::from_nanos({})", d.as_nanos())
}

fn fault_code(fault: Fault) -> String {
    let d = time(fault.length());
    let of = |n: usize| format!("({n}, {d})");
    let text = match fault {
        Fault::Kill(n, _) => format!("Kill{}", of(n)),
        Fault::Power(n, _) => format!("Power{}", of(n)),
        Fault::Wipe(n, _) => format!("Wipe{}", of(n)),
        Fault::Replace(n, _) => format!("Replace{}", of(n)),
        Fault::Freeze(n, _) => format!("Freeze{}", of(n)),
        Fault::Cut(n, _, way) => format!("Cut({n}, {d}, {way:?})"),
        Fault::Stall(n, _) => format!("Stall{}", of(n)),
        Fault::Slow(n, _, x) => format!("Slow({n}, {d}, {x})"),
        Fault::Full(n, _) => format!("Full{}", of(n)),
        Fault::KillAll(_) => format!("KillAll({d})"),
        Fault::PowerAll(_, wiped) => format!("PowerAll({d}, {wiped:?})"),
        Fault::Term(n, back) => format!("Term({n}, {})", time(back)),
        Fault::Retire(n) => format!("Retire({n})"),
        Fault::Join => "Join".to_owned(),
        Fault::CutPair(a, b, _) => format!("CutPair({a}, {b}, {d})"),
        Fault::CutZone(zone, _, way) => format!("CutZone({zone}, {d}, {way:?})"),
        Fault::Agent(k, _) => format!("Agent{}", of(k)),
    };
    format!("Fault::{text}")
}

fn aimed_code(aimed: &Aimed) -> String {
    let Aimed {
        moment,
        nth,
        delay,
        who,
        fault,
    } = aimed;
    let (delay, fault) = (time(*delay), fault_code(*fault));
    format!("Aimed {{ moment: Moment::{moment:?}, nth: {nth}, delay: {delay}, who: Who::{who:?}, fault: {fault} }}")
}

/// The plan as code.
pub fn code(plan: &Plan) -> String {
    let faults: Vec<String> = plan
        .faults
        .iter()
        .map(|(at, f)| format!("({}, {})", time(*at), fault_code(*f)))
        .collect();
    let aimed: Vec<String> = plan.aimed.iter().map(aimed_code).collect();
    let orders = plan.orders.map_or("None".to_owned(), |o| {
        let (late, pause) = (time(o.late), time(o.pause));
        format!(
            "Some(Orders {{ operators: {}, at_once: {}, lost: {}, late: {late}, again: {}, pause: {pause}, padding: {}, guessed: {} }})",
            o.operators, o.at_once, o.lost, o.again, o.padding, o.guessed
        )
    });
    let Plan {
        seed,
        members,
        losses,
        zone_losses,
        region_losses,
        strict,
        safety_only,
        agents,
        ..
    } = plan;
    let Plan {
        seeds_share_a_zone,
        drift_ppm,
        ..
    } = plan;
    format!(
        "Plan {{ members: {members}, losses: {losses}, zone_losses: {zone_losses}, region_losses: {region_losses}, seeds_share_a_zone: {seeds_share_a_zone}, drift_ppm: {drift_ppm}, length: {}, faults: vec![{}], aimed: vec![{}], strict: {strict}, safety_only: {safety_only}, agents: {agents}, orders: {orders}, ..Plan::calm({seed}) }}",
        time(plan.length),
        faults.join(", "),
        aimed.join(", ")
    )
}
