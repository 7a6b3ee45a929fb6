//! The clocks of a VM: a monotonic one for decisions, a hybrid logical one for the time line.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use jujubedoor::ids::Time;

/// How many bits of a hybrid time count events within a millisecond.
const COUNTER_BITS: u32 = 16;

/// How far another VM's clock may pull this one ahead, in milliseconds.
const AHEAD_MS: u64 = 60_000;

/// The clocks of a VM.
#[derive(Debug)]
pub struct Clock {
    origin: Instant,
    hybrid: AtomicU64,
}

impl Clock {
    /// Starts the clocks.
    pub fn new() -> Self {
        Self { origin: Instant::now(), hybrid: AtomicU64::new(0) }
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Time {
        // An origin of one second keeps the zero time in the past.
        Time(millis(self.origin.elapsed()) + 1_000)
    }

    /// Returns how long it is until a monotonic time.
    pub fn duration_until(&self, time: Time) -> Duration {
        Duration::from_millis(time.since(self.now()))
    }

    /// Returns a hybrid time that is later than all earlier ones.
    pub fn stamp(&self) -> u64 {
        let physical = wall_ms() << COUNTER_BITS;
        let next = |last: u64| Some(physical.max(last + 1));
        let last = self.hybrid.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
        physical.max(last.unwrap_or_default() + 1)
    }

    /// Moves the hybrid time past one that another VM sent, unless that is far ahead.
    pub fn observe(&self, stamp: u64) {
        if stamp >> COUNTER_BITS <= wall_ms() + AHEAD_MS {
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

/// Returns a duration in whole milliseconds.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
