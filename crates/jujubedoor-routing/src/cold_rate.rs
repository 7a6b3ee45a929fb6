//! The pace at which one VM may send requests to a cold upstream.
//!
//! Answers the load of a failure domain that comes back cold while all VMs have requests for it: each VM
//! takes an equal part of what the upstream bears in a second, so that the sum holds without messages.

use std::collections::VecDeque;

use jujubedoor::ids::Time;

/// The window of the bound, in milliseconds; longer than a second by what a request may be on its way.
const RATE_WINDOW_MS: u64 = 1_200;

/// The requests that were sent to one cold upstream lately.
#[derive(Clone, Debug, Default)]
pub struct ColdRateLimiter {
    sent_at: VecDeque<Time>,
}

/// How what a cold upstream bears in a second is divided among VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdShare {
    /// The requests that each VM that may send at all sends within a window.
    pub requests: usize,
    /// How many VMs may send.
    pub senders: usize,
}

impl ColdShare {
    /// Divides what an upstream bears in a second among a number of VMs.
    ///
    /// Where there is less than one request for each VM, some VMs send one and the others none.
    pub fn new(per_second: f64, vms: usize) -> Self {
        // What an upstream bears is not negative and far below the limit of the type.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = per_second.max(0.0) as usize;
        let requests = (limit / vms.max(1)).max(1);
        Self { requests, senders: limit / requests }
    }
}

impl ColdRateLimiter {
    /// Tells whether one more request may be sent now.
    pub fn allows(&self, now: Time, share: ColdShare) -> bool {
        let recent = self.sent_at.iter().filter(|t| now.since(**t) < RATE_WINDOW_MS).count();
        recent < share.requests
    }

    /// Notes a request that is sent now.
    pub fn record(&mut self, now: Time) {
        while self.sent_at.front().is_some_and(|t| now.since(*t) >= RATE_WINDOW_MS) {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }
}
