//! Rendezvous hashing: every VM computes the same order without talking to another.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the score of a candidate for a key; the highest score is the first choice.
pub fn score(key: u64, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), key)
}

/// Returns the score of a weighted candidate for a key; the highest score is the first choice.
pub fn weighted_score(key: u64, candidate: &str, weight: u32) -> f64 {
    let upper = u32::try_from(score(key, candidate) >> 32).unwrap_or(u32::MAX);
    let fraction = (f64::from(upper) + 0.5) / (f64::from(u32::MAX) + 1.0);
    -f64::from(weight) / fraction.ln()
}

/// Hashes a name to a key.
pub fn key_of(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}
