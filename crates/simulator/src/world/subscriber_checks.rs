//! Checks of what agents and proxies have in force.

use super::state::World;
use super::subscriber::{InForce, ProcessId};
use crate::plan::ms;
use crate::violation::Violation;
use std::time::Duration;

/// What was acknowledged longer ago than this is in force at each agent that reaches the members, without faults.
const MAX_READ_LAG: Duration = ms(2000);
/// After a fault has struck or healed, and after their own start, agents have this long to find a member.
const MAX_DISCOVERY_TIME: Duration = ms(4000);

impl World<'_> {
    /// Checks that what a process has in force never goes back while it runs.
    pub(super) fn check_never_goes_back(&mut self, process: ProcessId) {
        let Some(subscriber) = self.subscribers.get_mut(&process) else {
            return;
        };
        let now = InForce::of(&subscriber.mirror);
        let before = std::mem::replace(&mut subscriber.in_force, now);
        if now.index < before.index || now.version < before.version {
            let description = format!("{process:?} went back from {before:?} to {now:?}");
            self.report_violation(0, Violation::new(description));
        }
    }

    /// Checks each agent and proxy: what it has in force was published under that index, and while no fault strikes or
    /// heals nothing is missing that was acknowledged a while ago.
    pub(super) fn check_subscribers(&mut self) {
        let oldest_missing = self.now.saturating_sub(MAX_READ_LAG);
        let due = self.request_log.acknowledged_until(oldest_missing);
        let is_reader = |process: &ProcessId| !matches!(process, ProcessId::Member(_));
        let readers: Vec<ProcessId> = self.subscribers.keys().copied().collect();
        for process in readers.into_iter().filter(is_reader) {
            self.check_reader(process, due, oldest_missing);
        }
    }

    /// Checks one agent or proxy; `due` is the version that was acknowledged before `due_since`.
    fn check_reader(&mut self, process: ProcessId, due: u64, due_since: Duration) {
        let Some(subscriber) = self.subscribers.get(&process) else {
            return;
        };
        let in_force = InForce::of(&subscriber.mirror);
        let started_at = subscriber.started_at;
        let document = subscriber.mirror.configuration();
        if !self.request_log.was_published(in_force.index, document) {
            let description = format!("{process:?} has {in_force:?}, which was not published");
            self.report_violation(0, Violation::new(description));
        }
        let quiet = self.now.saturating_sub(self.quiet_since.max(started_at));
        let is_quiet = quiet > MAX_DISCOVERY_TIME + MAX_READ_LAG;
        let is_due = is_quiet && self.reaches_everyone(process) && self.is_liveness_due();
        if is_due && in_force.version < due {
            let version = in_force.version;
            let description = format!(
                "{process:?} has {version} while {due} was acknowledged before {due_since:?}"
            );
            self.report_violation(0, Violation::new(description));
        }
    }

    /// Whether no link of a process's machine is cut.
    fn reaches_everyone(&self, process: ProcessId) -> bool {
        let machine = process.machine();
        !self
            .cut
            .keys()
            .any(|(from, to)| *from == machine || *to == machine)
    }
}
