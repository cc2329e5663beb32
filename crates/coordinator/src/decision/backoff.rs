//! A time that doubles with each step, up to a bound (exponential backoff).

/// Bounds of a time that grows, in seconds.
pub(super) struct Backoff {
    pub(super) initial: f64,
    pub(super) max: f64,
}

impl Backoff {
    /// The time after one of this length.
    pub(super) fn next(&self, length: f64) -> f64 {
        (2.0 * length).clamp(self.initial, self.max)
    }
}
