//! Running statistics. None of them has a clock of its own.

mod linear_trend;
mod quantile;
mod sliding_count;

pub(crate) use linear_trend::LinearTrend;
pub(crate) use quantile::QuantileEstimate;
pub(crate) use sliding_count::SlidingCount;
