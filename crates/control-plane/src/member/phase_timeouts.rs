//! How long each phase of a campaign may last, and what follows when its time is over.

use super::candidate::{CandidateState, ElectionPhase};
use super::committed_state::snapshot_bytes;
use super::transfer_time::transfer_time;
use super::{Member, Output};
use std::time::Duration;

/// A candidate doesn't know how large the snapshot is that it fetches. Each time that its time was too short, the next
/// attempt takes twice as long, up to this many doublings.
const MAX_FETCH_DOUBLINGS: u32 = 4;
/// A phase that may last longer than this part of a lease's duration is long: half of one is usual.
const LONG_PHASE_FRACTION: f64 = 0.75;
/// How often a candidate in a long phase tells its voters that it goes on, as a part of a lease's duration.
const PROGRESS_FRACTION: f64 = 0.25;

/// What earlier campaigns of this member have shown about how long phases take.
#[derive(Clone, Debug, Default)]
pub(super) struct PhaseTimeouts {
    /// How often in a row the time to fetch a snapshot was too short.
    fetch_doublings: u32,
    /// A campaign has ended for lack of answers since this member was last primary or accepted a membership configuration.
    expects_slow_disks: bool,
}

impl PhaseTimeouts {
    /// A snapshot was fetched in time.
    pub(super) fn reset_fetch(&mut self) {
        self.fetch_doublings = 0;
    }

    /// A membership configuration was installed or accepted.
    pub(super) fn reset_slow_disks(&mut self) {
        self.expects_slow_disks = false;
    }

    /// A phase ended for lack of answers.
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
    /// Ends a campaign whose phase has lasted too long, and tells the voters of a long one that it goes on.
    pub(super) fn run_candidate(&mut self, out: &mut Vec<Output>) {
        let Some(candidate) = self.role.candidate() else {
            return;
        };
        // A departing member campaigns no more, but a primary changes its membership configuration until it has handed over.
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

    /// Gives a campaign up; the next one is due once others have had their turn.
    pub(super) fn abandon_campaign(&mut self) {
        self.step_down();
        self.election_at = self.election_at.max(self.now) + self.election_delay();
    }

    /// If a majority has promised in time, too few replicas are better than no primary: only a primary can add voters.
    /// Returns false if that doesn't help.
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

    /// How long a candidate waits for others to write: half a lease's duration or, once that was too short, as long as a
    /// disk may take that still counts as healthy.
    fn write_timeout(&self) -> Duration {
        let half_lease = self.config.lease_duration / 2;
        if !self.phase_timeouts.expects_slow_disks {
            return half_lease;
        }
        half_lease.max(self.config.disk_stall_timeout + half_lease / 4)
    }

    /// When the phase of a candidate that transfers a large snapshot ends; none for other members.
    pub(super) fn long_phase_end(&self) -> Option<Duration> {
        let candidate = self.role.candidate()?;
        let timeout = self.phase_timeout(candidate);
        let is_long = timeout > self.config.lease_duration.mul_f64(LONG_PHASE_FRACTION);
        is_long.then_some(candidate.phase_started_at() + timeout)
    }

    /// Sets when the voters that promised are next told that a large snapshot is on its way.
    pub(super) fn schedule_progress_report(&mut self) {
        let next = self.now + self.config.lease_duration.mul_f64(PROGRESS_FRACTION);
        if let Some(candidate) = self.role.candidate_mut() {
            candidate.set_next_progress_report(next);
        }
    }

    /// Voters that promised wait for as long as they hear that a large snapshot is on its way.
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

    pub(super) fn candidate_wake(&self) -> Option<Duration> {
        let candidate = self.role.candidate()?;
        let phase_end = candidate.phase_started_at() + self.phase_timeout(candidate);
        Some(match self.long_phase_end() {
            Some(_) => phase_end.min(candidate.next_progress_report_at()),
            None => phase_end,
        })
    }
}
