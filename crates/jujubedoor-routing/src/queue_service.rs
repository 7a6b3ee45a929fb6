//! Requests wait for capacity: they are queued, served in order, or rejected if none is expected in time.

use std::collections::BTreeMap;
use std::collections::HashMap;

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
use crate::queue::WaitReason;
use crate::rejection::RejectReason;
use crate::state::State;

/// Maximum number of requests in the queue of one VM.
const MAX_QUEUED: usize = 2_000;

/// Queues a request if capacity is expected while it may wait; otherwise fails it.
pub fn wait(state: &mut State, request: RequestId, active: &ActiveRequest) {
    let until = wait_until(state, active);
    let capacity_at = placement::capacity_at(state, active.scope());
    let is_too_late = capacity_at.is_none_or(|at| at > until) || until <= state.now;
    if !is_too_late && state.queue.len() >= MAX_QUEUED {
        displace_less_urgent(state, active);
    }
    if is_too_late || state.queue.len() >= MAX_QUEUED {
        fail(state, request, RejectReason::NoCapacity, Reply::OutcomeUnknown);
        return;
    }
    enqueue(state, request, active, until);
    set_wait_reason(state, request, WaitReason::Capacity);
}

/// Queues a request behind others that are at least as urgent, and serves those that can be served now.
pub fn wait_behind_others(state: &mut State, request: RequestId, active: &ActiveRequest) {
    wait(state, request, active);
    serve(state);
}

/// Returns whether a request has to queue, because others of its service that are at least as urgent wait for capacity.
/// It would be served before them if it came when there is some.
pub fn is_behind_others(state: &State, request: RequestId, active: &ActiveRequest) -> bool {
    if state.queue.is_empty() || !state.urgency.applies_to(&active.service) {
        return false;
    }
    let queued = state.queue.iter().filter(|q| q.request != request && q.priority <= active.call.priority);
    let mut others = queued.filter_map(|queued| state.requests.get(&queued.request));
    others.any(|other| {
        other.service == active.service && other.waits_for == WaitReason::Capacity && !other.is_restricted()
    })
}

/// Records the arrival of a request, if requests to its service have an urgency.
pub fn record_arrival(state: &mut State, active: &ActiveRequest) {
    let priority = active.call.priority;
    if let Some(urgency) = state.urgency.of(&active.service, priority) {
        let flow = state.service_flows.entry(active.service.clone()).or_default();
        flow.record_arrival(urgency, state.now);
    }
}

/// The expected wait of a request for capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExpectedWait {
    /// Number of requests of this VM for the same service that are to be served before.
    pub ahead: usize,
    /// Expected wait, in milliseconds.
    pub ms: u64,
}

/// Estimates the wait of a request for capacity if more urgent ones overtake it. A request that is not queued is put behind all
/// others of its priority. The order between workspaces is left out: this runs for each rejection, of which a burst
/// causes many.
///
/// There is no estimate for the most urgent requests. They wait for a short time at most, and an estimate that is wrong at
/// times would cost more of them than it saves.
pub fn expected_wait(state: &State, request: RequestId, active: &ActiveRequest) -> Option<ExpectedWait> {
    if !state.urgency.has_more_urgent(&active.service, active.call.priority) {
        return None;
    }
    let ahead = state.queue.iter().take_while(|queued| queued.request != request);
    let ahead = ahead.filter(|queued| queued.priority <= active.call.priority);
    let later = state.queue.iter().skip_while(|queued| queued.request != request);
    let later = later.filter(|queued| queued.priority < active.call.priority);
    let of_service = ahead.chain(later).filter(|queued| {
        let other = state.requests.get(&queued.request);
        other.is_some_and(|r| r.service == active.service && r.waits_for == WaitReason::Capacity)
    });
    expected_wait_behind(state, active, of_service.count(), slots_per_ms(state, &active.service)?)
}

/// Estimates the wait behind a number of requests, from the rate at which this VM gets slots.
fn expected_wait_behind(
    state: &State,
    active: &ActiveRequest,
    ahead: usize,
    slots_per_ms: f64,
) -> Option<ExpectedWait> {
    let urgency = state.urgency.of(&active.service, active.call.priority)?;
    let flow = state.service_flows.get(&active.service)?;
    let ms = flow.expected_wait_ms(slots_per_ms, ahead, urgency, state.now);
    Some(ExpectedWait { ahead, ms })
}

/// Returns the number of slots a millisecond that this VM gets at a full service, if it can be estimated.
fn slots_per_ms(state: &State, service: &Name) -> Option<f64> {
    let flow = state.service_flows.get(service)?;
    let mut running = BTreeMap::new();
    for active in state.requests.values().filter(|r| r.attempt.is_some() && r.service == *service) {
        let urgency = state.urgency.of(service, active.call.priority)?;
        *running.entry(urgency).or_default() += 1;
    }
    flow.slots_per_ms(&running)
}

/// Rejects the least urgent queued request of a service if it is less urgent than another one, for which there is no room
/// in the queue.
fn displace_less_urgent(state: &mut State, active: &ActiveRequest) {
    if !state.urgency.applies_to(&active.service) {
        return;
    }
    let is_less_urgent = |queued: &&QueuedRequest| {
        let of_service = state.requests.get(&queued.request).is_some_and(|r| r.service == active.service);
        let may_have_run = state.requests.get(&queued.request).is_some_and(ActiveRequest::may_have_run);
        of_service && !may_have_run && queued.priority > active.call.priority
    };
    let least_urgent = state.queue.iter().filter(is_less_urgent).max_by_key(|queued| queued.priority);
    if let Some(request) = least_urgent.map(|queued| queued.request) {
        state.queue.remove(request);
        fail(state, request, RejectReason::NoCapacity, Reply::OutcomeUnknown);
    }
}

