//! Time limits of a campaign's phases, and what follows when a phase exceeds its limit.

use super::candidate::{CandidateState, ElectionPhase};
use super::committed_state::snapshot_bytes;
use super::transfer_time::transfer_time;
use super::{Member, Output};
use std::time::Duration;

/// Maximum number of times that the fetch time-out is doubled. A candidate doesn't know the size of the snapshot that
/// it fetches, so after each time-out the next attempt gets twice as long.
const MAX_FETCH_DOUBLINGS: u32 = 4;
/// A phase whose limit exceeds this fraction of a lease's duration is long; the usual limit is half a lease.
const LONG_PHASE_FRACTION: f64 = 0.75;
/// Interval between progress reports of a candidate in a long phase, as a fraction of a lease's duration.
const PROGRESS_FRACTION: f64 = 0.25;

/// What earlier campaigns of this member have shown about the duration of phases.
#[derive(Clone, Debug, Default)]
pub(super) struct PhaseTimeouts {
    /// Number of successive fetches of a snapshot that timed out.
    fetch_doublings: u32,
    /// Whether a campaign has timed out since this member was last primary or accepted a membership configuration.
    expects_slow_disks: bool,
}

impl PhaseTimeouts {
    /// Notes that a snapshot was fetched in time.
    pub(super) fn reset_fetch(&mut self) {
        self.fetch_doublings = 0;
    }

    /// Notes that a membership configuration was installed or accepted.
    pub(super) fn reset_slow_disks(&mut self) {
        self.expects_slow_disks = false;
    }

    /// Notes that a phase timed out.
    fn record_timeout(&mut self, phase: ElectionPhase) {
        match phase {
            ElectionPhase::PreVote => {}
            ElectionPhase::Fetch => {
                self.fetch_doublings = (self.fetch_doublings + 1).min(MAX_FETCH_DOUBLINGS);
            }
            _ => self.expects_slow_disks = true,
        }
    }
}

impl Member {
    /// Abandons a campaign whose phase has exceeded its limit, or sends the progress reports of a long phase.
    pub(super) fn run_candidate(&mut self, out: &mut Vec<Output>) {
        let Some(candidate) = self.role.candidate() else {
            return;
        };
        // A departing member doesn't campaign any more, but a primary changes its membership configuration until it
        // has handed over.
        let departs = self.departure.is_some() && !candidate.is_reconfiguring_primary();
        let timed_out = self.now >= candidate.phase_started_at() + self.phase_timeout(candidate);
        if !timed_out && !departs {
            return self.report_progress(out);
        }
        self.phase_timeouts.record_timeout(candidate.phase());
        if departs || !self.continue_under_replicated(out) {
            self.abandon_campaign();
        }
    }

    /// Ends a campaign without success. The next one is due once other members have had their turn.
    pub(super) fn abandon_campaign(&mut self) {
        self.step_down();
        self.election_at = self.election_at.max(self.now) + self.election_delay();
    }

    /// If a majority has promised in time, continues with too few replicas. That is better than no primary, because
    /// only a primary can add voters. Returns false if the campaign can't continue.
    fn continue_under_replicated(&mut self, out: &mut Vec<Output>) -> bool {
        let now = self.now;
        let Some(candidate) = self.role.candidate_mut() else {
            return false;
        };
        if candidate.phase() != ElectionPhase::Prepare || candidate.allows_under_replication() {
            return false;
        }
        candidate.allow_under_replication(now);
        self.on_promises_changed(out);
        let candidate = self.role.candidate();
        candidate.is_some_and(|candidate| candidate.phase() != ElectionPhase::Prepare)
    }

    fn phase_timeout(&self, candidate: &CandidateState) -> Duration {
        let half_lease = self.config.lease_duration / 2;
        match (candidate.phase(), candidate.target()) {
            (ElectionPhase::PreVote, _) => half_lease,
            (ElectionPhase::Fetch, _) => half_lease * (1 << self.phase_timeouts.fetch_doublings),
            (ElectionPhase::Replicas, Some(target)) => {
                self.write_timeout() + transfer_time(snapshot_bytes(&target.state))
            }
            _ => self.write_timeout(),
        }
    }

    /// How long a candidate waits for other members to write: half a lease's duration or, once that was too short, as
    /// long as a disk may take that still counts as healthy.
    fn write_timeout(&self) -> Duration {
        let half_lease = self.config.lease_duration / 2;
        if !self.phase_timeouts.expects_slow_disks {
            return half_lease;
        }
        half_lease.max(self.config.disk_stall_timeout + half_lease / 4)
    }

    /// When the phase of a candidate that transfers a large snapshot ends; `None` in other cases.
    pub(super) fn long_phase_end(&self) -> Option<Duration> {
        let candidate = self.role.candidate()?;
        let timeout = self.phase_timeout(candidate);
        let is_long = timeout > self.config.lease_duration.mul_f64(LONG_PHASE_FRACTION);
        is_long.then_some(candidate.phase_started_at() + timeout)
    }

    /// Sets the time of the next progress report to the voters that promised.
    pub(super) fn schedule_progress_report(&mut self) {
        let next = self.now + self.config.lease_duration.mul_f64(PROGRESS_FRACTION);
        if let Some(candidate) = self.role.candidate_mut() {
            candidate.set_next_progress_report(next);
        }
    }

    /// Tells the voters that promised that a large snapshot is being transferred, if a report is due. They wait while
    /// they receive such reports.
    fn report_progress(&mut self, out: &mut Vec<Output>) {
        let Some(candidate) = self.role.candidate() else {
            return;
        };
        if self.long_phase_end().is_none() || self.now < candidate.next_progress_report_at() {
            return;
        }
        let epoch = candidate.epoch();
        let others = candidate.promised_by().filter(|id| *id != self.own_id());
        let others: Vec<u64> = others.collect();
        self.schedule_progress_report();
        self.send_prepare(epoch, others, out);
    }

    pub(super) fn candidate_wake_at(&self) -> Option<Duration> {
        let candidate = self.role.candidate()?;
        let phase_end = candidate.phase_started_at() + self.phase_timeout(candidate);
        Some(match self.long_phase_end() {
            Some(_) => phase_end.min(candidate.next_progress_report_at()),
            None => phase_end,
        })
    }
}
