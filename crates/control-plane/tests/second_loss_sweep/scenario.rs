//! A scenario: members, an operator that sends one configuration request after the other, and the actions that are due.

use crate::faults::{Change, FailureDomain, Fault, Layout};
use crate::support::event_cluster::Cluster;
use crate::support::ms;
use crate::support::recovered::recover;
use configuration::ResultCode;
use std::time::Duration;

/// Time after its start until a machine no longer counts as lost.
const CATCH_UP_TIME: Duration = ms(5000);
/// Time within which a request is acknowledged once no more is lost than the budget allows.
const ACKNOWLEDGE_TIMEOUT: Duration = ms(5000);
/// Time in which the members start, join and agree on a stable membership.
const SETTLE_TIME: Duration = ms(5000);
/// Time between two checks by the operator whether its request was answered.
const OPERATOR_POLL_INTERVAL: Duration = ms(170);
/// Time between the sending of an answered request and the next one.
const REQUEST_INTERVAL: Duration = ms(500);
/// Time after which a request without an answer is sent again.
const REQUEST_TIMEOUT: Duration = ms(1000);
/// Time until a killed, wiped or replaced machine starts; also the duration of a fault that ends by itself.
const FAULT_DURATION: Duration = ms(1000);
/// Duration of the isolation or of the slow disk if that is the change in progress.
const CHANGE_DURATION: Duration = ms(3000);
/// Longest time without an acting primary during a membership change.
const MEMBERSHIP_CHANGE_TIME: Duration = ms(100);
/// Duration of a write to a slow disk.
const SLOW_WRITE_DELAY: Duration = ms(400);

/// An action that is due at a later time; the numbers are machines.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    Start(usize),
    /// Starts a machine once the process that was terminated in this incarnation has exited.
    StartAfterExit(usize, u32),
    StartWiped(usize),
    /// Adds a machine in the zone of this one.
    Add(usize),
    Terminate(usize),
    /// Connects an isolated machine again.
    Reconnect(usize),
    /// Makes a slow disk as fast as before.
    RestoreDiskSpeed(usize),
}

/// Members, an operator that sends one configuration request after the other, and the scheduled actions.
#[derive(Clone)]
pub struct Scenario {
    pub cluster: Cluster,
    failure_domain: FailureDomain,
    zones: Vec<String>,
    /// The newest version that was acknowledged.
    acknowledged: u64,
    /// The version of the latest request.
    requested: u64,
    /// Ticket of the latest request, and when it was sent.
    request: Option<(u64, Duration)>,
    requests_sent: usize,
    scheduled: Vec<(Duration, Action)>,
    /// Whether the operator recovered from one replica's disk: the machines are then other ones than at the start.
    is_recovered: bool,
}

impl Scenario {
    pub fn new(layout: &Layout) -> Self {
        let mut cluster = Cluster::start(layout.budget, layout.zones);
        cluster.apply_configuration(0, 1);
        cluster.run(SETTLE_TIME);
        let zones = layout.zones.iter().map(|z| (*z).to_owned()).collect();
        let scheduled = Vec::new();
        Self {
            cluster,
            failure_domain: layout.failure_domain,
            zones,
            acknowledged: 1,
            requested: 1,
            request: None,
            requests_sent: 0,
            scheduled,
            is_recovered: false,
        }
    }

    /// The machine at which a fault with target number `n` is injected, if there is one.
    pub fn machine(&self, n: usize) -> Option<usize> {
        if self.is_recovered {
            return self.running().get(n).copied();
        }
        (n < self.cluster.machine_count()).then_some(n)
    }

    /// Running machines in the failure domain of this one.
    pub fn failure_domain_of(&self, n: usize) -> Vec<usize> {
        let region = |n: usize| self.zones[n].split_once('/').map(|place| place.0);
        let is_in_domain = |other: &usize| match self.failure_domain {
            FailureDomain::Machine => *other == n,
            FailureDomain::Zone => self.zones[*other] == self.zones[n],
            FailureDomain::Region => region(*other) == region(n),
        };
        self.running().into_iter().filter(is_in_domain).collect()
    }

    /// Machines whose process is running.
    pub fn running(&self) -> Vec<usize> {
        (0..self.cluster.machine_count())
            .filter(|n| self.cluster.is_running(*n))
            .collect()
    }

    /// Schedules an action for a time `after` from now.
    pub fn schedule(&mut self, after: Duration, action: Action) {
        self.scheduled.push((self.cluster.now + after, action));
    }

