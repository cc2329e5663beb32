//! Reproducible pseudo-random numbers (xorshift).

pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// A number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }

    /// True with a probability of 1 / `bound`.
    pub fn one_in(&mut self, bound: u64) -> bool {
        self.below(bound) == 0
    }
}
