//! Retention of the groups' histories, which allow watches to resume and repeated puts to be recognized.
//!
//! The replicated state holds no times. The primary samples the groups' revisions periodically; puts up to a sample
//! that is older than the retention time may be dropped. A new primary starts without samples, so puts are kept longer
//! after a change of the primary.

use crate::cells::CellGroup;
use crate::limits::MEMORY_PRESSURE_BYTES;
use crate::state::CoordinationState;
use imbl::OrdMap;
use protocol::CoordinationChange;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum number of puts to trim from a group's history, unless memory is short.
const MIN_TRIMMED_PUTS: u64 = 64;

/// The groups at one time.
#[derive(Clone, Debug)]
struct GroupsSample {
    taken_at: Duration,
    groups: OrdMap<Arc<str>, CellGroup>,
}

/// Decides when puts are dropped from the histories.
#[derive(Clone, Debug)]
pub struct HistoryRetention {
    retention: Duration,
    samples: VecDeque<GroupsSample>,
}

impl HistoryRetention {
    /// Creates a policy that keeps puts for at least `retention`.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            samples: VecDeque::new(),
        }
    }

    /// Returns the time at which [`due_trims`](Self::due_trims) must be called next; `None` before the first sample.
    pub fn next_at(&self) -> Option<Duration> {
        self.samples
            .back()
            .map(|last| last.taken_at + SAMPLE_INTERVAL)
    }

    /// Samples the groups if a sample is due, and returns the changes that drop old puts. `state` is the committed
    /// state.
    pub fn due_trims(
        &mut self,
        state: &CoordinationState,
        now: Duration,
    ) -> Vec<CoordinationChange> {
        let is_due = self.next_at().is_none_or(|due_at| now >= due_at);
        if !is_due || state.groups.is_empty() {
            return Vec::new();
        }
        self.samples.push_back(GroupsSample {
            taken_at: now,
            groups: state.groups.clone(),
        });
        let mut latest_expired = None;
        while self
            .samples
            .front()
            .is_some_and(|sample| sample.taken_at + self.retention <= now)
        {
            latest_expired = self.samples.pop_front();
        }
        latest_expired.map_or_else(Vec::new, |sample| trims_up_to(state, &sample))
    }
}

fn trims_up_to(state: &CoordinationState, sample: &GroupsSample) -> Vec<CoordinationChange> {
    let is_under_memory_pressure = state.bytes() > MEMORY_PRESSURE_BYTES;
    let min_trimmed_puts = if is_under_memory_pressure {
        1
    } else {
        MIN_TRIMMED_PUTS
    };
    let trim = |(name, sampled): (&Arc<str>, &CellGroup)| {
        let floor = sampled.revision();
        let current_floor = state.group(name)?.floor();
        (floor >= current_floor + min_trimmed_puts).then(|| CoordinationChange::HistoryTrimmed {
            group: name.to_string(),
            floor,
        })
    };
    sample.groups.iter().filter_map(trim).collect()
}
