//! Conversions between durations and milliseconds.

use std::time::Duration;

/// Converts a duration to ms.
pub(crate) fn as_ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// Converts ms to a duration, limited to the range from zero to 10⁶ s.
pub(crate) fn from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1000.0).clamp(0.0, 1e6))
}
