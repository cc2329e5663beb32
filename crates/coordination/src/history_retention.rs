//! How long the puts of the groups are kept, so that watches can be resumed and puts that arrive again be recognized.
//!
//! The replicated state has no times. The primary notes from time to time how far each group has come; what was there
//! before the retention time may be dropped. A new primary starts to note anew, so puts are kept for longer then.

use crate::cells::CellGroup;
use crate::limits::SHORT_OF_MEMORY_BYTES;
use crate::state::CoordinationState;
use imbl::OrdMap;
use protocol::CoordinationChange;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Time between two notes.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// A group's history is trimmed by at least this many puts, unless memory is short.
const MIN_TRIMMED_PUTS: u64 = 64;

/// How far the groups had come at a time.
#[derive(Clone, Debug)]
struct Sample {
    at: Duration,
    groups: OrdMap<Arc<str>, CellGroup>,
}

/// Decides when puts aren't kept any more.
#[derive(Clone, Debug)]
pub struct HistoryRetention {
    retention: Duration,
    samples: VecDeque<Sample>,
}

impl HistoryRetention {
    /// Puts are kept for at least `retention`.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            samples: VecDeque::new(),
        }
    }

    /// When [`due_trims`](Self::due_trims) has to be called next; none before there is any cell.
    pub fn next_at(&self) -> Option<Duration> {
        self.samples.back().map(|last| last.at + SAMPLE_INTERVAL)
    }

    /// Notes how far the groups have come, and returns the changes by which old puts are dropped; `state` is committed.
    pub fn due_trims(
        &mut self,
        state: &CoordinationState,
        now: Duration,
    ) -> Vec<CoordinationChange> {
        let is_due = self.next_at().is_none_or(|at| now >= at);
        if !is_due || state.groups.is_empty() {
            return Vec::new();
        }
        self.samples.push_back(Sample {
            at: now,
            groups: state.groups.clone(),
        });
        let mut old = None;
        while self
            .samples
            .front()
            .is_some_and(|sample| sample.at + self.retention <= now)
        {
            old = self.samples.pop_front();
        }
        old.map_or_else(Vec::new, |sample| trims(state, &sample))
    }
}

fn trims(state: &CoordinationState, sample: &Sample) -> Vec<CoordinationChange> {
    let is_short_of_memory = state.bytes() > SHORT_OF_MEMORY_BYTES;
    let least = if is_short_of_memory {
        1
    } else {
        MIN_TRIMMED_PUTS
    };
    let trim = |(name, then): (&Arc<str>, &CellGroup)| {
        let floor = then.revision();
        let kept_from = state.group(name)?.floor();
        (floor >= kept_from + least).then(|| CoordinationChange::HistoryTrimmed {
            group: name.to_string(),
            floor,
        })
    };
    sample.groups.iter().filter_map(trim).collect()
}
