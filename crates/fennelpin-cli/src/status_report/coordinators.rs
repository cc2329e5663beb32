//! The coordinators (machines with agent and proxy), as the members see them from their pulls.

use serde_json::Value;
use std::collections::BTreeMap;

/// An agent that hasn't pulled for longer than this, in ms, is partitioned or stopped: a pull waits for 2 s at most.
const MAX_PULL_INTERVAL_MS: u64 = 5000;
/// A coordinator that has lacked a newer version for at most this time, in ms, is about to get it.
const MAX_PROPAGATION_MS: u64 = 2000;

/// A coordinator, put together from what several members report of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoordinatorState {
    /// Its zone.
    pub zone: String,
    /// Version of the configuration that it has in force.
    pub version: u64,
    /// Time since its latest pull from any member, in ms.
    pub pulled_ms_ago: u64,
    /// Time for which it has lacked a newer version, in ms.
    pub behind_ms: Option<u64>,
    /// Whether it has stopped pulling from all members.
    pub gone: bool,
}

impl CoordinatorState {
    /// Why it doesn't have the newest version in force; `None` where it has.
    ///
    /// ```
    /// use fennelpin_cli::status_report::CoordinatorState;
    /// let late = CoordinatorState { version: 3, behind_ms: Some(9000), ..CoordinatorState::default() };
    /// assert!(late.lag(3).is_none());
    /// assert!(late.lag(4).unwrap().contains("its proxy hasn't taken it"));
    /// ```
    pub fn lag(&self, newest_version: u64) -> Option<String> {
        if self.version >= newest_version {
            return None;
        }
        let duration = self
            .behind_ms
            .map_or_else(String::new, |ms| format!(" for {ms} ms"));
        Some(format!("behind{duration}: {}", self.lag_cause()))
    }

    fn lag_cause(&self) -> String {
        if self.gone {
            return "its agent has stopped pulling: machine down, cut off, or replaced".to_owned();
        }
        if self.pulled_ms_ago > MAX_PULL_INTERVAL_MS {
            return format!(
                "its agent hasn't pulled for {} ms: cut off or standing still",
                self.pulled_ms_ago
            );
        }
        let cause = if self.behind_ms.is_some_and(|ms| ms <= MAX_PROPAGATION_MS) {
            "it is on its way"
        } else if self.version == 0 {
            "its agent pulls, its proxy hasn't taken any version: is it up?"
        } else {
            "its agent pulls, its proxy hasn't taken it: see the proxy's log"
        };
        cause.to_owned()
    }

    fn from_json(coordinator: &Value) -> Self {
        Self {
            zone: coordinator["zone"].as_str().unwrap_or_default().to_owned(),
            version: coordinator["version"].as_u64().unwrap_or_default(),
            pulled_ms_ago: coordinator["pulled_ms_ago"].as_u64().unwrap_or_default(),
            behind_ms: coordinator["behind_ms"].as_u64(),
            gone: coordinator["gone"] == true,
        }
    }

    /// Adds what another member reports of the same coordinator.
    fn merge(&mut self, other: &Self) {
        self.gone &= other.gone;
        self.pulled_ms_ago = self.pulled_ms_ago.min(other.pulled_ms_ago);
        if other.version > self.version {
            self.version = other.version;
            self.behind_ms = other.behind_ms;
        } else if other.version == self.version {
            self.behind_ms = self.behind_ms.max(other.behind_ms);
        }
    }
}

/// The coordinators that the members' statuses name, by name.
pub fn coordinators(statuses: &[Value]) -> BTreeMap<String, CoordinatorState> {
    let reported = statuses
        .iter()
        .filter_map(|status| status["coordinators"].as_array())
        .flatten();
    let mut coordinators: BTreeMap<String, CoordinatorState> = BTreeMap::new();
    for coordinator in reported {
        let Some(name) = coordinator["name"].as_str() else {
            continue;
        };
        let state = CoordinatorState::from_json(coordinator);
        match coordinators.get_mut(name) {
            Some(known) => known.merge(&state),
            None => {
                coordinators.insert(name.to_owned(), state);
            }
        }
    }
    coordinators
}

/// A table with a line for each coordinator.
pub(super) fn coordinator_table(statuses: &[Value], newest_version: u64) -> Vec<String> {
    let mut lines = vec![format!(
        "{:<20} {:<14} {:>9}  state",
        "coordinator", "zone", "version"
    )];
    for (name, coordinator) in coordinators(statuses) {
        let state = coordinator
            .lag(newest_version)
            .unwrap_or_else(|| "in force".to_owned());
        lines.push(format!(
            "{name:<20} {:<14} {:>9}  {state}",
            coordinator.zone, coordinator.version
        ));
    }
    lines
}
