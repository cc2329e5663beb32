//! Withholding of a configuration from a member without contact with a primary, while another member may have a newer
//! one.

use crate::timing::CONFIRMATION_TIMEOUT;
use std::time::Duration;

/// Treatment of an unconfirmed configuration: one sent by a member without contact with a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unconfirmed {
    /// Shown at once.
    Shown,
    /// To be withheld; none has arrived yet.
    Awaited,
    /// One has arrived and is withheld until this time.
    WithheldUntil(Duration),
}

impl Unconfirmed {
    /// Whether a configuration is withheld now.
    pub(super) fn is_withholding(self) -> bool {
        self.deadline().is_some()
    }

    /// Returns the time until which a configuration is withheld.
    pub(super) fn deadline(self) -> Option<Duration> {
        match self {
            Self::WithheldUntil(at) => Some(at),
            Self::Shown | Self::Awaited => None,
        }
    }

    /// Records the arrival of an unconfirmed configuration.
    pub(super) fn on_unconfirmed(&mut self, now: Duration) {
        if *self == Self::Awaited {
            *self = Self::WithheldUntil(now + CONFIRMATION_TIMEOUT);
        }
    }

    /// Shows every configuration from now on. Returns whether one was withheld.
    pub(super) fn show(&mut self) -> bool {
        std::mem::replace(self, Self::Shown).is_withholding()
    }
}
