//! Random choices from the seed that the settings give.

/// Spreads all bits of a number over all bits of the result (the finisher of SplitMix64).
pub(crate) fn mix(n: u64) -> u64 {
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

/// Random numbers by SplitMix64.
pub(crate) struct Random {
    state: u64,
}

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// A number below `limit`; 0 where `limit` is 0.
    pub(crate) fn below(&mut self, limit: usize) -> usize {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        ((u128::from(mix(self.state)) * limit as u128) >> 64) as usize
    }
}
