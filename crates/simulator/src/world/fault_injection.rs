//! How faults strike and heal.

use super::budget::RESTART_SPREAD;
use super::event::EventKind;
use super::state::World;
use crate::faults::{Fault, FaultTrigger, GRACEFUL_SHUTDOWN_TIME};
use crate::plan::ms;
use control_plane::member::Input;
use std::time::Duration;

/// Ids of machines that join in the course of a run begin here.
const FIRST_JOINER_ID: u64 = 1000;
/// Writes that a stalled disk held back complete after this.
const WRITE_TIME_AFTER_STALL: Duration = ms(2);

impl World<'_> {
    /// Injects a fault, and schedules its end.
    pub(super) fn inject(&mut self, fault: Fault) {
        self.lasting_faults += 1;
        self.quiet_since = if self.plan.strict {
            self.now
        } else {
            Duration::MAX / 2
        };
        self.trace(|_| format!("strikes: {fault:?}"));
        let heals_after = match fault {
            Fault::Term(_, d) => d + GRACEFUL_SHUTDOWN_TIME,
            Fault::Retire(_) => GRACEFUL_SHUTDOWN_TIME,
            other => other.duration(),
        };
        match fault {
            Fault::Kill(n, d) | Fault::Power(n, d) => self.stop_process(n, d),
            Fault::Term(n, d) => self.shut_down_gracefully(n, Some(d)),
            Fault::Retire(n) => self.shut_down_gracefully(n, None),
            Fault::Join => self.join_machine(Duration::ZERO),
            Fault::Wipe(n, d) => {
                self.stop_process(n, d);
                self.wipe(n);
            }
            Fault::Replace(n, d) => {
                self.nodes[n].gone = true;
                self.stop_process(n, d);
                self.join_machine(d);
            }
            Fault::Freeze(n, d) => self.freeze(n, d),
            Fault::Cut(n, _, direction) => self.cut_machine(n, direction, true),
            Fault::Stall(n, d) => {
                self.nodes[n].disk.stalled = true;
                self.nodes[n].fault_ends.stalled = self.now + d;
            }
            Fault::Full(n, d) => {
                self.nodes[n].disk.full = true;
                self.nodes[n].fault_ends.full = self.now + d;
            }
            Fault::Slow(n, d, slowdown) => {
                self.nodes[n].disk.slowdown = slowdown;
                self.nodes[n].fault_ends.slow = self.now + d;
            }
            Fault::CutPair(a, b, d) => {
                self.cut_links(&[(a, b), (b, a)], true);
                for n in [a, b] {
                    self.nodes[n].fault_ends.apart = self.now + d;
                }
            }
            Fault::CutZone(zone, _, direction) => self.cut_zone(zone, direction, true),
            Fault::Split(parts, _) => self.split(parts, true),
            Fault::Agent(k, d) => self.restart_agent(k, d),
            Fault::KillAll(d) => self.stop_all(d, None),
            Fault::PowerAll(d, wiped) => self.stop_all(d, wiped),
        }
        self.schedule(self.now + heals_after, 0, EventKind::HealFault(fault));
    }

    /// A member is asked to leave; its process ends a while later, and starts again after `back`, if at all.
    fn shut_down_gracefully(&mut self, n: usize, back: Option<Duration>) {
        self.step(n, Input::Depart);
        let end = EventKind::EndProcess(n, back);
        self.schedule(self.now + GRACEFUL_SHUTDOWN_TIME, n, end);
        self.fire_trigger(FaultTrigger::Leaving, n);
    }

    /// Adds a machine, whose process starts after `delay`.
    fn join_machine(&mut self, delay: Duration) {
        let n = self.nodes.len();
        self.add_machine(FIRST_JOINER_ID + n as u64);
        self.schedule(self.now + delay, n, EventKind::Start);
    }

    fn freeze(&mut self, n: usize, duration: Duration) {
        let node = &mut self.nodes[n];
        if !node.frozen {
            node.fault_ends.frozen_since = self.now;
        }
        node.frozen = true;
        node.fault_ends.frozen = self.now + duration;
    }

    /// All processes end at once; one machine loses its disk, too.
    fn stop_all(&mut self, back: Duration, wiped: Option<usize>) {
        // In strict plans writes that are under way may still reach the disk that is lost.
        if let Some(n) = wiped.filter(|_| !self.plan.strict) {
            self.wipe(n);
        }
        for n in 0..self.nodes.len() {
            if !self.nodes[n].gone {
                let spread = ms(self.random_below(RESTART_SPREAD.as_millis() as u64));
                self.stop_process(n, back + spread);
            }
        }
        if let Some(n) = wiped.filter(|_| self.plan.strict) {
            self.wipe(n);
        }
    }

    /// A process that was asked to leave ends, and starts again after `back`, if at all.
    pub(super) fn end_process(&mut self, n: usize, back: Option<Duration>) {
        if self.nodes[n].gone {
            return;
        }
        self.nodes[n].gone = back.is_none();
        self.stop_process(n, back.unwrap_or_default());
    }

    /// A fault ends. Where several of one kind overlap, the last one counts.
    pub(super) fn heal(&mut self, fault: Fault) {
        self.trace(|_| format!("heals: {fault:?}"));
        self.lasting_faults -= 1;
        let now = self.now;
        let lasts = |until: Duration| self.plan.strict && until > now;
        match fault {
            Fault::Freeze(n, _) if lasts(self.nodes[n].fault_ends.frozen) => {}
            Fault::Stall(n, _) if lasts(self.nodes[n].fault_ends.stalled) => {}
            Fault::Full(n, _) if lasts(self.nodes[n].fault_ends.full) => {}
            Fault::Slow(n, ..) if lasts(self.nodes[n].fault_ends.slow) => {}
            Fault::CutPair(a, b, _) => self.cut_links(&[(a, b), (b, a)], false),
            Fault::CutZone(zone, _, direction) => self.cut_zone(zone, direction, false),
            Fault::Split(parts, _) => self.split(parts, false),
            Fault::Freeze(n, _) => self.thaw(n),
            Fault::Cut(n, _, direction) => self.cut_machine(n, direction, false),
            Fault::Stall(n, _) => {
                self.nodes[n].disk.stalled = false;
                self.schedule_deferred(n, WRITE_TIME_AFTER_STALL);
            }
            Fault::Full(n, _) => self.nodes[n].disk.full = false,
            Fault::Slow(n, ..) => self.nodes[n].disk.slowdown = 1,
            _ => {}
        }
        self.quiet_since = self.now;
    }

    fn thaw(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        if node.frozen {
            node.total_frozen += self.now - node.fault_ends.frozen_since;
        }
        node.frozen = false;
        self.schedule_deferred(n, Duration::ZERO);
    }

    /// Schedules what a machine's freeze or stall deferred.
    fn schedule_deferred(&mut self, n: usize, delay: Duration) {
        for (node, event) in std::mem::take(&mut self.nodes[n].deferred_events) {
            self.schedule(self.now + delay, node, event);
        }
    }
}
