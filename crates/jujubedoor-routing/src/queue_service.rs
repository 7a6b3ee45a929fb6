//! Requests wait for capacity: they are queued, served in order, or rejected if none is expected in time.

use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::crash_attribution;
use crate::event::Reply;
use crate::event::RequestId;
use crate::lifecycle::ActiveRequest;
use crate::lifecycle::dispatch;
use crate::lifecycle::fail;
use crate::placement;
use crate::placement::Choice;
use crate::placement::PlacementError;
use crate::prefill;
use crate::queue::QueuedRequest;
use crate::rejection::RejectReason;
use crate::state::State;

/// Maximum number of requests in the queue of one VM.
const MAX_QUEUED: usize = 2_000;

/// Queues a request if capacity is expected while it may wait; otherwise fails it.
pub fn wait(state: &mut State, request: RequestId, active: &ActiveRequest) {
    let until = wait_until(state, active);
    let capacity_at = placement::capacity_at(state, active.scope());
    if state.queue.len() >= MAX_QUEUED || capacity_at.is_none_or(|at| at > until) || until <= state.now {
        fail(state, request, RejectReason::NoCapacity, Reply::OutcomeUnknown);
        return;
    }
    enqueue(state, request, active, until);
}

/// Returns whether a request should wait for a shared prefill.
pub fn is_prefill_wait(state: &State, active: &ActiveRequest, choice: &Choice) -> bool {
    state.queue.len() < MAX_QUEUED && prefill::should_wait(state, &active.call, active.arrived_at, choice)
}

/// Queues a request until a shared prefill of its prompt has finished.
pub fn wait_for_prefill(state: &mut State, request: RequestId, active: &ActiveRequest) {
    let until = wait_until(state, active);
    state.log(Some(request), "held", vec![("waiting", state.queue.len().to_string())]);
    enqueue(state, request, active, until);
}

fn enqueue(state: &mut State, request: RequestId, active: &ActiveRequest, until: Time) {
    state.queue.push(QueuedRequest {
        request,
        priority: active.call.priority,
        workspace: active.call.workspace.clone(),
        expires_at: until,
    });
}

/// Returns the time until which a request may be queued.
fn wait_until(state: &State, active: &ActiveRequest) -> Time {
    let target = f64::from(u32::try_from(active.call.route.target_ms).unwrap_or(u32::MAX));
    // The product of a latency target and a share is positive and far below the limit of the type.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let wait_ms = (target * state.tuning.queue_time_share) as u64;
    active.queued_from.after(wait_ms).min(active.expires())
}

/// Sends as many queued requests as possible, the most urgent first.
pub fn serve(state: &mut State) {
    if state.queue.is_empty() {
        return;
    }
    for request in state.queue.expire(state.now) {
        fail(state, request, RejectReason::NoCapacity, Reply::OutcomeUnknown);
    }
    let mut full_services: Vec<FullService> = Vec::new();
    for request in state.queue.order(&state.running_by_workspace()) {
        let Some(active) = state.requests.get(&request).cloned() else {
            state.queue.remove(request);
            continue;
        };
        if crash_attribution::rejection_wait_ms(state, &active.call).is_some() {
            state.queue.remove(request);
            fail(state, request, RejectReason::CrashSuspect, Reply::OutcomeUnknown);
            continue;
        }
        if let Some(full) = full_services.iter().find(|full| full.service == active.service) {
            reject_if_late(state, request, &active, full.capacity_at);
            continue;
        }
        match placement::choose(state, &active.call, active.scope()) {
            Ok(choice) if is_prefill_wait(state, &active, &choice) => {}
            Ok(choice) => {
                state.queue.remove(request);
                dispatch(state, request, choice);
            }
            Err(PlacementError::NoCapacity) => {
                let capacity_at = placement::capacity_at(state, active.scope());
                if active.tried_upstreams.is_empty() && active.software.is_none() {
                    full_services.push(FullService { service: active.service.clone(), capacity_at });
                }
                reject_if_late(state, request, &active, capacity_at);
            }
            Err(PlacementError::NoneRegistered | PlacementError::NoneUsable) => {
                state.queue.remove(request);
                fail(state, request, RejectReason::NoUpstream, Reply::OutcomeUnknown);
            }
        }
    }
}

/// A service that has no capacity now.
struct FullService {
    service: Name,
    /// The earliest time at which it may have some, or `None` if no upstream is usable.
    capacity_at: Option<Time>,
}

/// Rejects a queued request now if no capacity is expected before it expires.
fn reject_if_late(state: &mut State, request: RequestId, active: &ActiveRequest, capacity_at: Option<Time>) {
    if capacity_at.is_none_or(|at| at > wait_until(state, active)) {
        state.queue.remove(request);
        fail(state, request, RejectReason::NoCapacity, Reply::OutcomeUnknown);
    }
}
