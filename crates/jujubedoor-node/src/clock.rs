//! The clocks of a VM: a monotonic clock for decisions and a hybrid logical clock for the timeline.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use jujubedoor::ids::Time;

/// Number of low bits of a hybrid timestamp that count events within a millisecond.
const COUNTER_BITS: u32 = 16;

/// Maximum lead of another VM's timestamp over the local wall clock, in milliseconds.
///
/// Timestamps further ahead do not advance the hybrid clock.
const MAX_LEAD_MS: u64 = 60_000;

/// The clocks of a VM.
#[derive(Debug)]
pub struct Clock {
    origin: Instant,
    hybrid: AtomicU64,
}

impl Clock {
    /// Creates the clocks; the monotonic time starts now.
    pub fn new() -> Self {
        Self { origin: Instant::now(), hybrid: AtomicU64::new(0) }
    }

    /// Returns the current monotonic time.
    pub fn now(&self) -> Time {
        // Starting at one second keeps time zero in the past.
        Time(millis(self.origin.elapsed()) + 1_000)
    }

    /// Returns the duration from now until a monotonic time, or zero if that has passed.
    pub fn duration_until(&self, time: Time) -> Duration {
        Duration::from_millis(time.since(self.now()))
    }

    /// Returns the time of day in Unix milliseconds, which may jump.
    pub fn wall_ms(&self) -> u64 {
        wall_ms()
    }

    /// Returns a hybrid timestamp that is greater than all that were returned, or accepted by
    /// [`observe`](Self::observe), before.
    pub fn stamp(&self) -> u64 {
        let physical = wall_ms() << COUNTER_BITS;
        let next = |last: u64| Some(physical.max(last + 1));
        let last = self.hybrid.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
        physical.max(last.unwrap_or_default() + 1)
    }

    /// Advances the hybrid clock past a timestamp received from another VM, unless that is too far ahead.
    pub fn observe(&self, stamp: u64) {
        if stamp >> COUNTER_BITS <= wall_ms() + MAX_LEAD_MS {
            self.hybrid.fetch_max(stamp, Ordering::Relaxed);
        }
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the milliseconds since the Unix epoch.
fn wall_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map(millis).unwrap_or_default()
}

/// Returns a duration in milliseconds, rounded down.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
