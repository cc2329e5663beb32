//! A running linear regression.

/// Upper bound of the effective number of points; older points decay exponentially.
const MAX_EFFECTIVE_POINTS: f64 = 128.0;
/// Weight of the assumed slope, equal to that of 8 points at a distance of 4000 from the mean.
const PRIOR_WEIGHT: f64 = 8.0 * 4000.0 * 4000.0;
/// Largest factor by which the slope may differ from the assumed slope, up or down.
const MAX_SLOPE_FACTOR: f64 = 8.0;
/// Lower bound of the intercept.
const MIN_INTERCEPT: f64 = 1.0;

/// Least squares line with exponential decay, regularized towards an assumed slope.
#[derive(Debug)]
pub(crate) struct LinearTrend {
    points: f64,
    mean_x: f64,
    mean_y: f64,
    variance_x: f64,
    covariance: f64,
    prior_slope: f64,
}

impl LinearTrend {
    /// Creates a line through one point at (0, `intercept`) with the assumed slope `slope`.
    pub(crate) fn new(intercept: f64, slope: f64) -> Self {
        Self {
            points: 1.0,
            mean_x: 0.0,
            mean_y: intercept,
            variance_x: 0.0,
            covariance: 0.0,
            prior_slope: slope,
        }
    }

    pub(crate) fn add(&mut self, x: f64, y: f64) {
        self.points = (self.points + 1.0).min(MAX_EFFECTIVE_POINTS);
        let gain = 1.0 / self.points;
        let (dx, dy) = (x - self.mean_x, y - self.mean_y);
        self.mean_x += gain * dx;
        self.mean_y += gain * dy;
        self.variance_x = (1.0 - gain) * (self.variance_x + gain * dx * dx);
        self.covariance = (1.0 - gain) * (self.covariance + gain * dx * dy);
    }

    /// Returns the rise of y per unit of x.
    pub(crate) fn slope(&self) -> f64 {
        let (points, prior) = (self.points, self.prior_slope);
        let slope = (points * self.covariance + PRIOR_WEIGHT * prior)
            / (points * self.variance_x + PRIOR_WEIGHT);
        slope.clamp(prior / MAX_SLOPE_FACTOR, prior * MAX_SLOPE_FACTOR)
    }

    /// Returns the value of the line at x = 0.
    pub(crate) fn intercept(&self) -> f64 {
        (self.mean_y - self.slope() * self.mean_x).max(MIN_INTERCEPT)
    }
}
