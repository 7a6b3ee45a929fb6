//! The ramp of a cold upstream: a limit of concurrent calls that rises with the number of calls completed
//! since the upstream started.

use crate::ids::StartStamp;

/// Number of completed calls that add one slot.
const CALLS_PER_SLOT: u64 = 2;

/// Multiple of the average time to the first byte above which a call counts as slow.
const SLOW_FACTOR: f64 = 6.0;

/// Minimum time to the first byte of a slow call, in milliseconds.
const MIN_SLOW_MS: f64 = 250.0;

/// Number of consecutive slow calls after which an upstream counts as cold.
const COLD_AFTER_SLOW_CALLS: u32 = 3;

/// Weight of the latest call in the moving average of the time to the first byte.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Tracks whether an upstream is cold, and how many concurrent calls it can take since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ramp {
    start: Option<StartStamp>,
    completed: u64,
    average_ms: Option<f64>,
    slow_calls: u32,
}

impl Ramp {
    /// Returns the maximum number of concurrent calls.
    pub fn max_calls(&self, cold_slots: u32, slots: u32) -> u32 {
        let added_slots = u32::try_from(self.completed / CALLS_PER_SLOT).unwrap_or(u32::MAX);
        cold_slots.saturating_add(added_slots).min(slots)
    }

    /// Records the start stamp. Returns whether the upstream has restarted and is therefore cold, in which
    /// case the ramp starts again.
    pub fn record_start(&mut self, start: StartStamp) -> bool {
        let restarted = self.start.is_some_and(|previous| previous != start);
        if restarted {
            *self = Self::default();
        }
        self.start = Some(start);
        restarted
    }

    /// Records the number of completed calls that the upstream reports since its start.
    pub fn record_report(&mut self, completed: u64) {
        self.completed = self.completed.max(completed);
    }

    /// Records a completed call. Returns whether several slow calls in a row show that the upstream is cold,
    /// in which case the ramp starts again.
    pub fn record_completed(&mut self, first_byte_ms: u64) -> bool {
        self.completed += 1;
        #[expect(clippy::cast_precision_loss, reason = "a call takes far less than 2^53 ms")]
        let first_byte_ms = first_byte_ms as f64;
        let average_ms = self.average_ms.unwrap_or(first_byte_ms);
        if first_byte_ms > MIN_SLOW_MS && first_byte_ms > average_ms * SLOW_FACTOR {
            self.slow_calls += 1;
        } else {
            self.slow_calls = 0;
            self.average_ms = Some(average_ms + SMOOTHING_FACTOR * (first_byte_ms - average_ms));
        }
        let is_cold = self.slow_calls >= COLD_AFTER_SLOW_CALLS;
        if is_cold {
            *self = Self { start: self.start, ..Self::default() };
        }
        is_cold
    }
}
