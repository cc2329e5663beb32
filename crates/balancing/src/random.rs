//! Pseudo-random numbers, seeded from the settings.

/// Mixes the bits of a number with the finalizer of SplitMix64: each input bit affects all output bits.
pub(crate) fn mix(n: u64) -> u64 {
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

/// A SplitMix64 pseudo-random number generator.
pub(crate) struct Random {
    state: u64,
}

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns a number below `limit`; 0 if `limit` is 0.
    pub(crate) fn below(&mut self, limit: usize) -> usize {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        ((u128::from(mix(self.state)) * limit as u128) >> 64) as usize
    }
}
