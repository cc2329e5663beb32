//! A quantile estimate that stores no samples.

/// Step of the estimate, as a share of the estimate, before it is weighted by the quantile.
const RELATIVE_STEP: f64 = 0.1;

/// Running estimate of a quantile. Each sample moves the estimate by a small step up or down; the steps are weighted so
/// that the share `quantile` of the samples lies below it.
#[derive(Debug)]
pub(crate) struct QuantileEstimate {
    quantile: f64,
    value: f64,
}

impl QuantileEstimate {
    pub(crate) fn new(quantile: f64, initial: f64) -> Self {
        Self {
            quantile,
            value: initial,
        }
    }

    pub(crate) fn add(&mut self, sample: f64) {
        let step = RELATIVE_STEP * self.value;
        self.value += if sample > self.value {
            step * self.quantile
        } else {
            -step * (1.0 - self.quantile)
        };
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }
}
