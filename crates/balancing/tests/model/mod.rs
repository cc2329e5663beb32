//! A queueing model of model hosts behind several proxies: batches, prefill in chunks between tokens, prefix
//! caches. It runs on a clock of its own; the same seed gives the same run.
#![allow(dead_code, reason = "each test file uses a part of it")]

use balancing::PromptPart;

pub mod engine;
pub mod report;
pub mod router;
pub mod simulation;
pub mod traffic;

/// Microseconds since the run began.
pub type Time = u64;

pub const SECOND: Time = 1_000_000;

pub fn from_ms(ms: f64) -> Time {
    (ms.max(0.0) * 1000.0) as Time
}

pub const fn part(id: u64, tokens: u32) -> PromptPart {
    PromptPart { id, tokens }
}

/// SplitMix64.
#[derive(Clone)]
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let n = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        n ^ (n >> 31)
    }

    /// Between 0 and 1, neither of them.
    pub fn unit(&mut self) -> f64 {
        ((self.next() >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }

    pub fn below(&mut self, n: usize) -> usize {
        ((u128::from(self.next()) * n as u128) >> 64) as usize
    }

    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * self.unit().ln()
    }

    /// Log-normal with this mean and coefficient of variation, at most `max`.
    pub fn spread(&mut self, mean: f64, variation: f64, max: f64) -> f64 {
        let sigma = (1.0 + variation * variation).ln().sqrt();
        let normal = (-2.0 * self.unit().ln()).sqrt() * (std::f64::consts::TAU * self.unit()).cos();
        (mean * (sigma * normal - sigma * sigma / 2.0).exp()).clamp(1.0, max)
    }
}
