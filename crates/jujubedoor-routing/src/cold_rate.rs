//! Rate limit for requests from one VM to a cold upstream.
//!
//! When a failure domain comes back cold, all VMs have requests for it. Each VM gets an equal share of
//! the request rate that a cold upstream can handle, so that the limit holds for the whole fleet without
//! coordination.

use std::collections::VecDeque;

use jujubedoor::ids::Time;

/// Length of the rate limit's window, in milliseconds. It exceeds one second by the time that a request
/// may spend in transit.
const RATE_WINDOW_MS: u64 = 1_200;

/// Limits the rate of requests from this VM to one cold upstream.
#[derive(Clone, Debug, Default)]
pub struct ColdRateLimiter {
    sent_at: VecDeque<Time>,
}

/// Division of a cold upstream's request rate among the VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdShare {
    /// Number of requests that each sending VM may send within a window.
    pub requests: usize,
    /// Number of VMs that may send.
    pub senders: usize,
}

impl ColdShare {
    /// Divides an upstream's request rate among a number of VMs.
    ///
    /// If there is less than one request per VM, some VMs may send one request and the others none.
    pub fn new(per_second: f64, vms: usize) -> Self {
        // The limit is not negative and far below the limit of the type.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = per_second.max(0.0) as usize;
        let requests = (limit / vms.max(1)).max(1);
        Self { requests, senders: limit / requests }
    }
}

impl ColdRateLimiter {
    /// Returns whether another request may be sent now.
    pub fn allows(&self, now: Time, share: ColdShare) -> bool {
        let recent = self.sent_at.iter().filter(|t| now.since(**t) < RATE_WINDOW_MS).count();
        recent < share.requests
    }

    /// Records that a request is sent now.
    pub fn record(&mut self, now: Time) {
        while self.sent_at.front().is_some_and(|t| now.since(*t) >= RATE_WINDOW_MS) {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }
}
