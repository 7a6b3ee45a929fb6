//! The retry budget: limits retries to a percentage of the requests, so that they cannot amplify an
//! overload.

use crate::tuning::Tuning;

/// Cost of one retry. Each request deposits the configured percentage of it.
const RETRY_COST: u64 = 100;

/// A balance that grows with each request and that retries are paid from.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: u64,
    deposit_percent: u64,
    max_balance: u64,
}

impl RetryBudget {
    /// Creates a budget with the full balance.
    pub fn new(tuning: &Tuning) -> Self {
        let max_balance = tuning.retry_burst * RETRY_COST;
        Self { balance: max_balance, deposit_percent: tuning.retry_percent, max_balance }
    }

    /// Deposits the share of one request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.deposit_percent).min(self.max_balance);
    }

    /// Withdraws the cost of one retry. Returns whether the balance was sufficient.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.balance >= RETRY_COST;
        if allowed {
            self.balance -= RETRY_COST;
        }
        allowed
    }
}
