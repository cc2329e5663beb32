//! A quantile without stored samples.

/// Change of the estimate with one sample, as a share of the estimate.
const STEP: f64 = 0.1;

/// Running estimate of a quantile: each sample moves it by a small step up or down, the steps weighted so that the
/// wanted share of samples lies below it.
#[derive(Debug)]
pub(crate) struct QuantileEstimate {
    share_below: f64,
    value: f64,
}

impl QuantileEstimate {
    pub(crate) fn new(share_below: f64, initial: f64) -> Self {
        Self {
            share_below,
            value: initial,
        }
    }

    pub(crate) fn add(&mut self, sample: f64) {
        let step = STEP * self.value;
        self.value += if sample > self.value {
            step * self.share_below
        } else {
            -step * (1.0 - self.share_below)
        };
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }
}
