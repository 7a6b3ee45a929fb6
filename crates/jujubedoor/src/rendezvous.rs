//! Rendezvous hashing: all VMs rank candidates in the same order without communicating.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the score of a candidate for a key. The candidate with the highest score is preferred.
pub fn score(key: u64, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), key)
}

/// Returns the score of a candidate for a key, such that candidates are preferred in proportion to
/// their weights. The candidate with the highest score is preferred.
pub fn weighted_score(key: u64, candidate: &str, weight: u32) -> f64 {
    let high_bits = u32::try_from(score(key, candidate) >> 32).unwrap_or(u32::MAX);
    let fraction = (f64::from(high_bits) + 0.5) / (f64::from(u32::MAX) + 1.0);
    -f64::from(weight) / fraction.ln()
}

/// Returns the hash key of a name.
pub fn key_of(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}
