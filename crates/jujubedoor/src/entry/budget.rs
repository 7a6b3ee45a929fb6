//! The budget of retries: a share of the requests, so that retries cannot multiply an overload.

use crate::tuning::Tuning;

/// How much of a retry one percent of a request pays for.
const WHOLE: u64 = 100;

/// The retries that may still be made.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: u64,
    percent: u64,
    most: u64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(tuning: &Tuning) -> Self {
        let most = tuning.retry_burst * WHOLE;
        Self { saved: most, percent: tuning.retry_percent, most }
    }

    /// Adds the share of one request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.percent).min(self.most);
    }

    /// Takes one retry if there is one left.
    pub fn spend(&mut self) -> bool {
        let allowed = self.saved >= WHOLE;
        if allowed {
            self.saved -= WHOLE;
        }
        allowed
    }
}
