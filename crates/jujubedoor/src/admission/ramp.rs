//! The ramp of a cold upstream: it bears more with each call that it completed since its start.

use crate::ids::StartStamp;

/// How many completed calls add one slot.
const CALLS_PER_SLOT: u64 = 2;

/// How many times the usual first-byte time counts as slow.
const SLOW_FACTOR: f64 = 6.0;

/// The least time to the first byte that counts as slow, in milliseconds.
const SLOW_MS: f64 = 250.0;

/// How many slow calls in a row show that an upstream turned cold.
const SLOW_CALLS: u32 = 3;

/// The weight of the latest call in the usual first-byte time.
const SMOOTHING: f64 = 0.1;

/// What shows how much an upstream bears since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ramp {
    start: Option<StartStamp>,
    completed: u64,
    usual_ms: Option<f64>,
    slow: u32,
}

impl Ramp {
    /// Returns how many calls the upstream bears at once.
    pub fn max_calls(&self, cold_slots: u32, slots: u32) -> u32 {
        let extra = u32::try_from(self.completed / CALLS_PER_SLOT).unwrap_or(u32::MAX);
        cold_slots.saturating_add(extra).min(slots)
    }

    /// Notes the start stamp and tells whether the upstream turned cold.
    pub fn record_start(&mut self, start: StartStamp) -> bool {
        let restarted = self.start.is_some_and(|known| known != start);
        if restarted {
            *self = Self::default();
        }
        self.start = Some(start);
        restarted
    }

    /// Notes how many calls the upstream reports as completed since its start.
    pub fn record_report(&mut self, completed: u64) {
        self.completed = self.completed.max(completed);
    }

    /// Notes a completed call and tells whether the upstream turned cold.
    pub fn record_completed(&mut self, first_ms: u64) -> bool {
        self.completed += 1;
        #[expect(clippy::cast_precision_loss, reason = "a call takes far less than 2^53 ms")]
        let first_ms = first_ms as f64;
        let usual_ms = self.usual_ms.unwrap_or(first_ms);
        if first_ms > SLOW_MS && first_ms > usual_ms * SLOW_FACTOR {
            self.slow += 1;
        } else {
            self.slow = 0;
            self.usual_ms = Some(usual_ms + SMOOTHING * (first_ms - usual_ms));
        }
        let turned_cold = self.slow >= SLOW_CALLS;
        if turned_cold {
            *self = Self { start: self.start, ..Self::default() };
        }
        turned_cold
    }
}
