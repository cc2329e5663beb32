//! The auditor: from the ledgers of hosts, discovery and clients it checks what a coordinator has to keep.
//! It takes nothing that a coordinator says for true, and reads neither its log nor its counters.
//!
//! | module | rules |
//! | --- | --- |
//! | `answers` | what clients got, against what hosts gave |
//! | `repeats` | attempts of one part: overlap, number, repeats that its class forbids |
//! | `hosts` | where attempts went: draining, cold and wrong hosts |

mod answers;
mod attempts;
mod hosts;
mod repeats;

pub(crate) use attempts::{attempts, Attempt};

use crate::plan::Plan;
use crate::record::{ProcessHistory, QueryRecord};
use crate::scenario::Scenario;
use fake_hosts::event_log::Event;
use fake_hosts::model::Micros;
use serde::Serialize;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A query that a running coordinator took has no answer, or none in time.
    Lost,
    /// More than one answer.
    Twice,
    /// Two attempts of a part at once.
    Overlap,
    /// More attempts than the cap, or a repeat that its class forbids.
    Attempts,
    /// New work for a host that drains or is gone.
    Drain,
    /// A cold host was pushed over.
    Cold,
    /// An answer that says more than is true.
    Honest,
    /// A part that nobody asked for, or at the wrong host.
    Stray,
}

impl Rule {
    /// All of them.
    pub const ALL: [Self; 8] = [
        Self::Lost,
        Self::Twice,
        Self::Overlap,
        Self::Attempts,
        Self::Drain,
        Self::Cold,
        Self::Honest,
        Self::Stray,
    ];
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When, in microseconds since the run's epoch.
    pub at: Micros,
    /// The client's query, where one is concerned.
    pub query: Option<u32>,
    /// What happened.
    pub what: String,
}

/// All that the auditor looks at.
pub struct Evidence<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// The plan.
    pub plan: &'a Plan,
    /// What clients saw, in the plan's order.
    pub queries: &'a [QueryRecord],
    /// What hosts and discovery saw, by time.
    pub events: &'a [Event],
    /// What happened to the coordinators.
    pub processes: &'a ProcessHistory,
}

impl Evidence<'_> {
    /// Slack on limits of time, in microseconds.
    fn slack_us(&self) -> Micros {
        self.scenario.audit.slack_ms * 1000
    }
}

/// Checks all rules; violations by time.
pub fn audit(evidence: &Evidence) -> Vec<Violation> {
    let attempts = attempts(evidence.events);
    let mut found = Vec::new();
    answers::check(evidence, &attempts, &mut found);
    repeats::check(evidence, &attempts, &mut found);
    hosts::check_drains(evidence, &attempts, &mut found);
    hosts::check_cold(evidence, &attempts, &mut found);
    hosts::check_strays(evidence, &attempts, &mut found);
    found.sort_by_key(|v| v.at);
    found
}
