//! Pseudo-random numbers, the same for the same seed.

/// SplitMix64 generator. It is seeded by the host, so that a run can be repeated exactly.
pub(crate) struct Random(pub u64);

impl Random {
    /// The next number, uniform from 0 (inclusive) to 1 (exclusive).
    pub fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
