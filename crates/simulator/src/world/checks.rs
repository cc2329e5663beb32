//! The checkers: what has to hold when members publish, after each step, some time after each fault, and in the end.

use super::event::EventKind;
use super::network::summarize_membership;
use super::node::Node;
use super::state::World;
use crate::plan::{ms, Report};
use crate::violation::Violation;
use configuration::Configuration;
use control_plane::member::Member;
use std::time::Duration;

/// Longest time without an acting primary, counted from the latest fault that struck or healed.
const MAX_TIME_WITHOUT_PRIMARY: Duration = ms(4000);
/// Time between two runs of the checkers.
const CHECK_INTERVAL: Duration = ms(500);
/// Longest time without an acting primary at the end of a run: the membership may just be changing.
const MAX_FINAL_GAP: Duration = ms(2000);
/// The single client's calls have to be answered in time if they were made this long after the latest fault struck or
/// healed.
pub(super) const QUIET_BEFORE_CALL: Duration = ms(3000);
/// Longest time to the answer to such a call.
const CALL_TIME_LIMIT: Duration = ms(4000);

impl World<'_> {
    /// Checks the state that a primary publishes: it holds all that was acknowledged.
    pub(super) fn check_published(
        &mut self,
        n: usize,
        index: u64,
        document: &Configuration,
        drains: &[String],
    ) {
        if self.plan.workload.is_some() {
            return self.check_published_to_clients(n, index, document, drains);
        }
        let version = document.version;
        if let Err(violation) = self.record_version(index, version) {
            self.report_violation(n, violation);
        }
        let newest = self.single_client.newest;
        if version < newest {
            let description = format!("{version} published after {newest} was acknowledged");
            self.report_violation(n, Violation::new(description));
        }
        if let Err(violation) = self.single_client.check_in_force(version) {
            self.report_violation(n, violation);
        }
        let mut drained = self.single_client.drained.iter();
        if let Some(lost) = drained.find(|host| !drains.contains(host)) {
            let violation = Violation::new(format!("drain of {lost} lost"));
            self.report_violation(n, violation);
        }
    }

    /// Checks the state that a member restores at its start. It need not be the newest, and may be committed but not
    /// published yet; but whatever is published under its index, before or after, has to be the same.
    pub(super) fn check_restored(
        &mut self,
        n: usize,
        index: u64,
        document: &Configuration,
        drains: &[String],
    ) {
        let recorded = match self.plan.workload {
            Some(_) => {
                self.remember_published(n, document);
                let log = &mut self.request_log;
                log.record_published(index, document, drains)
            }
            None => self.record_version(index, document.version),
        };
        if let Err(violation) = recorded {
            self.report_violation(n, violation.at("after a start"));
        }
    }

    /// Records the version published under an index, in runs with the single client.
    fn record_version(&mut self, index: u64, version: u64) -> Result<(), Violation> {
        let known = *self.published.entry(index).or_insert(version);
        if known == version {
            return Ok(());
        }
        let description = format!("change {index} is {known} and {version}");
        Err(Violation::new(description))
    }

    pub(super) fn report_violation(&mut self, n: usize, violation: Violation) {
        let place = format!("{:?} node {n}", self.now);
        self.report.violations.push(violation.at(place));
    }

    /// Checks that no two members act at once, frozen or not: a primary answers reads from what it holds alone.
    pub(super) fn check_single_primary(&mut self, n: usize) {
        let acts = |n: usize| {
            let member = self.nodes[n].member.as_ref();
            member.is_some_and(|member| member.is_acting_primary_at(self.clock(n)))
        };
        if !acts(n) {
            return;
        }
        if let Some(other) = (0..self.nodes.len()).find(|other| *other != n && acts(*other)) {
            let memberships = self.describe_memberships();
            let description = format!("acts while {other} acts: {memberships}");
            self.report_violation(n, Violation::new(description));
        }
    }

    /// Checks what has to hold some time after each fault, whether it has healed or not.
    pub(super) fn run_checks(&mut self) {
        let quiet = self.now.saturating_sub(self.quiet_since);
        let started_at = self.gap_started_at.unwrap_or(self.now);
        let gap = self.now.saturating_sub(started_at).min(quiet);
        if gap > MAX_TIME_WITHOUT_PRIMARY && self.is_liveness_due() {
            let memberships = self.describe_memberships();
            let description = format!("nobody has acted for {gap:?}: {memberships}");
            self.report_violation(0, Violation::new(description));
        }
        if let Some(overdue) = self.overdue_request() {
            self.report_violation(0, overdue);
        }
        self.check_subscribers();
        self.schedule(self.now + CHECK_INTERVAL, 0, EventKind::RunChecks);
    }

    /// Whether a primary has to act, and requests have to be answered in time.
    pub(super) fn is_liveness_due(&self) -> bool {
        let recovers_now = self.plan.recovers && self.lasting_faults == 0;
        !self.plan.safety_only || recovers_now
    }

    /// The membership that each member knows, for people.
    fn describe_memberships(&self) -> String {
        let describe = |node: &Node| {
            let member = node.member.as_ref()?;
            let membership = member.membership().map(summarize_membership);
            Some((node.info.id, member.promised_epoch(), membership))
        };
        format!("{:?}", self.nodes.iter().map(describe).collect::<Vec<_>>())
    }

    /// Checks what has to hold in the end, and completes the report.
    pub(super) fn finish(mut self, end: Duration) -> Report {
        if self.is_liveness_due() {
            self.check_final_primary(end);
            self.check_final_calls(end);
        }
        if self.plan.workload.is_some() {
            if let Err(violation) = self.request_log.check_chain() {
                self.report.violations.push(violation);
            }
            return self.report;
        }
        self.report.acknowledged = self.single_client.acknowledged;
        self.report.slowest_response = self.single_client.slowest_response;
        self.report
    }

    fn check_final_primary(&mut self, end: Duration) {
        let acts = |node: &Node| node.member.as_ref().is_some_and(Member::is_acting_primary);
        let started_at = self.gap_started_at;
        let is_long = started_at.is_some_and(|from| end > from + MAX_FINAL_GAP);
        if is_long && !self.nodes.iter().any(acts) && self.report.violations.is_empty() {
            let memberships = self.describe_memberships();
            let violation = Violation::new(format!("{end:?}: nobody acts: {memberships}"));
            self.report.violations.push(violation);
        }
    }

    fn check_final_calls(&mut self, end: Duration) {
        let due_from = self.quiet_since + QUIET_BEFORE_CALL;
        let mut calls = self.single_client.calls.values();
        let overdue = calls.find(|call| {
            !call.unconfirmed_base
                && call.made_at > due_from
                && end > call.made_at + CALL_TIME_LIMIT
        });
        if let Some(call) = overdue {
            let (made_at, version) = (call.made_at, call.version);
            let violation = Violation::new(format!("no answer since {made_at:?} to {version}"));
            self.report.violations.push(violation);
        }
        let slowest = self.single_client.slowest_response;
        if slowest > CALL_TIME_LIMIT {
            let violation = Violation::new(format!("a call without faults took {slowest:?}"));
            self.report.violations.push(violation);
        }
    }
}
