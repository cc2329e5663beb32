//! Pseudo-random numbers. The runtime supplies the seed; a member takes no randomness from the system, so that a
//! simulation can repeat a run.

use std::time::Duration;

/// The increment of SplitMix64 (Steele, Lea and Flood 2014).
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// A xorshift64* generator (Vigna 2016).
#[derive(Clone, Debug)]
pub(super) struct Random {
    state: u64,
}

impl Random {
    pub(super) fn new(seed: u64) -> Self {
        // The state must not be 0.
        Self { state: seed | 1 }
    }

    /// A duration from 0 up to, but not including, `limit`.
    pub(super) fn duration_below(&mut self, limit: Duration) -> Duration {
        self.state ^= self.state >> 12;
        self.state ^= self.state << 25;
        self.state ^= self.state >> 27;
        let bits = self.state.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 40;
        let fraction = bits as f64 / (1u64 << 24) as f64;
        limit.mul_f64(fraction)
    }
}

/// The base of an incarnation's request ids. It is random, so that an answer to a command of an earlier incarnation is
/// never taken for an answer to one of this incarnation. SplitMix64 spreads the seed over all bits.
pub(super) fn request_id_base(seed: u64) -> u64 {
    let mixed = seed.wrapping_add(GOLDEN_GAMMA);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The offset of an incarnation's clock as it is sent to primaries, in ms.
pub(super) fn clock_base_ms(seed: u64) -> u64 {
    seed.wrapping_add(1).wrapping_mul(GOLDEN_GAMMA)
}
