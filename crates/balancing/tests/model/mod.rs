//! A queueing model of model hosts behind several proxies, with batching, chunked prefill and prefix caches. It has a
//! simulated clock; the same seed gives the same run.
#![allow(dead_code, reason = "each test file uses only some of the model")]

use balancing::PromptPart;

pub mod engine;
pub mod report;
pub mod router;
pub mod simulation;
pub mod traffic;

/// Time since the start of the run, or a duration, in microseconds.
pub type Time = u64;

pub const SECOND: Time = 1_000_000;

/// Converts ms to a time; negative numbers become 0.
pub fn from_ms(ms: f64) -> Time {
    (ms.max(0.0) * 1000.0) as Time
}

pub const fn part(id: u64, tokens: u32) -> PromptPart {
    PromptPart { id, tokens }
}

/// A SplitMix64 pseudo-random number generator.
#[derive(Clone)]
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let n = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        n ^ (n >> 31)
    }

    /// Returns a uniformly distributed number between 0 and 1, both excluded.
    pub fn uniform(&mut self) -> f64 {
        ((self.next() >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }

    /// Returns a number below `n`; 0 if `n` is 0.
    pub fn below(&mut self, n: usize) -> usize {
        ((u128::from(self.next()) * n as u128) >> 64) as usize
    }

    /// Returns an exponentially distributed number with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * self.uniform().ln()
    }

    /// Returns a log-normally distributed number with this mean and coefficient of variation, limited to the range from
    /// 1 to `max`.
    pub fn log_normal(&mut self, mean: f64, variation: f64, max: f64) -> f64 {
        let sigma = (1.0 + variation * variation).ln().sqrt();
        let normal =
            (-2.0 * self.uniform().ln()).sqrt() * (std::f64::consts::TAU * self.uniform()).cos();
        (mean * (sigma * normal - sigma * sigma / 2.0).exp()).clamp(1.0, max)
    }
}
