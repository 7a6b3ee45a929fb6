//! The rate at which the engines of a service prefill prompts, learned from the start of their responses.
//!
//! The time to the first token of a long prompt is the prefill and what every request takes, which short
//! prompts show. Some engines are slow for a while, and some have parts cached that this VM does not know
//! of, so the rate is a median, which neither moves much.

use std::collections::VecDeque;

/// Maximum number of prompt tokens of a request whose response time shows what every request takes.
const MAX_SHORT_TOKENS: u32 = 256;

/// Minimum number of prompt tokens of a request whose response time shows the prefill rate.
const MIN_LONG_TOKENS: u32 = 1_000;

/// Number of response times of which the median is taken.
const MAX_SAMPLES: usize = 41;

/// Minimum number of response times from which a rate is derived.
const MIN_SAMPLES: usize = 5;

/// The prefill rate of a service's engines.
#[derive(Clone, Debug, Default)]
pub struct PrefillRate {
    short_times_ms: Samples,
    rates: Samples,
}

/// The latest values of a measurement.
#[derive(Clone, Debug, Default)]
struct Samples(VecDeque<f64>);

impl PrefillRate {
    /// Records the time from sending a request to the start of its response.
    ///
    /// `prefill_tokens` is the number of tokens that the engine had to prefill for it, with those queued
    /// before it.
    pub fn record(&mut self, prefill_tokens: u32, response_time_ms: u64) {
        let time_ms = f64::from(u32::try_from(response_time_ms).unwrap_or(u32::MAX));
        if prefill_tokens <= MAX_SHORT_TOKENS {
            self.short_times_ms.push(time_ms);
        } else if prefill_tokens >= MIN_LONG_TOKENS {
            let prefill_ms = (time_ms - self.short_times_ms.median().unwrap_or_default()).max(1.0);
            self.rates.push(f64::from(prefill_tokens) / prefill_ms);
        }
    }

    /// Returns the time to the start of a response apart from the prefill, in milliseconds, or `None` if there are too
    /// few measurements.
    pub fn base_ms(&self) -> Option<f64> {
        self.short_times_ms.median()
    }

    /// Returns the number of tokens that an engine prefills per millisecond, or `None` if there are too few
    /// measurements.
    pub fn tokens_per_ms(&self) -> Option<f64> {
        self.rates.median()
    }
}

impl Samples {
    fn push(&mut self, value: f64) {
        if self.0.len() >= MAX_SAMPLES {
            self.0.pop_front();
        }
        self.0.push_back(value);
    }

    fn median(&self) -> Option<f64> {
        let mut sorted: Vec<f64> = self.0.iter().copied().collect();
        sorted.sort_unstable_by(f64::total_cmp);
        (sorted.len() >= MIN_SAMPLES).then(|| sorted[sorted.len() / 2])
    }
}
