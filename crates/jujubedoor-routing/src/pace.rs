//! The pace at which one VM may send requests to a cold upstream.
//!
//! Answers the load of a failure domain that comes back cold while all VMs have requests for it: each VM
//! takes an equal part of what the upstream bears in a second, so that the sum holds without messages.

use std::collections::VecDeque;

use jujubedoor::ids::Time;

/// The window of the bound, in milliseconds; longer than a second by what a request may be on its way.
const WINDOW_MS: u64 = 1_200;

/// The requests that were sent to one cold upstream lately.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    sent: VecDeque<Time>,
}

/// How many requests a VM may send within a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// The requests.
    pub requests: usize,
    /// The window, in milliseconds.
    pub window_ms: u64,
}

impl Share {
    /// Divides what an upstream bears in a second among a number of VMs.
    pub fn new(per_second: f64, vms: usize) -> Self {
        let vms = f64::from(u32::try_from(vms.max(1)).unwrap_or(u32::MAX));
        let each = per_second / vms;
        if each >= 1.0 {
            // The value is at least one and far below the limit of the type.
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            return Self { requests: each as usize, window_ms: WINDOW_MS };
        }
        // A share below one request a second becomes one request in a longer window.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let window_ms = (1_200.0 / each.max(0.001)) as u64;
        Self { requests: 1, window_ms }
    }
}

impl Pace {
    /// Tells whether one more request may be sent now.
    pub fn allows(&self, now: Time, share: Share) -> bool {
        let recent = self.sent.iter().filter(|t| now.since(**t) < share.window_ms).count();
        recent < share.requests
    }

    /// Notes a request that is sent now.
    pub fn note(&mut self, now: Time, share: Share) {
        while self.sent.front().is_some_and(|t| now.since(*t) >= share.window_ms) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
