//! Exit codes beside 0 and clap's own.

/// The command failed.
pub(crate) const FAILED: u8 = 2;
/// A rule was broken.
pub(crate) const BROKEN: u8 = 3;
/// The run is void: it says nothing of the coordinators.
pub(crate) const VOID: u8 = 4;
/// A coordinator crashed.
pub(crate) const CRASHED: u8 = 5;
