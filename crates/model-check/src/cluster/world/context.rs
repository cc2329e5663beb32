//! What holds while an action is applied.

use crate::cluster::Scenario;

/// The scenario, and what the action that is being applied changes about it.
pub(super) struct ActionContext<'s> {
    pub(super) scenario: &'s Scenario,
    /// The machine whose messages and answers are lost.
    pub(super) muted: Option<usize>,
}
