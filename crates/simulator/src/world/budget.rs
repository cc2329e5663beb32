//! The budget of losses: a machine counts as lost while it has a fault and for the time to catch up after it; the next
//! loss may come at exactly that time.

use super::event::EventKind;
use super::node::Node;
use super::state::World;
use crate::faults::{Fault, GRACEFUL_SHUTDOWN_TIME};
use crate::plan::ms;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long a machine still counts as lost after it is back.
pub(super) const CATCH_UP_TIME: Duration = ms(4000);
/// Machines that are killed all at once start again within this time of each other.
pub(super) const RESTART_SPREAD: Duration = ms(200);
/// The world's clock at the start of a run; injected faults are reported relative to it.
const START_TIME: Duration = ms(1000);

/// Whether the budget lets a fault strike.
enum BudgetDecision {
    Allowed,
    /// At this time.
    AllowedAt(Duration),
    Denied,
}

impl World<'_> {
    /// Machines that a fault takes away.
    fn affected_machines(&self, fault: Fault) -> Vec<usize> {
        match fault {
            Fault::Kill(n, _) | Fault::Power(n, _) | Fault::Wipe(n, _) | Fault::Replace(n, _) => {
                vec![n]
            }
            Fault::Freeze(n, _) | Fault::Cut(n, ..) | Fault::Stall(n, _) | Fault::Slow(n, ..) => {
                vec![n]
            }
            Fault::Full(n, _) | Fault::Term(n, _) | Fault::Retire(n) | Fault::CutPair(n, ..) => {
                vec![n]
            }
            Fault::KillAll(_) | Fault::PowerAll(..) => (0..self.nodes.len()).collect(),
            Fault::CutZone(zone, ..) => self.zone(zone),
            Fault::Join | Fault::Agent(..) | Fault::Split(..) => vec![],
        }
    }

    /// What the budget counts a machine by: its number, or that of the zone or region that it stands in.
    fn failure_domain(&self, n: usize) -> usize {
        match self.plan.zone_losses + self.plan.region_losses {
            0 => n,
            _ => self.zone_of(n),
        }
    }

    /// Failure domains that the budget lets be lost at once.
    fn max_lost_domains(&self) -> usize {
        let plan = self.plan;
        let losses = plan.machine_losses.max(plan.zone_losses);
        losses.max(plan.region_losses) as usize
    }

    fn budget_decision(&self, fault: Fault) -> BudgetDecision {
        if !self.can_strike(fault) {
            return BudgetDecision::Denied;
        }
        if self.plan.safety_only {
            return if self.may_lose_disk_with(fault) {
                BudgetDecision::Allowed
            } else {
                BudgetDecision::Denied
            };
        }
        let affected = self.affected_machines(fault);
        let domains: BTreeSet<usize> = affected.iter().map(|n| self.failure_domain(*n)).collect();
        let max = self.max_lost_domains();
        let is_total = fault.strikes_all();
        if !is_total && domains.len() > max {
            return BudgetDecision::Denied;
        }
        let others_may_be_lost = if is_total { 0 } else { max - domains.len() };
        let lost_until = self.others_lost_until(&domains, is_total);
        match lost_until.get(others_may_be_lost) {
            Some(until) => BudgetDecision::AllowedAt(*until),
            None => BudgetDecision::Allowed,
        }
    }

    /// Whether the disks lost with a fault are no more than the budget allows. Where the members have to recover, no disk
    /// is lost before the first ones have had time to become voters: fewer are there than the budget needs.
    fn may_lose_disk_with(&self, fault: Fault) -> bool {
        if !fault.loses_disk() {
            return true;
        }
        let is_starting = |n: &Node| n.joining_until > self.now;
        let mut first = self.nodes.iter().take(self.plan.members);
        let are_few = self.plan.recovers && first.any(is_starting);
        self.lost_disks < self.plan.machine_losses && !are_few
    }

    /// Whether a fault's machines are there, and enough of them are left for one that removes a machine for good.
    fn can_strike(&self, fault: Fault) -> bool {
        if fault.strikes_all() {
            return true;
        }
        let left = self.nodes.iter().filter(|n| !n.gone).count();
        let too_few = left <= 2 * self.plan.machine_losses as usize + 1;
        if matches!(fault, Fault::Retire(_)) && too_few {
            return false;
        }
        let is_there = |n: &usize| self.nodes.get(*n).is_some_and(|node| !node.gone);
        self.affected_machines(fault).iter().all(is_there)
    }

    /// Until when each failure domain but those of a fault counts as lost, the last first. Where a fault strikes all
    /// machines, all domains count, and joining machines don't.
    fn others_lost_until(&self, domains: &BTreeSet<usize>, is_total: bool) -> Vec<Duration> {
        let mut by_domain: BTreeMap<usize, Duration> = BTreeMap::new();
        for (n, node) in self.nodes.iter().enumerate() {
            let domain = self.failure_domain(n);
            if !is_total && domains.contains(&domain) {
                continue;
            }
            let until = if is_total {
                node.lost_until
            } else {
                node.lost_until.max(node.joining_until)
            };
            let known = by_domain.entry(domain).or_default();
            *known = until.max(*known);
        }
        let lost = by_domain.into_values().filter(|until| *until > self.now);
        let mut lost: Vec<Duration> = lost.collect();
        lost.sort_unstable_by(|a, b| b.cmp(a));
        lost
    }

    /// Injects a fault as soon as the budget allows it.
    pub(super) fn inject_within_budget(&mut self, fault: Fault) {
        match self.budget_decision(fault) {
            BudgetDecision::Allowed => self.inject_counted(fault),
            BudgetDecision::AllowedAt(at) => self.schedule(at, 0, EventKind::InjectFault(fault)),
            BudgetDecision::Denied => {}
        }
    }

    /// Injects a fault now or not at all. Whether it struck.
    pub(super) fn try_inject(&mut self, fault: Fault) -> bool {
        let open = matches!(self.budget_decision(fault), BudgetDecision::Allowed);
        if open {
            self.inject_counted(fault);
        }
        open
    }

    /// Injects a fault and counts its machines as lost.
    fn inject_counted(&mut self, fault: Fault) {
        let spread = if fault.strikes_all() {
            RESTART_SPREAD
        } else {
            Duration::ZERO
        };
        let duration = if matches!(fault, Fault::Retire(_)) {
            GRACEFUL_SHUTDOWN_TIME
        } else {
            fault.duration()
        };
        let until = self.now + duration + spread + CATCH_UP_TIME;
        for n in self.affected_machines(fault) {
            self.nodes[n].lost_until = self.nodes[n].lost_until.max(until);
        }
        self.lost_disks += u32::from(fault.loses_disk());
        let at = self.now - START_TIME;
        self.report.injected_faults.push((at, fault));
        self.inject(fault);
    }

    /// Whether a member has no fault now and may be called.
    pub(super) fn is_healthy(&self, n: usize) -> bool {
        let node = &self.nodes[n];
        let lost_until = node.lost_until.saturating_sub(CATCH_UP_TIME);
        let is_lost = lost_until.max(node.fault_ends.apart) > self.now;
        !node.gone && !node.frozen && node.member.is_some() && !is_lost
    }
}
