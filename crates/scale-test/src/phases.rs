//! The phases of a run: what fails in each, and for how long.

use crate::deployment::{Deployment, IoSnafu, RunError, STARTUP_TIMEOUT};
use crate::lock;
use crate::operator;
use crate::plan::RunPlan;
use crate::report::PhaseReport;
use crate::simulated_coordinators::CoordinatorCommand;
use crate::simulated_hosts::HostCommand;
use snafu::ResultExt;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Pause between two checks whether all coordinators have the first configuration.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for a member's graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(3);
/// Step from one replaced host's number to the next, a prime: so all hosts have their turn.
const CHURN_STEP: usize = 7919;

/// Plays a run. `on_report` gets the report of each phase as the phase ends; all of them are returned too.
///
/// # Errors
/// Where processes can't be started, or the system doesn't come up.
pub async fn run(
    plan: RunPlan,
    mut on_report: impl FnMut(&PhaseReport),
) -> Result<Vec<PhaseReport>, RunError> {
    let mut deployment = Deployment::start(plan)?;
    let operator = operator::send_changes(
        deployment.plan.clone(),
        deployment.controls.clone(),
        deployment.acknowledged.clone(),
    );
    tokio::select! {
        () = operator => Ok(Vec::new()),
        reports = deployment.run_phases(&mut on_report) => reports,
    }
}

/// What the last zone has of everything.
struct Zone {
    members: Vec<usize>,
    coordinators: Vec<usize>,
    hosts: Vec<usize>,
}

impl Deployment {
    async fn run_phases(
        &mut self,
        on_report: &mut impl FnMut(&PhaseReport),
    ) -> Result<Vec<PhaseReport>, RunError> {
        let mut reports = Vec::new();
        let mut report = |phase: PhaseReport| {
            on_report(&phase);
            reports.push(phase);
        };
        report(self.start_all().await?);
        // All hosts send a heartbeat, and all of them get known.
        sleep(2 * self.plan.heartbeat_interval).await;
        report(self.run_calm().await);
        let zone = self.last_zone();
        report(self.lose_zone(&zone).await);
        report(self.restore_zone(zone).await?);
        report(self.replace_member().await?);
        report(self.freeze_majority().await?);
        for member in std::mem::take(&mut self.members).into_values() {
            member.terminate(SHUTDOWN_TIMEOUT);
        }
        Ok(reports)
    }

    /// All coordinators and hosts start, and get the first configuration.
    async fn start_all(&self) -> Result<PhaseReport, RunError> {
        let before = self.sample();
        self.ramp_up().await;
        let deadline = Instant::now() + STARTUP_TIMEOUT;
        while !self.all_have_configuration() {
            if Instant::now() > deadline {
                return Err(RunError::NotStarted);
            }
            sleep(STARTUP_CHECK_INTERVAL).await;
        }
        Ok(self.report("start", &before))
    }

    fn all_have_configuration(&self) -> bool {
        let logs = lock(&self.coordinator_logs);
        logs.iter().all(|log| !log.versions.is_empty())
    }

    /// Nothing fails.
    async fn run_calm(&self) -> PhaseReport {
        let before = self.sample();
        self.pass_time(self.plan.phase).await;
        self.report("calm", &before)
    }

    fn last_zone(&self) -> Zone {
        let zones = self.plan.zones.max(1);
        let last = self.plan.zones.saturating_sub(1);
        let is_in_zone = |n: &usize| n % zones == last;
        Zone {
            members: self.members.keys().copied().filter(is_in_zone).collect(),
            coordinators: (0..self.plan.coordinators).filter(is_in_zone).collect(),
            hosts: (0..self.plan.hosts).filter(is_in_zone).collect(),
        }
    }

    /// All processes of a zone end at once.
    async fn lose_zone(&mut self, zone: &Zone) -> PhaseReport {
        let before = self.sample();
        for n in &zone.members {
            self.members.remove(n);
        }
        self.command_coordinators(zone.coordinators.clone(), CoordinatorCommand::Stop);
        self.command_hosts(HostCommand::Crash(zone.hosts.clone()));
        self.pass_time(self.plan.phase).await;
        self.report("zone lost", &before)
    }

    /// The zone's processes start again.
    async fn restore_zone(&mut self, zone: Zone) -> Result<PhaseReport, RunError> {
        let before = self.sample();
        for n in zone.members {
            self.start_member(n, false)?;
        }
        self.command_coordinators(zone.coordinators, CoordinatorCommand::Start);
        self.command_hosts(HostCommand::Start(zone.hosts));
        self.pass_time(self.plan.phase).await;
        Ok(self.report("zone back", &before))
    }

    /// A member is lost for good. Another one joins at another address, with an empty disk.
    async fn replace_member(&mut self) -> Result<PhaseReport, RunError> {
        let before = self.sample();
        let lost = self.members.keys().next().copied().unwrap_or_default();
        self.members.remove(&lost);
        let new = self.plan.members;
        self.start_member(new, false)?;
        let (lost, new) = (self.plan.control(lost), self.plan.control(new));
        for control in lock(&self.controls).iter_mut() {
            if *control == lost {
                *control = new;
            }
        }
        self.pass_time(self.plan.phase).await;
        Ok(self.report("member replaced", &before))
    }

    /// A majority of the members is frozen for a while.
    async fn freeze_majority(&mut self) -> Result<PhaseReport, RunError> {
        let before = self.sample();
        let majority = self.members.len() / 2 + 1;
        for member in self.members.values().take(majority) {
            member.freeze().context(IoSnafu { what: "freeze" })?;
        }
        self.pass_time(self.plan.freeze).await;
        for member in self.members.values().take(majority) {
            member.thaw().context(IoSnafu { what: "thaw" })?;
        }
        self.pass_time(self.plan.phase).await;
        Ok(self.report("core frozen", &before))
    }

    /// Lets time pass, in which hosts are replaced.
    async fn pass_time(&self, duration: Duration) {
        let mut remaining = duration;
        let mut number = 0;
        while !remaining.is_zero() {
            let step = remaining.min(self.plan.churn_interval);
            sleep(step).await;
            remaining -= step;
            number = (number + CHURN_STEP) % self.plan.hosts.max(1);
            self.command_hosts(HostCommand::Replace(number));
        }
    }
}
