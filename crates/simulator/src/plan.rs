//! What a run consists of and what is checked in it, and its report.

use crate::faults::{Fault, TriggeredFault};
use crate::seeded_bug::SeededBug;
use crate::violation::Violation;
use std::time::Duration;

/// A duration in milliseconds.
pub(crate) const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A run: its size, faults and clients, and which invariants are checked.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Members at the start. The first three are the seeds.
    pub members: usize,
    /// Machines that may be lost at once.
    pub machine_losses: u32,
    /// Zones that may be lost at once, where zones are counted in place of machines.
    pub zone_losses: u32,
    /// Regions that may be lost at once, where regions are counted.
    pub region_losses: u32,
    /// Whether machines are assigned to zones in pairs, so that two of the three seeds share a zone.
    pub seeds_share_a_zone: bool,
    /// Largest drift of a member's clock, fast or slow, in millionths.
    pub clock_drift_ppm: u32,
    /// Length of the run, in simulated time.
    pub duration: Duration,
    /// Faults by the time at which they strike, counted from the start.
    pub faults: Vec<(Duration, Fault)>,
    /// A bug to be found by the checkers.
    pub seeded_bug: SeededBug,
    /// More is lost at once than the budget allows: only safety is checked, not that a primary acts.
    pub safety_only: bool,
    /// With [`Plan::safety_only`]: while no fault lasts, a primary has to act and requests are answered in time, whatever
    /// was lost at once before.
    pub recovers: bool,
    /// Faults that wait for a trigger.
    pub triggered_faults: Vec<TriggeredFault>,
    /// Faults wait until the budget allows them (unless [`Plan::safety_only`] is set), disks keep a random part of
    /// unfinished writes, and a primary has to act soon after each fault, healed or not.
    pub strict: bool,
    /// Several clients in place of the single one.
    pub workload: Option<ClientWorkload>,
    /// Number of agents that mirror the control plane, each with a proxy.
    pub agents: usize,
    /// Whether the run records a [`Report::trace`].
    pub trace: bool,
}

/// What several clients of the control plane do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientWorkload {
    /// Number of clients.
    pub clients: usize,
    /// Configuration requests that each has in flight at most, those on unconfirmed versions aside.
    pub max_in_flight: usize,
    /// Responses that are lost on their way, in percent.
    pub lost_response_percent: u64,
    /// Longest delay of a response.
    pub max_response_delay: Duration,
    /// Acknowledged requests that are sent again later, in percent.
    pub resend_percent: u64,
    /// Longest pause between two turns of a client.
    pub max_pause: Duration,
    /// Bytes that configurations are padded with at most.
    pub padding_bytes: usize,
    /// Requests that build on a version which isn't known to be in force, in percent.
    pub unconfirmed_base_percent: u64,
}

impl Default for ClientWorkload {
    fn default() -> Self {
        Self {
            clients: 2,
            max_in_flight: 2,
            lost_response_percent: 20,
            max_response_delay: ms(500),
            resend_percent: 30,
            max_pause: ms(160),
            padding_bytes: 0,
            unconfirmed_base_percent: 10,
        }
    }
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Invariants that didn't hold.
    pub violations: Vec<Violation>,
    /// Number of acknowledged requests.
    pub acknowledged: u64,
    /// The longest response time of a request without faults around it.
    pub slowest_response: Duration,
    /// Number of steps of members' state machines.
    pub steps: u64,
    /// Lengths of the spans without an acting primary.
    pub gaps: Vec<Duration>,
    /// Faults with the times at which they struck, where the plan leaves that to the run.
    pub injected_faults: Vec<(Duration, Fault)>,
    /// What happened, line by line, if the plan asks for it.
    pub trace: Vec<String>,
    /// Highest epoch that a member promised.
    pub highest_epoch: u64,
}

impl Plan {
    /// A run without faults.
    pub fn without_faults(seed: u64) -> Self {
        let (members, machine_losses, duration) = (3, 1, ms(12_000));
        Self {
            seed,
            members,
            machine_losses,
            zone_losses: 0,
            region_losses: 0,
            seeds_share_a_zone: false,
            clock_drift_ppm: 0,
            duration,
            faults: vec![],
            seeded_bug: SeededBug::Nothing,
            safety_only: false,
            recovers: false,
            triggered_faults: vec![],
            strict: false,
            workload: None,
            agents: 0,
            trace: false,
        }
    }
}
