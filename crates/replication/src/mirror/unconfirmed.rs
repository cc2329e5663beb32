//! A configuration from a member without contact to a primary, withheld while another member may know a newer one.

use crate::timing::CONFIRMATION_TIMEOUT;
use std::time::Duration;

/// What becomes of an unconfirmed configuration: one that a member without contact to a primary sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unconfirmed {
    /// It is shown at once.
    Shown,
    /// It will be withheld; none has come yet.
    Awaited,
    /// One has come and is withheld until this time.
    WithheldUntil(Duration),
}

impl Unconfirmed {
    /// Whether a configuration is withheld now.
    pub(super) fn is_withholding(self) -> bool {
        self.deadline().is_some()
    }

    /// Until when a configuration is withheld.
    pub(super) fn deadline(self) -> Option<Duration> {
        match self {
            Self::WithheldUntil(at) => Some(at),
            Self::Shown | Self::Awaited => None,
        }
    }

    /// An unconfirmed configuration has come.
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
