//! Requests suspected of crashing the upstreams that run them.
//!
//! When an upstream crashes, its admission owner reports every request that was running there. A
//! request with one recorded crash only runs on an upstream that runs no other suspect, so that a
//! second crash can be attributed to it alone. A request with two recorded crashes is rejected. A
//! request that completes is no longer suspected.

use std::num::NonZeroUsize;

use lru::LruCache;

use crate::ids::Fingerprint;
use crate::ids::Time;

/// Number of crashes after which a request is rejected.
pub const REJECT_AFTER_CRASHES: u8 = 2;

/// The suspected requests known to this VM.
#[derive(Clone, Debug)]
pub struct CrashSuspects {
    entries: LruCache<Fingerprint, Suspicion>,
    retention_ms: u64,
}

/// The crashes attributed to one request.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    crashes: u8,
    last_crash_at: Time,
}

impl CrashSuspects {
    /// Creates an empty table that holds at most `capacity` requests, each for `retention_ms`.
    pub fn new(capacity: usize, retention_ms: u64) -> Self {
        Self {
            entries: LruCache::new(NonZeroUsize::new(capacity).unwrap_or(NonZeroUsize::MIN)),
            retention_ms,
        }
    }

    /// Records a crash of an upstream that was running a request.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, now: Time) {
        let crashes = self.crashes(fingerprint, now) + 1;
        let suspicion = Suspicion { crashes: crashes.min(REJECT_AFTER_CRASHES), last_crash_at: now };
        self.entries.put(fingerprint, suspicion);
    }

    /// Clears the suspicion of a request. Returns whether the request was suspected.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        self.entries.pop(&fingerprint).is_some()
    }

    /// Returns the number of crashes recorded for a request.
    pub fn crashes(&self, fingerprint: Fingerprint, now: Time) -> u8 {
        let entry = self.entries.peek(&fingerprint);
        entry.filter(|s| now.since(s.last_crash_at) <= self.retention_ms).map_or(0, |s| s.crashes)
    }

    /// Returns the suspected requests and the number of crashes recorded for each.
    pub fn list(&self, now: Time) -> Vec<(Fingerprint, u8)> {
        let fingerprints = self.entries.iter().map(|(fingerprint, _)| *fingerprint);
        fingerprints.map(|f| (f, self.crashes(f, now))).filter(|(_, crashes)| *crashes > 0).collect()
    }
}
