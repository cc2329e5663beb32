//! Exponential backoff with a lower and an upper bound.

/// A duration that doubles with each step, with its bounds in seconds.
pub(super) struct Backoff {
    pub(super) initial: f64,
    pub(super) max: f64,
}

impl Backoff {
    /// Returns the duration that follows one of `length` seconds.
    pub(super) fn next(&self, length: f64) -> f64 {
        (2.0 * length).clamp(self.initial, self.max)
    }
}
