//! Retry budget of one service.
//!
//! To prevent retry storms, the fleet may retry at most a share of its requests plus a fixed number in
//! each window. Each VM applies the share to its own requests and gets an equal part of the fixed
//! number, so that the limit holds for the whole fleet without coordination.

use std::collections::VecDeque;

use jujubedoor::ids::Time;

/// The requests and retries of one service at this VM within the window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl RetryBudget {
    /// Records a new request.
    pub fn record_request(&mut self, now: Time, window_ms: u64) {
        self.discard_expired(now, window_ms);
        self.requests.push_back(now);
    }

    /// Returns the number of retries left in the budget.
    pub fn remaining(&self, ratio: f64, slack: f64) -> f64 {
        ratio * as_f64(self.requests.len()) + slack - as_f64(self.retries.len())
    }

    /// Takes a retry from the budget. Returns whether there was one left.
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
