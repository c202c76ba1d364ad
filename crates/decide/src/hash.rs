//! Hash functions with the same results in every process and build.

/// Returns a 64-bit hash of `parts`, none of which may contain a NUL byte.
pub(crate) fn hash_parts(parts: &[&str]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    let mut low = [0; 8];
    low.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(low)
}

/// Returns the output function of SplitMix64 (Steele, Lea and Flood, 2014) for `seed`.
pub(crate) fn mix(seed: u64) -> u64 {
    let mut word = seed;
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