    /// Runs the actions that are due.
    pub fn run_due_actions(&mut self) {
        let now = self.cluster.now;
        while let Some(due) = self.scheduled.iter().position(|action| action.0 <= now) {
            match self.scheduled.remove(due).1 {
                Action::Start(n) if !self.cluster.is_running(n) => self.cluster.restart(n),
                Action::StartAfterExit(n, incarnation)
                    if self.cluster.incarnation(n) == incarnation =>
                {
                    self.schedule(ms(50), Action::StartAfterExit(n, incarnation));
                }
                Action::StartAfterExit(n, incarnation)
                    if self.cluster.incarnation(n) == incarnation + 1 =>
                {
                    self.cluster.restart(n);
                }
                Action::StartWiped(n) => self.cluster.wipe(n),
                Action::Terminate(n) if self.cluster.is_running(n) => self.cluster.terminate(n),
                Action::Add(n) => self.add_machine(n),
                Action::Reconnect(n) => self.cluster.set_isolated(n, false),
                Action::RestoreDiskSpeed(n) => drop(self.cluster.write_times.remove(&n)),
                Action::Start(_) | Action::StartAfterExit(..) | Action::Terminate(_) => {}
            }
        }
    }

    /// Adds a machine in the zone of `neighbour`.
    pub fn add_machine(&mut self, neighbour: usize) {
        let zone = self.zones[neighbour].clone();
        self.cluster.add_machine(&zone);
        self.zones.push(zone);
    }

    /// Handles the answer to the operator's request, and sends the request again or the next one to the next running
    /// machine.
    pub fn run_operator(&mut self) {
        let answer = self
            .request
            .and_then(|(ticket, _)| self.cluster.answer(ticket));
        if answer == Some(ResultCode::Ok) {
            self.acknowledged = self.acknowledged.max(self.requested);
        }
        let running = self.running();
        let pause = if answer.is_none() {
            REQUEST_TIMEOUT
        } else {
            REQUEST_INTERVAL
        };
        let is_waiting = self
            .request
            .is_some_and(|(_, at)| self.cluster.now < at + pause);
        if is_waiting && answer != Some(ResultCode::NoPrimary) {
            return;
        }
        self.request = None;
        if let Some(n) = running.get(self.requests_sent % running.len().max(1)) {
            self.requested = self.acknowledged + 1;
            let command = Cluster::configure_command(self.acknowledged, self.requested);
            self.request = Some((self.cluster.send_command(*n, command), self.cluster.now));
            self.requests_sent += 1;
        }
    }

    /// Runs for a span of simulated time, or until the membership changes have taken this number of steps.
    pub fn run(&mut self, duration: Duration, step: Option<u64>) {
        let end = self.cluster.now + duration;
        let is_step_reached = |c: &Cluster| step.is_some_and(|step| c.change_steps >= step);
        while self.cluster.now < end && !is_step_reached(&self.cluster) {
            self.run_due_actions();
            self.run_operator();
            let next_due = self
                .scheduled
                .iter()
                .map(|action| action.0)
                .chain([end, self.cluster.now + OPERATOR_POLL_INTERVAL])
                .min();
            let pause = next_due
                .unwrap_or(end)
                .saturating_sub(self.cluster.now)
                .max(ms(1));
            self.cluster.run_until(pause, is_step_reached);
        }
    }

    /// Starts a change at a machine.
    pub fn begin_change(&mut self, change: Change, n: usize) {
        match change {
            Change::Join => self.add_machine(n),
            Change::Replace => {
                self.add_machine(n);
                self.run(CATCH_UP_TIME, None);
                self.cluster.terminate(n);
            }
            Change::Remove => self.cluster.terminate(n),
            Change::RemoveTwo => {
                self.cluster.terminate(n);
                let other = (n + 1) % self.cluster.machine_count();
                self.schedule(ms(20), Action::Terminate(other));
            }
            Change::Restart => {
                self.cluster.terminate(n);
                let incarnation = self.cluster.incarnation(n);
                self.schedule(ms(50), Action::StartAfterExit(n, incarnation));
            }
            Change::Kill => {
                self.cluster.kill(n);
                self.schedule(ms(1300), Action::Start(n));
            }
            Change::Wipe => {
                self.cluster.kill(n);
                self.schedule(FAULT_DURATION, Action::StartWiped(n));
            }
            Change::Lose => {
                self.cluster.kill(n);
                self.schedule(FAULT_DURATION, Action::Add(n));
            }
            Change::Isolate => self.isolate(n, CHANGE_DURATION),
            Change::SlowDisk => self.slow_down_disk(n, CHANGE_DURATION),
            Change::Recover => self.recover_from_one_replica(),
        }
    }