/// Rejects a queued request now if it is expected to wait for longer than it may, because of others. Returns whether
/// it was rejected.
fn reject_if_hopeless(
    state: &mut State,
    request: RequestId,
    active: &ActiveRequest,
    wait: ExpectedWait,
) -> bool {
    let is_hopeless = wait.ahead > 0 && state.now.after(wait.ms) > wait_until(state, active);
    if is_hopeless {
        state.queue.remove(request);
        fail(state, request, RejectReason::NoCapacity, Reply::OutcomeUnknown);
    }
    is_hopeless
}

/// Returns whether a request should wait for a shared prefill.
pub fn is_prefill_wait(state: &State, active: &ActiveRequest, choice: &Choice) -> bool {
    state.queue.len() < MAX_QUEUED && prefill::should_wait(state, &active.call, active.arrived_at, choice)
}

/// Queues a request until a shared prefill of its prompt has finished.
pub fn wait_for_prefill(state: &mut State, request: RequestId, active: &ActiveRequest) {
    let until = wait_until(state, active);
    state.log(Some(request), "held", vec![("waiting", state.queue.len().to_string())]);
    set_wait_reason(state, request, WaitReason::Prefill);
    enqueue(state, request, active, until);
}

fn enqueue(state: &mut State, request: RequestId, active: &ActiveRequest, until: Time) {
    state.queue.push(queued_request(request, active, until));
}

fn queued_request(request: RequestId, active: &ActiveRequest, until: Time) -> QueuedRequest {
    QueuedRequest {
        request,
        priority: active.call.priority,
        workspace: active.call.workspace.clone(),
        expires_at: until,
    }
}

fn set_wait_reason(state: &mut State, request: RequestId, reason: WaitReason) {
    if let Some(active) = state.requests.get_mut(&request) {
        active.waits_for = reason;
    }
}

/// Returns the time until which a request may be queued.
///
/// Usually this is a share of its latency target, since the caller can try another VM then. A request that more urgent
/// ones overtake finds the same engines full at any VM, and its answer is still of use after the target, so it may wait
/// for a share of the time that its caller waits.
fn wait_until(state: &State, active: &ActiveRequest) -> Time {
    let target = f64::from(u32::try_from(active.call.route.target_ms).unwrap_or(u32::MAX));
    // The product of a latency target and a share is positive and far below the limit of the type.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let mut wait_ms = (target * state.tuning.queue_time_share) as u64;
    if state.urgency.has_more_urgent(&active.service, active.call.priority) {
        let patience_ms = active.expires().since(active.arrived_at);
        let patience = f64::from(u32::try_from(patience_ms).unwrap_or(u32::MAX));
        // The same holds for the product of the caller's time and a share.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let less_urgent_wait_ms = (patience * state.tuning.less_urgent_time_share) as u64;
        wait_ms = wait_ms.max(less_urgent_wait_ms);
    }
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
    let mut still_queued: HashMap<Name, usize> = HashMap::new();
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
            let is_rejected = reject_if_late(state, request, &active, full.capacity_at);
            if !is_rejected && state.urgency.applies_to(&active.service) {
                let ahead = still_queued.entry(active.service.clone()).or_default();
                let has_more_urgent = state.urgency.has_more_urgent(&active.service, active.call.priority);
                let rate = full.slots_per_ms.filter(|_| has_more_urgent);
                let wait = rate.and_then(|rate| expected_wait_behind(state, &active, *ahead, rate));
                if !wait.is_some_and(|wait| reject_if_hopeless(state, request, &active, wait)) {
                    *ahead += 1;
                }
            }
            continue;
        }
        match placement::choose(state, &active.call, active.scope()) {
            Ok(choice) if is_prefill_wait(state, &active, &choice) => {
                set_wait_reason(state, request, WaitReason::Prefill);
            }
            Ok(choice) => {
                state.queue.remove(request);
                dispatch(state, request, choice);
            }
            Err(PlacementError::NoCapacity) => {
                let capacity_at = placement::capacity_at(state, active.scope());
                set_wait_reason(state, request, WaitReason::Capacity);
                if !active.is_restricted() {
                    let service = active.service.clone();
                    let slots_per_ms = slots_per_ms(state, &service);
                    full_services.push(FullService { service, capacity_at, slots_per_ms });
                }
                if !reject_if_late(state, request, &active, capacity_at) {
                    *still_queued.entry(active.service.clone()).or_default() += 1;
                }
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
    /// Number of slots a millisecond that this VM gets there, if it can be estimated.
    slots_per_ms: Option<f64>,
}

/// Rejects a queued request now if no capacity is expected before it expires. Returns whether it was rejected.
fn reject_if_late(
    state: &mut State,
    request: RequestId,
    active: &ActiveRequest,
    capacity_at: Option<Time>,
) -> bool {
    let is_late = capacity_at.is_none_or(|at| at > wait_until(state, active));
    if is_late {
        state.queue.remove(request);
        fail(state, request, RejectReason::NoCapacity, Reply::OutcomeUnknown);
    }
    is_late
}
