//! Requests that are suspected of crashing the upstreams that run them.
//!
//! When an owner finds that an upstream crashed, it reports every request that was running there.
//! A request with one report runs only where no other suspect runs, so that a second crash names
//! it alone; with two reports it is refused. A request that runs to its end is cleared.

use std::num::NonZeroUsize;

use lru::LruCache;

use crate::ids::Fingerprint;
use crate::ids::Time;

/// The number of crashes after which a request is refused.
pub const REJECT_AFTER_CRASHES: u8 = 2;

/// The suspected requests that this VM knows of.
#[derive(Clone, Debug)]
pub struct CrashSuspects {
    known: LruCache<Fingerprint, Suspicion>,
    keep_ms: u64,
}

/// What is known of a suspected request.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    crashes: u8,
    since: Time,
}

impl CrashSuspects {
    /// Creates an empty table with a number of entries that are kept for a time.
    pub fn new(entries: usize, keep_ms: u64) -> Self {
        Self { known: LruCache::new(NonZeroUsize::new(entries).unwrap_or(NonZeroUsize::MIN)), keep_ms }
    }

    /// Counts a crash against a request.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, now: Time) {
        let crashes = self.crashes(fingerprint, now) + 1;
        let suspicion = Suspicion { crashes: crashes.min(REJECT_AFTER_CRASHES), since: now };
        self.known.put(fingerprint, suspicion);
    }

    /// Clears a request and tells whether it was suspected.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        self.known.pop(&fingerprint).is_some()
    }

    /// Returns the crashes that are counted against a request.
    pub fn crashes(&self, fingerprint: Fingerprint, now: Time) -> u8 {
        let known = self.known.peek(&fingerprint);
        known.filter(|s| now.since(s.since) <= self.keep_ms).map_or(0, |s| s.crashes)
    }

    /// Lists the suspected requests with their crashes.
    pub fn list(&self, now: Time) -> Vec<(Fingerprint, u8)> {
        let all = self.known.iter().map(|(fingerprint, _)| *fingerprint);
        all.map(|f| (f, self.crashes(f, now))).filter(|(_, crashes)| *crashes > 0).collect()
    }
}
