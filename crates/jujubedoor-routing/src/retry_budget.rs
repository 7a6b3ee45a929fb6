//! The budget of retries of one service.
//!
//! Answers the load of a retry storm: the fleet may send at most a share of its requests again, plus a
//! fixed number in each window. Every VM keeps the share for its own requests and an equal part of the
//! fixed number, so that the sum holds without messages.

use std::collections::VecDeque;

use jujubedoor::ids::Time;

/// The retries and requests of one service at this VM within the window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl RetryBudget {
    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Time, window_ms: u64) {
        self.discard_expired(now, window_ms);
        self.requests.push_back(now);
    }

    /// Returns the retries that are left.
    pub fn remaining(&self, ratio: f64, slack: f64) -> f64 {
        ratio * as_f64(self.requests.len()) + slack - as_f64(self.retries.len())
    }

    /// Takes one retry if there is one left.
    pub fn try_spend(&mut self, now: Time, window_ms: u64, ratio: f64, slack: f64) -> bool {
        self.discard_expired(now, window_ms);
        let allowed = self.remaining(ratio, slack) >= 1.0;
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    fn discard_expired(&mut self, now: Time, window_ms: u64) {
        for timestamps in [&mut self.requests, &mut self.retries] {
            while timestamps.front().is_some_and(|t| now.since(*t) > window_ms) {
                timestamps.pop_front();
            }
        }
    }
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
