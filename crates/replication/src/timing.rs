//! Timeouts, intervals and limits shared by the puller and the mirror.

use std::time::Duration;

/// Number of members from which an agent pulls.
pub const MEMBERS_PER_AGENT: usize = 3;

/// Time for which a pull waits at the member for an update, in ms.
pub const PULL_WAIT_MS: u32 = 1000;

/// Interval at which standby members are polled for updates that the preferred member hasn't sent.
pub const STANDBY_POLL_INTERVAL: Duration = Duration::from_millis(700);

/// Pause of a puller after an update, so that changes during the pause arrive in one answer. The members' work thus
/// grows with the number of coordinators, not with that number times the number of changes.
#[derive(Clone, Copy, Debug)]
pub struct UpdatePause {
    /// Pause per coordinator that pulls.
    pub per_coordinator: Duration,
    /// Upper limit of the pause.
    pub max: Duration,
}

/// Pause after an update, for pullers that pull from members.
pub const UPDATE_PAUSE: UpdatePause = UpdatePause {
    per_coordinator: Duration::from_millis(1),
    max: Duration::from_millis(200),
};

impl UpdatePause {
    /// Returns the pause for this number of pulling coordinators.
    pub(crate) fn for_coordinators(self, coordinators: usize) -> Duration {
        let coordinators = u32::try_from(coordinators).unwrap_or(u32::MAX);
        self.per_coordinator
            .saturating_mul(coordinators)
            .min(self.max)
    }
}

/// Time that an answer may take beyond [`PULL_WAIT_MS`].
pub const ANSWER_SLACK: Duration = Duration::from_millis(700);

/// Longest time to establish a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Age above which a member counts as out of contact with a primary, in ms.
pub const STALE_AGE_MS: u32 = 1500;

/// Time for which a process that starts without state withholds an unconfirmed configuration. By its end each reachable
/// member has answered, including one that started a few hundred milliseconds after the first.
pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(700);

/// Initial backoff after a failed connection. Doubles with each failure up to [`MAX_BACKOFF`].
pub(crate) const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Upper limit of the backoff after failed connections.
pub(crate) const MAX_BACKOFF: Duration = Duration::from_millis(1000);

/// Pause after an answer that came early and brought nothing new.
pub(crate) const EARLY_ANSWER_PAUSE: Duration = Duration::from_millis(50);
