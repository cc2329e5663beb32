//! A configuration from a member that is cut off, held back while another member may know better.

use crate::puller::CONNECT_TIMEOUT;
use std::time::Duration;

/// How long a process that starts with nothing waits for a member that has a primary, before it shows what one that
/// is cut off told: by then each member that can be reached has answered.
pub const CONFIRMATION_TIMEOUT: Duration = CONNECT_TIMEOUT;

/// What becomes of a configuration that a member told which is cut off from a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Withheld {
    /// It is shown at once.
    Never,
    /// It will be withheld; none has come yet.
    Nothing,
    /// One has come and is withheld until this time.
    Until(Duration),
}

impl Withheld {
    /// Whether there is one that isn't shown.
    pub(super) fn holds(self) -> bool {
        self.until().is_some()
    }

    /// Until when it is withheld.
    pub(super) fn until(self) -> Option<Duration> {
        match self {
            Self::Until(at) => Some(at),
            Self::Never | Self::Nothing => None,
        }
    }

    /// One comes from a member that is cut off.
    pub(super) fn begin(&mut self, now: Duration) {
        if *self == Self::Nothing {
            *self = Self::Until(now + CONFIRMATION_TIMEOUT);
        }
    }

    /// From now on whatever comes is shown. True where one was withheld.
    pub(super) fn end(&mut self) -> bool {
        std::mem::replace(self, Self::Never).holds()
    }
}
