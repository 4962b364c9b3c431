//! The SplitMix64 generator (Steele, Lea and Flood, "Fast splittable pseudorandom number
//! generators", 2014), which needs no state beyond its seed.

/// Difference between two successive states.
pub(crate) const GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the first output of the generator with the seed `seed`.
pub(crate) fn splitmix64(seed: u64) -> u64 {
    let z = seed.wrapping_add(GAMMA);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