    fn isolate(&mut self, n: usize, duration: Duration) {
        self.cluster.set_isolated(n, true);
        self.schedule(duration, Action::Reconnect(n));
    }

    fn slow_down_disk(&mut self, n: usize, duration: Duration) {
        self.cluster.write_times.insert(n, SLOW_WRITE_DELAY);
        self.schedule(duration, Action::RestoreDiskSpeed(n));
    }

    /// Loses all members but the last replica for good, recovers from that replica as an operator, and starts empty
    /// machines in place of the others.
    fn recover_from_one_replica(&mut self) {
        let survivor = self.cluster.replicas().pop().unwrap();
        let running = self.running();
        for n in &running {
            self.cluster.kill(*n);
        }
        self.is_recovered = true;
        // Answers that haven't reached the operator by now are lost.
        self.request = None;
        recover(&mut self.cluster, survivor);
        for n in running.into_iter().filter(|n| *n != survivor) {
            self.add_machine(n);
        }
    }

    /// Injects a fault at the machines of a failure domain, or at all running machines.
    pub fn inject(&mut self, fault: Fault, domain: &[usize]) {
        let hits_all = matches!(
            fault,
            Fault::KillAll
                | Fault::KillAllAfterWrites
                | Fault::KillAllDuringWrite
                | Fault::KillAllLoseSome
        );
        let targets = if hits_all {
            self.running()
        } else {
            domain.to_vec()
        };
        for n in targets {
            match fault {
                Fault::Isolate => {
                    self.isolate(n, FAULT_DURATION);
                    continue;
                }
                Fault::SlowDisk => {
                    self.slow_down_disk(n, FAULT_DURATION);
                    continue;
                }
                Fault::KillAfterWrites | Fault::KillAllAfterWrites => {
                    self.cluster.kill_after_writes(n);
                }
                Fault::KillDuringWrite | Fault::KillAllDuringWrite => {
                    self.cluster.kill_during_write(n);
                }
                _ => self.cluster.kill(n),
            }
            let is_lost =
                fault == Fault::Lose || (fault == Fault::KillAllLoseSome && domain.contains(&n));
            let restart = match (fault, is_lost) {
                (_, true) => Action::Add(n),
                (Fault::Wipe, _) => Action::StartWiped(n),
                _ => Action::Start(n),
            };
            self.schedule(FAULT_DURATION, restart);
        }
    }

    /// Checks that a request on the last acknowledged version is acknowledged within [`ACKNOWLEDGE_TIMEOUT`], so
    /// nothing acknowledged was lost. Returns a description of the failure otherwise.
    pub fn check_request_acknowledged(&mut self) -> Result<(), String> {
        let before = self.acknowledged;
        let end = self.cluster.now + ACKNOWLEDGE_TIMEOUT;
        while self.acknowledged == before && self.cluster.now < end {
            self.run(OPERATOR_POLL_INTERVAL, None);
        }
        if self.acknowledged > before {
            Ok(())
        } else {
            Err(format!(
                "{before} is the last acknowledged version: {:?}",
                self.cluster.memberships()
            ))
        }
    }

    /// Checks that a request is acknowledged in time after the fault and, once the members have caught up, after the
    /// loss of the primary's failure domain too.
    pub fn check_recovery(&mut self) -> Result<(), String> {
        self.run(FAULT_DURATION, None);
        self.check_request_acknowledged()
            .map_err(|e| format!("after the fault: {e}"))?;
        self.run(CATCH_UP_TIME, None);
        // A membership change may be in progress, for a few messages.
        let has_primary = |cluster: &Cluster| cluster.primary().is_some();
        self.cluster.run_until(MEMBERSHIP_CHANGE_TIME, has_primary);
        let Some(primary) = self.cluster.primary() else {
            return Err("there is no acting primary".into());
        };
        self.scheduled.clear();
        for n in self.failure_domain_of(primary) {
            self.cluster.kill(n);
        }
        self.check_request_acknowledged()
            .map_err(|e| format!("after the next loss: {e}"))
    }
}
