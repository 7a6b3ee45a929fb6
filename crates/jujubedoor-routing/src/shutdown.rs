//! The planned stop of this VM.
//!
//! For a while after the stop was requested, the load balancer still sends callers, who are served. Requests that arrive
//! later are rejected at once, since other VMs can serve them. All attempts end before the process does, so that callers
//! get an answer.

use jujubedoor::ids::Time;

use crate::call::Call;
use crate::heartbeats;
use crate::routes::Kind;
use crate::state::State;

/// Time after the request to stop within which the load balancer still sends callers, in milliseconds.
pub const UNREADY_DELAY_MS: u64 = 2_500;

/// Time before the exit of the process at which attempts end, so that the last answers reach their callers, in
/// milliseconds.
pub const ANSWER_MS: u64 = 250;

/// The planned stop of a VM.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// Time at which the stop was requested.
    requested_at: Time,
    /// Time at which the process exits even if requests are still open.
    exits_at: Time,
}

impl Shutdown {
    /// Returns the time by which all attempts have to end.
    pub fn attempts_end_at(self) -> Time {
        Time(self.exits_at.0.saturating_sub(ANSWER_MS))
    }

    /// Returns whether a request that arrives now is rejected: it comes late, or it might not end in time and must not be
    /// repeated elsewhere.
    pub fn rejects(self, call: &Call, now: Time) -> bool {
        let ends_at = call.deadline.min(now.after(call.route.timeout_ms));
        let may_be_cut_off = call.route.kind == Kind::NonIdempotent && ends_at > self.attempts_end_at();
        now.since(self.requested_at) >= UNREADY_DELAY_MS || may_be_cut_off
    }
}

/// Begins the planned stop of this VM, whose process exits after a time in milliseconds.
pub fn begin(state: &mut State, exits_in_ms: u64) {
    let shutdown = Shutdown { requested_at: state.now, exits_at: state.now.after(exits_in_ms) };
    state.shutdown = Some(shutdown);
    for active in state.requests.values_mut() {
        active.attempts_end_at = Some(shutdown.attempts_end_at());
    }
    heartbeats::send(state);
}
